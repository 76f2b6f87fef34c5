"""One run: traffic, faults at their times, and checks meanwhile."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import signal
import time
from typing import Final

import aiohttp

from soak import callers
from soak import cluster
from soak import plan
from soak import proxy
from soak import reroute
from soak import transientcluster
from soak import witness
from tests import deployment

RETRY_PAUSE_S: Final = 0.5
READ_INTERVAL_S: Final = 0.5
USAGE_INTERVAL_S: Final = 2.0
STALL_INTERVAL_S: Final = 0.1
CHANGE_TIMEOUT_S: Final = 20.0
# After the last fault; the stated bound of the users is 12 s.
RECOVERY_S: Final = 12.0
# A fault that begins later than this after its time counts as put off.
MAX_LATENESS_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of a run; ``size`` is the number of targets a domain."""

    seed: int = 1
    seconds: float = 30.0
    size: int = 1
    jobs: plan.Jobs = plan.Claimed()
    # Folder for the logs of a run that broke a promise; empty for none.
    logs: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Deferral:
    """A fault that waited for other replicas to vote.

    ``begun_s`` is when it began; None if it was left out.
    """

    at_s: float
    fault: str
    begun_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a run did and found.

    Proxies and callers stood still for ``longest_stall_s`` at a time; links
    carry nothing meanwhile, beside the faults.
    """

    options: Options
    faults: dict[str, int]
    outcomes: dict[str, int]
    violations: list[witness.Violation]
    deferrals: list[Deferral]
    longest_stall_s: float


def make_cluster(options: Options, run: 'Run') -> cluster.SoakedDeployment:
    """Return the deployment for the kind of jobs of a run."""
    match options.jobs:
        case plan.Claimed():
            return cluster.SoakedDeployment(options.size, options.seed, run)
        case plan.Transient() | plan.Batch():
            return transientcluster.TransientDeployment(
                options.size, options.seed, run
            )


class Run:
    """A single run of one seed."""

    def __init__(
        self,
        options: Options,
        faults: list[plan.TimedFault] | None = None,
        prelude: str = '',
    ) -> None:
        """Prepare a run with given faults, or with those of its seed.

        The daemons execute ``prelude`` first; it can remove a mechanism, to
        show that a check finds what is then broken.
        """
        self.options = options
        self._faults = faults
        self.witness = witness.Witness()
        self.deferrals: list[Deferral] = []
        self.longest_stall_s = 0.0
        self._random = random.Random(options.seed)
        self._cluster = make_cluster(options, self)
        self._cluster.prelude = reroute.PRELUDE + prelude
        self._start_s = time.monotonic()
        self._callers = callers.Callers(
            options.jobs,
            self._cluster,
            self.witness,
            self._random,
            self.read_time,
        )
        self._revision = 1
        self._change_lock = asyncio.Lock()
        # Held by the fault that affects a replica.
        self._replica_lock = asyncio.Lock()

    def observe_start(self, key: str, domain: str) -> None:
        """Record a start that a target has seen."""
        self.witness.record_start(key, domain, self.read_time())

    def observe_run(self, place: str, task: str, others: list[str]) -> None:
        """Record a run that a target begins beside others of its task."""
        key = task.replace('.0.0.', '/', 1)
        self.witness.record_run(key, place, others, self.read_time())

    def read_time(self) -> float:
        """Return the time since the start of the traffic, in seconds."""
        return time.monotonic() - self._start_s

    async def run(self) -> Report:
        """Run to the end and return the report."""
        try:
            await self._cluster.open_proxies()
            await self._cluster.__aenter__()
            faults = self._faults
            if faults is None:
                faults = plan.draw_faults(
                    self.options.seed,
                    self.options.seconds,
                    self._cluster.machines,
                )
            self._start_s = time.monotonic()
            await self._play(faults)
            self.witness.finish()
        finally:
            if self.options.logs and self.witness.violations:
                self._cluster.keep_logs(
                    pathlib.Path(self.options.logs) / f'{self.options.seed}'
                )
            await self._callers.close()
            await self._cluster.close_all()
        return Report(
            self.options,
            dict(
                collections.Counter(
                    type(each.fault).__name__ for each in faults
                )
            ),
            dict(self.witness.outcomes),
            self.witness.violations,
            self.deferrals,
            round(self.longest_stall_s, 2),
        )

    async def _play(self, faults: list[plan.TimedFault]) -> None:
        watchers = [
            asyncio.create_task(self._watch_processes()),
            asyncio.create_task(self._watch_stalls()),
        ]
        match self.options.jobs:
            case plan.Claimed():
                watchers.append(asyncio.create_task(self._read_revisions()))
            case plan.Transient() | plan.Batch():
                # A transient job has no record that a revision could lose.
                pass
        traffic = asyncio.create_task(self._callers.send())
        injections = [
            asyncio.create_task(self._inject(each)) for each in faults
        ]
        await asyncio.gather(*injections)
        last_s = self.read_time()
        await asyncio.sleep(max(0.0, self.options.seconds - last_s))
        self._callers.ended = True
        await traffic
        await self._check_recovery(last_s)
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)

    # Faults.

    async def _inject(self, timed: plan.TimedFault) -> None:
        await asyncio.sleep(max(0.0, timed.at_s - self.read_time()))
        replica = plan.find_replica(timed.fault, self._cluster.machines)
        if replica is None:
            await self._apply(timed.fault)
            return
        async with self._replica_lock:
            if await self._await_voters(timed, replica):
                await self._apply(timed.fault)

    async def _await_voters(
        self, timed: plan.TimedFault, replica: str
    ) -> bool:
        """Wait until the replicas that a fault spares all vote.

        Only then is its loss one that the replicas bear.  False if they do
        not vote in time, which is a broken promise.
        """
        others = [each for each in self._cluster.controls if each != replica]
        limit_s = self.read_time() + RECOVERY_S
        fault = str(timed.fault)
        while voteless := await self._find_voteless(others):
            if self.read_time() > limit_s:
                self.deferrals.append(Deferral(timed.at_s, fault, None))
                self._report_voteless(voteless)
                return False
            await asyncio.sleep(RETRY_PAUSE_S)
        begun_s = round(self.read_time(), 2)
        if begun_s - timed.at_s > MAX_LATENESS_S:
            self.deferrals.append(Deferral(timed.at_s, fault, begun_s))
        return True

    async def _find_voteless(self, replicas: list[str]) -> list[str]:
        """Return the replicas that do not vote."""
        voting = await asyncio.gather(*map(self._cluster.votes, replicas))
        return [
            name
            for name, votes in zip(replicas, voting, strict=True)
            if not votes
        ]

    def _report_voteless(self, replicas: list[str]) -> None:
        self.witness.report(
            self.read_time(),
            'replicas vote again in time',
            ', '.join(replicas),
        )

    async def _apply(self, fault: plan.Fault) -> None:
        match fault:
            case plan.Kill(name, duration_s):
                await self._restart_after(name, duration_s, False)
            case plan.Wipe(name, duration_s):
                await self._restart_after(name, duration_s, True)
            case plan.Stop(name, duration_s):
                await self._stop(name, duration_s)
            case plan.Freeze(name, duration_s):
                await self._freeze(name, duration_s)
            case plan.Cut(sender, receiver, duration_s):
                self._cluster.proxies[sender, receiver].cut(duration_s)
                await asyncio.sleep(duration_s)
            case plan.Hold(sender, receiver, both, duration_s):
                self._cluster.proxies[sender, receiver].hold(duration_s)
                if both:
                    self._cluster.proxies[receiver, sender].hold(duration_s)
                await asyncio.sleep(duration_s)
            case plan.Isolate(names, duration_s):
                self._cluster.isolate(names, duration_s)
                await asyncio.sleep(duration_s)
            case plan.RestartTargets(domain, duration_s):
                await self._cluster.restart_targets(domain, duration_s)
            case plan.Delay(sender, receiver, delay_s, duration_s):
                link = self._cluster.proxies[sender, receiver]
                link.delay_s = delay_s
                await asyncio.sleep(duration_s)
                link.delay_s = 0.0
            case plan.Silence(sender, receiver):
                self._cluster.proxies[sender, receiver].silence()
            case plan.Reset(sender, receiver):
                self._cluster.proxies[sender, receiver].reset()
            case plan.Close(domain, duration_s):
                await self._close_domain(domain, duration_s)
            case plan.CutWay() | plan.HoldWay() | plan.ResetWay():
                await self._disturb_way(fault)

    async def _disturb_way(self, fault: plan.WayFault) -> None:
        way = self._cluster.ways[fault.entry]
        self._callers.excuse_answers(fault.entry)
        match fault:
            case plan.CutWay(_, duration_s):
                way.cut(duration_s)
                await asyncio.sleep(duration_s)
            case plan.HoldWay(_, requests, answers, duration_s):
                directions = {
                    proxy.Direction.FORTH: requests,
                    proxy.Direction.BACK: answers,
                }
                held = tuple(
                    each for each, is_held in directions.items() if is_held
                )
                way.hold(duration_s, held)
                await asyncio.sleep(duration_s)
            case plan.ResetWay():
                way.reset()

    async def _restart_after(
        self, name: str, duration_s: float, wiped: bool
    ) -> None:
        if name in self._cluster.ended:
            return
        await self._cluster.kill(name)
        if wiped:
            self._cluster.wipe(name)
        await asyncio.sleep(duration_s)
        await self._cluster.restart(name)

    async def _stop(self, name: str, duration_s: float) -> None:
        if name in self._cluster.ended:
            return
        self._callers.require_answers(name)
        status = await self._cluster.stop(name)
        if status:
            self.witness.record_exit(name, status, self.read_time())
        await asyncio.sleep(duration_s)
        await self._cluster.restart(name)

    async def _freeze(self, name: str, duration_s: float) -> None:
        if name in self._cluster.ended:
            return
        process = self._cluster.processes[name]
        process.send_signal(signal.SIGSTOP)
        if name in self._cluster.ways:
            self._cluster.ways[name].fall_silent(duration_s)
        await asyncio.sleep(duration_s)
        # A kill may have ended it meanwhile.
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _close_domain(self, domain: str, duration_s: float) -> None:
        """Close a domain and open it again, one operator at a time."""
        async with self._change_lock:
            if not await self._change('close', domain):
                return
            closing = self.witness.record_closing(domain, self.read_time())
            await asyncio.sleep(duration_s)
            closing.until_s = self.read_time()
            await self._change('open', domain)

    async def _change(self, action: str, domain: str) -> bool:
        """Send a change until it is in force; False if it is not in time."""
        key = deployment.make_id()
        limit_s = self.read_time() + CHANGE_TIMEOUT_S
        # Times of the request and of its end, entry, status or error.
        attempts: list[tuple[float, float, str, int | str]] = []
        while self.read_time() < limit_s:
            entry = self._random.choice(self._cluster.entries)
            sent_s = round(self.read_time(), 2)
            try:
                async with asyncio.timeout(CHANGE_TIMEOUT_S):
                    status, body = await self._cluster.change(
                        entry, action, domain, self._revision, key
                    )
                outcome: int | str = status
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                status, body = 0, {}
                outcome = type(error).__name__
            ended_s = round(self.read_time(), 2)
            attempts.append((sent_s, ended_s, entry, outcome))
            if status == 200 and body.get('in_force'):
                self._revision = body['revision']
                self.witness.record_accepted(self._revision)
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        self.witness.report(
            self.read_time(),
            'changes are in force in time',
            f'{action} {domain}: {attempts}',
        )
        return False

    # Checks.

    async def _read_revisions(self) -> None:
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            entry = self._random.choice(self._cluster.entries)
            expected = self.witness.find_accepted()
            try:
                async with asyncio.timeout(READ_INTERVAL_S):
                    _, shown = await self._cluster.call(
                        'GET', f'{self._cluster.url(entry)}/v1/configuration'
                    )
            except (aiohttp.ClientError, TimeoutError, ValueError):
                continue
            if shown.get('confirmed'):
                self.witness.record_read(
                    entry, shown['revision'], expected, self.read_time()
                )

    async def _watch_stalls(self) -> None:
        """Measure how long the event loop of this process stands still."""
        while True:
            due_s = time.monotonic() + STALL_INTERVAL_S
            await asyncio.sleep(STALL_INTERVAL_S)
            stall_s = time.monotonic() - due_s
            self.longest_stall_s = max(self.longest_stall_s, stall_s)

    async def _watch_processes(self) -> None:
        reported: set[str] = set()
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            for name, status in self._cluster.list_exits().items():
                if name not in reported:
                    reported.add(name)
                    self.witness.record_exit(name, status, self.read_time())
            for name in self._cluster.names:
                usage = self._cluster.read_usage(name)
                if usage is not None and name not in self._cluster.ended:
                    process_id = self._cluster.processes[name].pid
                    self.witness.record_usage(
                        name, process_id, usage, self.read_time()
                    )

    async def _check_recovery(self, last_fault_s: float) -> None:
        """Check that service and votes are back in time after the faults."""
        await self._check_service(last_fault_s)
        limit_s = last_fault_s + RECOVERY_S + callers.CALLER_TIMEOUT_S
        while voteless := await self._find_voteless(self._cluster.controls):
            if self.read_time() > limit_s:
                self._report_voteless(voteless)
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _check_service(self, last_fault_s: float) -> None:
        """Each entry must serve a job within the bound after the faults."""
        for entry in self._cluster.entries:
            while not await self._callers.serves(entry):
                if (
                    self.read_time() - last_fault_s
                    > RECOVERY_S + callers.CALLER_TIMEOUT_S
                ):
                    self.witness.report(
                        self.read_time(), 'service is back in time', entry
                    )
                    break
                await asyncio.sleep(RETRY_PAUSE_S)
