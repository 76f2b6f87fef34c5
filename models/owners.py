"""Two entries that got the same transient job never run it at the same time.

An entry starts a task of a job through an agent, and may start it again.  The
caller loses its connection and submits the job again at a second entry, while
the first is alive.  The first entry notices a connection that was closed, but
not a link that is cut.  The leases of a run are those of ``runs``, the age of
a start is bounded and a cancellation repeated as in ``attempts``.

Bounds: 8 ticks, one loss of the caller, one start in transit, any freeze of
the agent; a confirmation and evidence of the caller arrive at once or never.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final

import minicheck

from models import agents
from models import runs
from models import state

LAST_TICK: Final = 8
# The age from which the latest evidence of its caller ends a job.
CONTACT_TICKS: Final = 2
# How long a caller waits before it submits again: the first entry may confirm
# a run until just before its evidence is too old.
SUBMIT_DELAY_TICKS: Final = CONTACT_TICKS - 1 + runs.RESTART_DELAY_TICKS
MAX_STATES: Final = 500_000
NEVER: Final = runs.NEVER

FENCES: Final = ('caller_contact', 'repeat_cancel', 'chain')

# ``caller`` is the state of the caller's link to the first entry: 'up',
# 'closed' or 'cut', ``left_at`` the time when it was lost, and ``evidence``
# that of the latest sign of the caller at the entry.  ``start`` is the stamp
# of a start in transit.  ``elsewhere`` is the run of the second entry.
SHAPE: Final = state.Shape(
    'now',
    'caller',
    'left_at',
    'evidence',
    'start',
    'running',
    'hold_until',
    'confirmed_until',
    'cancelled',
    'agent',
    'elsewhere',
)
State = state.State
Step = state.Step
replace = SHAPE.replace


def make(without: str = '') -> minicheck.Protocol:
    """Return the protocol without the named fence."""

    def step(before: State) -> list[Step]:
        s = SHAPE.read(before)
        return [
            *_pass_time(before, s),
            *_lose_caller(before, s),
            *_submit_again(before, s, without),
            *_confirm(before, s, without),
            *_start(before, s, without),
            *agents.renew_hold(SHAPE, before, s),
            *agents.freeze(SHAPE, before, s),
        ]

    return minicheck.Protocol(
        name=f'owners without {without}' if without else 'owners',
        candidate=False,
        fields=SHAPE.fields,
        initial=(
            0,
            'up',
            NEVER,
            0,
            NEVER,
            False,
            NEVER,
            NEVER,
            False,
            'awake',
            False,
        ),
        transitions=SHAPE.halt_when(has_two_runs, step),
        invariants={
            'one_run_after_close': lambda s: (
                s['caller'] != 'closed' or not has_two_runs(s)
            ),
            'one_run_after_cut': lambda s: (
                s['caller'] != 'cut' or not has_two_runs(s)
            ),
        },
    )


def has_two_runs(s: dict[str, Any]) -> bool:
    """Return whether more than one run is active."""
    return bool(s['running'] and s['elsewhere'])


def is_open(s: dict[str, Any], without: str) -> bool:
    """Return whether the first entry treats its job as open."""
    if s['caller'] == 'closed':
        return False
    if without == 'caller_contact':
        return True
    return bool(s['now'] - s['evidence'] < CONTACT_TICKS)


def _pass_time(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['now'] < LAST_TICK:
        yield from agents.pass_time(SHAPE, before, s)


def _lose_caller(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['caller'] != 'up':
        return
    lost = replace(before, left_at=s['now'])
    yield 'caller closes its connection', replace(lost, caller='closed')
    yield 'caller is cut off', replace(lost, caller='cut')
    if s['evidence'] != s['now']:
        yield 'entry hears its caller', replace(before, evidence=s['now'])


def _submit_again(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['left_at'] == NEVER or s['elsewhere']:
        return
    delay = SUBMIT_DELAY_TICKS
    if without == 'chain':
        delay -= 1
    if s['now'] - s['left_at'] >= delay:
        yield 'second entry runs the task', replace(before, elsewhere=True)


def _confirm(before: State, s: dict[str, Any], without: str) -> Iterator[Step]:
    if s['agent'] != 'awake':
        return
    confirmed = replace(
        before, confirmed_until=s['now'] + runs.ENTRY_TTL_TICKS
    )
    if not is_open(s, without) and without != 'repeat_cancel':
        confirmed = agents.stop_run(SHAPE, confirmed, cancelled=True)
    yield 'entry confirms', confirmed


def _start(before: State, s: dict[str, Any], without: str) -> Iterator[Step]:
    if s['start'] == NEVER:
        if is_open(s, without) and not s['running']:
            yield 'entry starts', replace(before, start=s['now'])
        return
    if s['agent'] != 'awake':
        return
    too_old = s['now'] - s['start'] >= runs.ENTRY_TTL_TICKS
    if too_old or s['cancelled'] or not agents.is_confirmed(s):
        yield 'agent refuses the start', replace(before, start=NEVER)
        return
    yield 'agent runs the start', agents.hold_run(SHAPE, before, start=NEVER)
