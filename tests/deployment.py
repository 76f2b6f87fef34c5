"""Real processes on loopback, for failure tests.

Each process is started by the test and stopped by its process id.
"""

import asyncio
import contextlib
import fcntl
import functools
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from typing import Any
from typing import TextIO

import aiohttp

from eelgrassworks.contracts import ids

KEY = 'a key for tests of processes'
DOMAINS = ('accra-central', 'tema-port', 'kasoa-west')
SHEET = (
    'record,name,failure_domains,repeatable,time_limit_ms,share,max_queued,'
    'max_running\n'
    'kind,crack-flag,accra-central;tema-port;kasoa-west,yes,20000,,,\n'
    'kind,structural-read,accra-central;tema-port,no,20000,,,\n'
    'team,inspectors,,,,2,20000,0\n'
    'team,desks,,,,1,20000,0\n'
)
READY_TIMEOUT_S = 30.0
# Characters of a log in an error.
LOG_TAIL_LENGTH = 500


# Below the ephemeral port range: an outgoing connection could otherwise use a
# port between the check that it is free and its use.
FIRST_PORT = 10_000
LAST_PORT = 20_000
# More than a run of all tests uses at a time.
BLOCK_PORTS = 500


class ProcessEnded(Exception):
    """A process has ended while its deployment starts."""


class PortBlock:
    """Ports that no other test run uses until this one ends.

    A file is locked for each block.  The lock goes with this process.
    """

    def __init__(self) -> None:
        self.first = FIRST_PORT
        self._lock = self._open_lock()
        while not self._try_lock():
            self._lock.close()
            self.first += BLOCK_PORTS
            if self.first >= LAST_PORT:
                raise RuntimeError('other test runs use all blocks of ports')
            self._lock = self._open_lock()
        self._ports = itertools.cycle(
            range(self.first, self.first + BLOCK_PORTS)
        )

    def _open_lock(self) -> TextIO:
        name = f'eelgrassworks-test-ports-{self.first}.lock'
        return (pathlib.Path(tempfile.gettempdir()) / name).open('w')

    def _try_lock(self) -> bool:
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def close(self) -> None:
        """Let another test run use the ports."""
        self._lock.close()

    def find(self, count: int) -> list[int]:
        """Return free ports, different ones in each call."""
        ports: list[int] = []
        while len(ports) < count:
            port = next(self._ports)
            with socket.socket() as probe:
                try:
                    probe.bind(('127.0.0.1', port))
                except OSError:
                    continue
            ports.append(port)
        return ports


@functools.cache
def lock_ports() -> PortBlock:
    """Return the block of ports of this test run."""
    return PortBlock()


def find_ports(count: int) -> list[int]:
    """Return free ports, different ones in each call."""
    return lock_ports().find(count)


class Deployment:
    """Control replicas, entries, agents and stand-in targets."""

    def __init__(
        self, controls: int = 3, entries: int = 2, agents: int = 2
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.root = pathlib.Path(self.folder.name)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.http: dict[str, int] = {}
        self.link: dict[str, int] = {}
        self.standins: dict[str, int] = {}
        self.controls = [f'control-{n + 1}' for n in range(controls)]
        self.entries = [f'entry-{n + 1}' for n in range(entries)]
        self.agents = [f'runner-{n + 1}' for n in range(agents)]
        self.standin_options: dict[str, list[str]] = {}
        self.slots = 8
        self.port_overrides: dict[tuple[str, str], int] = {}
        self.settings_extra: dict[str, dict[str, Any]] = {}
        # Code that the daemons run first, to remove a mechanism.
        self.prelude = ''
        self.environment: dict[str, dict[str, str]] = {}
        self.names = [*self.controls, *self.entries, *self.agents]
        ports = find_ports(len(self.names) * 3)
        for position, name in enumerate(self.names):
            self.http[name] = ports[position * 3]
            self.link[name] = ports[position * 3 + 1]
            self.standins[name] = ports[position * 3 + 2]

    async def __aenter__(self) -> 'Deployment':
        try:
            await self._enter()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _enter(self) -> None:
        for name in self.agents:
            await self.start_standin(name)
        for name in self.controls:
            self.write_settings(name)
            await self.run_command('format', name, '--cluster', 'test')
        for name in self.names:
            self.write_settings(name)
            await self.start(name)
        await self.apply_sheet()
        await self.wait_ready(self.names)

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        self.folder.cleanup()

    # Settings.

    def address(self, reader: str, name: str) -> str:
        """Return the address at which ``reader`` connects to a process."""
        port = self.port_overrides.get((reader, name), self.link[name])
        return f'tcp://127.0.0.1:{port}'

    def write_settings(self, name: str) -> pathlib.Path:
        """Write the settings file of a process."""
        model: dict[str, Any] = {
            'name': name,
            'http': {'host': '127.0.0.1', 'port': self.http[name]},
            'key': KEY,
        }
        vm = {
            'name': f'vm-{name}',
            'failure_domain': DOMAINS[0],
            'region': 'gh-south',
        }
        replicas = {n: self.address(name, n) for n in self.controls}
        listen = f'tcp://127.0.0.1:{self.link[name]}'
        if name in self.controls:
            folder = str(self.root / name)
            model |= {'role': 'control', 'vm': vm, 'listen': listen}
            model |= {'replicas': replicas, 'data_folder': folder}
        elif name in self.entries:
            model |= {'role': 'entry', 'vm': vm, 'listen': listen}
            model |= {'replicas': replicas}
        else:
            position = self.agents.index(name)
            url = f'http://127.0.0.1:{self.standins[name]}'
            model |= {
                'role': 'agent',
                'worker': {
                    'name': f'worker-{name}',
                    'failure_domain': DOMAINS[position % len(DOMAINS)],
                },
                'listen': listen,
                'target': {'url': url, 'slots': self.slots},
                'entries': {n: self.address(name, n) for n in self.entries},
            }
        model |= self.settings_extra.get(name, {})
        path = self.root / f'{name}.json'
        path.write_text(json.dumps(model))
        return path

    # Processes.

    async def start(self, name: str) -> None:
        """Start one daemon."""
        role = json.loads((self.root / f'{name}.json').read_text())['role']
        self.processes[name] = await self._spawn(
            name,
            'eelgrassworks.main',
            role,
            '--settings',
            str(self.root / f'{name}.json'),
        )

    async def run_command(self, command: str, name: str, *extra: str) -> int:
        """Run a command of the daemon to its end; return its exit status."""
        path = str(self.root / f'{name}.json')
        process = await self._spawn(
            f'{name}-{command}',
            'eelgrassworks.main',
            command,
            '--settings',
            path,
            *extra,
        )
        return await process.wait()

    async def start_standin(self, name: str) -> None:
        """Start the stand-in target of an agent."""
        self.processes[f'target-{name}'] = await self._spawn(
            f'target-{name}',
            'eelgrassworks.client',
            'standin',
            name,
            '--port',
            str(self.standins[name]),
            *self.standin_options.get(name, []),
        )

    async def _spawn(
        self, log: str, module: str, *arguments: str
    ) -> asyncio.subprocess.Process:
        code = (
            f'{self.prelude}\n'
            f'import sys; import {module} as m; sys.exit(m.main())'
        )
        with (self.root / f'{log}.log').open('ab') as stream:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                '-c',
                code,
                *arguments,
                stdout=stream,
                stderr=stream,
                env=os.environ
                | {'PYTHONUNBUFFERED': '1'}
                | self.environment.get(log, {}),
            )

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    async def end(self, name: str, number: int = signal.SIGKILL) -> int:
        """Send a signal to one process and wait until it has exited."""
        self.send_signal(name, number)
        return await self.processes[name].wait()

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.root / f'{name}.log').read_text()

    # HTTP.

    def url(self, name: str) -> str:
        """Return the HTTP address of a process."""
        return f'http://127.0.0.1:{self.http[name]}'

    async def call(
        self, method: str, url: str, **options: Any
    ) -> tuple[int, Any]:
        """Send one request; return the status and the JSON response."""
        timeout = aiohttp.ClientTimeout(total=60)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, **options) as response,
        ):
            return response.status, await response.json(content_type=None)

    async def submit(
        self,
        entry: str,
        works_ms: list[int],
        submission: str = '',
        kind: str = 'crack-flag',
    ) -> tuple[int, Any]:
        """Submit a job to one entry and wait for its response."""
        headers = {'Team': 'inspectors'}
        if submission:
            headers['Idempotency-Key'] = submission
        body = {'kind': kind, 'tasks': [{'work_ms': w} for w in works_ms]}
        return await self.call(
            'POST', f'{self.url(entry)}/v1/jobs', json=body, headers=headers
        )

    async def change(
        self, entry: str, action: str, name: str, expected: int, key: str
    ) -> tuple[int, Any]:
        """Request a change of the configuration."""
        body = {
            'expected_revision': expected,
            'change': {'action': action, 'name': name},
        }
        return await self.call(
            'POST',
            f'{self.url(entry)}/v1/changes',
            json=body,
            headers={'Idempotency-Key': key, 'Operator': key},
        )

    async def state(self, name: str) -> Any:
        """Return the dump of a process."""
        return (await self.call('GET', f'{self.url(name)}/v1/state'))[1]

    async def count(self, name: str) -> Any:
        """Return the counts of the stand-in target of an agent."""
        port = self.standins[name]
        return (await self.call('GET', f'http://127.0.0.1:{port}/counts'))[1]

    async def apply_sheet(self) -> None:
        """Apply the sheet of the tests as the first revision."""

        async def attempt() -> bool:
            for name in self.controls:
                self.check_running(name)
            status, _ = await self.call(
                'PUT',
                f'{self.url(self.entries[0])}/v1/sheet',
                params={'expected_revision': '0'},
                data=SHEET.encode(),
                headers={'Idempotency-Key': 'sheet'},
            )
            return status == 200

        await wait_until(attempt)

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until processes are ready and entries track every target."""
        for name in names:
            await wait_until(lambda name=name: self._is_ready(name))

    def check_running(self, name: str) -> None:
        """Raise ProcessEnded if a process has ended."""
        status = self.processes[name].returncode
        if status is None:
            return
        log = self.read_log(name)[-LOG_TAIL_LENGTH:]
        raise ProcessEnded(f'{name} ended with status {status}: {log}')

    async def _is_ready(self, name: str) -> bool:
        self.check_running(name)
        status, _ = await self.call('GET', f'{self.url(name)}/ready')
        if status != 200:
            return False
        if name not in self.entries:
            return True
        dispatcher = (await self.state(name))['state']['dispatcher']
        accepting = [t for t in dispatcher['targets'].values() if t['free']]
        return len(accepting) >= len(self.agents)


async def wait_until(
    condition: Any, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until the condition returns True; raise TimeoutError if late."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if await condition():
                return
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError('the condition was not met in time')


def make_id() -> str:
    """Return a new submission id."""
    return ids.make_id(time.time_ns() // 1_000_000)
