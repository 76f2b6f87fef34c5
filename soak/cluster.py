"""The deployments of a run, with proxies on their links."""

import asyncio
import pathlib
import shutil
import signal
from typing import Any
from typing import Final

import aiohttp

from eelgrassworks import standin
from soak import plan
from soak import proxy
from soak import reroute
from soak import ways
from soak import witness
from tests import deployment

# A call of a run that does not get the processor takes seconds.
STATE_TIMEOUT_S: Final = 10.0


class SoakedDeployment(deployment.Deployment):
    """Processes whose links go through proxies, and watched targets."""

    def __init__(
        self, size: int, seed: int, watcher: Any, entries: int = 2
    ) -> None:
        super().__init__(
            controls=3, entries=max(entries, size), agents=3 * size
        )
        self._seed = seed
        self._watcher = watcher
        self._targets: dict[str, Any] = {}
        self.proxies: dict[tuple[str, str], proxy.LinkProxy] = {}
        # Domains whose targets can start again by their names.
        self.restartable: tuple[str, ...] = ()
        # From the callers to each entry, where a fault may affect them.
        self.ways: dict[str, ways.Way] = {}
        # Processes that a fault has ended; all others must run.
        self.ended: set[str] = set()
        for number, name in enumerate(self.names, 1):
            self.environment[name] = {reroute.NUMBER_VARIABLE: str(number)}

    @property
    def machines(self) -> plan.Machines:
        """Return the names of everything that a fault may affect."""
        return plan.Machines(
            tuple(self.controls),
            tuple(self.entries),
            tuple(self.agents),
            tuple(self._list_links()),
            deployment.DOMAINS,
            tuple(self.ways),
            self.restartable,
        )

    def find_domain(self, agent: str) -> str:
        """Return the failure domain of an agent."""
        position = self.agents.index(agent)
        return deployment.DOMAINS[position % len(deployment.DOMAINS)]

    def find_listener(self, name: str) -> proxy.Address:
        """Return where a process accepts the connections of its peers."""
        return proxy.Address('127.0.0.1', self.link[name])

    def find_front(self, entry: str) -> str:
        """Return where an entry accepts the jobs of callers."""
        return f'127.0.0.1:{self.http[entry]}'

    async def open_proxies(self) -> None:
        """Put a proxy on each link."""
        for number, sender in enumerate(self.names, 1):
            for receiver in self.names:
                if receiver == sender:
                    continue
                target = self.find_listener(receiver)
                host = reroute.find_proxy_host(number, target.host)
                link = proxy.LinkProxy(
                    proxy.Address(host, target.port), target
                )
                self.proxies[sender, receiver] = link
                await link.open()

    def isolate(self, names: tuple[str, ...], duration_s: float) -> None:
        """Cut the links between each of some processes and all others."""
        for pair, link in self.proxies.items():
            if not set(names).isdisjoint(pair):
                link.cut(duration_s)

    def _list_links(self) -> list[tuple[str, str]]:
        """Return the links that settings name."""
        return [
            (reader, name)
            for reader in self.names
            for name in (
                self.entries
                if reader in self.agents
                else [each for each in self.controls if each != reader]
            )
        ]

    async def restart_targets(self, domain: str, duration_s: float) -> None:
        """Crash the targets of a domain, and start them again by name.

        Raises NotImplementedError: these targets have no names.
        """
        raise NotImplementedError

    async def close_all(self) -> None:
        """End the processes and close targets and proxies."""
        await self.__aexit__()
        for target in self._targets.values():
            await target.close()
        for each in self.proxies.values():
            await each.close()

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copy the logs of all processes to a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in self.root.glob('*.log'):
            shutil.copy(path, folder)

    async def start_standin(self, name: str) -> None:
        """Start the stand-in target of an agent in this process."""
        domain = self.find_domain(name)
        target = standin.StandIn(
            name,
            standin.Faults(),
            self._seed,
            lambda key: self._watcher.observe_start(key, domain),
        )
        self._targets[name] = target
        await target.start('127.0.0.1', self.standins[name])

    async def kill(self, name: str) -> None:
        """End a process at once."""
        self.ended.add(name)
        await self.end(name, signal.SIGKILL)

    async def stop(self, name: str) -> int:
        """End a process as planned; return its exit status.

        The signal ends a process that does not handle it yet at once, which
        is as planned: such a process has no listener.
        """
        handled = self._handles_stop(name)
        self.ended.add(name)
        status = await self.end(name, signal.SIGTERM)
        return 0 if not handled and status == -signal.SIGTERM else status

    def _handles_stop(self, name: str) -> bool:
        """Tell whether a process has its handler of a planned stop."""
        status = self._read_status(name)
        return bool(
            int(status.get('SigCgt', '0'), 16) >> (signal.SIGTERM - 1) & 1
        )

    async def restart(self, name: str) -> None:
        """Start an ended process again."""
        await self.start(name)
        self.ended.discard(name)

    async def votes(self, name: str) -> bool:
        """Tell whether a replica votes with the disk that it has."""
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                dump = await self.state(name)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return False
        replica = dump['state']['replica']
        disk: str | None = replica['voters'].get(dump['name'])
        return disk == replica['disk']

    def wipe(self, name: str) -> None:
        """Remove the data folder of an ended replica."""
        shutil.rmtree(self.root / name)

    def list_exits(self) -> dict[str, int]:
        """Return the processes that ended by themselves, with their status."""
        return {
            name: each.returncode
            for name, each in self.processes.items()
            if each.returncode is not None and name not in self.ended
        }

    def read_usage(self, name: str) -> witness.Usage | None:
        """Return the resources of a process; None while it is down."""
        folder = pathlib.Path('/proc') / str(self.processes[name].pid)
        status = self._read_status(name)
        try:
            descriptors = len(list((folder / 'fd').iterdir()))
        except OSError:
            return None
        if 'VmRSS' not in status:
            return None
        return witness.Usage(descriptors, int(status['VmRSS'].split()[0]))

    def _read_status(self, name: str) -> dict[str, str]:
        """Return the fields of the status of a process, if it runs."""
        path = pathlib.Path('/proc') / str(self.processes[name].pid) / 'status'
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return {}
        return dict(line.split(':', 1) for line in lines if ':' in line)
