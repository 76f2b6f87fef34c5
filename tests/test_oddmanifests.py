"""Odd manifests are refused, and the next valid one takes effect."""

import asyncio
import json
import tempfile
from typing import Any
import unittest

import aiohttp
import ddt

from eelgrassworks.platform import roles
from tests import platformstandins as standins

ATTEMPTS = 100
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 2.0
DEEP = b'[' * 100_000 + b']' * 100_000

# Changes of the route of a manifest that cannot be read.
ODD_ROUTES: tuple[dict[str, Any], ...] = (
    {'priority': 10**30},
    {'priority': -(10**30)},
    {'priority': 2**64},
    {'priority': True},
    {'priority': 10**400},
    {'sloMs': 10**400},
    {'sloMs': float('inf')},
    {'sloMs': float('nan')},
    {'stretch': 10**400},
    {'attempts': 10**30},
    {'attempts': 0},
    {'timeoutMs': 10**30},
    {'timeoutMs': -1},
    {'timeoutMs': 0.5},
    {'service': None},
    {'host': 5},
    {'pathPrefix': []},
    {'name': 'a\ud800b'},
)
# Bytes of a whole manifest that cannot be read.
ODD_BODIES: tuple[bytes, ...] = (
    DEEP,
    b'{"limits": ' + DEEP + b'}',
    b'{"version": ' + b'9' * 400 + b'}',
    b'\xff\xfe',
    b'',
)


@ddt.ddt
class OddManifestTest(unittest.IsolatedAsyncioTestCase):
    """A control replica over real sockets."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.node = standins.make_node(folder.name, 'control')
        self.control: Any = roles.ROLES['control'](self.node)
        await self.control.start()
        self.addAsyncCleanup(self.control.finish)
        for _ in range(ATTEMPTS):
            if await self.replace(standins.make_manifest(1)) == 200:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fail('no leader')

    async def replace(self, manifest: dict[str, Any] | bytes) -> int:
        """Send a manifest; return the status, 0 without a response."""
        body = (
            manifest
            if isinstance(manifest, bytes)
            else json.dumps(manifest).encode()
        )
        url = f'http://{self.node.listen.control}/api/config/replace'
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=body) as response,
            ):
                return response.status
        except TimeoutError:
            return 0

    async def assert_refused(self, manifest: dict[str, Any] | bytes) -> None:
        """Check that a manifest is refused, and a valid one accepted."""
        status = await self.replace(manifest)
        valid = await self.replace(standins.make_manifest(3))
        self.assertEqual((status, valid), (400, 200))
        _, read = await standins.call(
            'GET', self.node.listen.control, '/api/config/read'
        )
        self.assertEqual(read['version'], 3)
        self.assertIsNone(self.control.fault)

    # A priority beyond 64 bits was read, and failed where it was encoded.
    @ddt.data(*ODD_ROUTES)
    async def test_odd_route(self, changes: dict[str, Any]) -> None:
        manifest = standins.make_manifest(2)
        manifest['routes'] = [{**manifest['routes'][0], **changes}]
        await self.assert_refused(manifest)

    @ddt.data(*ODD_BODIES)
    async def test_odd_body(self, body: bytes) -> None:
        await self.assert_refused(body)


if __name__ == '__main__':
    unittest.main()
