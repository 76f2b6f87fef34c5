"""Base class of all roles: event loop, ticks, effects, shutdown and dumps.

A role implements ``decide`` with its decision class and ``perform`` for the
effects that only this role has.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import gc
import signal
import socket
import traceback
from typing import Any
from typing import Final
from typing import Protocol

from aiohttp import web

from eelgrassworks import clock
from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks import exposition
from eelgrassworks import gate
from eelgrassworks import intake
from eelgrassworks import links
from eelgrassworks import logs
from eelgrassworks import machines
from eelgrassworks import metrics
from eelgrassworks.links import transport

TICK_INTERVAL_S: Final = 0.05
SOCKET_DRAIN_S: Final = 0.2
HTTP_SHUTDOWN_TIMEOUT_S: Final = 30.0
# Characters of an event that could not be handled in its log line.
MAX_LOGGED_EVENT_LENGTH: Final = 300
MAX_SHOWN_ENCODING_LENGTH: Final = 40
# Limits on the head of an HTTP request.
MAX_REQUEST_LINE_BYTES: Final = 8190
MAX_HEADER_FIELD_BYTES: Final = 8190


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RequestDropped(Exception):
    """The process ended before it answered a request.

    A request that was open at the end may have had an effect; one that came
    later had none.
    """

    def __init__(self, was_open: bool) -> None:
        super().__init__()
        self.was_open = was_open


class FrontEnd(Protocol):
    """A front end that a process serves in addition to its own routes."""

    async def open(self) -> None:
        """Start serving."""

    async def close(self) -> None:
        """Stop serving."""

    def reload(self) -> None:
        """Read the settings again."""


class Process:
    """One process of the system, with one event loop on one thread."""

    def __init__(
        self,
        role: str,
        machine: machines.Vm | machines.Worker,
        link: transport.Transport,
        metrics_client: metrics.Metrics,
    ) -> None:
        self.role = role
        self.machine = machine
        self.link = link
        self.metrics_client = metrics_client
        self.tick_interval_s = TICK_INTERVAL_S
        self._tick_due_s = float('inf')
        self.ended = asyncio.Event()
        self.fault: errors.Refusal | None = None
        self._tick_handle: asyncio.TimerHandle | None = None
        self._last_flush_s = 0.0
        self.fronts: list[FrontEnd] = []
        self.events_failed = 0
        self.exposition = exposition.Exposition(self._count_all, self.gauge)
        self._next_request = 0
        self._requests: dict[int, asyncio.Future[Any]] = {}
        self._runners: list[web.AppRunner] = []
        self.gates = gate.Gates()
        # Numbers of the requests that are handled on each connection.
        self._busy_connections: collections.Counter[web.RequestHandler] = (
            collections.Counter()
        )

    # Implemented by the roles.

    def decide(self, event: Any, now_s: float) -> effects.Effects:
        """Pass an event to the decision class and return its effects."""
        raise NotImplementedError

    def perform(self, effect: effects.Effect) -> None:
        """Execute an effect that only this role has."""
        raise NotImplementedError

    def make_tick(self) -> object:
        """Return the role's event for the passing of time."""
        raise NotImplementedError

    def make_stop(self) -> object:
        """Return the role's event for the start of a planned stop."""
        raise NotImplementedError

    def make_received(self, frame: links.Frame) -> list[object]:
        """Return the role's events for a frame."""
        raise NotImplementedError

    def describe(self) -> dict[str, object]:
        """Return the state of the decision class for a dump."""
        raise NotImplementedError

    def is_ready(self) -> bool:
        """Return whether the process accepts new work."""
        raise NotImplementedError

    def count(self) -> dict[str, int]:
        """Return the counters that are exported as metrics."""
        raise NotImplementedError

    def _count_all(self) -> dict[str, int]:
        return {
            **self.count(),
            **self.gates.count(),
            'events_failed': self.events_failed,
        }

    def gauge(self) -> dict[str, float]:
        """Return the gauges that are exported as metrics."""
        return {}

    async def close(self) -> None:
        """Close the resources that the role opened."""

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Learn by how much the event loop was late for a tick."""

    def add_replicas(self, replicas: dict[str, str]) -> None:
        """Connect to control replicas that changed settings name."""
        for name, address in replicas.items():
            self.link.connect(name, address)

    def reload(self) -> None:
        """Request that each front end reads its settings again."""
        logs.log('reload_asked')
        for front in self.fronts:
            front.reload()

    def make_disconnected(self, request: int) -> object | None:
        """Return the event for a disconnected caller, if the role has one."""
        return None

    # Requests of front ends.

    def open_request(self) -> tuple[int, asyncio.Future[Any]]:
        """Return the number of a new request and its future response.

        Raises RequestDropped once the process has ended.
        """
        if self.ended.is_set():
            raise RequestDropped(was_open=False)
        self._next_request += 1
        future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )
        self._requests[self._next_request] = future
        return self._next_request, future

    async def await_reply(
        self, request: int, future: asyncio.Future[Any]
    ) -> Any:
        """Wait for a response; dispatch an event if the caller disconnects.

        Raises RequestDropped if the process ends before it responds.
        """
        try:
            return await future
        except asyncio.CancelledError:
            self._requests.pop(request, None)
            event = self.make_disconnected(request)
            if event is not None:
                self.dispatch(event)
            raise

    def reply(self, request: int, response: object) -> None:
        """Respond to a request, unless its caller has disconnected."""
        future = self._requests.pop(request, None)
        if future is not None and not future.done():
            future.set_result(response)

    # Events and effects.

    def dispatch(self, event: object) -> None:
        """Pass an event to the decision class and execute its effects."""
        if self.ended.is_set():
            return
        self.carry_out(self.decide(event, clock.read_now()))

    def dispatch_safely(self, event: object) -> None:
        """Dispatch an event of a peer or a timer; log an unexpected error.

        One event that cannot be handled must not keep the process from
        handling the next one.
        """
        try:
            self.dispatch(event)
        except Exception as error:
            self.events_failed += 1
            logs.log(
                'event_failed',
                kind=type(event).__name__,
                error=repr(error),
                content=repr(event)[:MAX_LOGGED_EVENT_LENGTH],
            )

    def carry_out(self, result: effects.Effects) -> None:
        """Execute effects in order."""
        for effect in result:
            match effect:
                case effects.Send(peer, message):
                    self.link.post(peer, message)
                case effects.Connect(peer, address, persistent):
                    self.link.connect(peer, address, persistent)
                case effects.Disconnect(peer):
                    self.link.disconnect(peer)
                case effects.Log(event, fields):
                    logs.log(event, **fields)
                case effects.Reply(request, response):
                    self.reply(request, response)
                case effects.Exit():
                    logs.log('left')
                    self.ended.set()
                case effects.Halt(refusal):
                    self.halt(refusal)
                case _:
                    self.perform(effect)

    def halt(self, refusal: errors.Refusal) -> None:
        """Stop the process at once because of a fault."""
        logs.log('halted', reason=errors.format_refusal(refusal))
        self.fault = refusal
        self.ended.set()

    def receive(self, frame: links.Frame) -> None:
        """Dispatch the events of a frame from the transport."""
        for event in self.make_received(frame):
            self.dispatch_safely(event)

    # Start and stop.

    async def start(self) -> None:
        """Start receiving frames and ticking."""
        self.link.start(self.receive)
        for front in self.fronts:
            await front.open()
        self._tick()
        logs.log('started')

    def _tick(self) -> None:
        if self.ended.is_set():
            return
        loop = asyncio.get_running_loop()
        self._tick_handle = loop.call_later(self.tick_interval_s, self._tick)
        now_s = clock.read_now()
        self.record_delay(max(0.0, now_s - self._tick_due_s), now_s)
        self._tick_due_s = now_s + self.tick_interval_s
        self.dispatch_safely(self.make_tick())
        self.link.tick(now_s)
        self.gates.tick(now_s)
        if now_s - self._last_flush_s >= metrics.FLUSH_INTERVAL_S:
            self._last_flush_s = now_s
            self.metrics_client.flush(self._count_all(), self.gauge())

    def begin_stop(self) -> None:
        """Start a planned stop."""
        logs.log('stopping')
        self.dispatch(self.make_stop())

    def watch_signals(self) -> None:
        """Stop on SIGTERM and SIGINT; reload the settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    async def run(self) -> int:
        """Run until the process ends; return its exit status."""
        # Objects that exist now live as long as the process.  Without the
        # freeze, the first full collection would traverse them within a
        # second of the start and block the event loop for 70 ms.
        gc.freeze()
        gc.enable()
        await self.start()
        await self.ended.wait()
        await self.finish()
        return 0 if self.fault is None else 1

    async def finish(self) -> None:
        """Send the queued messages, then close everything."""
        if self._tick_handle is not None:
            self._tick_handle.cancel()
        self.link.flush()
        self._drop_requests()
        await self.close()
        if self.fault is None:
            # Lets the sockets transmit the last frames.
            await asyncio.sleep(SOCKET_DRAIN_S)
        for front in self.fronts:
            await front.close()
        for runner in self._runners:
            await runner.cleanup()
        self.link.close()
        self.metrics_client.flush(self.count(), self.gauge())
        logs.log('ended')

    def _drop_requests(self) -> None:
        """Let the open requests end, which nobody will answer any more."""
        requests, self._requests = self._requests, {}
        for future in requests.values():
            if not future.done():
                future.set_exception(RequestDropped(was_open=True))

    # HTTP.

    async def serve(
        self, application: web.Application, host: str, port: int
    ) -> int:
        """Serve an application; return the port that it listens on."""
        application.router.add_get('/live', self._show_live)
        application.router.add_get('/ready', self._show_ready)
        self.exposition.add_routes(application)
        return await self.listen(application, host, port)

    async def listen(
        self,
        application: web.Application,
        host: str,
        port: int,
        follows_callers: bool = False,
        listener: socket.socket | None = None,
    ) -> int:
        """Serve an application without the common routes; return its port.

        With ``follows_callers`` the handler of a request is cancelled when
        its caller disconnects.  A ``listener`` that is already open takes
        the place of ``host`` and ``port``.
        """
        application.middlewares.append(self._track_connection)
        runner = web.AppRunner(
            application,
            handler_cancellation=follows_callers,
            access_log=None,
            max_line_size=MAX_REQUEST_LINE_BYTES,
            max_field_size=MAX_HEADER_FIELD_BYTES,
            read_bufsize=intake.READ_BYTES,
            # Decompressed bytes arise between reads, where nothing is counted.
            auto_decompress=False,
            shutdown_timeout=HTTP_SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        if listener is None:
            site = gate.GateSite(runner, self.gates, host=host, port=port)
        else:
            site = gate.GateSite(runner, self.gates, sock=listener)
        await site.start()
        self._runners.append(runner)
        bound_port: int = runner.addresses[0][1]
        return bound_port

    def close_idle_connections(self) -> None:
        """Close the HTTP connections that wait for a request.

        Connections with a request stay open.
        """
        for runner in self._runners:
            connections = runner.server.connections if runner.server else []
            for idle in set(connections) - self._busy_connections.keys():
                idle.force_close()

    @web.middleware
    async def _track_connection(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Record that a connection has a request, and end dropped ones."""
        self._busy_connections[request.protocol] += 1
        try:
            if not self.gates.admit(request):
                return _refuse_body(errors.refuse(errors.Code.CROWDED))
            encoding = request.headers.get('Content-Encoding', 'identity')
            if encoding.lower() != 'identity':
                return _refuse_body(
                    errors.refuse(
                        errors.Code.ENCODED,
                        encoding=encoding[:MAX_SHOWN_ENCODING_LENGTH],
                    )
                )
            return await handler(gate.detach_body(request))
        except RequestDropped:
            response = web.Response(status=503, text='stopping')
            response.force_close()
            return response
        except BaseException as error:
            # An error of the connection is part of a cycle with the frame that
            # holds what was read of the body.
            traceback.clear_frames(error.__traceback__)
            raise
        finally:
            self.gates.end(request)
            self._busy_connections[request.protocol] -= 1
            if not self._busy_connections[request.protocol]:
                del self._busy_connections[request.protocol]

    async def _show_live(self, _: web.Request) -> web.Response:
        return web.json_response({'live': True})

    async def _show_ready(self, _: web.Request) -> web.Response:
        ready = self.is_ready()
        return web.json_response(
            {'ready': ready}, status=200 if ready else 503
        )

    def dump(self) -> dict[str, object]:
        """Return the whole state of the process."""
        return {
            'role': self.role,
            'name': self.link.sender.name,
            'machine': dataclasses.asdict(self.machine),
            'run': self.link.sender.incarnation,
            'state': self.describe(),
            'link': self.link.describe(),
        }


def _refuse_body(refusal: errors.Refusal) -> web.Response:
    """Return the response to a request whose body is not read.

    It is a problem document, with the field that callers of the platform read.
    """
    description = errors.describe(refusal)
    response = web.json_response(
        {
            'type': f'urn:eelgrassworks:problem:{refusal.code}',
            'title': description.title,
            'status': description.status,
            'detail': description.detail,
            'ran': refusal.ran,
            'remedy': description.remedy,
            'error': description.detail,
        },
        status=description.status,
        headers=(
            {'Retry-After': str(gate.RETRY_AFTER_S)}
            if refusal.code == errors.Code.CROWDED
            else {}
        ),
    )
    response.force_close()
    return response
