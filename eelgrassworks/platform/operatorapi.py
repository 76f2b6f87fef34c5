"""Orders of the platform's operators, as changes of the configuration."""

import secrets
from typing import Final

from aiohttp import web
import msgspec
import xxhash

from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import controlprocess
from eelgrassworks.platform import ingress
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import wire

BODY_LIMIT_BYTES: Final = 4 * 1024 * 1024
OPERATOR: Final = 'operator'
MAX_QUEUED_TASKS: Final = 1_000_000
_DECODER: Final = msgspec.json.Decoder(wire.Manifest)


class OperatorApi:
    """Serves operators at a control replica."""

    def __init__(
        self, owner: controlprocess.ControlProcess, node: wire.NodeFile
    ) -> None:
        self._owner = owner
        self._node = node

    async def open(self) -> None:
        """Begin to serve."""
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        router = application.router
        router.add_post('/api/config/replace', self._replace)
        router.add_get('/api/config/read', self._read)
        router.add_post('/api/evacuate/{zone}/start', self._close)
        router.add_post('/api/evacuate/{zone}/finish', self._reopen)
        host, port = nodefile.split_address(self._node.listen.control)
        await self._owner.listen(application, host, port)

    async def close(self) -> None:
        """Do nothing; the process closes its listeners."""

    def reload(self) -> None:
        """Do nothing; the seeds are read by another front."""

    async def _replace(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            manifest = _DECODER.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return _refuse_invalid(str(error))
        objection = find_objection(manifest)
        if objection:
            return _refuse_invalid(objection)
        domains = frozenset(self._node.zones)
        sheet = make_sheet(manifest, domains)
        digest = xxhash.xxh3_64_hexdigest(body)
        change = contracts.ChangeRequest(
            f'sheet-{manifest.version}-{digest}',
            OPERATOR,
            contracts.ANY_REVISION,
            contracts.ReplaceSheet(manifest.version, sheet, body),
        )
        return await self._order(request, change)

    async def _read(self, request: web.Request) -> web.Response:
        if self._owner.ended.is_set():
            return web.Response(status=503)
        number, future = self._owner.open_request()
        self._owner.dispatch(control.ConfigurationWanted(number))
        match await self._owner.await_reply(number, future):
            case contracts.Configuration(document=document) if document:
                return web.Response(
                    body=document, content_type='application/json'
                )
            case control.LedElsewhere(leader):
                return self._redirect(request, leader)
            case _:
                return web.Response(status=503)

    async def _close(self, request: web.Request) -> web.Response:
        zone = request.match_info['zone']
        return await self._move_domain(request, contracts.CloseDomain(zone))

    async def _reopen(self, request: web.Request) -> web.Response:
        zone = request.match_info['zone']
        return await self._move_domain(request, contracts.OpenDomain(zone))

    async def _move_domain(
        self,
        request: web.Request,
        change: contracts.CloseDomain | contracts.OpenDomain,
    ) -> web.Response:
        if change.failure_domain not in self._node.zones:
            return web.Response(status=404)
        return await self._order(
            request,
            contracts.ChangeRequest(
                secrets.token_hex(8), OPERATOR, contracts.ANY_REVISION, change
            ),
        )

    async def _order(
        self, request: web.Request, change: contracts.ChangeRequest
    ) -> web.Response:
        if self._owner.ended.is_set():
            return web.Response(status=503)
        number, future = self._owner.open_request()
        self._owner.dispatch(control.ChangeOrdered(number, change))
        match await self._owner.await_reply(number, future):
            case contracts.ChangeAccepted():
                return web.json_response({})
            case contracts.ChangeInvalid(reason=reason):
                return _refuse_invalid(reason)
            case control.LedElsewhere(leader):
                return self._redirect(request, leader)
            case _:
                return web.Response(status=503)

    def _redirect(self, request: web.Request, leader: str) -> web.Response:
        """Send the operator to the leader, which goes by its IP address."""
        if not leader:
            return web.Response(status=503)
        _, port = nodefile.split_address(self._node.listen.control)
        location = f'http://{leader}:{port}{request.path}'
        return web.Response(status=307, headers={'Location': location})


def find_objection(manifest: wire.Manifest) -> str:
    """Return why a manifest is invalid; empty when it is not."""
    services = {service.name for service in manifest.services}
    places = set()
    names = set()
    for route in manifest.routes:
        if route.service not in services:
            return f'route {route.name}: service {route.service} is unknown'
        place = (route.host, route.path_prefix)
        if place in places:
            return f'route {route.name}: {place} is taken by another route'
        if route.name in names:
            return f'route {route.name} is named twice'
        places.add(place)
        names.add(route.name)
    return ''


def make_sheet(
    manifest: wire.Manifest, domains: frozenset[str]
) -> contracts.Sheet:
    """Return the standing work that a manifest describes."""
    kinds = {
        route.name: contracts.Kind(
            route.name,
            domains,
            True,
            route.timeout_ms / 1000,
            route.service,
            route.host,
            route.path_prefix,
            route.priority,
            route.attempts,
            route.stretch,
            route.slo_ms / 1000,
        )
        for route in manifest.routes
    }
    quota = contracts.Quota(ingress.TEAM, 1.0, MAX_QUEUED_TASKS, 0)
    return contracts.Sheet(kinds, {ingress.TEAM: quota})


def _refuse_invalid(reason: str) -> web.Response:
    return web.json_response({'error': reason}, status=400)
