"""Machines with a control replica of the platform each, as processes."""

import asyncio
from collections.abc import Iterable
import contextlib
import dataclasses
import fcntl
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import Any
from typing import Final
from typing import TextIO

import aiohttp

from eelgrassworks.platform import earlylistener
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import wire
from soak import powerplan
from tests import platformstandins as standins

ROOT: Final = pathlib.Path(__file__).parent.parent
DOMAINS: Final = ('accra-central', 'tema-port', 'kasoa-west', 'ada-mouth')
MACHINES_PER_DOMAIN: Final = 2
VOTERS: Final = 2 * powerplan.TOLERATED_MACHINES + 1
# No other program uses the addresses, so each machine has the same ports.
PORTS: Final = list(range(7720, 7720 + standins.PORTS))
HTTP_PORT: Final = PORTS[3] + wire.CONTROL_PORT + nodefile.HTTP_OFFSET
FIRST_NET: Final = 100
LAST_NET: Final = 200
CALL_TIMEOUT_S: Final = 2.0
POLL_INTERVAL_S: Final = 0.1
START_SPREAD_S: Final = 0.3


class LoopbackNet:
    """A network 127.N.0.0/16 that no other run uses until this one ends."""

    def __init__(self) -> None:
        for self.number in range(FIRST_NET, LAST_NET):
            self._lock = self._open_lock()
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                self._lock.close()
                continue
            return
        raise RuntimeError('other runs use all loopback networks')

    def _open_lock(self) -> TextIO:
        name = f'eelgrassworks-test-net-{self.number}.lock'
        return (pathlib.Path(tempfile.gettempdir()) / name).open('w')

    def close(self) -> None:
        """Let another run use the network."""
        self._lock.close()


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaState:
    """What a replica reports: its part, its disk, and the members' disks."""

    role: str
    disk: str
    voters: dict[str, str]
    learners: dict[str, str]


class Machine:
    """A machine in a failure domain: settings file, disk and process."""

    def __init__(
        self, folder: pathlib.Path, failure_domain: str, host: str
    ) -> None:
        self.folder = folder
        self.failure_domain = failure_domain
        self.host = host
        self.disk = folder / 'disk'
        self.disk.mkdir(parents=True)
        # The process runs, unless a fault has ended it.
        self.is_on = False
        self.is_frozen = False
        self._settings = folder / 'settings.json'
        self._process: asyncio.subprocess.Process | None = None

    def write_settings(
        self, seeds: Iterable[str], first_start: bool = False
    ) -> None:
        """Replace the settings file, which the process may poll."""
        fields = standins.make_node_fields(
            self.folder.name, str(self.disk), self.host, PORTS
        )
        fields |= {
            'zone': self.failure_domain,
            'zones': dict.fromkeys(DOMAINS, fields['region']),
            'seeds': [f'{host}:{PORTS[2]}' for host in seeds],
            'firstStart': first_start,
            'faultTolerance': {'machines': powerplan.TOLERATED_MACHINES},
        }
        path = self._settings.with_suffix('.new')
        path.write_text(json.dumps(fields))
        path.replace(self._settings)

    async def start(self) -> None:
        """Start the process."""
        environment = os.environ | {
            earlylistener.PATH_VARIABLE: str(self._settings),
            'PYTHONUNBUFFERED': '1',
        }
        with (self.folder / 'replica.log').open('ab') as stream:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'eelgrassworks.platform',
                'control',
                cwd=ROOT,
                env=environment,
                stdout=stream,
                stderr=stream,
            )
        self.is_on = True

    def freeze(self) -> None:
        """Let the process not run."""
        self.is_frozen = True
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let the process run again."""
        self._send_signal(signal.SIGCONT)
        self.is_frozen = False

    async def end(self, number: int = signal.SIGKILL) -> int:
        """Send a signal to the process; return its exit status."""
        assert self._process is not None
        self.is_on = False
        self._send_signal(number)
        return await self._process.wait()

    def _send_signal(self, number: int) -> None:
        assert self._process is not None
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def lose_disk(self) -> None:
        """Replace the disk by an empty one."""
        shutil.rmtree(self.disk)
        self.disk.mkdir()

    def find_exit(self) -> int | None:
        """Return the exit status of a process that ended by itself."""
        if not self.is_on or self._process is None:
            return None
        return self._process.returncode

    async def read_version(self) -> int | None:
        """Return the version of the configuration, or None without answer."""
        status, body = await self._call(PORTS[2], 'GET', '/api/config/read')
        return body['version'] if status == 200 else None

    async def replace_configuration(self, version: int) -> bool:
        """Tell whether the machine acknowledges a new configuration."""
        status, _ = await self._call(
            PORTS[2],
            'POST',
            '/api/config/replace',
            json=standins.make_manifest(version),
        )
        return status == 200

    async def read_state(self) -> ReplicaState | None:
        """Return the state of the replica, or None without answer."""
        status, body = await self._call(HTTP_PORT, 'GET', '/v1/state')
        if status != 200:
            return None
        state = body['state']['replica']
        return ReplicaState(
            state['role'], state['disk'], state['voters'], state['learners']
        )

    async def _call(
        self, port: int, method: str, path: str, **options: Any
    ) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await standins.call(
                    method, f'{self.host}:{port}', path, **options
                )
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None


class ReplicaGroup:
    """The machines of a group, and what its operator sees."""

    def __init__(self, root: pathlib.Path, seed: int) -> None:
        self._root = root
        self._net = LoopbackNet()
        self._random = random.Random(f'group {seed}')
        self._added = 0
        self.version = 0
        self.machines: dict[str, Machine] = {}
        for domain in DOMAINS * MACHINES_PER_DOMAIN:
            self.add_machine(domain)
        self.seeds = self._random.sample(
            sorted(self.machines), powerplan.SEED_COUNT
        )
        self.founders = tuple(self.seeds)

    def add_machine(self, failure_domain: str) -> Machine:
        """Add a machine with an empty disk and an address of its own."""
        self._added += 1
        zone = DOMAINS.index(failure_domain) + 1
        host = f'127.{self._net.number}.{zone}.{self._added}'
        folder = self._root / f'{failure_domain}-{self._added}'
        machine = Machine(folder, failure_domain, host)
        self.machines[host] = machine
        return machine

    def remove_machine(self, machine: Machine) -> None:
        """Forget a machine whose process has ended."""
        del self.machines[machine.host]

    def list_running(self) -> list[Machine]:
        """Return the machines whose process should be running."""
        return [
            machine
            for _, machine in sorted(self.machines.items())
            if machine.is_on and not machine.is_frozen
        ]

    async def start_machine(
        self, machine: Machine, first_start: bool = False
    ) -> None:
        """Start the process of a machine with the settings of now."""
        machine.write_settings(self.seeds, first_start)
        await machine.start()

    async def start_all(self, first_start: bool = False) -> None:
        """Start all processes within a moment, in any order."""
        machines = list(self.machines.values())
        self._random.shuffle(machines)
        for machine in machines:
            await self.start_machine(machine, first_start)
            spread_s = START_SPREAD_S / len(machines)
            await asyncio.sleep(self._random.uniform(0.0, spread_s))

    def reseed(self, seeds: list[str]) -> None:
        """Name other seeds in all settings files."""
        self.seeds = seeds
        for machine in self.machines.values():
            machine.write_settings(seeds)

    async def lose_power(self) -> None:
        """Kill all processes."""
        running = [m for m in self.machines.values() if m.is_on]
        await asyncio.gather(*(machine.end() for machine in running))

    async def close(self) -> None:
        """End all processes and release the addresses."""
        await self.lose_power()
        self._net.close()

    async def change(self, timeout_s: float) -> bool:
        """Tell whether a new configuration is acknowledged in time."""
        self.version += 1
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            running = self.list_running()
            machine = self._random.choice(running)
            if await machine.replace_configuration(self.version):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def read_states(self) -> dict[str, ReplicaState]:
        """Return the states of the running replicas that answer."""
        running = self.list_running()
        states = await asyncio.gather(*(m.read_state() for m in running))
        return {
            machine.host: state
            for machine, state in zip(running, states, strict=True)
            if state is not None
        }

    async def find_leader(self, timeout_s: float) -> str:
        """Return the leader, or an empty string if none is found in time."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            for host, state in (await self.read_states()).items():
                if state.role == 'leader':
                    return host
            await asyncio.sleep(POLL_INTERVAL_S)
        return ''

    async def find_membership_fault(self) -> str:
        """Return what is wrong with the members, or an empty string."""
        states = await self.read_states()
        leaders = [s for s in states.values() if s.role == 'leader']
        if len(leaders) != 1:
            return f'{len(leaders)} replicas lead'
        leader = leaders[0]
        members = {**leader.voters, **leader.learners}
        outside = [
            machine.host
            for machine in self.list_running()
            if machine.host not in states
            or members.get(machine.host) != states[machine.host].disk
        ]
        if outside:
            return f'no members with their disk: {", ".join(outside)}'
        answering = set(leader.voters) & set(states)
        if len(answering) != VOTERS:
            return f'{len(answering)} of {VOTERS} voters answer'
        return ''
