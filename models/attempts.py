"""Two attempts of a transient task never run at the same time.

An entry sends a start to an agent and gives the target up after a time
without contact; then it starts the next attempt elsewhere.  The network may
deliver the start, the cancellation, a renewal and a confirmation at any later
time, in any order, or never, as when a cut heals and the connection that held
a message up has been replaced.  The job of the entry may end while the run
goes on, or the entry may die; then the caller submits again elsewhere.  The
leases of a run are those of ``runs``.

Bounds: 7 ticks, one start at the first target, one renewal and one
confirmation in transit, any freeze of the agent, one end of the job.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final

import minicheck

from models import agents
from models import runs
from models import state

LAST_TICK: Final = 7
MAX_STATES: Final = 500_000
NEVER: Final = runs.NEVER

FENCES: Final = ('start_age', 'repeat_cancel')

# ``known`` is the stamp of the latest renewal that the entry received, until
# it sends the start; ``start`` is the stamp in a start in transit.  ``since``
# is the time from which the next attempt waits: the entry's last contact with
# the agent while the job is open, the end of the job after that.  ``cancel``
# is a cancellation in transit, ``repeated`` one that precedes the confirmation
# in transit, and ``cancelled`` whether the agent has received one.
SHAPE: Final = state.Shape(
    'now',
    'known',
    'start',
    'running',
    'hold_until',
    'confirmed_until',
    'asked',
    'answer',
    'repeated',
    'cancel',
    'cancelled',
    'agent',
    'job',
    'since',
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
            *_send_start(before, s),
            *_deliver_start(before, s, without),
            *_renew(before, s),
            *_confirm(before, s, without),
            *agents.renew_hold(SHAPE, before, s),
            *_end_job(before, s),
            *agents.freeze(SHAPE, before, s),
            *_start_elsewhere(before, s),
        ]

    return minicheck.Protocol(
        name=f'attempts without {without}' if without else 'attempts',
        candidate=False,
        fields=SHAPE.fields,
        initial=(
            0,
            0,
            NEVER,
            False,
            NEVER,
            runs.ENTRY_TTL_TICKS,
            NEVER,
            NEVER,
            False,
            False,
            False,
            'awake',
            'open',
            0,
            False,
        ),
        transitions=SHAPE.halt_when(has_two_runs, step),
        invariants={'one_run': lambda s: not has_two_runs(s)},
    )


def has_two_runs(s: dict[str, Any]) -> bool:
    """Return whether more than one run is active."""
    return bool(s['running'] and s['elsewhere'])


def _pass_time(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['now'] < LAST_TICK:
        yield from agents.pass_time(SHAPE, before, s)


def _send_start(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['known'] == NEVER or s['job'] != 'open' or s['elsewhere']:
        return
    yield 'entry starts', replace(before, known=NEVER, start=s['known'])


def _deliver_start(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['start'] == NEVER or s['agent'] != 'awake':
        return
    too_old = s['now'] - s['start'] >= runs.ENTRY_TTL_TICKS
    refused = s['cancelled'] or not agents.is_confirmed(s)
    if refused or (too_old and without != 'start_age'):
        yield 'agent refuses the start', replace(before, start=NEVER)
        return
    yield 'agent runs the start', agents.hold_run(SHAPE, before, start=NEVER)


def _renew(before: State, s: dict[str, Any]) -> Iterator[Step]:
    # A renewal that is still in transit is lost with its connection.
    if s['agent'] == 'awake' and s['asked'] != s['now']:
        yield 'agent requests confirmation', replace(before, asked=s['now'])


def _confirm(before: State, s: dict[str, Any], without: str) -> Iterator[Step]:
    if s['asked'] != NEVER and s['job'] != 'lost':
        changes: dict[str, Any] = {'asked': NEVER, 'answer': s['asked']}
        if s['job'] == 'open':
            changes['since'] = s['now']
        if s['known'] != NEVER:
            changes['known'] = max(s['known'], s['asked'])
        # The link is cut for both or for none: the repeated cancellation
        # arrives ahead of the confirmation.
        changes['repeated'] = s['job'] == 'ended' and without != (
            'repeat_cancel'
        )
        yield 'entry confirms', replace(before, **changes)
    if s['answer'] != NEVER and s['agent'] == 'awake':
        applied = replace(
            before,
            answer=NEVER,
            repeated=False,
            confirmed_until=max(
                s['confirmed_until'], s['answer'] + runs.ENTRY_TTL_TICKS
            ),
        )
        if s['repeated']:
            applied = agents.stop_run(SHAPE, applied, cancelled=True)
        yield 'agent applies the confirmation', applied


def _end_job(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['job'] == 'open' and not s['elsewhere']:
        ended = replace(before, since=s['now'], known=NEVER)
        yield 'caller leaves', replace(ended, job='ended', cancel=True)
        yield 'entry dies', replace(ended, job='lost')
    if s['cancel'] and s['agent'] == 'awake':
        yield (
            'agent cancels',
            agents.stop_run(SHAPE, before, cancel=False, cancelled=True),
        )


def _start_elsewhere(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['elsewhere'] or s['now'] - s['since'] < runs.RESTART_DELAY_TICKS:
        return
    label = (
        'entry starts elsewhere'
        if s['job'] == 'open'
        else 'caller submits again'
    )
    yield label, replace(before, elsewhere=True, known=NEVER)
