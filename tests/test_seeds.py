"""Replicas whose seeds do not name the leader, or name other replicas."""

import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks.trials import virtual
from tests import test_voters
from tests import worlds

# Numbers of domains, of replicas in each, and of machines that may be lost.
GROUPS: tuple[tuple[int, int, int], ...] = ((3, 2, 1), (4, 2, 2))


def lose_power(
    world: virtual.World, names: list[str], emptied: list[str]
) -> None:
    """Kill all replicas, take some of the disks and start all again."""
    for name in names:
        world.kill(name)
    for name in emptied:
        world.lose_disk(name)
    world.run(1.0)
    for name in names:
        world.start(name)


@ddt.ddt
class SeedsTest(unittest.TestCase):
    @ddt.data(*GROUPS)
    @ddt.unpack
    def test_founders_reach_each_other_after_the_seeds_changed(
        self, domains: int, replicas: int, faults: int
    ) -> None:
        """Guards against members whose address only the settings had."""
        group = test_voters.Group(domains, replicas, faults)
        world = group.world
        group.change(1)
        joined = sorted(set(group.names) - set(group.seeds))
        for name in (*group.names, 'entry-1'):
            world.reseed(name, tuple(joined[:3]))
        voters = group.find_voters()
        emptied = [name for name in joined if name in voters][:faults]
        lose_power(world, group.names, emptied)
        world.kill('entry-1')
        world.start('entry-1')
        world.run(4.0)
        self.assertEqual(group.read_version(), 1)
        response = group.change(2)
        self.assertIsInstance(response.verdict, contracts.ChangeAccepted)

    def test_folder_of_an_earlier_release_gets_the_addresses(self) -> None:
        """Guards against founders that stay without an address."""
        world = virtual.World(1)
        world.add_control(worlds.CONTROLS, voters=3)
        for name in worlds.CONTROLS:
            world.kill(name)
            disk = world.nodes[name].disk
            assert disk is not None
            disk.addresses = {}
            world.start(name)
        world.run(4.0)
        for name in worlds.CONTROLS:
            members = world.nodes[name].core.replica.members
            self.assertEqual(set(members.addresses), set(worlds.CONTROLS))


if __name__ == '__main__':
    unittest.main()
