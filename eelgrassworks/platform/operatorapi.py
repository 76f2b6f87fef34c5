"""HTTP front end that turns operators' requests into configuration changes."""

import secrets
from typing import Final

from aiohttp import web
import msgspec
import xxhash

from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import process
from eelgrassworks.platform import ingress
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import wire

BODY_LIMIT_BYTES: Final = 4 * 1024 * 1024
OPERATOR: Final = 'operator'
MAX_QUEUED_TASKS: Final = 1_000_000
_MANIFEST_DECODER: Final = msgspec.json.Decoder(wire.Manifest)


class OperatorApi:
    """Serves the operators' API at a control replica or a relay."""

    def __init__(
        self, role_process: process.Process, node: wire.NodeFile
    ) -> None:
        self._process = role_process
        self._node = node

    async def open(self) -> None:
        """Start the listener."""
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        router = application.router
        router.add_post('/api/config/replace', self._replace_configuration)
        router.add_get('/api/config/read', self._read_configuration)
        router.add_post('/api/evacuate/{zone}/start', self._close_domain)
        router.add_post('/api/evacuate/{zone}/finish', self._reopen_domain)
        host, port = nodefile.split_address(self._node.listen.control)
        await self._process.listen(application, host, port)

    async def close(self) -> None:
        """Do nothing; the process closes the listeners."""

    def reload(self) -> None:
        """Do nothing; SeedWatcher reads the settings file again."""

    async def _replace_configuration(
        self, request: web.Request
    ) -> web.Response:
        body = await request.read()
        try:
            manifest = wire.decode(_MANIFEST_DECODER, body)
        except wire.BodyInvalid as error:
            return _respond_invalid(str(error))
        reason = find_rejection_reason(manifest)
        if reason:
            return _respond_invalid(reason)
        domains = frozenset(self._node.zones)
        sheet = make_sheet(manifest, domains)
        digest = xxhash.xxh3_64_hexdigest(body)
        change = contracts.ChangeRequest(
            f'sheet-{manifest.version}-{digest}',
            OPERATOR,
            contracts.ANY_REVISION,
            contracts.ReplaceSheet(
                manifest.version, sheet, body, allows_zero=True
            ),
        )
        return await self._submit_change(request, change)

    async def _read_configuration(self, request: web.Request) -> web.Response:
        if self._process.ended.is_set():
            return web.Response(status=503)
        number, future = self._process.open_request()
        self._process.dispatch(control.ConfigurationRequested(number))
        match await self._process.await_reply(number, future):
            case contracts.Configuration(document=document) if document:
                return web.Response(
                    body=document, content_type='application/json'
                )
            case control.NotLeading(leader):
                return self._redirect(request, leader)
            case _:
                return web.Response(status=503)

    async def _close_domain(self, request: web.Request) -> web.Response:
        zone = request.match_info['zone']
        return await self._change_domain(request, contracts.CloseDomain(zone))

    async def _reopen_domain(self, request: web.Request) -> web.Response:
        zone = request.match_info['zone']
        return await self._change_domain(request, contracts.OpenDomain(zone))

    async def _change_domain(
        self,
        request: web.Request,
        change: contracts.CloseDomain | contracts.OpenDomain,
    ) -> web.Response:
        if change.failure_domain not in self._node.zones:
            return web.Response(status=404)
        return await self._submit_change(
            request,
            contracts.ChangeRequest(
                secrets.token_hex(8), OPERATOR, contracts.ANY_REVISION, change
            ),
        )

    async def _submit_change(
        self, request: web.Request, change: contracts.ChangeRequest
    ) -> web.Response:
        if self._process.ended.is_set():
            return web.Response(status=503)
        number, future = self._process.open_request()
        self._process.dispatch(control.ChangeRequested(number, change))
        match await self._process.await_reply(number, future):
            case contracts.ChangeAccepted():
                return web.json_response({})
            case contracts.ChangeInvalid(reason=reason):
                return _respond_invalid(reason)
            case control.NotLeading(leader):
                return self._redirect(request, leader)
            case _:
                return web.Response(status=503)

    def _redirect(self, request: web.Request, leader: str) -> web.Response:
        """Redirect to the leader; the name of a replica is its IP address."""
        if not leader:
            return web.Response(status=503)
        _, port = nodefile.split_address(self._node.listen.control)
        location = f'http://{leader}:{port}{request.path}'
        return web.Response(status=307, headers={'Location': location})


def find_rejection_reason(manifest: wire.Manifest) -> str:
    """Return why a manifest is invalid, or an empty string if it is valid."""
    services = {service.name for service in manifest.services}
    locations = set()
    names = set()
    for route in manifest.routes:
        if route.service not in services:
            return f'route {route.name}: service {route.service} is unknown'
        location = (route.host, route.path_prefix)
        if location in locations:
            return f'route {route.name}: {location} is taken by another route'
        if route.name in names:
            return f'route {route.name} is named twice'
        locations.add(location)
        names.add(route.name)
    return ''


def make_sheet(
    manifest: wire.Manifest, domains: frozenset[str]
) -> contracts.Sheet:
    """Return the kinds and the quota that a manifest describes."""
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


def _respond_invalid(reason: str) -> web.Response:
    return web.json_response({'error': reason}, status=400)
