"""HTTP client of an agent towards its target.

A task is one POST request whose response is the result.  The client never
retries a request, and it reports every error as a failure of the task, since
the target may have carried out the request.
"""

import asyncio
from typing import Final
import urllib.parse

import aiohttp

from eelgrassworks import contracts

HEALTH_TIMEOUT_S: Final = 1.0
STOP_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 2.0
MAX_RESULT_BYTES: Final = 1024 * 1024


class TargetClient:
    """Calls one target."""

    def __init__(self, url: str, slots: int) -> None:
        self._url = url.rstrip('/')
        connector = aiohttp.TCPConnector(limit=slots * 2 + 2)
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def run(
        self,
        key: contracts.TaskKey,
        kind: str,
        payload: bytes,
        limit_s: float,
    ) -> tuple[bool, bytes]:
        """Run a task; return whether it succeeded, and its body."""
        timeout = aiohttp.ClientTimeout(
            total=limit_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.post(
                self._make_url(key),
                data=payload,
                timeout=timeout,
                allow_redirects=False,
                headers={
                    'Content-Type': 'application/json',
                    'Task-Kind': kind,
                    'Task-Limit-Ms': str(int(limit_s * 1000)),
                },
            ) as response:
                return await _read_result(response)
        except TimeoutError:
            return False, b'the target did not answer in time'
        except aiohttp.ClientError as error:
            return False, f'{type(error).__name__}: {error}'.encode()

    async def stop(self, key: contracts.TaskKey) -> None:
        """Ask the target to stop a task; errors are ignored."""
        timeout = aiohttp.ClientTimeout(total=STOP_TIMEOUT_S)
        try:
            async with self._session.delete(
                self._make_url(key), timeout=timeout
            ):
                return
        except (TimeoutError, aiohttp.ClientError):
            return

    async def check(self) -> bool:
        """Tell whether the target's health check succeeds."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self._session.get(
                f'{self._url}/health', timeout=timeout
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()
        # Lets the transports finish closing.
        await asyncio.sleep(0)

    def _make_url(self, key: contracts.TaskKey) -> str:
        name = urllib.parse.quote(key.submission, safe='')
        return f'{self._url}/tasks/{name}/{key.index}'


async def _read_result(
    response: aiohttp.ClientResponse,
) -> tuple[bool, bytes]:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESULT_BYTES:
            return False, b'the result exceeds the size limit'
    if response.status != 200:
        return False, bytes(body[:1024]) or b'status %d' % response.status
    return True, bytes(body)
