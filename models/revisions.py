"""An entry acts on a lease of its own revision or an earlier one.

A leader commits the close of a failure domain.  It tells the entry, and names
the close in the leases that it grants from then on; the entry may receive
these in any order, or a lease of an earlier leader that doesn't know of the
close.  No task starts in the domain once the close is in force, although the
entry goes on under a lease that was granted before it.  The way from the entry
to an agent is that of ``leases``.

Bounds: 9 ticks of true time, a lease of 3 ticks, 1 lost tick.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final

import minicheck

from models import state

LAST_TICK: Final = 9
LEASE_TICKS: Final = 3
MAX_DRIFT_TICKS: Final = 1
MAX_STATES: Final = 500_000
NEVER: Final = -99

FENCES: Final = ('revision', 'order', 'wait', 'drift', 'quorum')

# ``asked`` is the local send time of the outstanding renewal, ``until`` the
# local expiry of the lease.  ``lease_closed`` and ``knows_close`` tell whether
# the lease and the entry's configuration include the close.
SHAPE: Final = state.Shape(
    'now',
    'lost',
    'asked',
    'until',
    'closed_at',
    'in_force',
    'lease_closed',
    'knows_close',
    'late_start',
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
            *_renew(before, s, without),
            *_close_domain(before, s, without),
            *_start_late(before, s, without),
        ]

    return minicheck.Protocol(
        name=f'revisions without {without}' if without else 'revisions',
        candidate=False,
        fields=SHAPE.fields,
        initial=(0, 0, NEVER, NEVER, NEVER, False, False, False, False),
        transitions=SHAPE.halt_when(lambda s: s['late_start'], step),
        invariants={'no_late_start': lambda s: not s['late_start']},
    )


def read_clock(s: dict[str, Any]) -> int:
    """Return the time by the entry's clock, in ticks."""
    return int(s['now'] - s['lost'])


def _pass_time(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['now'] >= LAST_TICK:
        return
    now = s['now'] + 1
    yield 'pass time', replace(before, now=now)
    if s['lost'] < MAX_DRIFT_TICKS:
        yield 'lose a tick', replace(before, now=now, lost=1)


def _renew(before: State, s: dict[str, Any], without: str) -> Iterator[Step]:
    clock = read_clock(s)
    if s['asked'] == NEVER:
        yield 'request a lease', replace(before, asked=clock)
        return
    margin = 0 if without == 'drift' else MAX_DRIFT_TICKS
    # A quorum follows the leader of the close from then on, and no other.
    contact = s['now'] if s['closed_at'] == NEVER else s['closed_at']
    if without == 'quorum':
        contact = s['now']
    remaining = contact + LEASE_TICKS - s['now']
    is_older = s['lease_closed'] and without != 'order'
    if remaining > 0 and not is_older:
        expiry = max(s['until'], s['asked'] + remaining - margin)
        yield (
            'grant without the close',
            replace(before, asked=NEVER, until=expiry, lease_closed=False),
        )
    if s['closed_at'] != NEVER:
        expiry = s['asked'] + LEASE_TICKS - margin
        if s['lease_closed']:
            expiry = max(s['until'], expiry)
        yield (
            'grant with the close',
            replace(before, asked=NEVER, until=expiry, lease_closed=True),
        )


def _close_domain(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['closed_at'] == NEVER:
        yield 'close', replace(before, closed_at=s['now'])
        return
    if not s['knows_close']:
        yield 'learn of the close', replace(before, knows_close=True)
    waited = s['now'] - s['closed_at']
    if not s['in_force'] and (waited >= LEASE_TICKS or without == 'wait'):
        yield 'in force', replace(before, in_force=True)


def _start_late(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    # A lease of a later revision doesn't confirm an earlier configuration.
    is_confirmed = not s['lease_closed'] or without == 'revision'
    has_lease = read_clock(s) < s['until'] and is_confirmed
    if has_lease and not s['knows_close'] and s['in_force']:
        yield 'start', replace(before, late_start=True)
