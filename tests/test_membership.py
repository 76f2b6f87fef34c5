"""Control replicas that join or replace others, and discovery of entries."""

import dataclasses
import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import decisioninputs
from eelgrassworks import effects
from eelgrassworks import links
from eelgrassworks.links import discovery
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.replication import commands
from eelgrassworks.replication import ledger
from eelgrassworks.trials import virtual
from tests import worlds

NEW_REPLICA = 'control-9'
SHEET = contracts.Sheet({}, {})

# Sheet versions in the order in which they are applied, and the one that is
# in the configuration afterwards.
VERSIONS: tuple[tuple[tuple[int, ...], int], ...] = (
    ((1,), 1),
    ((1, 5), 5),
    ((5, 1), 5),
    ((5, 5), 5),
    ((3, 9, 4, 7), 9),
)


def make_world() -> virtual.World:
    """Return a world in which replicas may join."""
    world = virtual.World(1)
    world.add_control(worlds.CONTROLS, voters=3)
    world.add_entry('entry-1', worlds.CONTROLS)
    worlds.await_leader(world)
    world.run(1.0)
    return world


def find_members(world: virtual.World) -> commands.SetMembers:
    """Return the members that the leader has."""
    leader = worlds.await_leader(world)
    members: commands.SetMembers = world.nodes[leader].core.replica.members
    return members


@ddt.ddt
class MembershipTest(unittest.TestCase):
    def test_replica_beyond_the_voters_stays_a_learner(self) -> None:
        world = make_world()
        world.join_control(NEW_REPLICA, worlds.CONTROLS, voters=3)
        world.run(6.0)
        members = find_members(world)
        self.assertEqual(set(members.voters), set(worlds.CONTROLS))
        self.assertEqual(set(members.learners), {NEW_REPLICA})

    @ddt.data('leader', 'follower')
    def test_new_replica_replaces_a_lost_voter(self, lost_role: str) -> None:
        world = make_world()
        leader = worlds.find_leader(world)
        lost = leader
        if lost_role == 'follower':
            lost = next(name for name in worlds.CONTROLS if name != leader)
        world.kill(lost)
        world.run(1.0)
        world.join_control(NEW_REPLICA, worlds.CONTROLS, voters=3)
        world.run(8.0)
        voters = set(find_members(world).voters)
        self.assertEqual(voters, {*worlds.CONTROLS, NEW_REPLICA} - {lost})
        # A majority of the voters remains after another loss.
        world.kill(next(name for name in worlds.CONTROLS if name != lost))
        world.run(3.0)
        response = worlds.change(
            world,
            'entry-1',
            contracts.ReplaceSheet(1, SHEET, b''),
            contracts.ANY_REVISION,
            'after',
        )
        self.assertTrue(response.in_force)

    def test_restarted_replica_is_not_replaced(self) -> None:
        world = make_world()
        world.join_control(NEW_REPLICA, worlds.CONTROLS, voters=3)
        world.run(3.0)
        follower = next(
            name
            for name in worlds.CONTROLS
            if name != worlds.find_leader(world)
        )
        world.kill(follower)
        world.run(1.5)
        world.start(follower)
        world.run(5.0)
        voters = set(find_members(world).voters)
        self.assertEqual(voters, set(worlds.CONTROLS))

    @ddt.data(*VERSIONS)
    @ddt.unpack
    def test_highest_version_is_retained(
        self, versions: tuple[int, ...], expected: int
    ) -> None:
        state = ledger.Ledger()
        for index, version in enumerate(versions, 1):
            change = contracts.ReplaceSheet(
                version, SHEET, f'{version}'.encode()
            )
            verdicts = state.apply(
                index,
                commands.CommitChange(
                    f'change-{index}',
                    'operator',
                    contracts.ANY_REVISION,
                    links.pack(change),
                ),
            )
            self.assertIsInstance(verdicts[0], contracts.ChangeAccepted)
        self.assertEqual(state.configuration.version, expected)
        self.assertEqual(state.configuration.document, f'{expected}'.encode())

    def test_same_version_with_other_content_changes_nothing(self) -> None:
        state = ledger.Ledger()
        for index, document in enumerate((b'first', b'second'), 1):
            change = contracts.ReplaceSheet(4, SHEET, document)
            state.apply(
                index,
                commands.CommitChange(
                    f'change-{index}',
                    'operator',
                    contracts.ANY_REVISION,
                    links.pack(change),
                ),
            )
        self.assertEqual(state.configuration.document, b'first')


@ddt.ddt
class UnknownLeaderTest(unittest.TestCase):
    """The settings of an entry name three of five replicas.

    After a loss of all processes the leader may be one that they don't name.
    """

    @ddt.data('control-4', 'control-5', 'control-1')
    def test_restarted_entry_finds_the_leader(self, leader: str) -> None:
        replicas = (*worlds.CONTROLS, 'control-4', 'control-5')
        world = virtual.World(3)
        world.add_control(worlds.CONTROLS, voters=5)
        world.add_entry('entry-1', worlds.CONTROLS)
        worlds.await_leader(world)
        for name in replicas[3:]:
            world.join_control(name, worlds.CONTROLS, voters=5)
            world.run(3.0)
        self.assertEqual(set(find_members(world).voters), set(replicas))
        for _ in range(40):
            if worlds.find_leader(world) == leader:
                break
            world.kill(worlds.await_leader(world))
            worlds.await_leader(world)
            for name in replicas:
                if world.nodes[name].core is None:
                    world.start(name)
            world.run(1.5)
        self.assertEqual(worlds.find_leader(world), leader)
        world.kill('entry-1')
        world.run(0.5)
        world.start('entry-1')
        world.run(1.5)
        entry_session = world.nodes['entry-1'].core.session
        self.assertTrue(entry_session.has_confirmed_lease(world.now_s))

    def test_leader_connects_to_the_entries_of_its_log(self) -> None:
        world = make_world()
        world.run(1.0)
        core = world.nodes[worlds.find_leader(world)].core
        address = core.ledger.entries['entry-1'].address
        inputs = decisioninputs.DecisionInputs(world.now_s, 0, 0.5)
        core._leadership_started = False
        result = core.handle(control.Ticked(), inputs)
        self.assertIn(
            effects.Connect('entry-1', address, persistent=False), result
        )


# Replicas of a roster, and the one to which the entry turns at once after
# another replica has named control-5 as the leader.
NAMED_LEADERS: tuple[tuple[tuple[str, ...], tuple[str, ...]], ...] = (
    (('control-1', 'control-5'), ('control-5',)),
    (('control-1', 'control-4'), ()),
    ((), ()),
)


@ddt.ddt
class SessionTest(unittest.TestCase):
    @ddt.data(*NAMED_LEADERS)
    @ddt.unpack
    def test_named_leader_is_asked_as_soon_as_its_address_is_known(
        self, replicas: tuple[str, ...], asked: tuple[str, ...]
    ) -> None:
        entry_session = session.Session(
            session.SessionOptions('entry-1', '', 1, worlds.CONTROLS)
        )
        named = entry_session.follow_leader('control-2', 'control-5', 1.0)
        self.assertEqual(
            named, [effects.Send('control-2', messages.RosterRequest())]
        )
        roster = messages.RosterUpdate(
            {name: f'tcp://{name}' for name in replicas}, {}
        )
        result = entry_session.handle_roster(roster, 1.1)
        renewed = tuple(
            effect.peer
            for effect in result
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, messages.EntryRenewal)
        )
        self.assertEqual(renewed, asked)
        if asked:
            self.assertEqual(entry_session.leader, asked[0])
            # The address is known from now on.
            again = entry_session.handle_roster(roster, 1.2)
            self.assertFalse(
                any(isinstance(each, effects.Send) for each in again)
            )

    def test_sender_of_newer_configuration_becomes_the_leader(self) -> None:
        """The session must not stay with its first leader.

        After the loss of all processes another replica leads.
        """
        entry_session = session.Session(
            session.SessionOptions(
                'entry-1', '', 1, ('control-1', 'control-2', 'control-3')
            )
        )
        newer = contracts.Configuration(
            2, contracts.Sheet({}, {}), frozenset(), frozenset()
        )
        self.assertTrue(entry_session.apply_configuration('control-3', newer))
        result = entry_session.request_lease(10.0)
        peers = [
            effect.peer
            for effect in result
            if isinstance(effect, effects.Send)
        ]
        self.assertEqual(peers, ['control-3'])
        older = dataclasses.replace(newer, revision=1)
        self.assertFalse(entry_session.apply_configuration('control-1', older))
        self.assertEqual(entry_session.leader, 'control-3')


class DiscoveryTest(unittest.TestCase):
    def test_polls_replicas_only_until_an_entry_is_found(self) -> None:
        entry_discovery = discovery.Discovery(('control-1', 'control-2'))
        peers = self._list_polled_peers(entry_discovery, 0.0, 4)
        self.assertEqual(set(peers), {'control-1', 'control-2'})
        roster = messages.RosterUpdate(
            {}, {'entry-1': 'tcp://1', 'entry-2': ''}
        )
        update = entry_discovery.handle_roster(roster, 6.0)
        self.assertEqual(update.entries, ('entry-1', 'entry-2'))
        self.assertEqual(len(update.effects), 2)
        self.assertEqual(
            set(self._list_polled_peers(entry_discovery, 6.5, 2)),
            {'entry-1', 'entry-2'},
        )

    def test_polls_replicas_again_when_entries_are_unresponsive(self) -> None:
        entry_discovery = discovery.Discovery(('control-1',))
        entry_discovery.handle_roster(
            messages.RosterUpdate({}, {'entry-1': 'tcp://1'}), 0.0
        )
        peers = self._list_polled_peers(entry_discovery, 10.0, 4)
        self.assertIn('control-1', peers)

    def test_empty_roster_removes_no_entry(self) -> None:
        entry_discovery = discovery.Discovery(('control-1',))
        entry_discovery.handle_roster(
            messages.RosterUpdate({}, {'entry-1': 'tcp://1'}), 0.0
        )
        entry_discovery.handle_roster(messages.RosterUpdate({}, {}), 1.0)
        self.assertEqual(entry_discovery.entries, ('entry-1',))

    def test_polls_no_replicas_that_have_left(self) -> None:
        """Guards against a search among all replicas that ever were."""
        entry_discovery = discovery.Discovery(('control-1',))
        entry_discovery.add_replicas(('relay-1',))
        for number in range(2, 22):
            name = f'control-{number}'
            roster = messages.RosterUpdate(
                {name: f'tcp://{name}'}, {'entry-1': 'tcp://1'}
            )
            entry_discovery.handle_roster(roster, number)
        # A roster without replicas makes it forget none.
        entry_discovery.handle_roster(
            messages.RosterUpdate({}, {'entry-1': 'tcp://1'}), 30.0
        )
        self.assertEqual(
            set(self._list_polled_peers(entry_discovery, 100.0, 8)),
            {'control-1', 'relay-1', 'control-21', 'entry-1'},
        )

    def _list_polled_peers(
        self, entry_discovery: discovery.Discovery, since_s: float, count: int
    ) -> list[str]:
        """Return the first ``count`` peers polled after ``since_s``."""
        peers = []
        for step in range(count * 25):
            for effect in entry_discovery.tick(since_s + step / 20):
                assert isinstance(effect, effects.Send)
                peers.append(effect.peer)
        return peers[:count]


if __name__ == '__main__':
    unittest.main()
