"""Stand-ins for the platform: a target, its messages and settings files."""

import asyncio
import json
import time
from typing import Any

import aiohttp
from aiohttp import web
import msgspec

from eelgrassworks.platform import wire
from tests import deployment

ZONE = 'tema-port'
HOST = 'queues.example'
PREFIX = '/reads/'
SERVICE = 'cover-check'
PORTS = 12


class TargetStandIn:
    """HTTP server that acts as a target; its tasks only wait."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.born_ms = time.time_ns() // 1_000_000
        self.task_duration_s = 0.05
        self.progress_per_s = 100.0
        self.starts: list[tuple[str, int]] = []
        # Status and body with which the next start requests are rejected.
        self.scripted_responses: list[tuple[int, dict[str, Any]]] = []
        self._running: dict[tuple[str, int], float] = {}
        self._ended: list[list[Any]] = []
        self._last_end_number = 0
        self._app_runner: web.AppRunner | None = None

    async def open(self) -> None:
        """Start the listener."""
        application = web.Application()
        application.router.add_post('/api/run-start', self._start)
        application.router.add_post('/api/run-stop', self._stop)
        application.router.add_post('/api/hold', self._hold)
        self._app_runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._app_runner.setup()
        await web.TCPSite(self._app_runner, '127.0.0.1', self.port).start()

    async def close(self) -> None:
        """Stop the listener."""
        if self._app_runner is not None:
            await self._app_runner.cleanup()

    def read_clock_ms(self) -> int:
        """Return the monotonic clock of the target."""
        return time.monotonic_ns() // 1_000_000

    def make_report(self, sequence: int) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        return {
            'service': SERVICE,
            'address': f'127.0.0.1:{self.port}',
            'zone': ZONE,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'capacity': {'cpu': 8000, 'memMb': 8192, 'gpu': 0},
            'labels': ['a', 'r1-1'],
            'clockMs': self.read_clock_ms(),
            'born': self.born_ms,
            'seq': sequence,
        }

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.scripted_responses:
            status, fields = self.scripted_responses.pop(0)
            return self._respond(fields, status)
        run = (body['task'], body['run'])
        self.starts.append(run)
        self._running[run] = time.monotonic()
        return self._respond({})

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._end_run((body['task'], body['run']), 'stopped')
        return self._respond({})

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(0.02 if body.get('waitMs') else 0)
        now_s = time.monotonic()
        for run, started_s in list(self._running.items()):
            if now_s - started_s >= self.task_duration_s:
                self._end_run(run, 'done')
        self._ended = [row for row in self._ended if row[0] > body['ackSeq']]
        running = [
            [task, run, '', self._measure_progress(now_s - since_s), 0]
            for (task, run), since_s in self._running.items()
        ]
        return self._respond({'running': running, 'finishedRuns': self._ended})

    def _measure_progress(self, elapsed_s: float) -> int:
        return min(99, int(elapsed_s * self.progress_per_s))

    def _end_run(self, run: tuple[str, int], outcome: str) -> None:
        if self._running.pop(run, None) is not None:
            self._last_end_number += 1
            self._ended.append([self._last_end_number, *run, outcome, ''])

    def _respond(self, fields: dict[str, Any], status: int = 200) -> Any:
        common = {'clockMs': self.read_clock_ms(), 'born': self.born_ms}
        return web.json_response({**common, **fields}, status=status)


def make_manifest(version: int, **overrides: Any) -> dict[str, Any]:
    """Return a manifest with one queue."""
    route = {
        'name': 'r-1',
        'host': HOST,
        'pathPrefix': PREFIX,
        'kind': 'unsafe',
        'timeoutMs': 1500,
        'sloMs': 60,
        'priority': 0,
        'service': SERVICE,
        'attempts': 2,
        'stretch': 1.6,
    }
    manifest = {
        'version': version,
        'routes': [route],
        'services': [{'name': SERVICE}],
        'limits': {},
    }
    return {**manifest, **overrides}


def make_job(**overrides: Any) -> dict[str, Any]:
    """Return a job of two tasks whose caller waits for the outcome."""
    step = {'count': 2, 'cpu': 1000, 'memMb': 64, 'estimateMs': 500}
    job = {'spec': 'text', 'phases': [step], 'bestEffort': True}
    return {**job, **overrides}


def find_port_block() -> list[int]:
    """Return consecutive free ports.

    A process uses ports at fixed offsets from the start of its range, so
    another program must not use a port in between.
    """
    while True:
        ports = deployment.find_ports(PORTS)
        if ports[-1] - ports[0] == PORTS - 1:
            return ports


def make_node(folder: str, role: str) -> wire.NodeFile:
    """Return the settings file of a process on the loopback address."""
    ports = find_port_block()
    fields = {
        'node': role,
        'ip': '127.0.0.1',
        'zone': ZONE,
        'region': 'gh-south',
        'zones': {ZONE: 'gh-south'},
        'listen': {
            'front': f'127.0.0.1:{ports[0]}',
            'ready': f'127.0.0.1:{ports[1]}',
            'control': f'127.0.0.1:{ports[2]}',
        },
        'portRange': [ports[3], ports[-1]],
        'seeds': [f'127.0.0.1:{ports[2]}'],
        'firstStart': True,
        'dataDir': folder,
        'app': f'127.0.0.1:{ports[-1]}',
        'faultTolerance': {'machines': 0},
        'bounds': {'evacuateMs': 5000},
    }
    return msgspec.json.decode(json.dumps(fields), type=wire.NodeFile)


async def call(
    method: str, address: str | None, path: str, **options: Any
) -> tuple[int, Any]:
    """Send an HTTP request; return the status and the decoded body."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f'http://{address}{path}', **options
        ) as response,
    ):
        body = await response.read()
        return response.status, json.loads(body) if body else None
