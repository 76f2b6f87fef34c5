"""Clients outside the limits, against real processes of the platform.

Checked is what doesn't depend on the speed of the machine: the process lives,
its memory and its descriptors stay under a bound, and it answers an ordinary
request while the crowd stays connected.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import gzip
import json
import os
import pathlib
import resource
import sys
import tempfile
from typing import Any
import unittest

import aiohttp
import ddt

from eelgrassworks.platform import earlylistener
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import wire
from tests import deployment
from tests import platformstandins as standins

MIB = 1024 * 1024
# Clients of a crowd, and the bytes that all of them may send in bodies of the
# largest size: larger bodies come from fewer clients.
CROWD = 200
CROWD_BYTES = 160 * MIB
# Growth of resident memory above that of the idle process, at its peak.  An
# agent uses 50 MB of its 168 MB at rest.
MEMORY_BOUND_BYTES = 64 * MIB
# Descriptors of a process are limited to the first figure, in place of 4,096;
# the second is the bound on those that are open.
DESCRIPTORS = 128
DESCRIPTORS_BOUND = 100
# The crowd sends for so long at most; then it stays connected without sending.
SEND_TIMEOUT_S = 4.0
ANSWER_TIMEOUT_S = 30.0
PIECE_BYTES = 8192
HEAD_FIELDS = 120
HEAD_FIELD_BYTES = 8000
ENDLESS_BYTES = 4 * MIB
EMPTY_LINES_BYTES = MIB // 4
LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNKS = 20_000


@dataclasses.dataclass(frozen=True)
class Place:
    """A listener: its role, its address, a request and its body limit."""

    role: str
    port: str
    method: str
    path: str
    body_bytes: int
    has_disk: bool = True


PLACES: dict[str, Place] = {
    'callers': Place(
        'entry', 'front', 'POST', '/reads/5c0e7a21d94b36f8', 262_144
    ),
    'product callers': Place('entry', 'http', 'POST', '/v1/jobs', 8 * MIB),
    'readiness': Place('entry', 'ready', 'GET', '/api/ready', 262_144),
    'operators': Place(
        'control', 'control', 'POST', '/api/config/replace', 4 * MIB
    ),
    'admin': Place('agent', 'http', 'GET', '/live', MIB),
    'reports': Place(
        'agent', 'control', 'POST', '/api/instances/i-1/heartbeat', MIB
    ),
    'relay': Place(
        'control', 'control', 'POST', '/api/config/replace', 4 * MIB, False
    ),
    'redirector': Place(
        'control', 'control', 'POST', '/api/config/replace', 4 * MIB, False
    ),
}


def make_head(place: Place, fields: str) -> bytes:
    """Return the head of a request, without the empty line that ends it."""
    return (
        f'{place.method} {place.path} HTTP/1.1\r\nHost: {standins.HOST}\r\n'
        f'Content-Type: application/json\r\nTeam: inspectors\r\n{fields}'
    ).encode()


def make_field(number: int) -> bytes:
    """Return a header field of nearly the size that the library takes."""
    return f'X-{number}: '.encode() + b'x' * HEAD_FIELD_BYTES + b'\r\n'


def make_body(place: Place) -> bytes:
    """Return a valid job of the size of the limit."""
    job = standins.make_job()
    room = place.body_bytes - len(json.dumps({**job, 'spec': ''}))
    return json.dumps({**job, 'spec': 'x' * room}).encode()


def send_large_head(place: Place) -> Iterator[bytes]:
    """A head over the limit, and a body that does not come."""
    fields = b''.join(map(make_field, range(HEAD_FIELDS)))
    yield make_head(place, 'Content-Length: 9\r\n') + fields + b'\r\n'


def send_endless_head(place: Place) -> Iterator[bytes]:
    """A head whose fields do not end."""
    yield make_head(place, '')
    for number in range(ENDLESS_BYTES // HEAD_FIELD_BYTES):
        yield make_field(number)


def send_empty_lines(_: Place) -> Iterator[bytes]:
    """Empty lines before a request that does not come."""
    for _ in range(EMPTY_LINES_BYTES // PIECE_BYTES):
        yield b'\r\n' * (PIECE_BYTES // 2)


def send_whole_body(place: Place) -> Iterator[bytes]:
    """A body of legal size, at once."""
    head = make_head(place, f'Content-Length: {place.body_bytes}\r\n\r\n')
    yield head + make_body(place)


def send_pieces(place: Place) -> Iterator[bytes]:
    """A body of legal size in pieces that stops just short of its end."""
    yield make_head(place, f'Content-Length: {place.body_bytes}\r\n\r\n')
    body = make_body(place)[:-1]
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]


def send_large_chunks(place: Place) -> Iterator[bytes]:
    """Large chunks that stop just short of the body's end."""
    yield make_head(place, 'Transfer-Encoding: chunked\r\n\r\n')
    body = make_body(place)
    for start in range(0, len(body), LARGE_CHUNK_BYTES):
        chunk = body[start : start + LARGE_CHUNK_BYTES]
        yield f'{len(chunk):x}\r\n'.encode() + chunk + b'\r\n'


def send_small_chunks(place: Place) -> Iterator[bytes]:
    """Chunks of one byte each that stop just short of the body's end."""
    yield make_head(place, 'Transfer-Encoding: chunked\r\n\r\n')
    for _ in range(0, SMALL_CHUNKS, 1000):
        yield b'1\r\nx\r\n' * 1000


def send_pipelined(place: Place) -> Iterator[bytes]:
    """Requests of legal size behind one whose response is still due."""
    size = min(place.body_bytes, 200_000)
    head = make_head(place, f'Content-Length: {size}\r\n\r\n')
    for _ in range(20):
        yield head + b' ' * size


def send_compressed(place: Place) -> Iterator[bytes]:
    """A compressed body that is a hundred times as large when it is read."""
    body = gzip.compress(b' ' * place.body_bytes)[:-1]
    fields = f'Content-Encoding: gzip\r\nContent-Length: {len(body) + 1}\r\n'
    yield make_head(place, f'{fields}\r\n') + body


ATTACKS: dict[str, Any] = {
    'heads over the limit': send_large_head,
    'heads without end': send_endless_head,
    'empty lines without end': send_empty_lines,
    'whole bodies': send_whole_body,
    'bodies piece by piece': send_pieces,
    'large chunks': send_large_chunks,
    'small chunks': send_small_chunks,
    'pipelined requests': send_pipelined,
    'compressed bodies': send_compressed,
}
LARGE_BODIES = frozenset(
    {'whole bodies', 'bodies piece by piece', 'large chunks'}
)
# The listeners whose handlers read large bodies.
COMPRESSED_PLACES = ('callers', 'product callers', 'operators')
# Rows: the listener and what its clients send.
ROWS = tuple(
    (name, attack)
    for name in PLACES
    for attack in ATTACKS
    if attack != 'compressed bodies' or name in COMPRESSED_PLACES
)


class Node:
    """The processes of one machine, whose files and ports the test owns."""

    def __init__(self, place: Place) -> None:
        self.place = place
        self.processes: list[asyncio.subprocess.Process] = []
        self._folder = tempfile.TemporaryDirectory()
        root = pathlib.Path(self._folder.name)
        self._path = root / 'node.json'
        self._log = (root / 'log').open('wb')
        ports = standins.find_port_block()
        self.fields = standins.make_node_fields(
            'n', str(root / 'disk'), '127.0.0.1', ports
        )
        self.link_port = ports[3] + wire.CONTROL_PORT
        offsets = {
            'entry': wire.ENTRY_PORT,
            'control': wire.CONTROL_PORT,
            'agent': wire.AGENT_PORT,
        }
        http_port = ports[3] + nodefile.HTTP_OFFSET + offsets[place.role]
        self.addresses = {
            **self.fields['listen'],
            'http': f'127.0.0.1:{http_port}',
        }
        if not place.has_disk:
            self.fields['dataDir'] = None
        self._path.write_text(json.dumps(self.fields))

    @property
    def address(self) -> tuple[str, int]:
        """The address of the listener."""
        host, _, port = self.addresses[self.place.port].rpartition(':')
        return host, int(port)

    async def start(self, role: str, descriptors: int = 4096) -> None:
        """Start the process of a role."""

        def limit() -> None:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (descriptors, descriptors)
            )

        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'eelgrassworks.platform',
            role,
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, earlylistener.PATH_VARIABLE: str(self._path)},
            preexec_fn=limit,
        )
        self.processes.append(process)

    async def stop(self) -> None:
        """End the processes that were started here."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self._log.close()
        self._folder.cleanup()

    async def is_answered(self) -> bool:
        """Return whether the listener answers an ordinary request."""
        body = b'{}' if self.place.method == 'POST' else b''
        await standins.fetch(
            self.place.method,
            self.addresses[self.place.port],
            self.place.path,
            data=body,
            timeout=aiohttp.ClientTimeout(ANSWER_TIMEOUT_S),
        )
        return True

    def read_status(self, key: str) -> int:
        """Return a figure of the last process, in bytes."""
        text = pathlib.Path(f'/proc/{self.processes[-1].pid}/status')
        for line in text.read_text().splitlines():
            if line.startswith(f'{key}:'):
                return int(line.split()[1]) * 1024
        raise AssertionError(f'no {key}')

    def count_descriptors(self) -> int:
        """Return the number of open descriptors of the last process."""
        return len(os.listdir(f'/proc/{self.processes[-1].pid}/fd'))


async def run_client(
    node: Node, pieces: Iterator[bytes], writers: list[asyncio.StreamWriter]
) -> None:
    """Connect and send; the connection stays open."""
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(*node.address)
        writers.append(writer)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()


async def send_crowd(
    node: Node, attack: str, count: int, writers: list[asyncio.StreamWriter]
) -> None:
    """Let all clients send at once, for a bounded time."""
    clients = [
        asyncio.create_task(
            run_client(node, ATTACKS[attack](node.place), writers)
        )
        for _ in range(count)
    ]
    _, pending = await asyncio.wait(clients, timeout=SEND_TIMEOUT_S)
    for client in pending:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


async def start_node(name: str, descriptors: int = 4096) -> Node:
    """Start the processes that serve a listener."""
    place = PLACES[name]
    node = Node(place)
    if place.role == 'entry':
        await node.start('control')
        manifest = standins.make_manifest(1)

        async def configure() -> bool:
            status, _ = await standins.fetch(
                'POST',
                node.addresses['control'],
                '/api/config/replace',
                data=json.dumps(manifest).encode(),
            )
            return status == 200

        await deployment.wait_until(configure)
    await node.start(place.role, descriptors)
    await deployment.wait_until(node.is_answered)
    if name == 'relay':
        _, writer = await asyncio.open_connection('127.0.0.1', node.link_port)
        writer.close()
        await asyncio.sleep(0.2)
        await deployment.wait_until(node.is_answered)
    return node


@ddt.ddt
class HostileClientsTest(unittest.IsolatedAsyncioTestCase):
    """One listener and one crowd."""

    async def asyncSetUp(self) -> None:
        # The debug mode of the test's loop costs more than the crowd.
        asyncio.get_running_loop().set_debug(False)

    async def check(self, node: Node, memory: int) -> None:
        """Check the process while the crowd is connected."""
        process = node.processes[-1]
        self.assertTrue(await node.is_answered())
        self.assertIsNone(process.returncode)
        growth = node.read_status('VmHWM') - memory
        if os.environ.get('EELGRASSWORKS_TEST_FIGURES'):
            print(
                f'{self.id().rpartition(".")[2]}: {growth // MIB} MiB, '
                f'{node.count_descriptors()} descriptors',
                file=sys.stderr,
            )
        self.assertLess(growth, MEMORY_BOUND_BYTES)

    def disconnect(self, writers: list[asyncio.StreamWriter]) -> None:
        """Close the crowd's connections."""
        for writer in writers:
            writer.transport.abort()

    # Guards against a process that ends because clients fill its memory.
    @ddt.idata(ROWS)
    @ddt.unpack
    async def test_memory_is_bounded(self, name: str, attack: str) -> None:
        node = await start_node(name)
        self.addAsyncCleanup(node.stop)
        memory = node.read_status('VmRSS')
        writers: list[asyncio.StreamWriter] = []
        self.addCleanup(self.disconnect, writers)
        count = CROWD
        if attack in LARGE_BODIES:
            count = min(CROWD, CROWD_BYTES // node.place.body_bytes)
        await send_crowd(node, attack, count, writers)
        await self.check(node, memory)

    # Guards against a process that clients leave without descriptors.
    @ddt.idata(PLACES)
    async def test_descriptors_are_bounded(self, name: str) -> None:
        node = await start_node(name, DESCRIPTORS)
        self.addAsyncCleanup(node.stop)
        memory = node.read_status('VmRSS')
        writers: list[asyncio.StreamWriter] = []
        self.addCleanup(self.disconnect, writers)
        await send_crowd(node, 'empty lines without end', CROWD, writers)
        await self.check(node, memory)
        self.assertLess(node.count_descriptors(), DESCRIPTORS_BOUND)

    async def test_early_listener(self) -> None:
        """Guards against a crowd that comes before the agent has started."""
        node = Node(PLACES['reports'])
        self.addAsyncCleanup(node.stop)
        await node.start('agent', DESCRIPTORS)

        async def connects() -> bool:
            _, writer = await asyncio.open_connection(*node.address)
            writer.close()
            return True

        async def is_connected() -> bool:
            with contextlib.suppress(OSError):
                return await connects()
            return False

        await deployment.wait_until(is_connected)
        writers: list[asyncio.StreamWriter] = []
        self.addCleanup(self.disconnect, writers)
        await send_crowd(node, 'bodies piece by piece', CROWD, writers)
        await deployment.wait_until(node.is_answered, ANSWER_TIMEOUT_S)
        await self.check(node, 50 * MIB)
        self.assertLess(node.count_descriptors(), DESCRIPTORS_BOUND)


if __name__ == '__main__':
    unittest.main()
