"""Builders of simulated worlds, and helpers to drive them in tests."""

import itertools
from typing import Any

from eelgrassworks import changes
from eelgrassworks import contracts
from eelgrassworks import entry
from eelgrassworks import machines
from eelgrassworks.contracts import ids
from eelgrassworks.trials import virtual

DOMAINS = ('accra-central', 'tema-port', 'kasoa-west')
CONTROLS = ('control-1', 'control-2', 'control-3')
ENTRIES = ('entry-1', 'entry-2')
ALL = frozenset(DOMAINS)
KINDS = {
    'crack-flag': contracts.Kind('crack-flag', ALL, True, 20.0),
    'structural-read': contracts.Kind('structural-read', ALL, False, 20.0),
}
QUOTAS = {'inspectors': contracts.Quota('inspectors', 1.0, 100_000, 0)}
SHEET = contracts.Sheet(KINDS, QUOTAS)
_COUNTER = itertools.count(1)


def make_id(world: virtual.World) -> str:
    """Return a new submission id stamped with the world's time."""
    time_ms = virtual.WALL_OFFSET_MS + int(world.now_s * 1000)
    return ids.compose_id(time_ms, world.random.getrandbits(ids.RANDOM_BITS))


def make_target(position: int, slots: int = 8) -> machines.Target:
    """Return a target in one of the three failure domains."""
    return machines.Target(
        f'runner-{position + 1}',
        f'worker-{position + 1}',
        DOMAINS[position % len(DOMAINS)],
        slots,
        frozenset(),
    )


def make_world(
    seed: int = 1,
    controls: tuple[str, ...] = CONTROLS,
    entries: tuple[str, ...] = ENTRIES,
    agents: int = 3,
) -> virtual.World:
    """Return a world in which the test sheet is in force."""
    world = virtual.World(seed)
    world.add_control(controls)
    for name in entries:
        world.add_entry(name, controls)
    for position in range(agents):
        world.add_agent(make_target(position), entries)
    apply_sheet(world, entries[0])
    world.run(2.0)
    return world


def apply_sheet(world: virtual.World, entry_name: str) -> None:
    """Apply the sheet as the first revision and wait for the response."""
    response = change(
        world, entry_name, contracts.ApplySheet(SHEET), 0, 'sheet'
    )
    if not isinstance(response, changes.ChangeDecided):
        raise AssertionError(f'the sheet was not applied: {response}')


def change(
    world: virtual.World,
    entry_name: str,
    proposed: contracts.Change,
    expected: int,
    change_id: str,
    limit_s: float = 12.0,
) -> Any:
    """Request a change and wait for the response."""
    request = ask_change(world, entry_name, proposed, expected, change_id)
    world.run_until(lambda: request in world.replies, limit_s)
    return world.replies[request][1]


def ask_change(
    world: virtual.World,
    entry_name: str,
    proposed: contracts.Change,
    expected: int,
    change_id: str,
) -> int:
    """Request a change; return the number of the request."""
    request = contracts.ChangeRequest(change_id, change_id, expected, proposed)
    return world.ask(entry_name, lambda n: entry.ChangeRequested(n, request))


def make_submission(
    submission: str,
    tasks: int = 10,
    claimed: bool = True,
    limit_s: float = 20.0,
    kind: str = 'crack-flag',
    digest: str = 'digest',
) -> contracts.Submission:
    """Return a submission of equal tasks."""
    return contracts.Submission(
        submission or f'anonymous-{next(_COUNTER)}',
        digest,
        'inspectors',
        kind,
        (b'{}',) * tasks,
        limit_s,
        claimed,
    )


def submit(
    world: virtual.World, entry_name: str, submission: contracts.Submission
) -> int:
    """Submit a job; return the number of the request."""
    return world.ask(
        entry_name, lambda n: entry.SubmitRequested(n, submission)
    )


def await_answer(
    world: virtual.World, request: int, limit_s: float = 30.0
) -> Any:
    """Advance the clock until a request is answered; return the answer."""
    world.run_until(lambda: request in world.replies, limit_s)
    if request not in world.replies:
        raise AssertionError(f'request {request} was not answered')
    return world.replies[request][1]


def find_leader(world: virtual.World) -> str:
    """Return the leader that has committed in its term, if any."""
    for name, node in world.nodes.items():
        alive = node.role == 'control' and node.core is not None
        if (
            alive
            and not node.frozen
            and node.core.replica.has_committed_in_term()
        ):
            return name
    return ''


def await_leader(world: virtual.World, limit_s: float = 10.0) -> str:
    """Advance the clock until a leader has committed in its term."""
    world.run_until(lambda: bool(find_leader(world)), limit_s)
    return find_leader(world)
