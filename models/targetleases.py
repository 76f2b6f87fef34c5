"""A run that an agent reports as ended after silence has ended.

A lease at a target is a deadline on the target's clock.  The agent computes
the deadline from its latest reading of that clock, and counts on its own clock
until the lease is over; then the task starts elsewhere.  A renewal is carried
out within a tick or never, a start at any time or never, and its lease may
count from then; an answer arrives at once or never.  The
target may be silent at any time, refuse connections while it works, and begin
again with a clock at zero under the same name; then it may carry out calls
that were meant for the incarnation before.

Bounds: 8 ticks of the agent's clock, a clock of the target that loses at most
one of 3 ticks, 2 incarnations, one start, a lease of 2 ticks and a longest
lease of 3; a renewal is carried out within a tick or never.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final

import minicheck

from models import state

LAST_TICK: Final = 8
# The target's clock loses at most one tick of so many on end.
LOSS_PERIOD_TICKS: Final = 3
# Reading of the first incarnation's clock in the beginning.  A deadline on
# this clock exceeds the longest lease of an incarnation that begins at zero.
FIRST_READING_TICKS: Final = 6
LEASE_TICKS: Final = 2
LONGEST_LEASE_TICKS: Final = 3
LONGEST_DELAY_TICKS: Final = 1
LAST_INCARNATION: Final = 2
MAX_STATES: Final = 500_000
NEVER: Final = -99
NO_CALL: Final = (NEVER, NEVER)

FENCES: Final = (
    'rate',
    'margin',
    'cap',
    'delay',
    'refusal',
    'answer',
    'arrival',
)

# ``clock`` is the target's, and ``kept`` the number of ticks since it lost
# one.  ``reading`` is what the agent read at ``read_at``; ``asked_at`` is the
# time of its latest call with a deadline.  ``start`` and ``renewal`` are a
# (deadline, send time) in transit.  ``answered`` is whether the start was
# answered, ``listed`` whether the first incarnation has listed the run, and
# ``ended`` whether the agent has reported its end.  ``late_at`` is the time of
# the listing that showed a start without an answer.
SHAPE: Final = state.Shape(
    'now',
    'incarnation',
    'clock',
    'kept',
    'lease_until',
    'running',
    'reading',
    'read_at',
    'asked_at',
    'start',
    'renewal',
    'answered',
    'listed',
    'late_at',
    'ended',
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
            *_restart_target(before, s),
            *_read_clock(before, s),
            *_send_start(before, s, without),
            *_send_renewal(before, s, without),
            *_carry_out_start(before, s),
            *_carry_out_renewal(before, s),
            *_refuse_connection(before, s, without),
            *_report_end(before, s, without),
        ]

    return minicheck.Protocol(
        name=(
            f'targetleases without {without}' if without else 'targetleases'
        ),
        candidate=False,
        fields=SHAPE.fields,
        initial=(
            0,
            1,
            FIRST_READING_TICKS,
            LOSS_PERIOD_TICKS - 1,
            NEVER,
            False,
            FIRST_READING_TICKS,
            0,
            NEVER,
            NO_CALL,
            NO_CALL,
            False,
            False,
            NEVER,
            False,
        ),
        transitions=SHAPE.halt_when(has_two_runs, step),
        invariants={'one_run': lambda s: not has_two_runs(s)},
    )


def has_two_runs(s: dict[str, Any]) -> bool:
    """Return whether the run goes on after its task may start elsewhere."""
    return bool(s['running'] and s['ended'])


def count_sure_ticks(passed: int) -> int:
    """Return the least that a target's clock advances in a time."""
    most_lost = -(-passed // LOSS_PERIOD_TICKS)
    return passed - most_lost


def make_deadline(s: dict[str, Any], without: str) -> int:
    """Return the deadline on the target's clock of a call sent now."""
    passed = s['now'] - s['read_at']
    advance = passed if without == 'rate' else count_sure_ticks(passed)
    return int(s['reading'] + advance + LEASE_TICKS)


def is_lease_over(s: dict[str, Any], without: str) -> bool:
    """Return whether the agent takes the lease of the run for ended."""
    passed = s['now'] - s['asked_at']
    lease = LEASE_TICKS
    if not s['listed'] and without != 'cap':
        # A later incarnation may have run the start, where only the cap
        # bounds the lease.
        lease = LONGEST_LEASE_TICKS
        if without != 'delay':
            passed -= LONGEST_DELAY_TICKS
    if s['late_at'] != NEVER and without != 'arrival':
        passed = min(passed, s['now'] - s['late_at'])
    advance = passed if without == 'margin' else count_sure_ticks(passed)
    return bool(advance >= lease)


def _pass_time(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['now'] >= LAST_TICK:
        return
    now = s['now'] + 1
    later = replace(before, now=now, renewal=_drop_late(s['renewal'], now))
    clock = s['clock'] + 1
    yield (
        'pass time',
        replace(
            later,
            clock=clock,
            kept=min(s['kept'] + 1, LOSS_PERIOD_TICKS - 1),
            running=s['running'] and clock < s['lease_until'],
        ),
    )
    if s['kept'] == LOSS_PERIOD_TICKS - 1:
        yield 'target loses a tick', replace(later, kept=0)


def _drop_late(call: tuple[int, int], now: int) -> tuple[int, int]:
    return NO_CALL if now - call[1] > LONGEST_DELAY_TICKS else call


def _restart_target(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['incarnation'] == LAST_INCARNATION:
        return
    yield (
        'target begins again',
        replace(
            before,
            incarnation=s['incarnation'] + 1,
            clock=0,
            kept=LOSS_PERIOD_TICKS - 1,
            lease_until=NEVER,
            running=False,
        ),
    )


def _read_clock(before: State, s: dict[str, Any]) -> Iterator[Step]:
    # The agent keeps to the first incarnation; it settles the run by other
    # means when a later one answers.
    if s['incarnation'] != 1 or s['ended']:
        return
    is_late = s['running'] and not s['answered'] and not s['listed']
    yield (
        'target answers',
        replace(
            before,
            reading=s['clock'],
            read_at=s['now'],
            listed=s['listed'] or s['running'],
            late_at=s['now'] if is_late else s['late_at'],
        ),
    )


def _send_start(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['asked_at'] != NEVER:
        return
    call = (make_deadline(s, without), s['now'])
    yield 'agent starts', replace(before, start=call, asked_at=s['now'])


def _send_renewal(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['asked_at'] == NEVER or s['ended']:
        return
    # A renewal that is still in transit is lost.
    call = (make_deadline(s, without), s['now'])
    yield 'agent renews', replace(before, renewal=call, asked_at=s['now'])


def _carry_out_start(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['start'] == NO_CALL:
        return
    deadline, sent_at = s['start']
    if s['clock'] >= deadline:
        yield 'target refuses the start', replace(before, start=NO_CALL)
    # The lease of a late start may count from its arrival.
    late = s['now'] - sent_at > LONGEST_DELAY_TICKS
    until = s['clock'] + LEASE_TICKS if late else deadline
    if s['clock'] >= until:
        return
    run = replace(
        before,
        start=NO_CALL,
        running=True,
        lease_until=_extend_lease(s, until),
    )
    yield 'target runs the start', run
    if late:
        return
    # The answer does not tell which incarnation gave it.
    yield 'target runs the start and answers', replace(run, answered=True)


def _carry_out_renewal(before: State, s: dict[str, Any]) -> Iterator[Step]:
    if s['renewal'] == NO_CALL:
        return
    deadline, _ = s['renewal']
    # Its answer, if it arrives, is a reading like any other.
    yield (
        'target renews the lease',
        replace(
            before,
            renewal=NO_CALL,
            lease_until=_extend_lease(s, deadline),
        ),
    )


def _extend_lease(s: dict[str, Any], deadline: int) -> int:
    longest = s['clock'] + LONGEST_LEASE_TICKS
    return max(s['lease_until'], min(deadline, longest))


def _refuse_connection(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if without == 'refusal' and s['asked_at'] != NEVER:
        yield 'agent meets a refusal', replace(before, ended=True)


def _report_end(
    before: State, s: dict[str, Any], without: str
) -> Iterator[Step]:
    if s['asked_at'] == NEVER or s['ended']:
        return
    is_shown = s['answered'] or s['listed']
    if not is_shown and without != 'answer':
        # The start may still be carried out.
        return
    if is_lease_over(s, without):
        yield 'agent reports the end', replace(before, ended=True)
