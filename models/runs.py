"""A transient task never has two runs at the same time.

An entry starts a task through an agent at a target.  The agent stops the run
when the entry's confirmation expires; the target kills the run when the
agent's hold on it expires.  The entry or the agent may freeze at any time,
and responses may be late.  A caller that gets no response submits again
elsewhere; an entry without contact with the agent starts the task elsewhere.

Bounds: 9 ticks, one run at the first target, one freeze of each process.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final

import minicheck

from models import state

LAST_TICK: Final = 9
# How long a confirmation of the entry is valid, from the time when the agent
# sent the request for it.
ENTRY_TTL_TICKS: Final = 2
# The target kills a run whose hold was not renewed for this long.
HOLD_TICKS: Final = 2
# How long a caller or the entry waits before it starts the task again.  The
# agent renews its last hold one tick before the confirmation expires.
RESTART_DELAY_TICKS: Final = ENTRY_TTL_TICKS - 1 + HOLD_TICKS
MAX_STATES: Final = 500_000
NEVER: Final = -99

FENCES: Final = (
    'entry_ttl',
    'sent_time',
    'hold',
    'look_first',
    'pause',
    'chain',
)

# ``asked`` and ``answer`` are the send time of the agent's request while the
# request or its response is in transit, ``lost_at`` the time when the entry
# froze, and ``heard`` the time of the entry's last contact with the agent.
# ``elsewhere`` is a run at another target, ``again`` one that a frozen entry
# started after it woke up.
SHAPE: Final = state.Shape(
    'now',
    'running',
    'hold_until',
    'confirmed_until',
    'asked',
    'answer',
    'agent',
    'entry',
    'lost_at',
    'heard',
    'elsewhere',
    'again',
)
State = state.State
Step = state.Step
replace = SHAPE.replace


def make(without: str = '') -> minicheck.Protocol:
    """Return the protocol without the named fence."""

    def step(before: State) -> list[Step]:
        s = SHAPE.read(before)
        return [
            *_pass_time(before, s, without),
            *_confirm_run(before, s, without),
            *_renew_hold(before, s, without),
            *_freeze(before, s, without),
            *_start_elsewhere(before, s, without),
        ]

    return minicheck.Protocol(
        name=f'runs without {without}' if without else 'runs',
        candidate=False,
        fields=SHAPE.fields,
        initial=(
            0,
            True,
            HOLD_TICKS,
            ENTRY_TTL_TICKS,
            NEVER,
            NEVER,
            'awake',
            'awake',
            NEVER,
            0,
            False,
            False,
        ),
        transitions=SHAPE.halt_when(has_two_runs, step),
        invariants={'one_run': lambda s: not has_two_runs(s)},
    )


def has_two_runs(s: dict[str, Any]) -> bool:
    """Return whether more than one run is active."""
    return s['running'] + s['elsewhere'] + s['again'] > 1


def _pass_time(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['now'] >= LAST_TICK:
        return
    now = s['now'] + 1
    running = s['running']
    if now >= s['hold_until'] and without != 'hold':
        running = False
    unconfirmed = now >= s['confirmed_until'] and without != 'entry_ttl'
    if unconfirmed and s['agent'] == 'awake':
        running = False
    yield 'pass time', replace(before, now=now, running=running)


def _confirm_run(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['asked'] == NEVER and s['answer'] == NEVER and s['agent'] == 'awake':
        yield 'agent requests confirmation', replace(before, asked=s['now'])
    if s['asked'] != NEVER and s['entry'] == 'awake':
        yield (
            'entry confirms',
            replace(before, asked=NEVER, answer=s['asked'], heard=s['now']),
        )
    if s['answer'] != NEVER and s['agent'] == 'awake':
        since = s['now'] if without == 'sent_time' else s['answer']
        expiry = max(s['confirmed_until'], since + ENTRY_TTL_TICKS)
        yield (
            'agent applies the confirmation',
            replace(before, answer=NEVER, confirmed_until=expiry),
        )


def _renew_hold(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if not s['running'] or s['agent'] != 'awake':
        return
    # After a freeze the agent checks the clock before it renews a hold.
    checks_expiry = without not in ('entry_ttl', 'look_first')
    if checks_expiry and s['now'] >= s['confirmed_until']:
        return
    yield (
        'agent renews its hold',
        replace(before, hold_until=s['now'] + HOLD_TICKS),
    )


def _freeze(before: State, s: dict[str, Any], without: str) -> Iterator[Step]:
    if s['agent'] == 'awake':
        yield 'agent freezes', replace(before, agent='frozen')
    # On waking up, the agent first stops a run whose confirmation has expired,
    # as at any tick.
    if s['agent'] == 'frozen':
        unconfirmed = s['now'] >= s['confirmed_until']
        stops = unconfirmed and without not in ('entry_ttl', 'look_first')
        running = s['running'] and not stops
        yield 'agent wakes', replace(before, agent='awake', running=running)
    if s['entry'] == 'awake' and s['lost_at'] == NEVER:
        yield (
            'entry freezes',
            replace(before, entry='frozen', lost_at=s['now']),
        )
    if s['entry'] == 'frozen' and without == 'pause' and not s['running']:
        # The entry still treats its job as open and starts the task again.
        yield 'entry wakes', replace(before, entry='gone', again=True)


def _start_elsewhere(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['elsewhere']:
        return
    wait = (
        RESTART_DELAY_TICKS - 1 if without == 'chain' else RESTART_DELAY_TICKS
    )
    lost_at = s['lost_at']
    if lost_at != NEVER and s['now'] - lost_at >= wait:
        yield 'caller submits again', replace(before, elsewhere=True)
    if s['entry'] == 'awake' and s['now'] - s['heard'] >= wait:
        yield 'entry starts elsewhere', replace(before, elsewhere=True)
