"""Service while the replicas are away, and after the loss of all power."""

import random
import unittest

import ddt
import minicheck

from eelgrassworks import contracts
from eelgrassworks import zones
from eelgrassworks.contracts import home
from eelgrassworks.contracts import homeplacement
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.machines import placement
from eelgrassworks.trials import objectives
from models import revisions
from tests import homeworld

# Revision of the lease and of the configuration, the time since the renewal,
# and whether work may start: new revisions arrive while a lease runs.
REVISIONS: tuple[tuple[str, int, int, float, bool], ...] = (
    ('same revision', 2, 2, 1.0, True),
    ('push of a new leader before its lease', 2, 3, 1.0, True),
    ('two pushes', 2, 4, 1.0, True),
    ('lease ended', 2, 3, zones.LEASE_TTL_S, False),
    ('lease before its configuration', 3, 2, 1.0, False),
)


# What is lost, the plan of a trial with nine entries of which five share their
# machines with the replicas, and the windows of 2 s in which all jobs must be
# served: four entries of nine serve on, and all within 2 s of the power.
LOSSES: tuple[tuple[str, objectives.Plan, tuple[int, ...]], ...] = (
    (
        'all machines with a disk for 4 s',
        objectives.Plan(
            0.4,
            14.0,
            entries=9,
            disks=5,
            lease_ttl_s=5.0,
            core_loss_s=3.9,
            core_return_s=8.1,
        ),
        (2, 3, 5, 6),
    ),
    (
        'all power for 0.8 s',
        objectives.Plan(
            0.4, 12.0, entries=9, disks=5, lease_ttl_s=5.0, loss_s=3.9
        ),
        (3, 4, 5),
    ),
)


@ddt.ddt
class LossTest(unittest.TestCase):
    @ddt.data(*LOSSES)
    @ddt.unpack
    def test_service_during_and_after_a_loss(
        self, _: str, plan: objectives.Plan, served: tuple[int, ...]
    ) -> None:
        """Guards against homes that grant nothing without the core."""
        experiment = objectives.Experiment(plan, placement.LateBinding())
        windows = experiment.run().windows
        for position in served:
            window = windows[position]
            missed = window.offered - window.in_time - window.late
            self.assertEqual(missed, 0, window)


class SettlingWorld(homeworld.HomeWorld):
    """A world in which the leader ends the joining of a home."""

    def settle_homes(self) -> None:
        """Let a version follow that names no joining home."""
        self._change_homes(self.homes.list_names(), '')


def play_settled(seed: int, interval_s: float) -> SettlingWorld:
    """Replace a home, settle the set, and restart the home that joined.

    An owner that may know neither change is not heard after its claim.
    """
    world = SettlingWorld(seed, 5, 3)
    draw = random.Random(f'settled {seed}')
    world.run(home.RETENTION_S + 0.1)
    world.replace_home('entry-4', 'entry-3')
    world.run(interval_s)
    world.settle_homes()
    world.restart('entry-4')
    world.run(home.RETENTION_S + draw.uniform(-0.3, 0.6))
    world.submit('entry-3')
    world.run(draw.uniform(0.0, 0.1))
    world.stall('entry-3', homeworld.LONGEST_HOLD_S)
    for _ in range(20):
        world.submit('entry-5')
        world.run(0.2)
    world.run(homeworld.LONGEST_HOLD_S)
    return world


class SettledHomesTest(unittest.TestCase):
    def test_one_owner_after_the_joining_has_ended(self) -> None:
        """Guards against two owners if a home that joined restarts early."""
        worlds = [
            play_settled(seed, homeplacement.CHANGE_INTERVAL_S)
            for seed in range(60)
        ]
        self.assertEqual([w for w in worlds if w.find_overlaps()], [])
        self.assertGreater(sum(w.granted for w in worlds), 60)

    def test_two_owners_if_the_joining_ends_at_once(self) -> None:
        """The interval is what the test above depends on."""
        self.assertTrue(
            any(play_settled(seed, 0.0).find_overlaps() for seed in range(60))
        )


@ddt.ddt
class RevisionTest(unittest.TestCase):
    @ddt.data(*REVISIONS)
    @ddt.unpack
    def test_lease_of_an_earlier_revision_counts_until_its_end(
        self,
        _: str,
        leased: int,
        configured: int,
        elapsed_s: float,
        may_start: bool,
    ) -> None:
        """Guards against a standstill at each push of a configuration."""
        options = session.SessionOptions('entry-1', '', 1, ('control-1',))
        core = session.Session(options)
        core.tick(10.0)
        lease = messages.EntryLease(
            10_000, int(zones.LEASE_TTL_S * 1000), leased, 0, 7
        )
        core.handle_lease('control-1', lease, 10.0)
        core.apply_configuration(
            'control-1',
            contracts.Configuration(
                configured,
                contracts.Sheet({}, {}),
                frozenset(),
                frozenset(),
            ),
        )
        self.assertEqual(core.has_confirmed_lease(10.0 + elapsed_s), may_start)

    @ddt.data('', *revisions.FENCES)
    def test_no_start_after_a_close_is_in_force(self, fence: str) -> None:
        """Guards against a lease that outlives a close in force."""
        result = minicheck.check_safety(
            revisions.make(fence), max_states=revisions.MAX_STATES
        )
        self.assertTrue(result['exhaustive'])
        holds = result['properties']['no_late_start']['holds']
        self.assertEqual(holds, not fence)
