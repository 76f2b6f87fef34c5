"""One run: traffic, faults at their times, and checks meanwhile."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import signal
import time
from typing import Any
from typing import Final

import aiohttp

from soak import cluster
from soak import plan
from soak import reroute
from soak import witness
from tests import deployment

JOBS_PER_S: Final = 8.0
MAX_TASKS: Final = 12
MAX_WORK_MS: Final = 300
# A caller that gets no answer submits the same id at another entry.
CALLER_TIMEOUT_S: Final = 25.0
MAX_SUBMISSIONS: Final = 6
RETRY_PAUSE_S: Final = 0.5
READ_INTERVAL_S: Final = 0.5
USAGE_INTERVAL_S: Final = 2.0
CHANGE_TIMEOUT_S: Final = 20.0
# After the last fault; the stated bound of the users is 12 s.
RECOVERY_S: Final = 12.0
# A request that was sent this long before a planned stop has been read.
READ_MARGIN_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of a run; ``size`` is the number of targets a domain."""

    seed: int = 1
    seconds: float = 30.0
    size: int = 1
    # Folder for the logs of a run that broke a promise; empty for none.
    logs: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a run did and found."""

    options: Options
    faults: dict[str, int]
    outcomes: dict[str, int]
    violations: list[witness.Violation]


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request that a caller has sent and that has no answer yet."""

    entry: str
    submission: str
    sent_s: float


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
        self._random = random.Random(options.seed)
        self._cluster = cluster.SoakedDeployment(
            options.size, options.seed, self
        )
        self._cluster.prelude = reroute.PRELUDE + prelude
        self._start_s = time.monotonic()
        self._requests: dict[int, OpenRequest] = {}
        self._next_request = 0
        self._must_answer: set[int] = set()
        self._revision = 1
        self._change_lock = asyncio.Lock()
        self._traffic_ended = False

    def observe_start(self, key: str, domain: str) -> None:
        """Record a start that a target has seen."""
        self.witness.record_start(key, domain, self._now())

    def _now(self) -> float:
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
        )

    async def _play(self, faults: list[plan.TimedFault]) -> None:
        watchers = [
            asyncio.create_task(each)
            for each in (self._read_revisions(), self._watch_processes())
        ]
        traffic = asyncio.create_task(self._send_traffic())
        injections = [
            asyncio.create_task(self._inject(each)) for each in faults
        ]
        await asyncio.gather(*injections)
        last_s = self._now()
        await asyncio.sleep(max(0.0, self.options.seconds - last_s))
        self._traffic_ended = True
        await traffic
        await self._check_recovery(last_s)
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)

    # Traffic.

    async def _send_traffic(self) -> None:
        jobs: set[asyncio.Task[None]] = set()
        while not self._traffic_ended:
            await asyncio.sleep(self._random.expovariate(JOBS_PER_S))
            works_ms = [
                self._random.randint(10, MAX_WORK_MS)
                for _ in range(self._random.randint(1, MAX_TASKS))
            ]
            entry = self._random.choice(self._cluster.entries)
            job = asyncio.create_task(self._submit(entry, works_ms))
            jobs.add(job)
            job.add_done_callback(jobs.discard)
        await asyncio.gather(*jobs)

    async def _submit(self, entry: str, works_ms: list[int]) -> None:
        """Submit a job until it is answered, each time at another entry."""
        submission = deployment.make_id()
        entries = self._cluster.entries
        position = entries.index(entry)
        for attempt in range(MAX_SUBMISSIONS):
            name = entries[(position + attempt) % len(entries)]
            answer = await self._send(name, submission, works_ms)
            if answer is not None:
                status, body = answer
                self.witness.record_answer(
                    submission, len(works_ms), status, body, self._now()
                )
                return
            await asyncio.sleep(RETRY_PAUSE_S)
        self.witness.outcomes['unanswered'] += 1

    async def _send(
        self, entry: str, submission: str, works_ms: list[int]
    ) -> tuple[int, Any] | None:
        self._next_request += 1
        number = self._next_request
        self._requests[number] = OpenRequest(entry, submission, self._now())
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                return await self._cluster.submit(entry, works_ms, submission)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            if number in self._must_answer:
                self.witness.record_cut(entry, submission, self._now())
            return None
        finally:
            del self._requests[number]
            self._must_answer.discard(number)

    # Faults.

    async def _inject(self, timed: plan.TimedFault) -> None:
        await asyncio.sleep(max(0.0, timed.at_s - self._now()))
        match timed.fault:
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
        now_s = self._now()
        self._must_answer |= {
            number
            for number, request in self._requests.items()
            if request.entry == name and now_s - request.sent_s > READ_MARGIN_S
        }
        status = await self._cluster.stop(name)
        if status:
            self.witness.record_exit(name, status, self._now())
        await asyncio.sleep(duration_s)
        await self._cluster.restart(name)

    async def _freeze(self, name: str, duration_s: float) -> None:
        if name in self._cluster.ended:
            return
        process = self._cluster.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        # A kill may have ended it meanwhile.
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _close_domain(self, domain: str, duration_s: float) -> None:
        """Close a domain and open it again, one operator at a time."""
        async with self._change_lock:
            if not await self._change('close', domain):
                return
            closing = self.witness.record_closing(domain, self._now())
            await asyncio.sleep(duration_s)
            closing.until_s = self._now()
            await self._change('open', domain)

    async def _change(self, action: str, domain: str) -> bool:
        """Send a change until it is in force; False if it is not in time."""
        key = deployment.make_id()
        limit_s = self._now() + CHANGE_TIMEOUT_S
        while self._now() < limit_s:
            entry = self._random.choice(self._cluster.entries)
            try:
                async with asyncio.timeout(CHANGE_TIMEOUT_S):
                    status, body = await self._cluster.change(
                        entry, action, domain, self._revision, key
                    )
            except (aiohttp.ClientError, TimeoutError, ValueError):
                status, body = 0, {}
            if status == 200 and body.get('in_force'):
                self._revision = body['revision']
                self.witness.record_accepted(self._revision)
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        self.witness.report(
            self._now(), 'changes are in force in time', f'{action} {domain}'
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
                    entry, shown['revision'], expected, self._now()
                )

    async def _watch_processes(self) -> None:
        reported: set[str] = set()
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            for name, status in self._cluster.list_exits().items():
                if name not in reported:
                    reported.add(name)
                    self.witness.record_exit(name, status, self._now())
            for name in self._cluster.names:
                usage = self._cluster.read_usage(name)
                if usage is not None and name not in self._cluster.ended:
                    process_id = self._cluster.processes[name].pid
                    self.witness.record_usage(
                        name, process_id, usage, self._now()
                    )

    async def _check_recovery(self, last_fault_s: float) -> None:
        """Each entry must serve a job within the bound after the faults."""
        for entry in self._cluster.entries:
            while not await self._serves(entry):
                if self._now() - last_fault_s > RECOVERY_S + CALLER_TIMEOUT_S:
                    self.witness.report(
                        self._now(), 'service is back in time', entry
                    )
                    break
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _serves(self, entry: str) -> bool:
        answer = await self._send(entry, deployment.make_id(), [20])
        return answer is not None and answer[0] == 200
