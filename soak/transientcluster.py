"""The deployment of a run of transient jobs, one process a machine."""

import asyncio
import json
import random
from typing import Any
from typing import Final

import aiohttp

from eelgrassworks.platform import earlylistener
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import wire
from soak import cluster
from soak import proxy
from soak import reroute
from soak import ways
from tests import deployment
from tests import platformstandins as standins

HEARTBEAT_INTERVAL_S: Final = 0.5
HEARTBEAT_TIMEOUT_S: Final = 1.0
SLOWEST_CLOCK_RATE: Final = 0.98
AGENTS_PER_DOMAIN: Final = 2
# Jobs wait for targets for the length of a partition.
OBJECTIVE_MS: Final = 1500
TIME_LIMIT_MS: Final = 20_000
OFFSETS: Final = {
    'entry': wire.ENTRY_PORT,
    'control': wire.CONTROL_PORT,
    'agent': wire.AGENT_PORT,
}


class TransientDeployment(cluster.SoakedDeployment):
    """Processes of the platform's roles, and targets with leases."""

    def __init__(self, size: int, seed: int, watcher: Any) -> None:
        super().__init__(AGENTS_PER_DOMAIN * size, seed, watcher, entries=3)
        self.restartable = deployment.DOMAINS
        self._ports = standins.find_port_block()
        self._random = random.Random(seed)
        self._reports: list[asyncio.Task[None]] = []
        for name in self.names:
            offset = OFFSETS[self._find_role(name)]
            self.link[name] = self._ports[3] + offset
            self.http[name] = self.link[name] + nodefile.HTTP_OFFSET
            path = self.root / f'{name}.json'
            self.environment[name][earlylistener.PATH_VARIABLE] = str(path)
        self.ways = {each: self._make_way(each) for each in self.entries}

    def _make_way(self, entry: str) -> ways.Way:
        """Return the way from the callers, who count as one more process."""
        host = self.find_host(entry)
        number = len(self.names) + 1
        return ways.Way(
            proxy.Address(
                reroute.find_proxy_host(number, host), self._ports[0]
            ),
            proxy.Address(host, self._ports[0]),
        )

    def _find_role(self, name: str) -> str:
        if name in self.controls:
            return 'control'
        return 'entry' if name in self.entries else 'agent'

    def find_host(self, name: str) -> str:
        """Return the IP address of the machine of a process."""
        return f'127.0.1.{self.names.index(name) + 1}'

    def find_listener(self, name: str) -> proxy.Address:
        """Return where a process accepts the connections of its peers."""
        return proxy.Address(self.find_host(name), self.link[name])

    def find_front(self, entry: str) -> str:
        """Return where the way of the callers to an entry begins."""
        return self.ways[entry].address

    async def open_proxies(self) -> None:
        """Put a proxy on each link, and between callers and entries."""
        await super().open_proxies()
        for way in self.ways.values():
            await way.open()

    def url(self, name: str) -> str:
        """Return the HTTP address of a process."""
        return f'http://{self.find_host(name)}:{self.http[name]}'

    def _list_links(self) -> list[tuple[str, str]]:
        """Return the links between entries and the others."""
        others = [*self.controls, *self.agents]
        pairs = [(a, b) for a in self.entries for b in others]
        return pairs + [(b, a) for a, b in pairs]

    # Processes.

    async def _enter(self) -> None:
        for name in self.agents:
            await self.start_standin(name)
        for name in self.names:
            await self.start(name)
        await deployment.wait_until(self._replace_manifest)
        await self.wait_ready(self.names)

    async def start(self, name: str) -> None:
        """Start one process."""
        self._write_node_file(name, first_start=name not in self.processes)
        self.processes[name] = await self._spawn(
            name, 'eelgrassworks.platform.__main__', self._find_role(name)
        )

    def _write_node_file(self, name: str, first_start: bool) -> None:
        folder = self.root / name
        folder.mkdir(exist_ok=True)
        fields = standins.make_node_fields(
            name, str(folder), self.find_host(name), self._ports
        )
        operators = self._ports[2]
        fields |= {
            'zones': dict.fromkeys(deployment.DOMAINS, fields['region']),
            'seeds': [
                f'{self.find_host(c)}:{operators}' for c in self.controls
            ],
            'firstStart': first_start,
            'faultTolerance': {'machines': 1},
        }
        if name in self.agents:
            fields['zone'] = self.find_domain(name)
        path = self.root / f'{name}.json'
        path.write_text(json.dumps(fields))

    async def start_standin(self, name: str) -> None:
        """Start the stand-in target of an agent, and its reports."""
        target = standins.TargetStandIn(
            self._ports[-1],
            self.find_host(name),
            self.find_domain(name),
            self._random.uniform(SLOWEST_CLOCK_RATE, 1.0),
        )
        self._targets[name] = target
        target.observe_start = lambda task, number: self._observe_start(
            name, task, number
        )
        await target.open()
        self._reports.append(asyncio.create_task(self._report(name, target)))

    async def restart_targets(self, domain: str, duration_s: float) -> None:
        """Crash the targets of a domain, and start them again by name."""
        targets = [
            self._targets[name]
            for name in self.agents
            if self.find_domain(name) == domain
        ]
        for target in targets:
            target.crash()
        await asyncio.sleep(duration_s)
        for target in targets:
            target.start_again()

    def _observe_start(self, agent: str, task: str, number: int) -> None:
        others = [
            f'{other}: run {running}'
            for other, target in self._targets.items()
            for name, running in target.list_running()
            if name == task
        ]
        self._watcher.observe_run(f'{agent}: run {number}', task, others)

    async def _report(self, name: str, target: standins.TargetStandIn) -> None:
        address = f'{self.find_host(name)}:{self._ports[2]}'
        sequence = 0
        while True:
            sequence += 1
            try:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    await standins.call(
                        'POST',
                        address,
                        f'/api/instances/{name}/heartbeat',
                        json=target.make_report(sequence),
                    )
            except (aiohttp.ClientError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def close_all(self) -> None:
        """End the processes and close targets and proxies."""
        for report in self._reports:
            report.cancel()
        await asyncio.gather(*self._reports, return_exceptions=True)
        await super().close_all()
        for way in self.ways.values():
            await way.close()

    # HTTP.

    async def _replace_manifest(self) -> bool:
        manifest = standins.make_manifest(1)
        for route in manifest['routes']:
            route |= {'sloMs': OBJECTIVE_MS, 'timeoutMs': TIME_LIMIT_MS}
        status, _ = await standins.call(
            'POST',
            f'{self.find_host(self.controls[0])}:{self._ports[2]}',
            '/api/config/replace',
            json=manifest,
        )
        return status == 200

    async def change(
        self, entry: str, action: str, name: str, expected: int, key: str
    ) -> tuple[int, Any]:
        """Close or open a failure domain at one of the replicas."""
        control = self._random.choice(self.controls)
        verb = {'close': 'start', 'open': 'finish'}[action]
        status, _ = await standins.call(
            'POST',
            f'{self.find_host(control)}:{self._ports[2]}',
            f'/api/evacuate/{name}/{verb}',
        )
        return status, {'in_force': status == 200, 'revision': expected}
