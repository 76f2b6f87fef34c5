"""Processes find the leader again, whichever of them restart.

After a change of the seeds the settings may name relays alone, which know no
replica after a restart.
"""

import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import decisioninputs
from eelgrassworks import effects
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.replication import commands
from eelgrassworks.trials import virtual
from tests import test_seeds
from tests import test_voters
from tests import worlds

RELAYS = ('relay-1', 'relay-2', 'relay-3')
NEW_REPLICA = 'control-19'
ENTRY = 'entry-1'
AGENT = 'runner-1'
# Half of the time in which a deployment must serve again.
LIMIT_S = 6.0


class Deployment:
    """A group of replicas, three relays, an entry and an agent."""

    def __init__(self) -> None:
        self.group = test_voters.Group(4, 2, 2)
        self.world = self.group.world
        for name in RELAYS:
            self.world.add_relay(name, self.group.seeds)
        self.world.add_finder(AGENT, self.group.seeds)
        self.world.run(2.0)
        self.leader = test_seeds.move_leadership(
            self.group, set(self.group.seeds)
        )
        self.world.run(2.0)

    def choose_seeds(self, kind: str) -> tuple[str, ...]:
        """Return the names that the changed settings have."""
        followers = [n for n in self.group.names if n != self.leader]
        match kind:
            case 'relays':
                return RELAYS
            case 'relays and a replica':
                return (*RELAYS[:2], followers[-1])
            case 'gone':
                return ('control-91', 'control-92')
            case _:
                return tuple(followers[-3:])

    def reseed(self, seeds: tuple[str, ...]) -> None:
        """Change the settings of all running processes."""
        for name in (*self.group.names, *RELAYS, ENTRY, AGENT):
            self.world.reseed(name, seeds)
        self.world.run(1.0)

    def restart(self, part: str, seeds: tuple[str, ...]) -> None:
        """Restart a part of the deployment."""
        match part:
            case 'entry':
                self._restart((ENTRY,))
            case 'relays':
                self._restart(RELAYS)
            case 'entry and relays':
                self._restart((ENTRY, *RELAYS))
            case 'agent and relays':
                self._restart((AGENT, *RELAYS))
            case 'new replica':
                self.group.names.append(NEW_REPLICA)
                self.world.join_control(
                    NEW_REPLICA, seeds, voters=self.group.max_voters
                )
            case 'emptied replica':
                name = next(
                    each
                    for each in self.group.names
                    if each not in (self.leader, *seeds)
                )
                self.world.kill(name)
                self.world.lose_disk(name)
                self._restart((name,))
            case _:
                self._restart((*self.group.names, *RELAYS, ENTRY, AGENT))

    def restart_replicas_and_entry(self) -> None:
        """Restart all but the relays and the agent."""
        self._restart((*self.group.names, ENTRY))

    def _restart(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.world.kill(name)
        self.world.run(1.0)
        for name in names:
            self.world.start(name)

    def find_faults(self) -> list[str]:
        """Return what does not work."""
        leader = test_voters.await_any_leader(self.world, self.group.names)
        now_s = self.world.now_s
        faults = [
            f'{name} knows no leader'
            for name in RELAYS
            if self.world.nodes[name].core.find_leader(now_s) != leader
        ]
        strangers = test_seeds.find_strangers(self.group)
        faults += [f'{name} is no member' for name in strangers]
        entry_session = self.world.nodes[ENTRY].core.session
        if not entry_session.has_confirmed_lease(now_s):
            faults.append(f'{ENTRY} has no lease')
        if not self.world.nodes[AGENT].core.discovery.entries:
            faults.append(f'{AGENT} knows no entry')
        return faults


# Which processes restart, and which ones their settings name.
ROWS: tuple[tuple[str, str], ...] = tuple(
    (part, seeds)
    for part in (
        'entry',
        'relays',
        'entry and relays',
        'agent and relays',
        'new replica',
        'emptied replica',
        'all',
    )
    for seeds in ('relays', 'relays and a replica', 'followers')
)

# What restarts, or changes its leader, and what the settings name.  Relays
# are down.
UNREACHABLE_SEEDS: tuple[tuple[str, str], ...] = (
    ('all', 'gone'),
    ('all', 'relays'),
    ('entry, then the leader', 'gone'),
    ('entry, then the leader', 'relays'),
)


@ddt.ddt
class RendezvousTest(unittest.TestCase):
    @ddt.data(*ROWS)
    @ddt.unpack
    def test_all_find_the_leader_after_the_seeds_changed(
        self, part: str, kind: str
    ) -> None:
        """Guards against processes that know none which knows a replica."""
        deployment = Deployment()
        seeds = deployment.choose_seeds(kind)
        deployment.reseed(seeds)
        deployment.restart(part, seeds)
        deployment.world.run(LIMIT_S)
        self.assertEqual(deployment.find_faults(), [])
        response = deployment.group.change(1)
        self.assertIsInstance(response.verdict, contracts.ChangeAccepted)

    @ddt.data(*UNREACHABLE_SEEDS)
    @ddt.unpack
    def test_entry_is_told_who_leads_while_no_seed_does(
        self, part: str, kind: str
    ) -> None:
        """Guards against an entry that only its own search can help."""
        deployment = Deployment()
        seeds = deployment.choose_seeds(kind)
        deployment.reseed(seeds)
        if kind == 'relays':
            for name in RELAYS:
                deployment.world.kill(name)
        match part:
            case 'all':
                deployment.restart_replicas_and_entry()
            case _:
                deployment.world.kill(ENTRY)
                deployment.world.start(ENTRY)
                deployment.world.kill(deployment.leader)
        deployment.world.run(LIMIT_S)
        entry_session = deployment.world.nodes[ENTRY].core.session
        self.assertTrue(
            entry_session.has_confirmed_lease(deployment.world.now_s)
        )

    @ddt.data(0, 40)
    def test_announcements_do_not_grow_with_the_entries(
        self, entries: int
    ) -> None:
        """Guards against a cost of control that grows with the deployment."""
        deployment = Deployment()
        world = deployment.world
        for number in range(entries):
            world.add_entry(f'entry-{number + 2}', deployment.group.seeds)
        deployment.reseed(RELAYS)
        world.run(5.0)
        announced: list[messages.RosterUpdate] = []
        route = world.router

        def record(sender: str, receiver: str, message: object) -> list[float]:
            if (
                sender == deployment.leader
                and receiver in RELAYS
                and isinstance(message, messages.RosterUpdate)
                and not message.entries
            ):
                announced.append(message)
            return route(sender, receiver, message)

        world.router = record
        world.run(10.0)
        # Each of the three is told once a second.
        self.assertIn(len(announced), range(27, 34))


ADDRESSES = {'control-4': 'tcp://4', 'control-5': 'tcp://5'}
ENTRIES = {'entry-1': 'tcp://e'}
# Title, when the leader was in contact last, the sender of a roster at 10 s,
# the roster, and the leader that the entry asks from then on.
LEADERS: tuple[tuple[str, float, str, messages.RosterUpdate, str], ...] = (
    (
        'a leader that tells so during a search',
        9.0,
        'control-5',
        messages.RosterUpdate(ADDRESSES, {}, 'control-5'),
        'control-5',
    ),
    (
        'an outdated roster while another leader answers',
        9.9,
        'control-5',
        messages.RosterUpdate(ADDRESSES, {}, 'control-5'),
        'control-1',
    ),
    (
        'a leader that another process names',
        9.0,
        'relay-1',
        messages.RosterUpdate(ADDRESSES, ENTRIES, 'control-5'),
        'control-1',
    ),
    (
        'a leader without an address',
        9.0,
        'control-6',
        messages.RosterUpdate(ADDRESSES, {}, 'control-6'),
        'control-1',
    ),
)
# Title, a roster after one that names control-4 and control-5, and the
# replicas that the entry knows then.  Its settings have changed to relay-2.
KNOWN: tuple[tuple[str, messages.RosterUpdate, set[str]], ...] = (
    (
        'a relay that has just started knows nothing',
        messages.RosterUpdate({}, {}),
        {*ADDRESSES, 'control-1', 'relay-2'},
    ),
    (
        'a member that left',
        messages.RosterUpdate({'control-4': 'tcp://4'}, ENTRIES),
        {'control-4', 'control-1', 'relay-2'},
    ),
)


@ddt.ddt
class EntryRosterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.session = session.Session(
            session.SessionOptions(ENTRY, 'tcp://e', 1, ('control-1',))
        )

    @ddt.data(*LEADERS)
    @ddt.unpack
    def test_entry_turns_to_a_leader(
        self,
        _: str,
        contact_s: float,
        peer: str,
        roster: messages.RosterUpdate,
        leader: str,
    ) -> None:
        """Guards against a search that ends at a deposed leader."""
        self.session.tick(contact_s)
        sent_ms = int(contact_s * 1000)
        lease = messages.EntryLease(sent_ms, 1000, 0, 0, 1)
        self.session.handle_lease('control-1', lease, contact_s)
        result = self.session.handle_roster(roster, 10.0, peer)
        asked = [
            each.peer for each in result if isinstance(each, effects.Send)
        ]
        self.assertEqual(self.session.leader, leader)
        self.assertEqual(asked, [leader] if leader == peer else [])

    @ddt.data(*KNOWN)
    @ddt.unpack
    def test_entry_keeps_the_replicas_that_it_knows(
        self, _: str, roster: messages.RosterUpdate, names: set[str]
    ) -> None:
        """Guards against an entry that forgets all replicas or new seeds."""
        full = messages.RosterUpdate(ADDRESSES, ENTRIES)
        self.session.handle_roster(full, 1.0, 'control-4')
        self.session.add_replicas(('relay-2',))
        self.session.handle_roster(roster, 2.0, 'relay-1')
        self.assertEqual(set(self.session.replicas), names)
        self.assertEqual(self.session.roster.entries, ENTRIES)


# Title, the names of the settings that have changed last, and the peers to
# which no connection is kept once control-2 is no member any more.
LEAVERS: tuple[tuple[str, tuple[str, ...], set[str]], ...] = (
    ('a former member', ('control-1', 'control-3'), {'control-2'}),
    ('one that the settings list', ('control-1', 'control-2'), set()),
)


@ddt.ddt
class MemberAddressTest(unittest.TestCase):
    @ddt.data(*LEAVERS)
    @ddt.unpack
    def test_connection_to_a_former_member_is_not_kept(
        self, _: str, listed: tuple[str, ...], disconnected: set[str]
    ) -> None:
        """Guards against a connection for each member that ever left."""
        world = virtual.World(1)
        world.add_control(worlds.CONTROLS, voters=3)
        world.run(2.0)
        core = world.nodes['control-1'].core
        world.reseed('control-1', listed)
        members = core.replica.members
        remaining = commands.SetMembers(
            {n: d for n, d in members.voters.items() if n != 'control-2'},
            {},
            {n: a for n, a in members.addresses.items() if n != 'control-2'},
        )
        index = core.replica.log.last_index + 1
        core.replica.membership.apply_entries(
            [messages.LogEntry(index, 1, codec.pack(remaining))]
        )
        inputs = decisioninputs.DecisionInputs(world.now_s, 0, 0.5)
        result = core.handle(control.Synced(0), inputs)
        closed = {
            each.peer
            for each in result
            if isinstance(each, effects.Disconnect)
        }
        self.assertEqual(closed, disconnected)


if __name__ == '__main__':
    unittest.main()
