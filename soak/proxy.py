"""Proxy of one link: forwards, delays, holds, drops or resets what is sent.

A held connection behaves like TCP across a network that passes nothing: what
the sender has written, and the end of its connection, arrive afterwards and in
order, when the sender's retransmission timer next expires.
"""

import asyncio
import dataclasses
import enum
import socket
import struct
import time
from typing import Final

CHUNK_BYTES: Final = 65536
# Closing a socket with this option resets the connection.
LINGER_RESET: Final = struct.pack('ii', 1, 0)
# The timer of TCP starts at this value and doubles with each expiry.
RETRANSMISSION_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a process or a proxy listens."""

    host: str
    port: int


class Direction(enum.Enum):
    """Where the data of a connection goes, seen from who opened it."""

    FORTH = 'forth'
    BACK = 'back'


@dataclasses.dataclass(eq=False, slots=True)
class ProxiedConnection:
    """One connection through the proxy; a silent one carries no data."""

    writer: asyncio.StreamWriter
    silent: bool = False
    # The end of the latest hold of each direction.
    held_until_s: dict[Direction, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(Direction, float('-inf'))
    )


class LinkProxy:
    """Listens in place of a process for one of its peers."""

    def __init__(self, listen: Address, target: Address) -> None:
        self.delay_s = 0.0
        self.accepted = 0
        self._listen = listen
        self._target = target
        self._cut_until_s = float('-inf')
        self._server: asyncio.Server | None = None
        self._connections: set[ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._accept, self._listen.host, self._listen.port
        )

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # The transports close in the next iteration of the loop.
        await asyncio.sleep(0)

    def silence(self) -> None:
        """Let the open connections carry no data from now on."""
        for connection in self._connections:
            connection.silent = True

    def hold(
        self,
        duration_s: float,
        directions: tuple[Direction, ...] = tuple(Direction),
    ) -> None:
        """Hold what the open connections carry; new ones work."""
        until_s = time.monotonic() + duration_s
        for connection in self._connections:
            held_until_s = connection.held_until_s
            for each in directions:
                held_until_s[each] = max(held_until_s[each], until_s)

    def cut(self, duration_s: float) -> None:
        """Hold what all connections carry; new ones open afterwards."""
        self._cut_until_s = max(
            self._cut_until_s, time.monotonic() + duration_s
        )

    def reset(self) -> None:
        """Reset the open connections."""
        for connection in self._connections:
            reset_socket(connection.writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._track(asyncio.current_task())
        self.accepted += 1
        connection = ProxiedConnection(writer)
        try:
            await self._await_passage(connection, Direction.FORTH)
            peer_reader, peer_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        self._connections.add(connection)
        for source, sink, direction in (
            (reader, peer_writer, Direction.FORTH),
            (peer_reader, writer, Direction.BACK),
        ):
            self._track(
                asyncio.create_task(
                    self._forward(source, sink, connection, direction)
                )
            )

    def _track(self, task: asyncio.Task[None] | None) -> None:
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        connection: ProxiedConnection,
        direction: Direction,
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                await self._await_passage(connection, direction)
                await asyncio.sleep(self.delay_s)
                if connection.silent:
                    continue
                sink.write(data)
                await sink.drain()
            await self._await_passage(connection, direction)
        except ConnectionError:
            pass
        finally:
            self._connections.discard(connection)
            sink.close()

    async def _await_passage(
        self, connection: ProxiedConnection, direction: Direction
    ) -> None:
        """Wait until the network carries what a connection has to send."""
        while True:
            now_s = time.monotonic()
            held_until_s = connection.held_until_s[direction]
            until_s = max(held_until_s, self._cut_until_s)
            if now_s >= until_s:
                return
            await asyncio.sleep(find_retransmission(until_s - now_s))


def reset_socket(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, unless its peer has."""
    raw = writer.get_extra_info('socket')
    if raw.fileno() == -1:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def find_retransmission(held_s: float) -> float:
    """Return the first expiry of the timer after a hold, since its start."""
    interval_s = RETRANSMISSION_S
    expiry_s = interval_s
    while expiry_s < held_s:
        interval_s *= 2
        expiry_s += interval_s
    return expiry_s
