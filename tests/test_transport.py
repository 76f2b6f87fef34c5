"""Sockets between processes, and the state of connections."""

import asyncio
import unittest

import ddt

from eelgrassworks import clock
from eelgrassworks import links
from eelgrassworks.links import connection
from eelgrassworks.links import messages
from eelgrassworks.links import transport
from tests import deployment

KEY = b'a key for tests'
BURST = 500


class SocketTest(unittest.IsolatedAsyncioTestCase):
    def open(
        self, name: str, port: int, key: bytes = KEY
    ) -> tuple[transport.SocketTransport, list[links.Frame]]:
        """Start a transport; return it and the frames that it gets."""
        sender = links.Sender(name, 1, f'tcp://127.0.0.1:{port}')
        made = transport.SocketTransport(links.Codec(key), sender)
        received: list[links.Frame] = []
        made.start(received.append)
        self.addCleanup(made.close)
        return made, received

    async def test_burst_arrives_whole(self) -> None:
        """A pair socket dropped the third frame that waited for a peer."""
        ports = deployment.find_ports(2)
        left, _ = self.open('left', ports[0])
        right, received = self.open('right', ports[1])
        left.connect('right', right.sender.address)
        await deployment.wait_until(lambda: self.echoes(left, 'right'))
        for number in range(BURST):
            left.post('right', messages.SlotsWanted(number))
            left.flush()
        await deployment.wait_until(lambda: self.has(received, BURST))
        waiting = [frame.messages[0].waiting for frame in received]
        self.assertEqual(waiting, list(range(BURST)))

    async def echoes(self, link: transport.SocketTransport, peer: str) -> bool:
        """Tell whether a heartbeat of this test came back."""
        state = link._outgoing[peer].state
        opened_s = state.echoed_s
        link.post(peer, messages.Heartbeat(clock.read_now()))
        await asyncio.sleep(0.05)
        return state.echoed_s > opened_s

    async def has(self, received: list[links.Frame], count: int) -> bool:
        """Tell whether enough frames arrived."""
        return len(received) >= count

    async def test_frame_of_stranger_is_dropped_and_counted(self) -> None:
        ports = deployment.find_ports(2)
        stranger, _ = self.open('left', ports[0], b'another key')
        right, received = self.open('right', ports[1])
        stranger.connect('right', right.sender.address)

        async def rejects() -> bool:
            stranger.post('right', messages.SlotsWanted(1))
            await asyncio.sleep(0.05)
            return right.counters['frames_rejected'] > 0

        await deployment.wait_until(rejects)
        self.assertEqual(received, [])
        self.assertEqual(right.describe()['peers'], {})


# Times of echoes, the time now, and whether the connection is silent.
SILENCES = (
    ((), 101.0, False),
    ((), 102.1, True),
    ((101.0,), 102.9, False),
    ((101.0,), 103.1, True),
    ((101.5, 101.0), 103.4, False),
)


@ddt.ddt
class ConnectionTest(unittest.TestCase):
    @ddt.data(*SILENCES)
    @ddt.unpack
    def test_silence(
        self, echoes: tuple[float, ...], now_s: float, silent: bool
    ) -> None:
        state = connection.Connection('peer', 100.0)
        for sent_s in echoes:
            state.note_echo(sent_s)
        self.assertEqual(state.is_silent(now_s), silent)

    def test_heartbeat_is_due_at_once_and_then_at_intervals(self) -> None:
        state = connection.Connection('peer', 100.0)
        self.assertTrue(state.needs_heartbeat(100.0))
        state.note_asked(100.0)
        self.assertFalse(state.needs_heartbeat(100.4))
        self.assertTrue(state.needs_heartbeat(100.5))
