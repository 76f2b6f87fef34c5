"""A late renewal of an earlier incarnation restarts no task that runs.

An agent renews with an entry at every tick, and may be restarted once; the
new incarnation announces itself when no run is left at its target.  The
network retains every renewal and may deliver it any number of times, in any
order.  The entry drops a target whose incarnation has changed, or which is
out of contact, and starts its task elsewhere.  The leases of a run are those
of ``runs``, the age of a start is bounded as in ``attempts``.

Bounds: 7 ticks, 2 incarnations on one clock, one start at the target, one
confirmation in transit.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final

import minicheck

from models import runs
from models import state

LAST_TICK: Final = 7
MAX_STATES: Final = 500_000
NEVER: Final = runs.NEVER
NO_VIEW: Final = (0, NEVER)
NO_START: Final = (0, NEVER)

FENCES: Final = ('renewal_order', 'announce')

# ``died_at`` and ``announced_at`` are the times of the restart and of the
# first renewal after it.  ``view`` and ``start`` are an (incarnation, stamp):
# the latest renewal known to the entry, and a start in transit; ``sent`` is
# whether the task is outstanding at the target.
SHAPE: Final = state.Shape(
    'now',
    'died_at',
    'announced_at',
    'view',
    'heard',
    'sent',
    'start',
    'running',
    'hold_until',
    'confirmed_until',
    'answer',
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
            *_restart_agent(before, s, without),
            *_deliver_renewals(before, s, without),
            *_lose_target(before, s),
            *_start(before, s),
            *_hold_run(before, s),
        ]

    return minicheck.Protocol(
        name=f'renewals without {without}' if without else 'renewals',
        candidate=False,
        fields=SHAPE.fields,
        initial=(
            0,
            NEVER,
            NEVER,
            NO_VIEW,
            NEVER,
            False,
            NO_START,
            False,
            NEVER,
            NEVER,
            NEVER,
            False,
        ),
        transitions=SHAPE.halt_when(has_two_runs, step),
        invariants={'one_run': lambda s: not has_two_runs(s)},
    )


def has_two_runs(s: dict[str, Any]) -> bool:
    """Return whether more than one run is active."""
    return bool(s['running'] and s['elsewhere'])


def find_incarnation(s: dict[str, Any]) -> int:
    """Return the incarnation that is alive, or 0 between the two."""
    if s['died_at'] == NEVER:
        return 1
    return 0 if s['announced_at'] == NEVER else 2


def _pass_time(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['now'] >= LAST_TICK:
        return
    now = s['now'] + 1
    unconfirmed = now >= s['confirmed_until'] and find_incarnation(s) != 0
    if now >= s['hold_until'] or unconfirmed:
        stopped = replace(before, running=False, hold_until=NEVER)
        yield 'pass time', replace(stopped, now=now)
        return
    yield 'pass time', replace(before, now=now)


def _restart_agent(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['died_at'] == NEVER:
        yield (
            'agent dies',
            replace(
                before,
                died_at=s['now'],
                confirmed_until=NEVER,
                answer=NEVER,
            ),
        )
        return
    if s['announced_at'] != NEVER or s['now'] == s['died_at']:
        return
    if not s['running'] or without == 'announce':
        yield (
            'new incarnation announces itself',
            replace(before, announced_at=s['now']),
        )


def _list_renewals(s: dict[str, Any]) -> Iterator[tuple[int, int]]:
    """Yield the (incarnation, stamp) of every renewal sent so far."""
    last = s['now'] if s['died_at'] == NEVER else s['died_at']
    for stamp in range(last + 1):
        yield 1, stamp
    if s['announced_at'] == NEVER:
        return
    for stamp in range(s['announced_at'], s['now'] + 1):
        yield 2, stamp


def _deliver_renewals(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    known, latest = s['view']
    for incarnation, stamp in _list_renewals(s):
        if stamp < latest and without != 'renewal_order':
            continue
        changes: dict[str, Any] = {
            'view': (incarnation, max(stamp, latest)),
            'heard': s['now'],
        }
        if known not in (0, incarnation):
            changes['view'] = (incarnation, stamp)
            changes['elsewhere'] = s['elsewhere'] or s['sent']
            changes['sent'] = False
        if incarnation == find_incarnation(s):
            changes['answer'] = stamp
        yield (
            f'entry confirms renewal {stamp} of incarnation {incarnation}',
            replace(before, **changes),
        )


def _lose_target(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['view'] == NO_VIEW:
        return
    if s['now'] - s['heard'] < runs.RESTART_DELAY_TICKS:
        return
    yield (
        'entry loses the target',
        replace(
            before,
            view=NO_VIEW,
            heard=NEVER,
            sent=False,
            elsewhere=s['elsewhere'] or s['sent'],
        ),
    )


def _start(before: State, s: dict[str, Any]) -> Iterator[Step]:
    waiting = not s['sent'] and not s['elsewhere'] and s['start'] == NO_START
    if waiting and s['view'] != NO_VIEW:
        yield 'entry starts', replace(before, sent=True, start=s['view'])
    if s['start'] == NO_START or find_incarnation(s) == 0:
        return
    incarnation, stamp = s['start']
    allowed = (
        incarnation == find_incarnation(s)
        and s['now'] - stamp < runs.ENTRY_TTL_TICKS
        and s['now'] < s['confirmed_until']
    )
    if not allowed:
        yield 'agent refuses the start', replace(before, start=NO_START)
        return
    yield (
        'agent runs the start',
        replace(
            before,
            start=NO_START,
            running=True,
            hold_until=s['now'] + runs.HOLD_TICKS,
        ),
    )


def _hold_run(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['answer'] != NEVER:
        expiry = max(s['confirmed_until'], s['answer'] + runs.ENTRY_TTL_TICKS)
        yield (
            'agent applies the confirmation',
            replace(before, answer=NEVER, confirmed_until=expiry),
        )
    if s['running'] and s['now'] < s['confirmed_until']:
        yield (
            'agent renews its hold',
            replace(before, hold_until=s['now'] + runs.HOLD_TICKS),
        )
