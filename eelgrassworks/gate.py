"""Applies the decisions of ``intake`` to the connections of HTTP listeners.

A gate stands between the transport of a connection and the protocol of the
HTTP library.  It reads small pieces, tells the intake what they cost, and
passes them on.  The library buffers up to half a mebibyte of each body, even
if no handler reads it, and 128 header fields of 8 KiB each.
"""

import asyncio
from collections.abc import Callable
import functools
import itertools
import resource
from typing import Any
from typing import Final
from typing import Protocol

from aiohttp import web

from eelgrassworks import clock
from eelgrassworks import intake
from eelgrassworks import logs

# Time limits are seconds, so that an expiry may come this much later.
SWEEP_INTERVAL_S: Final = 0.5
LOG_INTERVAL_S: Final = 1.0
# Bytes that a client may send behind a request that is not answered yet.
MAX_AHEAD_BYTES: Final = 16_384
# A handler starts at the second read after the end of a head at the latest.
MAX_UNSTARTED_BYTES: Final = 4 * intake.READ_BYTES
RETRY_AFTER_S: Final = 1
# A body up to this size may stay in memory until the next request of its
# connection; 1,024 connections hold 2 MiB.
MAX_KEPT_BODY_BYTES: Final = 2048
# Responses to requests that no handler has seen and none will see.  The
# library refuses a long header field with 400; whether it or the limit on
# heads comes first depends on the sizes of reads, so both have one status.
STATUS_LINES: Final = {
    intake.Reason.HEAD_TOO_LARGE: '400 Bad Request',
    intake.Reason.HEAD_LATE: '408 Request Timeout',
    intake.Reason.MEMORY: '503 Service Unavailable',
    intake.Reason.CONNECTIONS: '503 Service Unavailable',
}


def detach_body(request: web.Request) -> web.Request:
    """Return the request that a handler gets.

    The library keeps the request, with the body that was read from it, until
    the next one of the connection.  A handler of a larger body gets a copy.
    """
    content = request.content
    if content.is_eof() and content.total_bytes <= MAX_KEPT_BODY_BYTES:
        return request
    return request.clone()


class HttpProtocol(Protocol):
    """The protocol of the HTTP library for one connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection."""

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the client."""

    def eof_received(self) -> bool | None:
        """Handle the end of what the client sends."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the service of the connection."""

    def pause_writing(self) -> None:
        """Stop writing, as the client does not read."""

    def resume_writing(self) -> None:
        """Write again."""

    def close(self) -> None:
        """Close the connection after the request that is handled."""


class Content(Protocol):
    """The body of a request in the library."""

    total_bytes: int

    def is_eof(self) -> bool:
        """Return whether the body has been received whole."""

    def on_eof(self, callback: Callable[[], None]) -> None:
        """Call back when the body has been received whole."""


class Gate(asyncio.BufferedProtocol):
    """One connection of a client."""

    def __init__(
        self, owner: 'Gates', number: int, inner: HttpProtocol
    ) -> None:
        self.inner = inner
        self.number = number
        self._owner = owner
        self._transport: Any = None
        self._scanner = intake.HeadScanner()
        # Set from the end of a head to the end of the request.
        self._has_request = False
        # The body, once a handler has started.
        self._content: Content | None = None
        self._is_chunked = False
        self._is_answered = False
        # Whether a handler has started on this connection.
        self._has_begun = False
        # Bytes that came after the head, and after the whole request.
        self._body_bytes = 0
        self._ahead_bytes = 0
        self.is_closed = False

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the connection on, unless there are too many."""
        self._transport = transport
        self.inner.connection_made(transport)
        self._owner.add(self)

    def get_buffer(self, _: int) -> memoryview:
        """Return the buffer of the process: each read is copied at once."""
        return self._owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Count what was read, and pass it on."""
        if self.is_closed:
            return
        data = bytes(self._owner.buffer[:nbytes])
        if self._count(data):
            self.inner.data_received(data)
            # Most requests come in one read, and are charged by ``begin``.
            if (
                self._has_request
                and not self.is_closed
                and (self._content is not None or self._body_bytes > nbytes)
            ):
                self._charge()

    def eof_received(self) -> bool | None:
        """Pass the end of what the client sends on."""
        return self.inner.eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.is_closed = True
        self._owner.remove(self)
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the client does not read."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the client reads again."""
        self.inner.resume_writing()

    # Requests.

    def begin(self, request: web.BaseRequest) -> None:
        """Record that the handler of a request starts."""
        content = request.content
        self._has_begun = True
        self._has_request = True
        self._is_answered = False
        self._content = content
        self._is_chunked = (
            not content.is_eof() and 'Transfer-Encoding' in request.headers
        )
        self._charge()
        # The library may parse the end of what it has buffered later, without
        # another read of the transport.
        if not content.is_eof():
            content.on_eof(functools.partial(self._note_eof, content))

    def _note_eof(self, content: Content) -> None:
        """Record that a body has been received whole."""
        if content is self._content and not self.is_closed:
            self._charge()

    def finish(self) -> None:
        """Record that the handler of a request has ended."""
        self._is_answered = True
        if self._content is None or self._content.is_eof():
            self._end_request()
        else:
            # The rest of the body is read and thrown away.
            self._owner.read_body(self.number, 0)

    def close(self, reason: intake.Reason) -> None:
        """Close the connection.

        The first request gets a response while its handler has not started.
        A later one gets none, which could be taken for that of an earlier one.
        """
        self.is_closed = True
        is_answered = self._has_begun and not self._has_request
        if not self._has_unsent() and (
            is_answered or reason == intake.Reason.IDLE
        ):
            # Nothing is lost, so that the client sees an orderly end.
            self._transport.close()
            return
        if self._has_begun or reason not in STATUS_LINES:
            self._transport.abort()
            return
        self._transport.write(
            f'HTTP/1.1 {STATUS_LINES[reason]}\r\n'
            f'Retry-After: {RETRY_AFTER_S}\r\nContent-Length: 0\r\n'
            'Connection: close\r\n\r\n'.encode()
        )
        self._transport.close()

    def _has_unsent(self) -> bool:
        """Return whether the client has not read all of a response."""
        size: int = self._transport.get_write_buffer_size()
        return size > 0

    def _end_request(self) -> None:
        """Start with the next request, which may have come already."""
        self._owner.finish(self.number)
        self._scanner = intake.HeadScanner()
        self._has_request = self._ahead_bytes > 0
        self._body_bytes = self._ahead_bytes
        self._ahead_bytes = 0
        self._content = None
        self._is_chunked = False

    def _count(self, data: bytes) -> bool:
        """Count bytes; return whether they are passed on."""
        if self._has_request and self._content is not None:
            return self._count_body(len(data), self._content)
        if self._has_request:
            self._body_bytes += len(data)
            if self._body_bytes > MAX_UNSTARTED_BYTES:
                self._owner.drop(self, intake.Reason.AHEAD)
            return not self.is_closed
        end = self._scanner.find_end(data)
        if end < 0:
            self._owner.read_head(self.number, self._scanner.size)
            return not self.is_closed
        # Until its handler starts, the request counts as one being read, not
        # as a connection that has been idle since the request before.
        self._owner.read_head(self.number, self._scanner.size)
        self._has_request = True
        self._body_bytes = len(data) - end
        return not self.is_closed

    def _count_body(self, size: int, content: Content) -> bool:
        if not content.is_eof():
            self._body_bytes += size
            return True
        if self._is_answered:
            self._end_request()
            return True
        self._ahead_bytes += size
        if self._ahead_bytes > MAX_AHEAD_BYTES:
            # What was sent ahead is not handled, and not answered either.
            self.inner.close()
            self._transport.pause_reading()
            self._owner.refuse(intake.Reason.AHEAD)
            return False
        return True

    def _charge(self) -> None:
        """Tell the intake what the request costs now."""
        content = self._content
        if self._is_answered and content is not None:
            if content.is_eof():
                self._end_request()
            else:
                self._owner.read_body(self.number, 0)
            return
        cost_bytes = intake.find_cost(
            self._scanner.size + self._ahead_bytes,
            self._body_bytes if content is None else content.total_bytes,
            self._body_bytes if self._is_chunked else 0,
        )
        if content is not None and content.is_eof():
            self._owner.read_all(self.number, cost_bytes)
        else:
            self._owner.read_body(self.number, cost_bytes)


class Gates:
    """The gates of all listeners of a process."""

    def __init__(self) -> None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.intake = intake.Intake(
            intake.Limits(connections=intake.limit_connections(descriptors))
        )
        self.buffer = memoryview(bytearray(intake.READ_BYTES))
        self._numbers = itertools.count()
        self._gates: dict[int, Gate] = {}
        self._gates_by_protocol: dict[object, Gate] = {}
        self._swept_s = float('-inf')
        self._logged_s = float('-inf')
        self._logged: dict[str, int] = {}

    def make_gate(self, inner: HttpProtocol) -> Gate:
        """Return the protocol of a new connection."""
        return Gate(self, next(self._numbers), inner)

    def count(self) -> dict[str, int]:
        """Return the counters."""
        return {
            f'clients_{reason.value}': self.intake.counters[reason]
            for reason in intake.Reason
        }

    def tick(self, now_s: float) -> None:
        """Close the connections whose time is over; log what was closed."""
        if now_s - self._swept_s < SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        self._close(self.intake.expire(now_s))
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        counters = self.count()
        if counters != self._logged and any(counters.values()):
            logs.log(
                'clients_closed',
                open=self.intake.connections,
                held_bytes=self.intake.cost_bytes,
                **{
                    name.removeprefix('clients_'): value
                    - self._logged.get(name, 0)
                    for name, value in counters.items()
                    if value != self._logged.get(name, 0)
                },
            )
            self._logged = counters
            self._logged_s = now_s

    # Requests.

    def admit(self, request: web.Request) -> bool:
        """Return whether the handler of a request may start."""
        gate = self._gates_by_protocol.get(request.protocol)
        if gate is None:
            # The connection has been closed.
            return False
        gate.begin(request)
        if gate.is_closed:
            return False
        if request.content.is_eof():
            return True
        number = gate.number
        # A larger body is refused by its handler.
        size = min(request.content_length or 0, request.client_max_size)
        if not size or self.intake.is_admitted(number, size):
            return True
        self._close(self.intake.make_way(number, size, clock.read_now()))
        if self.intake.is_admitted(number, size):
            return True
        self.intake.refuse(intake.Reason.MEMORY)
        return False

    def end(self, request: web.BaseRequest) -> None:
        """Record that the handler of a request has ended."""
        gate = self._gates_by_protocol.get(request.protocol)
        if gate is not None:
            gate.finish()

    # Events of the gates.

    def add(self, gate: Gate) -> None:
        """Add a connection, or close it or another one."""
        self._gates[gate.number] = gate
        self._gates_by_protocol[gate.inner] = gate
        self._close(self.intake.open(gate.number, clock.read_now()))

    def remove(self, gate: Gate) -> None:
        """Forget a connection."""
        self.intake.close(gate.number)
        self._gates.pop(gate.number, None)
        self._gates_by_protocol.pop(gate.inner, None)

    def read_head(self, number: int, size: int) -> None:
        """Count a head that is not complete."""
        self._close(self.intake.read_head(number, size, clock.read_now()))

    def read_body(self, number: int, cost_bytes: int) -> None:
        """Count a body that is not complete."""
        now_s = clock.read_now()
        self._close(self.intake.read_body(number, cost_bytes, now_s))

    def read_all(self, number: int, cost_bytes: int) -> None:
        """Count a request that has been read whole."""
        self.intake.read_all(number, cost_bytes, clock.read_now())

    def finish(self, number: int) -> None:
        """Release what a request held."""
        self.intake.finish(number, clock.read_now())

    def drop(self, gate: Gate, reason: intake.Reason) -> None:
        """Close a connection."""
        self.refuse(reason)
        gate.close(reason)

    def refuse(self, reason: intake.Reason) -> None:
        """Count a refusal."""
        self.intake.refuse(reason)

    def _close(self, closings: list[intake.Closing]) -> None:
        for closing in closings:
            gate = self._gates.get(closing.number)
            if gate is not None:
                gate.close(closing.reason)


class GateSite(web.BaseSite):
    """A listener whose connections pass through gates."""

    def __init__(
        self, runner: web.AppRunner, gates: Gates, **address: Any
    ) -> None:
        super().__init__(runner)
        self._gates = gates
        self._address = address

    @property
    def name(self) -> str:
        """The address, which the library uses in its messages."""
        return str(self._address)

    async def start(self) -> None:
        """Listen."""
        await super().start()
        make_inner: Any = self._runner.server
        self._server = await asyncio.get_running_loop().create_server(
            lambda: self._gates.make_gate(make_inner()),
            backlog=self._backlog,
            **self._address,
        )
