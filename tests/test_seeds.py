"""Replicas whose seeds do not name the leader, or name other replicas."""

import dataclasses
import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import decisioninputs
from eelgrassworks import links
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.trials import virtual
from tests import scenarios
from tests import test_voters

# Numbers of domains, of replicas in each, and of machines that may be lost.
GROUPS: tuple[tuple[int, int, int], ...] = ((3, 2, 1), (4, 2, 2))
NEW_REPLICA = 'control-19'
REQUEST_TAG = codec.find_tag(messages.AdmissionRequest)


def move_leadership(group: test_voters.Group, avoided: set[str]) -> str:
    """Kill and restart leaders until one outside ``avoided`` leads."""
    for _ in range(40):
        leader = test_voters.await_any_leader(group.world, group.names)
        if leader and leader not in avoided:
            return leader
        group.world.kill(leader)
        group.world.run(1.5)
        group.world.start(leader)
        group.world.run(1.0)
    raise AssertionError(f'only {avoided} lead')


def find_strangers(group: test_voters.Group) -> list[str]:
    """Return the running replicas that are no members with their disk."""
    return [
        name
        for name in group.names
        if group.world.nodes[name].core is not None
        and not group.world.nodes[name].core.replica.is_member
    ]


def forget_founders(
    world: virtual.World, name: str, founders: tuple[str, ...]
) -> None:
    """Take the founders' addresses out of a replica's folder."""
    disk = world.nodes[name].disk
    assert disk is not None and not disk.base[2]
    disk.addresses = {}
    for record in disk.records:
        record.entries = tuple(
            forget_addresses(entry, founders) for entry in record.entries
        )


def forget_addresses(
    entry: messages.LogEntry, founders: tuple[str, ...]
) -> messages.LogEntry:
    """Return an entry without the addresses of the founders."""
    if entry.command[0] != codec.find_tag(commands.SetMembers):
        return entry
    change = codec.unpack(entry.command)
    addresses = {
        name: address
        for name, address in change.addresses.items()
        if name not in founders
    }
    changed = dataclasses.replace(change, addresses=addresses)
    return messages.LogEntry(entry.index, entry.term, codec.pack(changed))


def remove_member(world: virtual.World, leader: str, name: str) -> None:
    """Let the leader remove a member from the group."""
    node = world.nodes[leader]
    members = node.core.replica.members
    changed = commands.SetMembers(
        {n: disk for n, disk in members.voters.items() if n != name},
        {n: disk for n, disk in members.learners.items() if n != name},
        {n: text for n, text in members.addresses.items() if n != name},
    )
    inputs = decisioninputs.DecisionInputs(world.now_s, 0, 0.5)
    _, proposed = node.core.replica.propose([links.pack(changed)], inputs)
    world._execute_effects(node, proposed)


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
        world.run(3.0)
        self.assertEqual(find_strangers(group), [])

    @ddt.data('the founders', 'others')
    def test_folder_of_an_earlier_release_gets_the_addresses(
        self, seeds: str
    ) -> None:
        """Guards against founders that stay without an address."""
        group = test_voters.Group(4, 2, 2)
        world = group.world
        for name in group.names:
            world.kill(name)
            forget_founders(world, name, group.seeds)
            if seeds == 'others':
                world.reseed(name, tuple(group.names[3:6]))
        for name in group.names:
            world.start(name)
        world.run(8.0)
        for name in group.names:
            members = world.nodes[name].core.replica.members
            self.assertEqual(set(members.addresses), set(group.names))

    def test_late_request_of_another_disk_displaces_no_voter(self) -> None:
        """Guards against a request of a lost disk that arrives late."""
        group = test_voters.Group(5, 1, 2)
        world = group.world
        leader = test_voters.await_any_leader(world, group.names)
        members = world.nodes[leader].core.replica.members
        voter = next(name for name in group.names if name != leader)
        request = messages.AdmissionRequest(
            'disk-lost', virtual.make_address(voter)
        )
        event = virtual.make_received('control', voter, 1, request)
        world.give(leader, event)
        self.assertEqual(
            world.nodes[leader].core.replica.members.voters, members.voters
        )

    def test_few_messages_while_no_majority_runs(self) -> None:
        """Guards against members that all ask each other for admission."""
        group = test_voters.Group(3, 6, 1)
        world = group.world
        for name in sorted(group.find_voters())[:2]:
            world.kill(name)
        world.run(5.0)
        before = world.tally.messages[REQUEST_TAG]
        world.run(3.0)
        requests = world.tally.messages[REQUEST_TAG] - before
        # Each asks one other every 0.3 s.
        self.assertLessEqual(requests, 10 * len(group.names))

    # How the replica comes to have an empty disk, and who its seeds are.
    @ddt.data(
        ('emptied', 'followers'),
        ('emptied', 'gone'),
        ('new', 'followers'),
        ('new', 'not admitted yet'),
    )
    @ddt.unpack
    def test_replica_is_admitted_while_no_seed_leads(
        self, origin: str, seeds: str
    ) -> None:
        """Guards against an admission that only the seeds can grant."""
        group = test_voters.Group(4, 2, 2)
        world = group.world
        leader = move_leadership(group, set(group.seeds))
        others = [name for name in group.names if name != leader]
        emptied = next(n for n in reversed(others) if n not in group.seeds)
        match seeds:
            case 'followers':
                named = group.seeds
            case 'gone':
                named = ('control-91', 'control-92')
            case _:
                named = (emptied,)
                world.kill(emptied)
                world.lose_disk(emptied)
                world.start(emptied)
        if origin == 'emptied':
            world.kill(emptied)
            world.lose_disk(emptied)
            world.reseed(emptied, named)
            world.run(1.0)
            world.start(emptied)
        else:
            world.join_control(NEW_REPLICA, named, voters=group.max_voters)
            group.names.append(NEW_REPLICA)
        world.run(4.0)
        self.assertNotIn(
            test_voters.await_any_leader(world, group.names), named
        )
        self.assertEqual(find_strangers(group), [])

    def test_learner_without_its_admission_is_not_promoted(self) -> None:
        """Guards against a voter that does not know that it is a member."""
        group = test_voters.Group(4, 1, 2)
        world = group.world
        scenarios.delay_some(
            world,
            lambda _, receiver, message: (
                receiver == NEW_REPLICA
                and isinstance(message, messages.AppendRequest)
                and bool(message.entries)
            ),
            [],
        )
        world.join_control(NEW_REPLICA, group.seeds, voters=group.max_voters)
        world.run(3.0)
        leader = test_voters.await_any_leader(world, group.names)
        members = world.nodes[leader].core.replica.members
        self.assertIn(NEW_REPLICA, members.learners)

    @ddt.data('killed', 'frozen', 'cut off')
    def test_removed_replica_is_admitted_again(self, reason: str) -> None:
        """Guards against a replica that is removed and never told."""
        group = test_voters.Group(4, 2, 2)
        world = group.world
        leader = test_voters.await_any_leader(world, group.names)
        removed = next(n for n in reversed(group.names) if n != leader)
        match reason:
            case 'killed':
                world.kill(removed)
            case 'frozen':
                world.freeze(removed)
            case _:
                scenarios.isolate(world, removed)
        remove_member(world, leader, removed)
        world.run(6.0)
        match reason:
            case 'killed':
                world.start(removed)
            case 'frozen':
                world.thaw(removed)
            case _:
                world.cut = set()
        world.run(6.0)
        leader = test_voters.await_any_leader(world, group.names)
        members = world.nodes[leader].core.replica.members
        self.assertIn(removed, {*members.voters, *members.learners})
        self.assertEqual(
            world.nodes[removed].core.replica.commit_index,
            world.nodes[leader].core.replica.commit_index,
        )

    def test_lost_disks_do_not_use_up_the_replicas(self) -> None:
        """Guards against a lost disk that costs a replica for good."""
        group = test_voters.Group(4, 2, 2)
        world = group.world
        move_leadership(group, set(group.seeds))
        for number in range(4):
            voters = group.find_voters()
            leader = test_voters.await_any_leader(world, group.names)
            emptied = min(voters - {leader})
            world.kill(emptied)
            world.lose_disk(emptied)
            world.run(1.0)
            world.start(emptied)
            group.change(number + 1)
            world.run(6.0)
        lost = sorted(group.find_voters())[:2]
        lose_power(world, group.names, lost)
        world.run(4.0)
        self.assertEqual(group.read_version(), 4)
        self.assertEqual(find_strangers(group), [])


if __name__ == '__main__':
    unittest.main()
