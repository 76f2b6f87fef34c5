"""HTTP front end that receives the reports of an agent's target."""

import socket
from typing import Final

from aiohttp import web
import msgspec

from eelgrassworks import contracts
from eelgrassworks import heldagentprocess
from eelgrassworks import logs
from eelgrassworks.machines import holds
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import wire

STATES: Final = frozenset({'ready', 'draining'})
_HEARTBEAT_DECODER: Final = msgspec.json.Decoder(wire.Heartbeat)
_DEPARTURE_DECODER: Final = msgspec.json.Decoder(wire.Departure)


class TargetReportApi:
    """Receives heartbeats and the deregistration of the target."""

    def __init__(
        self,
        role_process: heldagentprocess.HeldAgentProcess,
        node: wire.NodeFile,
        listener: socket.socket | None = None,
    ) -> None:
        self._process = role_process
        self._node = node
        self._listener = listener

    async def open(self) -> None:
        """Start to serve on the listener, or open one."""
        application = web.Application()
        router = application.router
        router.add_post(
            '/api/instances/{id}/heartbeat', self._handle_heartbeat
        )
        router.add_post(
            '/api/instances/{id}/deregister', self._handle_deregistration
        )
        host, port = nodefile.split_address(self._node.listen.control)
        await self._process.listen(
            application, host, port, listener=self._listener
        )

    async def close(self) -> None:
        """Do nothing; the process closes the listeners."""

    def reload(self) -> None:
        """Do nothing; SeedWatcher reads the settings file again."""

    async def _handle_heartbeat(self, request: web.Request) -> web.Response:
        try:
            report = parse_report(
                request.match_info['id'], await request.read()
            )
        except wire.BodyInvalid as error:
            logs.log('report_invalid', reason=str(error))
            return web.Response(status=400)
        self._process.handle_report(report)
        return web.json_response({})

    async def _handle_deregistration(
        self, request: web.Request
    ) -> web.Response:
        name = request.match_info['id']
        self._process.handle_departure(
            parse_departure(name, await request.read())
        )
        return web.json_response({})


def parse_departure(name: str, body: bytes) -> holds.TargetIncarnation:
    """Decode a target's announcement of its end.

    The start time is 0 if the body names none.
    """
    try:
        departure = wire.decode(_DEPARTURE_DECODER, body or b'{}')
    except wire.BodyInvalid as error:
        logs.log('departure_invalid', reason=str(error))
        departure = wire.Departure()
    return holds.TargetIncarnation(name, departure.born)


def parse_report(name: str, body: bytes) -> holds.TargetReport:
    """Decode a target's heartbeat; raises BodyInvalid."""
    heartbeat = wire.decode(_HEARTBEAT_DECODER, body)
    if heartbeat.state not in STATES:
        raise wire.BodyInvalid(f'state {heartbeat.state!r} is unknown')
    return holds.TargetReport(
        holds.TargetIncarnation(name, heartbeat.born),
        heartbeat.service,
        heartbeat.zone,
        contracts.Room(heartbeat.capacity.cpu, heartbeat.capacity.mem_mb),
        tuple(heartbeat.labels),
        heartbeat.clock_ms,
        heartbeat.state == 'draining',
    )
