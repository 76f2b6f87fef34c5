"""Directs operators to the leader while nothing else needs the relay.

A control process without a data folder is a relay.  Most relays are contacted
by operators alone.  The redirector, which loads few libraries, answers them
until another process connects.  It finds the leader by asking the seeds.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import os
import pathlib
import resource
import signal
import time
from typing import Final

import msgspec

from eelgrassworks import intake
from eelgrassworks import logs
from eelgrassworks.platform import earlylistener
from eelgrassworks.platform import wire

READ_PATH: Final = '/api/config/read'
# A request with this header is a probe; a response with it comes from a
# redirector.  Redirectors that ask each other would not end.
PROBE_HEADER: Final = 'x-eelgrassworks-probe'
MAX_HEAD_BYTES: Final = 16 * 1024
# A connection buffers up to 288 KiB; a redirector uses 24 MB at rest.
MAX_CONNECTIONS: Final = 128
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
BODY_CHUNK_BYTES: Final = 64 * 1024
REQUEST_TIMEOUT_S: Final = 10.0
# All seeds are asked at once; operators wait for one second.
PROBE_TIMEOUT_S: Final = 0.4
LEADER_MAX_AGE_S: Final = 1.5
RETRY_AFTER_S: Final = 1

_DECODER: Final = msgspec.json.Decoder(wire.NodeFile)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """First line and fields, with names in lower case, of an HTTP message."""

    start: tuple[str, ...]
    fields: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Leads:
    """The replica at this address leads, as a replica has confirmed."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class MayLead:
    """The replica at this address names no leader; it may lead itself."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Redirects:
    """A redirector answered, which knows no more than this one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unresponsive:
    """Nothing answered in time, or something that is not understood."""


Answer = Leads | MayLead | Redirects | Unresponsive


def read_settings() -> wire.NodeFile | None:
    """Return the settings; None if the file cannot be read."""
    path = os.environ.get(earlylistener.PATH_VARIABLE, '')
    try:
        return wire.decode(_DECODER, pathlib.Path(path).read_bytes())
    except (OSError, wire.BodyInvalid):
        return None


def parse_head(data: bytes) -> Head | None:
    """Return the head of a message; None if it is not valid."""
    try:
        lines = data.decode('latin-1').removesuffix('\r\n\r\n').split('\r\n')
        start = tuple(lines[0].split(' ', 2))
        pairs = [line.split(':', 1) for line in lines[1:]]
        fields = {name.lower(): value.strip() for name, value in pairs}
    except ValueError:
        return None
    return Head(start, fields) if len(start) == 3 else None


def read_answer(address: str, head: Head | None) -> Answer:
    """Return what the response of a seed to a probe says."""
    if head is None:
        return Unresponsive()
    if PROBE_HEADER in head.fields:
        return Redirects()
    if head.start[1] == '200':
        return Leads(address)
    location = head.fields.get('location', '')
    if head.start[1] == '307' and location.endswith(READ_PATH):
        named = location.removesuffix(READ_PATH).removeprefix('http://')
        return Leads(named)
    return MayLead(address)


def choose_address(answers: list[Answer]) -> str:
    """Return the address to which operators are directed, if any."""
    candidate = ''
    for answer in answers:
        match answer:
            case Leads(address):
                return address
            case MayLead(address):
                candidate = candidate or address
            case Redirects() | Unresponsive():
                continue
    return candidate


async def probe(seed: str) -> Answer:
    """Ask the control process at a seed who leads."""
    host, _, port = seed.rpartition(':')
    request = (
        f'HEAD {READ_PATH} HTTP/1.1\r\nHost: {seed}\r\n'
        f'{PROBE_HEADER}: 1\r\nConnection: close\r\n\r\n'
    )
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                writer.write(request.encode())
                head = parse_head(await reader.readuntil(b'\r\n\r\n'))
    except (
        OSError,
        ValueError,
        OverflowError,
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
    ):
        return Unresponsive()
    return read_answer(seed, head)


class Redirector:
    """The listeners of a relay that is not needed yet."""

    def __init__(self, node: wire.NodeFile) -> None:
        # Set once the relay is needed, or the process has to end.
        self.ended = asyncio.Event()
        self.needs_relay = False
        self._node = node
        self._leader = ''
        self._leader_read_s = float('-inf')
        self._servers: list[asyncio.Server] = []
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._intake = intake.Intake(
            intake.Limits(
                connections=min(
                    MAX_CONNECTIONS, intake.limit_connections(descriptors)
                )
            )
        )
        self._numbers = itertools.count()
        self._writers: dict[int, asyncio.StreamWriter] = {}
        # Requests that have been read and are being answered.
        self._answering: set[asyncio.Task[None] | None] = set()

    async def open(self) -> None:
        """Start the listeners.

        Raises OSError if an address cannot be used.
        """
        host, _, port = str(self._node.listen.control).rpartition(':')
        operators = await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_HEAD_BYTES
        )
        self._servers.append(operators)
        link_port = self._node.port_range[0] + wire.CONTROL_PORT
        self._servers.append(
            await asyncio.start_server(
                self._accept_peer, self._node.ip, link_port
            )
        )

    async def close(self) -> None:
        """Stop the listeners and finish the requests that have been read."""
        for server in self._servers:
            server.close()
        pending = [each for each in self._answering if each is not None]
        if pending:
            await asyncio.wait(pending, timeout=PROBE_TIMEOUT_S)

    def request_relay(self, reason: str) -> None:
        """End the redirector, so that the relay starts."""
        if not self.ended.is_set():
            logs.log('relay_needed', reason=reason)
        self.needs_relay = True
        self.ended.set()

    async def _accept_peer(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.close()
        self.request_relay('another process connected')

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the one request of a connection, if there is room for it."""
        number = next(self._numbers)
        self._writers[number] = writer
        with contextlib.closing(writer), contextlib.suppress(OSError):
            try:
                closings = self._intake.open(number, time.monotonic())
                for closing in closings:
                    self._writers[closing.number].transport.abort()
                if any(closing.number == number for closing in closings):
                    return
                await self._serve_request(number, reader, writer)
            finally:
                self._intake.close(number)
                del self._writers[number]

    async def _serve_request(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                async with asyncio.timeout(intake.HEAD_TIMEOUT_S):
                    head = parse_head(await reader.readuntil(b'\r\n\r\n'))
                # The body is thrown away as it comes, so it costs nothing.
                self._intake.read_body(number, 0, time.monotonic())
                is_whole = await _skip_body(
                    reader,
                    head,
                    lambda: self._intake.read_body(
                        number, 0, time.monotonic()
                    ),
                )
        except (
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            return
        self._intake.read_all(number, 0, time.monotonic())
        task = asyncio.current_task()
        self._answering.add(task)
        try:
            writer.write(await self._answer(head if is_whole else None))
            await writer.drain()
        finally:
            self._answering.discard(task)

    async def _answer(self, head: Head | None) -> bytes:
        """Return the response to a request; None stands for an invalid one."""
        if head is None:
            return _make_response('400 Bad Request', '')
        if PROBE_HEADER in head.fields:
            header = f'{PROBE_HEADER}: 1\r\n'
            return _make_response('503 Service Unavailable', header)
        return await self._redirect(head.start[1])

    async def _redirect(self, path: str) -> bytes:
        address = await self._find_leader()
        logs.log('redirected', path=path, address=address)
        if not address or not path.startswith('/'):
            header = f'Retry-After: {RETRY_AFTER_S}\r\n'
            return _make_response('503 Service Unavailable', header)
        return _make_response(
            '307 Temporary Redirect', f'Location: http://{address}{path}\r\n'
        )

    async def _find_leader(self) -> str:
        """Return the address of the leader, or of a replica that may lead."""
        now_s = time.monotonic()
        if now_s - self._leader_read_s < LEADER_MAX_AGE_S:
            return self._leader
        self._node = read_settings() or self._node
        seeds = [
            seed
            for seed in self._node.seeds
            if isinstance(seed, str) and seed != self._node.listen.control
        ]
        answers = await asyncio.gather(*(probe(seed) for seed in seeds))
        if not any(isinstance(each, Leads | MayLead) for each in answers):
            if Redirects() in answers:
                # Relays find the replicas through each other.
                self.request_relay('no seed is a replica')
            return ''
        address = choose_address(answers)
        if Leads(address) in answers:
            self._leader, self._leader_read_s = address, now_s
        return address


async def _skip_body(
    reader: asyncio.StreamReader,
    head: Head | None,
    record_progress: Callable[[], object],
) -> bool:
    """Read the body of a request; tell whether its length is known.

    Unread bytes would reset the connection before the response is read.
    """
    if head is None or 'transfer-encoding' in head.fields:
        return False
    length = head.fields.get('content-length', '0')
    if not (length.isascii() and length.isdecimal()):
        return False
    left = int(length)
    if left > MAX_BODY_BYTES:
        return False
    while left:
        chunk = await reader.read(min(left, BODY_CHUNK_BYTES))
        if not chunk:
            return False
        left -= len(chunk)
        record_progress()
    return True


def _make_response(status: str, header: str) -> bytes:
    return (
        f'HTTP/1.1 {status}\r\n{header}Content-Length: 0\r\n'
        'Connection: close\r\n\r\n'
    ).encode('latin-1')


async def run_until_needed(node: wire.NodeFile) -> bool:
    """Redirect operators; return whether the relay is needed, not the end."""
    redirector = Redirector(node)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, redirector.ended.set)
    # The settings are read at each search for the leader.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    try:
        await redirector.open()
        logs.log('redirector_started', seeds=','.join(map(str, node.seeds)))
        await redirector.ended.wait()
    except OSError as error:
        redirector.request_relay(str(error))
    finally:
        await redirector.close()
    return redirector.needs_relay


def run(node: wire.NodeFile) -> bool:
    """Run the redirector; return whether the relay is needed afterwards."""
    return asyncio.run(run_until_needed(node))
