"""Two entries never own one transient job while runs of both may be at work.

Three homes grant the job, and two of them are a majority.  One home is
reached only by the first entry and one only by the second, and these grant it
at any time.  So the home that both reach decides, and it is the one that is
specified.  It may restart at any time and lose its grants.  An owner relies on
a grant for a time from its request, and then has runs left for a time.

All times are counted down, so there is no last tick.

Bounds: the first entry has two claims in one run, one restart with one claim
after it, and two messages in transit, which arrive at any time, in any order,
or never; the second entry has one claim, and its messages arrive at once or
never.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final

import minicheck

from models import state

# How long an owner relies on a grant, from the time of its request.
GRANT_TICKS: Final = 1
# How long runs are at work that their owner no longer confirms.
RUNS_TICKS: Final = 1
RETENTION_TICKS: Final = GRANT_TICKS + RUNS_TICKS
LAST_ATTEMPTS: Final = {'a': 2, 'A': 1, 'b': 1}
MAX_MESSAGES: Final = 2
MAX_STATES: Final = 500_000

FENCES: Final = (
    'retention',
    'sent_time',
    'recovery',
    'learned',
    'incarnation',
    'request_range',
    'attempt',
    'order',
    'reset',
    'runs_end',
)

# ``holder`` is the run of an entry that the home has granted the job, if any,
# with the attempt and the time that is left of the grant.  ``recovery`` is for
# how long the home grants nothing.  A message is its kind, the run of the
# entry that sent the request, its attempt, and the age of the request.
SHAPE: Final = state.Shape(
    'holder', 'attempt', 'left', 'recovery', 'entries', 'messages'
)
# The run of an entry is 'a' or 'b', and 'A' after a restart.  ``phase`` is
# 'idle', 'claiming', 'owner', or 'ended' if runs may be left, ``counted`` for
# how long it relies on the grant, and ``runs`` for how long runs are left.
ENTRY: Final = state.Shape('run', 'phase', 'attempt', 'counted', 'runs')
State = state.State
Step = state.Step
replace = SHAPE.replace


def make(without: str = '') -> minicheck.Protocol:
    """Return the protocol without the named fence."""

    def step(before: State) -> list[Step]:
        s = SHAPE.read(before)
        steps = [
            *_pass_time(before, s),
            *_restart_home(before, without),
            *_deliver(before, s, without),
        ]
        for position in range(2):
            steps += _act(before, s, position, without)
        return steps

    return minicheck.Protocol(
        name=f'homes without {without}' if without else 'homes',
        candidate=False,
        fields=SHAPE.fields,
        initial=(
            '',
            0,
            0,
            0,
            (('a', 'idle', 0, 0, 0), ('b', 'idle', 0, 0, 0)),
            (),
        ),
        transitions=SHAPE.halt_when(has_two_owners, step),
        invariants={'one_owner': lambda s: not has_two_owners(s)},
    )


def has_two_owners(s: dict[str, Any]) -> bool:
    """Return whether runs of two owners may be at work."""
    entries = [ENTRY.read(each) for each in s['entries']]
    at_work = [e['phase'] == 'owner' for e in entries]
    at_work += [e['runs'] > 0 for e in entries]
    return sum(at_work) > 1


def _pass_time(before: State, s: dict[str, Any]) -> Iterator[Step]:
    left = max(0, s['left'] - 1)
    messages = {
        (
            kind,
            run,
            attempt,
            0 if kind == 'release' else min(age + 1, GRANT_TICKS),
        )
        for kind, run, attempt, age in s['messages']
    }
    after = replace(
        before,
        left=left,
        recovery=max(0, s['recovery'] - 1),
        entries=tuple(_age(each) for each in s['entries']),
        messages=tuple(sorted(messages)),
    )
    yield 'pass time', after if left else _forget(after)


def _age(entry: State) -> State:
    """Return an entry after a tick; an owner without grants ends its job."""
    e = ENTRY.read(entry)
    counted = max(0, e['counted'] - 1)
    runs = max(0, e['runs'] - 1)
    if e['phase'] == 'owner' and not counted:
        return ENTRY.replace(entry, phase='ended', counted=0, runs=RUNS_TICKS)
    return ENTRY.replace(entry, counted=counted, runs=runs)


def _restart_home(before: State, without: str) -> Iterator[Step]:
    recovery = 0 if without == 'recovery' else RETENTION_TICKS
    yield 'home restarts', _forget(replace(before, recovery=recovery))


def _forget(before: State) -> State:
    return replace(before, holder='', attempt=0, left=0)


def _act(
    before: State, s: dict[str, Any], position: int, without: str
) -> Iterator[Step]:
    entry = s['entries'][position]
    e = ENTRY.read(entry)
    run, phase, attempt = e['run'], e['phase'], e['attempt']

    def change(**changes: Any) -> State:
        changed = ENTRY.replace(entry, **changes)
        entries = state.replace_at(s['entries'], position, changed)
        return replace(before, entries=entries)

    def send(after: State, kind: str) -> Iterator[Step]:
        message = kind, run, attempt, 0
        yield f'{run}: {kind} at once', _handle(after, message, without, True)
        if run == 'b':
            yield f'b: {kind} is lost', after
        else:
            yield from _transmit(f'{run}: {kind}', after, message)

    match phase:
        case 'idle' if attempt < LAST_ATTEMPTS[run]:
            yield (
                f'{run} has a job',
                change(phase='claiming', attempt=attempt + 1),
            )
        case 'claiming':
            yield from send(before, 'claim')
            yield from send(change(phase='idle', counted=0), 'release')
        case 'owner':
            yield from send(before, 'renewal')
            yield from send(change(phase='idle', counted=0), 'release')
            yield (
                f'{run} cancels its job',
                change(phase='ended', counted=0, runs=RUNS_TICKS),
            )
        case 'ended':
            yield from send(before, 'renewal')
            if not e['runs'] or without == 'runs_end':
                yield from send(change(phase='idle', counted=0), 'release')
    if run == 'a':
        runs = RUNS_TICKS if phase == 'owner' else e['runs']
        yield (
            'a restarts',
            change(run='A', phase='idle', attempt=0, counted=0, runs=runs),
        )


def _transmit(label: str, before: State, message: State) -> Iterator[Step]:
    messages = {*SHAPE.read(before)['messages'], message}
    if len(messages) <= MAX_MESSAGES:
        yield label, replace(before, messages=tuple(sorted(messages)))


def _deliver(before: State, s: dict[str, Any], without: str) -> Iterator[Step]:
    for message in s['messages']:
        rest = tuple(each for each in s['messages'] if each != message)
        after = replace(before, messages=rest)
        label = ' '.join(map(str, message))
        yield f'{label} is lost', after
        if message[0] == 'grant':
            yield f'{label} arrives', _count(after, message, without)
            continue
        yield f'{label} arrives', _handle(after, message, without, False)
        if message[0] != 'release':
            yield (
                f'{label} is answered at once',
                _handle(after, message, without, True),
            )


def _handle(
    before: State, message: State, without: str, at_once: bool
) -> State:
    """Return the state after the home has handled a message."""
    s = SHAPE.read(before)
    kind, run, attempt, age = message
    is_holder = s['holder'] == run
    if without == 'incarnation':
        is_holder = s['holder'].lower() == run.lower()
    if kind == 'release':
        is_late = attempt < s['attempt'] and without != 'attempt'
        return _forget(before) if is_holder and not is_late else before
    if s['holder'] and not is_holder:
        return before
    if s['holder'] == run and attempt < s['attempt'] and without != 'order':
        return before
    may_grant = not s['recovery'] or (without == 'learned' and is_holder)
    if kind == 'claim' and not may_grant:
        return before
    left = GRANT_TICKS if without == 'retention' else RETENTION_TICKS
    after = replace(before, holder=run, attempt=attempt, left=left)
    grant = 'grant', run, attempt, age
    if at_once:
        return _count(after, grant, without)
    return next(iter(_transmit('', after, grant)), ('', after))[1]


def _count(before: State, message: State, without: str) -> State:
    """Return the state after an entry has received a grant."""
    _, run, attempt, age = message
    entries = SHAPE.read(before)['entries']
    position = 'ab'.index(run.lower())
    entry = entries[position]
    e = ENTRY.read(entry)
    is_same_run = e['run'] == run or without == 'request_range'
    is_same_attempt = e['attempt'] == attempt or without == 'reset'
    if not is_same_run or not is_same_attempt:
        return before
    if e['phase'] not in ('claiming', 'owner'):
        return before
    counted = GRANT_TICKS - (0 if without == 'sent_time' else age)
    if counted <= e['counted']:
        return before
    changed = ENTRY.replace(entry, phase='owner', counted=counted)
    return replace(
        before, entries=state.replace_at(entries, position, changed)
    )
