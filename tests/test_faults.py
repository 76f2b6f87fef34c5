"""Fault injection at the step boundaries of a standard workload.

A simulated run is a sequence of steps.  Each case runs the workload with the
step number as the seed, injects one or two faults after that many steps,
removes them later, and checks the invariants: no task starts twice, no answer
is wrong, a job submitted afterwards completes, and the replicas agree.
"""

from collections.abc import Callable
import os
import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks.trials import virtual
from tests import scenarios
from tests import worlds

Fault = Callable[[virtual.World], None]

LAST_STEP = 400
# Distance between the tested steps.  EELGRASSWORKS_STRIDE=1 tests every step,
# which takes half an hour.
STRIDE = int(os.environ.get('EELGRASSWORKS_STRIDE', '23'))
FAULT_DURATION_S = 3.0


def kill(name: str) -> Fault:
    """Kill a node and restart it later."""

    def inject(world: virtual.World) -> None:
        world.kill(name)
        world.at(FAULT_DURATION_S, lambda: world.start(name))

    return inject


def empty_disk(name: str) -> Fault:
    """Kill a replica and restart it with an empty data folder."""

    def inject(world: virtual.World) -> None:
        world.kill(name)
        world.lose_disk(name)
        world.at(0.5, lambda: world.start(name))

    return inject


def freeze(name: str) -> Fault:
    """Suspend a node and resume it later."""

    def inject(world: virtual.World) -> None:
        world.freeze(name)
        world.at(FAULT_DURATION_S, lambda: world.thaw(name))

    return inject


def cut(name: str, inward: bool = True, outward: bool = True) -> Fault:
    """Cut a node's links in one or both directions and restore them later."""

    def inject(world: virtual.World) -> None:
        added = set()
        for other in world.nodes:
            added |= {(other, name)} if inward else set()
            added |= {(name, other)} if outward else set()
        world.cut |= added
        world.at(FAULT_DURATION_S, lambda: world.cut.difference_update(added))

    return inject


def restart_all(names: tuple[str, ...]) -> Fault:
    """Kill several nodes at once and restart them one after the other."""

    def inject(world: virtual.World) -> None:
        for position, name in enumerate(names):
            world.kill(name)
            world.at(0.2 * (position + 1), lambda name=name: world.start(name))

    return inject


def inject_both(first: Fault, second: Fault, gap_s: float) -> Fault:
    """Inject a second fault ``gap_s`` after the first one."""

    def inject(world: virtual.World) -> None:
        first(world)
        world.at(gap_s, lambda: second(world))

    return inject


LEADER = 'control-1'
FAULTS: tuple[tuple[str, Fault], ...] = (
    ('kill the owner', kill('entry-1')),
    ('kill the other entry', kill('entry-2')),
    ('kill the leader', kill(LEADER)),
    ('kill an agent', kill('runner-1')),
    ('empty a replica', empty_disk('control-2')),
    ('empty the leader', empty_disk(LEADER)),
    ('freeze the owner', freeze('entry-1')),
    ('freeze the leader', freeze(LEADER)),
    ('freeze an agent', freeze('runner-1')),
    ('cut the owner off', cut('entry-1')),
    ('cut the owner off inward', cut('entry-1', outward=False)),
    ('cut the owner off outward', cut('entry-1', inward=False)),
    ('cut the leader off', cut(LEADER)),
    ('cut the leader off inward', cut(LEADER, outward=False)),
    ('cut the leader off outward', cut(LEADER, inward=False)),
    ('cut an agent off', cut('runner-1')),
    ('cut an agent off inward', cut('runner-1', outward=False)),
    ('cut an agent off outward', cut('runner-1', inward=False)),
    ('restart all replicas', restart_all(worlds.CONTROLS)),
    ('restart all agents', restart_all(('runner-1', 'runner-2', 'runner-3'))),
    ('restart all entries', restart_all(worlds.ENTRIES)),
    (
        'empty a replica, then kill the leader',
        inject_both(empty_disk('control-2'), kill(LEADER), 1.5),
    ),
    (
        'cut the leader off, then freeze the owner',
        inject_both(cut(LEADER), freeze('entry-1'), 0.3),
    ),
    (
        'kill an agent, then the leader',
        inject_both(kill('runner-1'), kill(LEADER), 0.1),
    ),
)


def run_case(inject: Fault, step: int) -> list[str]:
    """Run the workload with one injected fault; return the violations."""
    world = worlds.make_world(seed=step)
    shared = worlds.make_submission(worlds.make_id(world), 30, limit_s=8.0)
    other = worlds.make_submission(
        worlds.make_id(world), 5, limit_s=8.0, kind='structural-read'
    )
    submissions = {
        worlds.submit(world, 'entry-1', shared): shared,
        worlds.submit(world, 'entry-2', shared): shared,
        worlds.submit(world, 'entry-1', other): other,
    }
    worlds.ask_change(
        world,
        'entry-2',
        contracts.DrainTarget('runner-3'),
        1,
        'drain',
    )
    for _ in range(step):
        world.step()
    inject(world)
    world.run(20.0)
    last_submission = worlds.make_submission(
        worlds.make_id(world), 10, limit_s=8.0
    )
    repeated_request = worlds.submit(world, 'entry-2', shared)
    last_request = worlds.submit(world, 'entry-2', last_submission)
    world.run(20.0)
    submissions |= {repeated_request: shared, last_request: last_submission}
    answered = {
        request: submission
        for request, submission in submissions.items()
        if request in world.replies
        or request in (repeated_request, last_request)
    }
    found = scenarios.find_repeated(world)
    found += scenarios.find_untruths(world, answered)
    complete = contracts.Complete
    if not isinstance(world.replies.get(last_request, (0, None))[1], complete):
        found.append(
            f'the job after the fault got {world.replies.get(last_request)}'
        )
    return found + _compare_states(world)


def _compare_states(world: virtual.World) -> list[str]:
    """Return a violation if replicas halted or have different revisions."""
    states = {
        name: world.nodes[name].core.ledger.configuration
        for name in worlds.CONTROLS
        if world.nodes[name].core is not None
    }
    if len(states) < len(worlds.CONTROLS):
        return [f'halted: {world.halted}']
    if len({state.revision for state in states.values()}) > 1:
        return [f'the replicas hold {states}']
    return []


@ddt.ddt
class FaultTest(unittest.TestCase):
    @ddt.data(*FAULTS)
    @ddt.unpack
    def test_every_step(self, name: str, inject: Fault) -> None:
        # The first step depends on the fault, so that all faults together
        # cover more steps.
        first = 1 + len(name) % STRIDE
        for step in range(first, LAST_STEP, STRIDE):
            with self.subTest(fault=name, step=step):
                self.assertEqual(run_case(inject, step), [])
