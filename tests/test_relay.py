"""A relay: a control process on a machine without a disk."""

import asyncio
import tempfile
from typing import Any
import unittest

import ddt
import msgspec

from eelgrassworks import control
from eelgrassworks import effects
from eelgrassworks import relay
from eelgrassworks import relayprocess
from eelgrassworks.links import messages
from eelgrassworks.platform import roles
from eelgrassworks.platform import wire
from tests import platformstandins as standins

ROSTER = messages.RosterUpdate(
    {'a': 'tcp://a', 'b': 'tcp://b', 'c': 'tcp://c'}, {}, 'b'
)
NO_LEADER = messages.RosterUpdate({'a': 'tcp://a'}, {})
ROSTER_WITH_ENTRIES = messages.RosterUpdate(
    ROSTER.replicas, {'e': 'tcp://e'}, ROSTER.leader
)
ROSTER_OF_RELAY = messages.RosterUpdate({'d': 'tcp://d'}, {'e': 'tcp://e'})
ROSTER_BEFORE = messages.RosterUpdate(
    {**ROSTER.replicas, 'd': 'tcp://d'}, {}, 'b'
)
ADMISSION = messages.AdmissionRequest('disk-9', 'tcp://9')
RENEWAL = messages.EntryRenewal('entry-1', 'tcp://e', 1, 1, 1)
READ = control.ConfigurationRequested(7)


def receive(message: object) -> control.Received:
    """Return the event of a message."""
    return control.Received('peer', 1, message)


def redirect(leader: str) -> list[object]:
    """Return the response to a request."""
    return [effects.Reply(7, control.NotLeading(leader))]


# Title, events with their time in seconds, and the effects of the last one.
SCRIPTS: tuple[
    tuple[str, tuple[tuple[float, control.ControlEvent], ...], list[object]],
    ...,
] = (
    ('nobody leads yet', ((0.0, READ),), redirect('')),
    (
        'an operator is directed to the leader',
        ((0.0, receive(ROSTER)), (1.0, READ)),
        redirect('b'),
    ),
    (
        'a leader that nobody confirms is not named',
        ((0.0, receive(ROSTER)), (1.6, READ)),
        redirect(''),
    ),
    (
        'a replica that knows no leader changes nothing',
        ((0.0, receive(ROSTER)), (0.5, receive(NO_LEADER)), (1.0, READ)),
        redirect('b'),
    ),
    (
        'replicas are polled often until a leader is known',
        ((0.0, control.Ticked()), (0.2, control.Ticked())),
        [effects.Send('a', messages.RosterRequest())],
    ),
    (
        'then they are polled rarely',
        (
            (0.0, control.Ticked()),
            (0.1, receive(ROSTER)),
            (0.4, control.Ticked()),
        ),
        [],
    ),
    (
        'a member that the settings do not list is polled',
        (
            (0.0, receive(ROSTER)),
            (0.0, control.Ticked()),
            (0.5, control.Ticked()),
        ),
        [effects.Send('c', messages.RosterRequest())],
    ),
    (
        'an entry learns who leads',
        ((0.0, receive(ROSTER)), (0.1, receive(RENEWAL))),
        [
            effects.Send('peer', ROSTER),
            effects.Send('peer', messages.NotLeader('b')),
        ],
    ),
    (
        'an entry gets the replicas without the entries',
        ((0.0, receive(ROSTER_WITH_ENTRIES)), (0.1, receive(RENEWAL))),
        [
            effects.Send('peer', ROSTER),
            effects.Send('peer', messages.NotLeader('b')),
        ],
    ),
    (
        'an entry does not learn of a leader that nobody confirms',
        ((0.0, receive(ROSTER)), (1.6, receive(RENEWAL))),
        [
            effects.Send(
                'peer', messages.RosterUpdate(ROSTER.replicas, {}, '')
            ),
            effects.Send('peer', messages.NotLeader('')),
        ],
    ),
    (
        'a roster for another relay confirms no leader',
        ((0.0, receive(ROSTER)), (0.1, receive(messages.RosterRequest()))),
        [effects.Send('peer', messages.RosterUpdate(ROSTER.replicas, {}, ''))],
    ),
    (
        'a leader without an address is not named',
        (
            (0.0, receive(messages.RosterUpdate({}, {}, 'b'))),
            (0.1, READ),
        ),
        redirect(''),
    ),
    (
        'a roster without a leader teaches addresses',
        ((0.0, receive(ROSTER_OF_RELAY)),),
        [effects.Connect('d', 'tcp://d', persistent=False)],
    ),
    (
        'a replica whose address another relay told is polled',
        (
            (0.0, receive(ROSTER_OF_RELAY)),
            (0.2, control.Ticked()),
            (0.4, control.Ticked()),
        ),
        [effects.Send('d', messages.RosterRequest())],
    ),
    (
        'a roster without a leader replaces no address',
        (
            (0.0, receive(ROSTER)),
            (1.6, receive(messages.RosterUpdate({'a': 'tcp://old'}, {}))),
        ),
        [],
    ),
    (
        'a replica that left is not polled any more',
        (
            (0.0, receive(ROSTER_BEFORE)),
            (0.1, receive(ROSTER)),
            (0.2, control.Ticked()),
            (0.8, control.Ticked()),
            (1.4, control.Ticked()),
        ),
        [effects.Send('a', messages.RosterRequest())],
    ),
    (
        'a seed that is no member is not polled while a leader is known',
        (
            (
                0.0,
                receive(
                    messages.RosterUpdate(
                        {'b': 'tcp://b', 'c': 'tcp://c'}, {}, 'b'
                    )
                ),
            ),
            (0.2, control.Ticked()),
            (0.8, control.Ticked()),
            (1.4, control.Ticked()),
        ),
        [effects.Send('c', messages.RosterRequest())],
    ),
    (
        'a replica that asks for admission learns who leads',
        ((0.0, receive(ROSTER)), (0.1, receive(ADMISSION))),
        [effects.Send('peer', ROSTER)],
    ),
    (
        'a replica that asks for admission learns addresses without a leader',
        ((0.0, receive(ROSTER_OF_RELAY)), (0.1, receive(ADMISSION))),
        [
            effects.Send(
                'peer', messages.RosterUpdate({'d': 'tcp://d'}, {}, '')
            )
        ],
    ),
    (
        'a change of an entry is directed to the leader',
        (
            (0.0, receive(ROSTER)),
            (
                0.1,
                receive(
                    messages.ConfigurationChangeRequest('1', '', 1, ('', b''))
                ),
            ),
        ),
        [effects.Send('peer', messages.NotLeader('b'))],
    ),
    (
        'claims are directed to the leader',
        (
            (0.0, receive(ROSTER)),
            (0.1, receive(messages.ClaimsRequest(1, ()))),
        ),
        [effects.Send('peer', messages.NotLeader('b'))],
    ),
    (
        'lookups are directed to the leader',
        (
            (0.0, receive(ROSTER)),
            (0.1, receive(messages.LookupsRequest(1, ()))),
        ),
        [effects.Send('peer', messages.NotLeader('b'))],
    ),
    (
        'a planned stop has nothing to wait for',
        ((0.0, control.StopRequested()),),
        [effects.Exit()],
    ),
)


@ddt.ddt
class RelayTest(unittest.TestCase):
    @ddt.data(*SCRIPTS)
    @ddt.unpack
    def test_script(
        self,
        _: str,
        script: tuple[tuple[float, control.ControlEvent], ...],
        expected: list[object],
    ) -> None:
        decisions = relay.Relay(relay.RelayOptions('r', ('a', 'b')))
        result: effects.Effects = []
        for at_s, event in script:
            result = decisions.handle(event, at_s)
        self.assertEqual(result, expected)

    def test_relays_that_poll_each_other_give_up_a_lost_leader(self) -> None:
        """Guards against relays that confirm a lost leader to each other."""
        relays = {
            name: relay.Relay(relay.RelayOptions(name, other))
            for name, other in (('r1', ('r2',)), ('r2', ('r1',)))
        }
        relays['r1'].handle(receive(ROSTER), 0.0)
        for step in range(100):
            now_s = step * 0.05
            sent = [
                (name, effect)
                for name, each in relays.items()
                for effect in each.handle(control.Ticked(), now_s)
            ]
            while sent:
                sender, effect = sent.pop(0)
                if isinstance(effect, effects.Send) and effect.peer in relays:
                    event = control.Received(sender, 1, effect.message)
                    result = relays[effect.peer].handle(event, now_s)
                    sent += [(effect.peer, each) for each in result]
        for each in relays.values():
            self.assertEqual(each.find_leader(5.0), '')
            # The replicas are known to both: one of them names the next.
            self.assertEqual(each.roster.replicas, ROSTER.replicas)


class RedirectTest(unittest.IsolatedAsyncioTestCase):
    """A replica and a relay on two loopback addresses."""

    async def test_change_through_a_relay(self) -> None:
        """Guards against a machine without a disk that ends at its start."""
        with tempfile.TemporaryDirectory() as folder:
            ports = standins.find_port_block()
            replica = self._make('127.0.0.1', folder, ports)
            other: dict[str, Any] = {
                **standins.make_node_fields('relay', '', '127.0.0.2', ports),
                'seeds': replica.seeds,
                'dataDir': None,
            }
            node = msgspec.convert(other, type=wire.NodeFile)
            for each in (replica, node):
                daemon = roles.make_control(each)
                await daemon.start()
                self.addAsyncCleanup(daemon.finish)
            self.assertIsInstance(daemon, relayprocess.RelayProcess)
            manifest = standins.make_manifest(1)
            status = 0
            for _ in range(100):
                status, _ = await standins.call(
                    'POST',
                    node.listen.control,
                    '/api/config/replace',
                    json=manifest,
                )
                if status == 200:
                    break
                await asyncio.sleep(0.05)
            self.assertEqual(status, 200)
            read = await standins.call(
                'GET', node.listen.control, '/api/config/read'
            )
            self.assertEqual(read, (200, manifest))

    def _make(self, ip: str, folder: str, ports: list[int]) -> wire.NodeFile:
        fields = standins.make_node_fields('replica', folder, ip, ports)
        return msgspec.convert(fields, type=wire.NodeFile)


if __name__ == '__main__':
    unittest.main()
