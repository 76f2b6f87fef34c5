"""Odd addresses of peers: the process runs on, and the others hold."""

import asyncio
import json
import os
import pathlib
import tempfile
from typing import Any
import unittest
from unittest import mock

import ddt

from eelgrassworks import heldagentprocess
from eelgrassworks import links
from eelgrassworks import settings
from eelgrassworks.links import messages
from eelgrassworks.links import transport
from eelgrassworks.platform import earlylistener
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import seeds
from tests import deployment
from tests import platformstandins as standins
from tests import test_heldtarget

KEY = b'a key for tests'
# Addresses that name no peer.
ADDRESSES: tuple[str, ...] = (
    '',
    'x',
    'tcp://',
    'tcp://:1',
    'tcp://127.0.0.1',
    'tcp://127.0.0.1:99999',
    'tcp://127.0.0.1:-1',
    'tcp://127.0.0.1:1e3',
    f'tcp://127.0.0.1:{10**30}',
    'tcp://999.0.0.1:1',
    'tcp://no host:1',
    'tcp://\x00:1',
    'tcp://\ud800:1',
    f'tcp://{"a" * 5000}:1',
    'http://127.0.0.1:1',
)
ENCODABLE = tuple(each for each in ADDRESSES if '\ud800' not in each)


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """Transports on the loopback address."""

    def open(
        self, name: str
    ) -> tuple[transport.SocketTransport, list[links.Frame]]:
        """Start a transport; return it and the frames that it receives."""
        link = self.make_link(name)
        received: list[links.Frame] = []
        link.start(received.append)
        return link, received

    def make_link(self, name: str) -> transport.SocketTransport:
        """Return a transport that is closed at the end of the test."""
        port = deployment.find_ports(1)[0]
        sender = links.Sender(name, 1, f'tcp://127.0.0.1:{port}')
        link = transport.SocketTransport(links.Codec(KEY), sender)
        self.addCleanup(link.close)
        return link

    async def assert_received(
        self, received: list[links.Frame], name: str
    ) -> None:
        """Check that a frame of this sender arrives."""

        async def arrived() -> bool:
            return any(frame.sender.name == name for frame in received)

        await deployment.wait_until(arrived)


@ddt.ddt
class OddAddressTest(LinkCase):
    # An address that cannot be dialled ended the handling of the event.
    @ddt.data(*ADDRESSES)
    async def test_connection_to_an_odd_address(self, address: str) -> None:
        left, _ = self.open('left')
        right, received = self.open('right')
        left.connect('odd', address)
        left.connect('later', address, persistent=False)
        left.connect('right', right.sender.address)
        for peer in ('odd', 'later', 'right'):
            left.post(peer, messages.SlotsRequest(1))
        left.flush()
        await self.assert_received(received, 'left')
        left.tick(10.0**6)
        left.describe()

    # A frame whose sender could not be dialled kept later frames waiting.
    @ddt.data(*ENCODABLE)
    async def test_frame_of_a_sender_with_an_odd_address(
        self, address: str
    ) -> None:
        odd, _ = self.open('odd')
        left, _ = self.open('left')
        right, received = self.open('right')
        odd.sender = links.Sender('odd', 1, address)
        left.sender = links.Sender('left', 1, left.sender.address)
        errors: list[dict[str, Any]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        for link in (odd, left):
            link.connect('right', right.sender.address)
        for _ in range(3):
            odd.post('right', messages.SlotsRequest(1))
            odd.flush()
        left.post('right', messages.SlotsRequest(1))
        left.flush()
        await self.assert_received(received, 'left')

        async def counted() -> bool:
            counters = right.counters
            frames = counters['frames_received'] + counters['frames_rejected']
            return frames >= 4

        await deployment.wait_until(counted)
        self.assertEqual(errors, [])

    # One odd entry in a roster left the agent without entries for good.
    @ddt.data(*ADDRESSES)
    async def test_roster_with_an_odd_entry(self, address: str) -> None:
        agent = heldagentprocess.HeldAgentProcess(
            heldagentprocess.HeldAgentOptions(
                'side-1',
                settings.WorkerModel('worker-1', 'tema-port'),
                {},
                settings.HttpModel('127.0.0.1', 0),
            ),
            self.make_link('side-1'),
            test_heldtarget.ResettingLink(),
        )
        agent.handle_report(test_heldtarget.REPORT)
        good, _ = self.open('entry-2')
        roster = messages.RosterUpdate(
            {'control-1': address},
            {'entry-1': address, 'entry-2': good.sender.address},
        )
        agent.receive(links.Frame(good.sender, (roster,)))
        decisions = agent.agent
        if decisions is None:
            self.fail('no agent')
        self.assertIn('entry-2', decisions.live_entries)
        self.assertIn('entry-2', agent.link.describe()['peers'])


# Seeds that name no replica.
SEEDS: tuple[Any, ...] = (
    '',
    ':1',
    '10.0.0.1',
    '10.0.0.1:99999',
    '10.0.0.1:x',
    f'10.0.0.1:{10**30}',
    f'10.0.0.1:{"1" * 5000}',
    ' :80',
    'a b:80',
    '\x00:80',
    5,
    None,
    10**30,
    ['10.0.0.1:80'],
    1e308,
)
# Contents of a settings file that cannot be read.
UNREADABLE: tuple[bytes, ...] = (
    b'',
    b'[]',
    b'\xff\xfe',
    b'[' * 200_000,
    b'{"bounds": ' + b'{"a":' * 100_000,
    b'{"node": "\xff"}',
)


class RecordingProcess:
    """Records the replicas that changed settings name."""

    def __init__(self) -> None:
        self.replicas: dict[str, str] = {}

    def add_replicas(self, replicas: dict[str, str]) -> None:
        """Record the replicas."""
        self.replicas = replicas


@ddt.ddt
class SettingsFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'local.json'
        variables = {earlylistener.PATH_VARIABLE: str(self.path)}
        self.enterContext(mock.patch.dict(os.environ, variables))
        self.fields: dict[str, Any] = {
            'node': 'side-1',
            'ip': '10.0.0.5',
            'zone': standins.ZONE,
            'region': 'gh-south',
            'zones': {standins.ZONE: 'gh-south'},
            'listen': {'control': '127.0.0.1:99999'},
            'portRange': [7000, 7015],
        }

    def watch(self, content: bytes) -> RecordingProcess:
        """Let a watcher read a file; return what the process was told."""
        self.path.write_bytes(content)
        process: Any = RecordingProcess()
        seeds.SeedWatcher(process, []).reload()
        recorded: RecordingProcess = process
        return recorded

    # One odd seed kept the others from being used.
    @ddt.data(*SEEDS)
    def test_odd_seed_beside_a_valid_one(self, seed: Any) -> None:
        listed = [seed, '10.0.0.2:80']
        content = json.dumps({**self.fields, 'seeds': listed}).encode()
        expected = {'10.0.0.2': f'tcp://10.0.0.2:{7000 + 1}'}
        self.assertEqual(self.watch(content).replicas, expected)
        self.assertEqual(
            nodefile.list_replicas(nodefile.read_node_file()), expected
        )

    # A deeply nested file raised out of the watcher.
    @ddt.data(*UNREADABLE)
    def test_unreadable_file(self, content: bytes) -> None:
        self.assertEqual(self.watch(content).replicas, {})

    # A port out of range ended the process before it could say why.
    @ddt.data(*UNREADABLE, b'{"listen": {"control": "127.0.0.1:99999"}}')
    def test_no_early_listener(self, content: bytes) -> None:
        self.path.write_bytes(content)
        self.assertIsNone(earlylistener.open_listener('agent'))


if __name__ == '__main__':
    unittest.main()
