"""Starts the project's programs as on a small deployment, on loopback.

Each machine is a loopback address.  The programs are started with the
commands and the environment of ``deploy/system.toml``, and with settings as
``DEPLOY.md`` shows them.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
KIT = pathlib.Path(__file__).resolve().parent
ZONES = ('aqaba-north', 'aqaba-south', 'aqaba-quay')
REGION = 'aqaba'
SERVICE = 'huvo11a'
HOST = 'nony24.example'
PREFIX = '/lohu930/'
HEARTBEAT_MS = 1500
# Of the machines in the site file.
RUNNER_CPU = 16000
BOUNDS = {
    'seedLagS': 3,
    'reuseDelayS': 2,
    'stableWindowMs': 3000,
    'ackTimeoutMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'evacuateMs': 5000,
    'recoveryS': 12,
    'maxHoldMs': 1000,
    'stopGraceMs': 50,
    'fencingEnabled': True,
    'leaseMs': 3000,
    'retransmitMs': 1300,
}
# Below the ephemeral ports.
PORTS = range(10_000, 30_000)
PORT_SPAN = 24
OPERATOR_WAIT_S = 1.0


class CouldNotRun(Exception):
    """The case could not be set up, so it shows nothing."""


def now_s() -> float:
    """Return the system's monotonic clock, which all processes share."""
    return time.monotonic()


def find_first_port(hosts: list[str]) -> int:
    """Return the first of ``PORT_SPAN`` ports that are free on all hosts."""
    source = random.Random()
    for _ in range(200):
        first = source.randrange(PORTS.start, PORTS.stop - PORT_SPAN)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in range(first, first + PORT_SPAN):
                        probe = stack.enter_context(socket.socket())
                        probe.bind((host, port))
            except OSError:
                continue
        return first
    raise CouldNotRun('no free ports')


class System:
    """The processes of a small deployment."""

    def __init__(
        self,
        record: pathlib.Path,
        fronts: int = 1,
        sides: int = 2,
        runner: dict[str, Any] | None = None,
    ) -> None:
        self.runner = runner or {}
        # When a life of a runner was ended, by id and start time.
        self.deaths: dict[tuple[str, int], float] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record_file = record.open('w')
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        block = random.randrange(20, 250)
        self.hosts: dict[str, str] = {}
        self.cores = [f'front-core-{n + 1}' for n in range(3)]
        self.fronts = [f'front-{n + 1}' for n in range(fronts)]
        self.sides = [f'side-{n + 1}' for n in range(sides)]
        # A machine that can replace one of the core.
        self.spare = 'front-core-4'
        for position, name in enumerate(
            (*self.cores, *self.fronts, *self.sides, self.spare)
        ):
            self.hosts[name] = f'127.0.{block}.{position + 1}'
        self.first_port = find_first_port(list(self.hosts.values()))
        self.seeds = [
            f'{self.hosts[n]}:{self.control_port}' for n in self.cores
        ]
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        self.roles = tomllib.loads(text)['roles']
        self.version = 0
        self.events = self.folder / 'runners.jsonl'

    # Addresses.

    @property
    def front_port(self) -> int:
        """Return the port on which entries accept jobs."""
        return self.first_port

    @property
    def ready_port(self) -> int:
        """Return the port of the readiness checks."""
        return self.first_port + 1

    @property
    def control_port(self) -> int:
        """Return the port of the operator's API and of the reports."""
        return self.first_port + 2

    @property
    def app_port(self) -> int:
        """Return the port of the runners."""
        return self.first_port + 3

    def find_zone(self, name: str) -> str:
        """Return the zone of a machine."""
        return ZONES[list(self.hosts).index(name) % len(ZONES)]

    # The record.

    def record(self, event: str, **fields: Any) -> None:
        """Write one line of the record."""
        line = {'at': round(now_s(), 4), 'event': event, **fields}
        self.record_file.write(json.dumps(line) + '\n')
        self.record_file.flush()

    # Processes.

    def write_settings(
        self, name: str, role: str, first: bool
    ) -> pathlib.Path:
        """Write the settings file of a process."""
        ip = self.hosts[name]
        serves = self.roles[role]['serves']
        addresses = {
            'front': {
                'front': f'{ip}:{self.front_port}',
                'ready': f'{ip}:{self.ready_port}',
            },
            'control': {'control': f'{ip}:{self.control_port}'},
            'side': {'control': f'{ip}:{self.control_port}'},
        }
        has_disk = role == 'control'
        folder = self.folder / 'data' / name
        folder.mkdir(parents=True, exist_ok=True)
        fields = {
            'node': name,
            'role': role,
            'machineClass': self.roles[role]['on'],
            'serves': serves,
            'ip': ip,
            'zone': self.find_zone(name),
            'region': REGION,
            'zones': dict.fromkeys(ZONES, REGION),
            'listen': addresses[serves[0]],
            'portRange': [self.first_port + 4, self.first_port + 19],
            'seeds': self.seeds,
            'firstStart': first,
            'faultCounted': has_disk,
            'limits': {
                'cpuShare': 0.717,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'bandwidthMbps': 1000.0,
                'diskMb': 128 if has_disk else 0,
            },
            'dataDir': str(folder) if has_disk else None,
            'discovery': 'local',
            'entry': 'vip',
            'heartbeatMs': HEARTBEAT_MS,
            'faultTolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'config_mode': 'highest',
            'orders': 'call',
        }
        if role == 'agent':
            fields |= {'app': f'{ip}:{self.app_port}', 'service': SERVICE}
        path = self.folder / f'{name}-{role}.json'
        path.write_text(json.dumps(fields))
        return path

    async def start(self, name: str, role: str, first: bool = True) -> None:
        """Start one program with the command of the deploy file."""
        path = self.write_settings(name, role, first)
        command = self.roles[role]['run'].split()
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment |= self.roles[role].get('env', {})
        environment['EELGRASSWORKS_HTTP_PORT'] = str(
            self.first_port + 20 + list(self.roles).index(role)
        )
        environment['EELGRASSWORKS_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        await self.spawn(f'{name}-{role}', command, environment)
        self.record('program started', name=name, role=role)

    async def spawn(
        self, key: str, command: list[str], environment: dict[str, str]
    ) -> None:
        """Start a process whose output goes to a file of its own."""
        with (self.folder / f'{key}.log').open('ab') as stream:
            self.processes[key] = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=stream,
                stderr=stream,
                start_new_session=True,
            )

    async def start_runner(self, name: str, **changes: Any) -> None:
        """Start a new life of the runner on a machine."""
        ip = self.hosts[name]
        settings = {
            'id': f'i-{name}',
            'host': ip,
            'port': self.app_port,
            'control': f'{ip}:{self.control_port}',
            'service': SERVICE,
            'zone': self.find_zone(name),
            'cpu': RUNNER_CPU,
            'heartbeatMs': HEARTBEAT_MS,
            'events': str(self.events),
            **self.runner,
            **changes,
        }
        path = self.folder / f'{name}-runner.json'
        path.write_text(json.dumps(settings))
        environment = dict(os.environ)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        program = str(KIT / 'runner.py')
        await self.spawn(
            f'{name}-runner',
            [sys.executable, '-S', program, str(path)],
            environment,
        )

    def signal(self, key: str, number: int) -> None:
        """Send a signal to a process that this case started."""
        self.processes[key].send_signal(number)
        self.record('signal', process=key, signal=signal.Signals(number).name)

    async def kill(self, key: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(key, signal.SIGKILL)
        await self.processes[key].wait()

    def end(self, key: str) -> None:
        """Kill a process unless it has ended."""
        if self.processes[key].returncode is None:
            self.signal(key, signal.SIGKILL)

    async def close(self) -> None:
        """End all processes that this case started."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    async def start_all(self) -> None:
        """Start all machines within 0.3 s of each other."""
        for name in self.sides:
            await self.start_runner(name)
        for name in self.cores:
            await self.start(name, 'control')
        for name in self.fronts:
            await self.start(name, 'entry')
        for name in self.sides:
            await self.start(name, 'agent')

    # The operator.

    async def order(
        self,
        method: str,
        path: str,
        body: Any = None,
        limit_s: float = 20.0,
        wait_s: float = OPERATOR_WAIT_S,
        nodes: list[str] | None = None,
    ) -> tuple[int, Any]:
        """Send an order to the nodes in turn until there is a clear answer."""
        end_s = now_s() + limit_s
        names = list(nodes or self.cores)
        attempt = 0
        last: tuple[int, Any] = (0, None)
        timeout = aiohttp.ClientTimeout(total=wait_s)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while now_s() < end_s:
                name = names[attempt % len(names)]
                attempt += 1
                url = f'http://{self.hosts[name]}:{self.control_port}{path}'
                try:
                    for _ in range(3):
                        async with session.request(
                            method, url, json=body, allow_redirects=False
                        ) as response:
                            text = await response.read()
                            status = response.status
                            url = response.headers.get('Location', '')
                        if status != 307:
                            break
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    last = (0, repr(error))
                else:
                    last = (status, text)
                    if status in (200, 400, 409, 412, 413, 422):
                        return last
                await asyncio.sleep(min(1.0, 0.1 * attempt))
        return last

    def make_manifest(self, routes: int = 1) -> dict[str, Any]:
        """Return the next version of the manifest, with further routes."""
        self.version += 1
        rows = [
            {
                'name': 'r-0' if not n else f'r-idle-{n:05}',
                'host': HOST if not n else f'idle{n:05}.example',
                'pathPrefix': PREFIX if not n else f'/idle{n:05}/',
                'kind': 'unsafe',
                'timeoutMs': 5000,
                'sloMs': 3000,
                'priority': 0,
                'service': SERVICE,
                'attempts': 2,
                'stretch': 1.6,
            }
            for n in range(routes)
        ]
        service = {
            'name': SERVICE,
            'healthPath': '/health',
            'maxConns': 64,
            'protocol': 'h1',
            'tls': False,
            'coldStartS': 0.0,
            'coldPerS': 0.0,
            'rejectsOverload': False,
            'standby': False,
        }
        return {
            'version': self.version,
            'routes': rows,
            'services': [service],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }

    async def replace_manifest(
        self, manifest: dict[str, Any], limit_s: float = 20.0, **options: Any
    ) -> bool:
        """Send a manifest until it is acknowledged; tell whether it was."""
        status, text = await self.order(
            'POST', '/api/config/replace', manifest, limit_s, **options
        )
        self.record(
            'manifest',
            version=manifest['version'],
            routes=len(manifest['routes']),
            status=status,
            text=None if status == 200 else str(text)[:100],
        )
        return status == 200

    # Clients.

    async def submit(
        self,
        front: str,
        job_id: str,
        tasks: int,
        work_ms: int,
        cpu: int = 1600,
        deadline_ms: int = 10_000,
    ) -> int:
        """Hand in a job and wait; return the status, 0 without a response."""
        body = {
            'spec': str(work_ms),
            'bestEffort': True,
            'phases': [
                {
                    'count': tasks,
                    'cpu': cpu,
                    'memMb': 64,
                    'estimateMs': work_ms,
                }
            ],
        }
        url = f'http://{self.hosts[front]}:{self.front_port}{PREFIX}{job_id}'
        headers = {
            'Host': HOST,
            'X-Eelgrassworks-Deadline-Ms': str(deadline_ms),
        }
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000)
        sent_s = now_s()
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json=body, headers=headers) as response,
            ):
                text = (await response.read()).decode()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, text = 0, repr(error)
        self.record(
            'job',
            id=job_id,
            front=front,
            tasks=tasks,
            work_ms=work_ms,
            sent=round(sent_s, 4),
            status=status,
            text=text[:120],
        )
        return status

    async def cancel(self, front: str, job_id: str) -> int:
        """Cancel a job; return the status, 0 without a response."""
        url = f'http://{self.hosts[front]}:{self.front_port}{PREFIX}{job_id}'
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.delete(url, headers={'Host': HOST}) as response,
            ):
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        self.record('cancel', id=job_id, front=front, status=status)
        return status

    async def wait_serving(self, limit_s: float = 30.0) -> None:
        """Wait until every runner has run a task of a small job."""
        end_s = now_s() + limit_s
        while now_s() < end_s:
            for front in self.fronts:
                await self.submit(
                    front, make_job_id(), 10 * len(self.sides), 50
                )
            seen = {
                each['runner']
                for each in self.read_events()
                if each['event'] == 'start'
            }
            if len(seen) >= len(self.sides):
                return
            await asyncio.sleep(0.2)
        raise CouldNotRun('not every runner was used in time')

    def read_events(self) -> list[dict[str, Any]]:
        """Return what the runners have recorded."""
        if not self.events.exists():
            return []
        # The last line may still be written.
        text = self.events.read_text()
        lines = text[: text.rfind('\n') + 1].splitlines()
        return [json.loads(line) for line in lines]

    def note_death(self, name: str, born_ms: int) -> None:
        """Record that a life of a runner was ended."""
        self.deaths[f'i-{name}', born_ms] = now_s()
        self.record('runner crashed', runner=f'i-{name}', born=born_ms)

    def copy_events(self) -> list[dict[str, Any]]:
        """Copy what the runners have recorded into the record."""
        events = self.read_events()
        for each in events:
            self.record_file.write(json.dumps(each) + '\n')
        return events

    def judge_twice(self) -> bool:
        """Copy the runners' records, and tell whether TWICE was broken."""
        events = self.copy_events()
        overlaps = find_overlaps(events, self.deaths)
        for each in overlaps:
            self.record('TWICE', **each)
        return bool(overlaps)

    def read_log(self, key: str) -> str:
        """Return the log of a program."""
        return (self.folder / f'{key}.log').read_text()


def make_job_id() -> str:
    """Return an id as clients choose it."""
    return f'{random.getrandbits(64):016x}'


def find_overlaps(
    events: list[dict[str, Any]], deaths: dict[tuple[str, int], float]
) -> list[dict[str, Any]]:
    """Return the tasks of which two runs were at work at the same time.

    ``deaths`` holds when a life of a runner was ended, by id and start time:
    its runs ended then.
    """
    spans: dict[str, list[tuple[float, float, str, int]]] = {}
    open_runs: dict[tuple[str, int, str, int], float] = {}

    def close(key: tuple[str, int, str, int], end_s: float) -> None:
        began_s = open_runs.pop(key)
        row = (began_s, end_s, key[0], key[3])
        spans.setdefault(key[2], []).append(row)

    last_s = max((each['at'] for each in events), default=0.0)
    for each in events:
        if each['event'] not in ('start', 'end'):
            continue
        key = (each['runner'], each['born'], each['task'], each['run'])
        if each['event'] == 'start':
            open_runs[key] = each['at']
        elif key in open_runs:
            close(key, each['at'])
    for key in list(open_runs):
        close(key, deaths.get(key[:2], last_s))
    overlaps = []
    for task, rows in spans.items():
        rows.sort()
        for one, two in zip(rows, rows[1:], strict=False):
            if two[0] < one[1]:
                overlaps.append(
                    {
                        'task': task,
                        'first': one,
                        'second': two,
                        'overlap_ms': round(
                            1000 * (min(one[1], two[1]) - two[0])
                        ),
                    }
                )
    return overlaps


def run_case(case: Any) -> None:
    """Run a case and exit with its status: 0 held, 1 broken, 2 not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(case(trouble))
    except CouldNotRun as error:
        print(f'could not run: {error}')
        sys.exit(2)
    except Exception as error:
        print(f'could not run: {error!r}')
        sys.exit(2)
    print('the rule was broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
