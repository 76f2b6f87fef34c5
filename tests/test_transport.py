"""Socket transport, and liveness of connections."""

import asyncio
import os
import pathlib
import random
import unittest
from unittest import mock

import ddt
import pynng

from eelgrassworks import clock
from eelgrassworks import links
from eelgrassworks.links import codec
from eelgrassworks.links import connection
from eelgrassworks.links import messages
from eelgrassworks.links import transport
from soak import proxy
from soak import reroute
from tests import deployment

KEY = b'a key for tests'
BURST = 500
LARGE_BYTES = 3 * 1024 * 1024
# More than one frame may contain.
LARGE_MESSAGES = 8

# Title, the address that a frame of the peer names, whether a connection to
# 127.0.0.2 was ever confirmed by an echo, and the address that is used once
# it does not respond.
MOVED_PEERS: tuple[tuple[str, str, bool, str], ...] = (
    ('same address', 'tcp://127.0.0.2:9', False, 'tcp://127.0.0.2:9'),
    ('another address', 'tcp://127.0.0.3:9', False, 'tcp://127.0.0.3:9'),
    ('invalid address', 'odd', False, 'tcp://127.0.0.2:9'),
    (
        'an address behind a forwarder',
        'tcp://127.0.0.3:9',
        True,
        'tcp://127.0.0.2:9',
    ),
)

# Shorter than the delays of the slow paths.
SHORT_TIMEOUT_S = 0.5
# Title, and the delay of a path in each direction, in s.
SLOW_PATHS: tuple[tuple[str, float], ...] = (
    ('echoes come late', 0.3),
    ('connections open late', 0.7),
)
# For connections to open, and then for them to stay.
SETTLING_S = 6.0
STAYING_S = 3.0


def count_descriptors() -> int:
    """Return the number of open descriptors of this process."""
    return len(list(pathlib.Path('/proc/self/fd').iterdir()))


@ddt.ddt
class SocketTest(unittest.IsolatedAsyncioTestCase):
    def open(
        self,
        name: str,
        port: int,
        key: bytes = KEY,
        echo_timeout_s: float = connection.ECHO_TIMEOUT_S,
    ) -> tuple[transport.SocketTransport, list[links.Frame]]:
        """Start a transport; return it and the frames that it receives."""
        sender = links.Sender(name, 1, f'tcp://127.0.0.1:{port}')
        opened = transport.SocketTransport(
            links.Codec(key), sender, echo_timeout_s=echo_timeout_s
        )
        received: list[links.Frame] = []
        opened.start(received.append)
        self.addCleanup(opened.close)
        return opened, received

    async def test_burst_arrives_whole(self) -> None:
        """Guards against the loss of frames that are queued for a peer.

        A pair socket dropped the third such frame.
        """
        ports = deployment.find_ports(2)
        left, _ = self.open('left', ports[0])
        right, received = self.open('right', ports[1])
        left.connect('right', right.sender.address)
        await deployment.wait_until(lambda: self.receives_echo(left, 'right'))
        for number in range(BURST):
            left.post('right', messages.SlotsRequest(number))
            left.flush()
        await deployment.wait_until(lambda: self.has_received(received, BURST))
        waiting = [frame.messages[0].waiting for frame in received]
        self.assertEqual(waiting, list(range(BURST)))

    async def test_large_messages_of_one_flush_arrive(self) -> None:
        """Guards against a frame that every receiver rejects as too long."""
        ports = deployment.find_ports(2)
        left, _ = self.open('left', ports[0])
        right, received = self.open('right', ports[1])
        left.connect('right', right.sender.address)
        await deployment.wait_until(lambda: self.receives_echo(left, 'right'))
        data = random.Random(1).randbytes(LARGE_BYTES)
        for number in range(LARGE_MESSAGES):
            chunk = messages.SnapshotChunk(1, 1, 1, number, data, False, 0.0)
            left.post('right', chunk)
        await deployment.wait_until(
            lambda: self.has_received(
                [each for frame in received for each in frame.messages],
                LARGE_MESSAGES,
            )
        )
        offsets = [
            each.offset for frame in received for each in frame.messages
        ]
        self.assertEqual(offsets, list(range(LARGE_MESSAGES)))
        self.assertEqual(right.counters['frames_rejected'], 0)

    async def test_message_that_fits_into_no_frame_is_dropped(self) -> None:
        ports = deployment.find_ports(2)
        left, _ = self.open('left', ports[0])
        data = bytes(codec.MAX_FRAME_BYTES)
        left.post('right', messages.SnapshotChunk(1, 1, 1, 0, data, True, 0.0))
        left.flush()
        self.assertEqual(left.counters['frames_dropped'], 1)
        self.assertEqual(left.counters['messages_sent'], 0)

    async def receives_echo(
        self, link: transport.SocketTransport, peer: str
    ) -> bool:
        """Return whether a heartbeat of this test is echoed."""
        state = link._outgoing[peer].state
        opened_s = state.last_contact_s
        link.post(peer, messages.Heartbeat(clock.read_now()))
        await asyncio.sleep(0.05)
        return state.last_contact_s > opened_s

    async def has_received(
        self, received: list[links.Frame], count: int
    ) -> bool:
        """Return whether at least ``count`` frames have arrived."""
        return len(received) >= count

    async def test_frame_with_other_key_is_dropped_and_counted(self) -> None:
        ports = deployment.find_ports(2)
        other, _ = self.open('left', ports[0], b'another key')
        right, received = self.open('right', ports[1])
        other.connect('right', right.sender.address)

        async def rejects() -> bool:
            other.post('right', messages.SlotsRequest(1))
            await asyncio.sleep(0.05)
            return right.counters['frames_rejected'] > 0

        await deployment.wait_until(rejects)
        self.assertEqual(received, [])
        self.assertEqual(right.describe()['peers'], {})

    async def test_heartbeats_travel_with_messages(self) -> None:
        """Counts frames: they make up most of the cost of a link."""
        ports = deployment.find_ports(2)
        left, _ = self.open('left', ports[0])
        right, received = self.open('right', ports[1])
        left.connect('right', right.sender.address)
        await deployment.wait_until(lambda: self.receives_echo(left, 'right'))
        before = left.counters['frames_sent'] + right.counters['frames_sent']
        for number in range(10):
            # As an agent renews and an entry answers.
            left.post('right', messages.SlotsRequest(number))
            left.tick(clock.read_now())
            await asyncio.sleep(0.1)
            right.post('left', messages.SlotsRequest(number))
            right.tick(clock.read_now())
            await asyncio.sleep(0.1)
        after = left.counters['frames_sent'] + right.counters['frames_sent']
        self.assertLessEqual(after - before, 22)
        state = left._outgoing['right'].state
        self.assertLess(clock.read_now() - state.last_contact_s, 1.0)

    async def test_unused_connection_closes_at_both_ends(self) -> None:
        ports = deployment.find_ports(2)
        left, _ = self.open('left', ports[0])
        right, received = self.open('right', ports[1])
        left.connect('right', right.sender.address, persistent=False)
        self.assertEqual(left.describe()['peers'], {})
        left.post('right', messages.SlotsRequest(1))
        await deployment.wait_until(lambda: self.has_received(received, 1))

        async def is_closed() -> bool:
            for each in (left, right):
                each.tick(clock.read_now())
            await asyncio.sleep(0.05)
            return not left._outgoing and not right._outgoing

        await deployment.wait_until(is_closed)
        # A later message opens it again.
        left.post('right', messages.SlotsRequest(2))
        await deployment.wait_until(lambda: self.has_received(received, 2))

    async def test_peer_that_restarts_at_another_address_is_answered(
        self,
    ) -> None:
        """Guards against responses to the address that a peer had before."""
        ports = deployment.find_ports(3)
        left, heard = self.open('left', ports[0])
        right, received = self.open('right', ports[1])
        left.connect('right', f'tcp://127.0.0.1:{ports[2]}')
        right.connect('left', left.sender.address, persistent=False)

        async def is_answered() -> bool:
            for each in (left, right):
                each.tick(clock.read_now())
            right.post('left', messages.SlotsRequest(1))
            if heard:
                left.post('right', messages.SlotsRequest(2))
            await asyncio.sleep(0.05)
            return bool(received)

        await deployment.wait_until(is_answered)
        peer = left.describe()['peers']
        assert isinstance(peer, dict)
        self.assertEqual(peer['right']['address'], right.sender.address)

    async def open_proxy(self, port: int) -> proxy.LinkProxy:
        """Lead the connections to a port of 127.0.0.1 through a proxy."""
        target = proxy.Address('127.0.0.1', port)
        host = reroute.find_proxy_host(1, target.host)
        opened = proxy.LinkProxy(proxy.Address(host, port), target)
        await opened.open()
        self.addAsyncCleanup(opened.close)
        return opened

    def lead_through_proxies(self) -> None:
        """Lead all connections of this process through proxies."""
        for patch in (
            mock.patch.dict(os.environ, {reroute.NUMBER_VARIABLE: '1'}),
            mock.patch.object(pynng.Push0, 'dial', pynng.Push0.dial),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        reroute.install()

    async def exchange(
        self,
        links_by_peer: dict[str, transport.SocketTransport],
        seconds: float,
    ) -> int:
        """Let each link send to its peer; return the messages of each."""
        end_s = clock.read_now() + seconds
        number = 0
        while clock.read_now() < end_s:
            for peer, link in links_by_peer.items():
                link.post(peer, messages.SlotsRequest(number))
                link.tick(clock.read_now())
            number += 1
            await asyncio.sleep(0.05)
        return number

    # Guards against connections over a slow path that are replaced for ever,
    # so that frames are lost, or none gets through (KNOWN-RED.txt).
    @unittest.expectedFailure
    @ddt.data(*SLOW_PATHS)
    @ddt.unpack
    async def test_slow_path_carries_frames(
        self, _: str, delay_s: float
    ) -> None:
        self.lead_through_proxies()
        ports = deployment.find_ports(2)
        paths = [await self.open_proxy(port) for port in ports]
        for path in paths:
            path.delay_s = delay_s
        left, heard = self.open('left', ports[0], KEY, SHORT_TIMEOUT_S)
        right, received = self.open('right', ports[1], KEY, SHORT_TIMEOUT_S)
        left.connect('right', right.sender.address)
        right.connect('left', left.sender.address)
        ends = {'right': left, 'left': right}
        await self.exchange(ends, SETTLING_S)
        replaced = [
            each.counters['connections_replaced'] for each in ends.values()
        ]
        descriptors = count_descriptors()
        before = len(received), len(heard)
        sent = await self.exchange(ends, STAYING_S)
        await asyncio.sleep(4 * delay_s)
        self.assertGreaterEqual(len(received) - before[0], sent)
        self.assertGreaterEqual(len(heard) - before[1], sent)
        self.assertEqual(
            replaced,
            [each.counters['connections_replaced'] for each in ends.values()],
        )
        self.assertLessEqual(count_descriptors(), descriptors)

    # Guards against descriptors that stay with connections that a halted
    # path has let time out.
    async def test_replaced_connections_free_their_descriptors(self) -> None:
        self.lead_through_proxies()
        ports = deployment.find_ports(2)
        paths = [await self.open_proxy(port) for port in ports]
        left, _ = self.open('left', ports[0], KEY, SHORT_TIMEOUT_S)
        right, received = self.open('right', ports[1], KEY, SHORT_TIMEOUT_S)
        left.connect('right', right.sender.address)
        right.connect('left', left.sender.address)
        ends = {'right': left, 'left': right}
        await self.exchange(ends, 1.0)
        descriptors = count_descriptors()
        for path in paths:
            path.cut(STAYING_S)
        await self.exchange(ends, STAYING_S)
        self.assertGreater(left.counters['connections_replaced'], 1)
        received.clear()
        await self.exchange(ends, SETTLING_S)
        self.assertTrue(received)
        self.assertLessEqual(count_descriptors(), descriptors)

    @ddt.data(*MOVED_PEERS)
    @ddt.unpack
    async def test_connection_that_failed_is_reopened(
        self, _: str, sender_address: str, has_echo: bool, address: str
    ) -> None:
        """Guards against a connection that no address can restore."""
        left, _ = self.open('left', deployment.find_ports(1)[0])
        left.connect('right', 'tcp://127.0.0.2:9')
        sender = links.Sender('right', 1, sender_address)
        received: list[object] = [messages.SlotsRequest(1)]
        if has_echo:
            received.append(messages.HeartbeatEcho(clock.read_now()))
        for data in links.Codec(KEY).encode_frames(sender, received):
            left._receive_frame(data)
        left.tick(clock.read_now() + 60.0)
        peers = left.describe()['peers']
        assert isinstance(peers, dict)
        self.assertEqual(peers['right']['address'], address)


# Sending times of echoed heartbeats, current time, and whether the connection
# is unresponsive.
TIMEOUT_CASES = (
    ((), 101.0, False),
    ((), 102.1, True),
    ((101.0,), 102.9, False),
    ((101.0,), 103.1, True),
    ((101.5, 101.0), 103.4, False),
)


@ddt.ddt
class ConnectionTest(unittest.TestCase):
    @ddt.data(*TIMEOUT_CASES)
    @ddt.unpack
    def test_unresponsive(
        self, echoes: tuple[float, ...], now_s: float, unresponsive: bool
    ) -> None:
        state = connection.Connection('peer', 100.0)
        for sent_s in echoes:
            state.record_echo(sent_s)
        self.assertEqual(state.is_unresponsive(now_s), unresponsive)

    def test_heartbeat_is_due_at_once_and_then_at_intervals(self) -> None:
        state = connection.Connection('peer', 100.0)
        self.assertTrue(state.needs_heartbeat(100.0))
        state.record_heartbeat(100.0)
        self.assertFalse(state.needs_heartbeat(100.4))
        self.assertTrue(state.needs_heartbeat(100.5))
