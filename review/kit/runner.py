"""Stand-in of a runner: one process is one life of one runner.

It follows the users' pages: it registers at the ``control`` address of its
machine, keeps the highest fence, shortens leases to ``maxHoldMs``, starts
whatever it is told to start, and keeps ends until they are acknowledged.
A task only waits, for the milliseconds in its ``spec``.

Usage: ``runner.py SETTINGS``, the path of a JSON file.  Each start and each
end goes to the file ``events`` as one line, with the time of the system's
monotonic clock.  With ``restartMs`` the first process only watches over the
lives: when one has crashed, it starts the next one after that time.
"""

import asyncio
import json
import os
import pathlib
import sys
import time
from typing import Any

import aiohttp
from aiohttp import web

# A stop takes at most stopGraceMs, 50.
STOP_S = 0.045
MAX_HOLD_S = 1.0
REPORT_TIMEOUT_S = 1.0
LISTED_ENDS = 500


class Run:
    """A run that waits until ``finish_s``."""

    def __init__(self, started_s: float, duration_s: float) -> None:
        self.started_s = started_s
        self.finish_s = started_s + duration_s
        self.stop_s = float('inf')


class Runner:
    """One life of a runner."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.born_ms = time.time_ns() // 1_000_000
        self.born_s = time.monotonic()
        self.runs: dict[tuple[str, int], Run] = {}
        self.demands: dict[tuple[str, int], int] = {}
        # The highest run of each task that was stopped or has ended here.
        self.highest: dict[str, int] = {}
        self.fence = 0
        self.lease_end_s = 0.0
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.sequence = 0
        # A life ends with the process that watches over it.
        self.parent = os.getppid()
        self.events = pathlib.Path(settings['events'])

    def now_s(self) -> float:
        """Return the runner's own steady clock."""
        return time.monotonic() - self.born_s

    def record(self, event: str, **fields: Any) -> None:
        """Write one line of the record."""
        line = {
            'at': round(time.monotonic(), 4),
            'runner': self.settings['id'],
            'born': self.born_ms,
            'event': event,
            **fields,
        }
        with self.events.open('a') as stream:
            stream.write(json.dumps(line) + '\n')

    # The calls of the system.

    def respond(
        self, fields: dict[str, Any], status: int = 200
    ) -> web.Response:
        """Return a response with the runner's clock and start time."""
        common = {
            'clockMs': int(self.now_s() * 1000),
            'born': self.born_ms,
        }
        return web.json_response({**common, **fields}, status=status)

    def refuse_lifetime(self, request: web.Request) -> bool:
        """Tell whether a call names another life of the runner."""
        name = request.headers.get('X-Eelgrassworks-Target-Instance')
        return name is not None and name != self.settings['id']

    def accept_fence(self, body: dict[str, Any]) -> bool:
        """Keep the highest fence; a lower one is refused."""
        fence = body.get('fence', 0)
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease of everything that runs; it never shortens."""
        deadline_s = min(deadline_ms / 1000, self.now_s() + MAX_HOLD_S)
        self.lease_end_s = max(self.lease_end_s, deadline_s)

    async def start(self, request: web.Request) -> web.Response:
        """Start a run."""
        body = await request.json()
        if self.refuse_lifetime(request):
            return self.respond({}, 421)
        self.sweep()
        if not self.accept_fence(body):
            return self.respond({'reason': 'fence'}, 409)
        if body['deadlineMs'] <= self.now_s() * 1000:
            return self.respond({'reason': 'late'}, 409)
        task, number = body['task'], body['run']
        self.extend_lease(body['deadlineMs'])
        if (task, number) in self.runs:
            return self.respond({})
        if number <= self.highest.get(task, 0):
            return self.respond({'reason': 'old'}, 409)
        self.runs[task, number] = Run(self.now_s(), int(body['spec']) / 1000)
        self.record('start', task=task, run=number, running=len(self.runs))
        return self.respond({})

    async def stop(self, request: web.Request) -> web.Response:
        """Stop a run, or keep it from starting."""
        body = await request.json()
        if self.refuse_lifetime(request):
            return self.respond({}, 421)
        self.sweep()
        if not self.accept_fence(body):
            return self.respond({'reason': 'fence'}, 409)
        task, number = body['task'], body['run']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None:
            run.stop_s = min(run.stop_s, self.now_s() + STOP_S)
        return self.respond({})

    async def hold(self, request: web.Request) -> web.Response:
        """Renew the lease and list the running and the ended runs."""
        body = await request.json()
        if self.refuse_lifetime(request):
            return self.respond({}, 421)
        self.sweep()
        if not self.accept_fence(body):
            return self.respond({'reason': 'fence'}, 409)
        if 'deadlineMs' in body:
            self.extend_lease(body['deadlineMs'])
        self.ended = [row for row in self.ended if row[0] > body['ackSeq']]
        until_s = self.now_s() + min(2.0, body.get('waitMs', 0) / 1000)
        while not self.ended and self.now_s() < until_s:
            await asyncio.sleep(0.005)
            self.sweep()
        now_s = self.now_s()
        running = []
        for (task, number), run in self.runs.items():
            length_s = max(0.001, run.finish_s - run.started_s)
            percent = int(100 * (now_s - run.started_s) / length_s)
            running.append([task, number, '', min(99, percent), 0])
        listed = self.ended[:LISTED_ENDS]
        return self.respond({'running': running, 'finishedRuns': listed})

    # Time.

    def sweep(self) -> None:
        """End the runs whose time has come."""
        now_s = self.now_s()
        for (task, number), run in list(self.runs.items()):
            end_s, how = min(
                (run.finish_s, 'done'),
                (run.stop_s, 'stopped'),
                (self.lease_end_s, 'lapsed'),
            )
            if end_s > now_s:
                continue
            del self.runs[task, number]
            self.highest[task] = max(self.highest.get(task, 0), number)
            self.last_end += 1
            self.ended.append([self.last_end, task, number, how, ''])
            self.record('end', task=task, run=number, how=how)

    async def keep_sweeping(self) -> None:
        """Sweep often enough for the record."""
        while True:
            self.sweep()
            if os.getppid() != self.parent:
                os._exit(0)
            await asyncio.sleep(0.005)

    def make_report(self) -> dict[str, Any]:
        """Return the body of a liveness report."""
        self.sequence += 1
        settings = self.settings
        return {
            'service': settings['service'],
            'address': f'{settings["host"]}:{settings["port"]}',
            'zone': settings['zone'],
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'capacity': {'cpu': settings['cpu'], 'memMb': 32768, 'gpu': 0},
            'labels': ['a', 'r1-1'],
            'clockMs': int(self.now_s() * 1000),
            'born': self.born_ms,
            'seq': self.sequence,
        }

    async def keep_reporting(self) -> None:
        """Send a liveness report about every ``heartbeatMs``."""
        await asyncio.sleep(self.settings.get('firstReportMs', 0) / 1000)
        url = (
            f'http://{self.settings["control"]}/api/instances/'
            f'{self.settings["id"]}/heartbeat'
        )
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                began_s = time.monotonic()
                try:
                    report = self.make_report()
                    async with session.post(url, json=report) as response:
                        await response.read()
                    if self.sequence == 1:
                        self.record('reported')
                except (aiohttp.ClientError, TimeoutError, OSError):
                    self.sequence -= 1
                    await asyncio.sleep(0.2)
                    continue
                spent_s = time.monotonic() - began_s
                period_s = self.settings['heartbeatMs'] / 1000
                await asyncio.sleep(max(0.0, period_s - spent_s))

    async def serve(self) -> None:
        """Serve until the process is killed."""
        application = web.Application()
        application.router.add_post('/api/run-start', self.start)
        application.router.add_post('/api/run-stop', self.stop)
        application.router.add_post('/api/hold', self.hold)
        app_runner = web.AppRunner(application, access_log=None)
        await app_runner.setup()
        settings = self.settings
        site = web.TCPSite(
            app_runner, settings['host'], settings['port'], reuse_address=True
        )
        await site.start()
        self.record('listens', pid=os.getpid())
        await asyncio.gather(self.keep_sweeping(), self.keep_reporting())


def main() -> None:
    """Run the lives of a runner, or one of them."""
    settings = json.loads(pathlib.Path(sys.argv[1]).read_text())
    restart_ms = settings.get('restartMs')
    parent = os.getpid()
    while restart_ms is not None:
        life = os.fork()
        if not life:
            break
        os.waitpid(life, 0)
        time.sleep(restart_ms / 1000)
    runner = Runner(settings)
    if restart_ms is not None:
        runner.parent = parent
    asyncio.run(runner.serve())


if __name__ == '__main__':
    main()
