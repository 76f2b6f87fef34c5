"""The embedded mode: all roles in one process on one event loop.

Starts a control replica, an entry, agents and stand-in targets, applies a
sheet, runs a job of MAX_TASKS tasks and compares its response time with the
ideal one.
"""

import asyncio
import dataclasses
import pathlib
import random
import secrets
import sys
import tempfile
from typing import Any
from typing import Final

import aiohttp
import msgspec

from eelgrassworks import agentprocess
from eelgrassworks import clock
from eelgrassworks import contracts
from eelgrassworks import controlprocess
from eelgrassworks import entryprocess
from eelgrassworks import links
from eelgrassworks import process
from eelgrassworks import settings
from eelgrassworks import standin
from eelgrassworks.contracts import ids
from eelgrassworks.fronts import entryapi
from eelgrassworks.links import bus
from eelgrassworks.replication import journal
from eelgrassworks.trials import ideal

HOST: Final = '127.0.0.1'
ANY_ADDRESS: Final = 'tcp://127.0.0.1:0'
KEY: Final = 'embedded-default-key'
DOMAINS: Final = ('accra-central', 'tema-port', 'kasoa-west')
TEAM: Final = 'inspectors'
KIND: Final = 'crack-flag'
SHEET: Final = (
    'record,name,failure_domains,repeatable,time_limit_ms,share,max_queued,'
    'max_running\n'
    'kind,crack-flag,accra-central;tema-port;kasoa-west,yes,60000,,,\n'
    'kind,structural-read,accra-central;tema-port,no,60000,,,\n'
    'team,inspectors,,,,2,20000,0\n'
    'team,desks,,,,1,20000,0\n'
)
READY_TIMEOUT_S: Final = 10.0
PROGRESS_INTERVAL_S: Final = 0.5
ROUND_TRIP_S: Final = 0.001
MIN_WORK_MS: Final = 50
MAX_WORK_MS: Final = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size of a run in embedded mode."""

    targets: int = 6
    slots: int = 8
    tasks: int = contracts.MAX_TASKS
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Summary:
    """Outcome of a run: counts of tasks, and response times."""

    complete: int = 0
    failed: int = 0
    refused: int = 0
    started: int = 0
    started_twice: int = 0
    response_s: float = 0.0
    ideal_s: float = 0.0


class Embedded:
    """All roles in this process."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.targets: list[standin.StandIn] = []
        self.processes: list[process.Process] = []
        self.entry: entryprocess.EntryProcess | None = None
        self._folder = folder
        self._bus = bus.Bus()

    async def start(self) -> str:
        """Start all processes; return the URL of the entry."""
        control_model = _make_control(self._folder)
        controlprocess.format_folder(control_model, 'embedded')
        control = controlprocess.ControlProcess(
            control_model, self._open_link('control-1'), journal.SystemDisk()
        )
        self.entry = entryprocess.EntryProcess(
            _make_entry(), self._open_link('entry-1')
        )
        api = entryapi.EntryApi(self.entry)
        self.entry.fronts.append(api)
        self.processes = [control, self.entry]
        for position in range(self.plan.targets):
            self.processes.append(await self._make_agent(position))
        for each in self.processes:
            await each.start()
        return f'http://{HOST}:{api.port}'

    async def _make_agent(self, position: int) -> process.Process:
        target = standin.StandIn(
            f'runner-{position + 1}', standin.Faults(), self.plan.seed
        )
        port = await target.start(HOST, 0)
        self.targets.append(target)
        domain = DOMAINS[position % len(DOMAINS)]
        model = settings.AgentSettings(
            target.name,
            settings.WorkerModel(f'worker-{position + 1}', domain),
            ANY_ADDRESS,
            settings.TargetModel(f'http://{HOST}:{port}', self.plan.slots),
            settings.HttpModel(HOST, 0),
            KEY,
            {'entry-1': ANY_ADDRESS},
        )
        return agentprocess.AgentProcess(model, self._open_link(target.name))

    def _open_link(self, name: str) -> bus.BusTransport:
        sender = links.Sender(name, secrets.randbits(63), ANY_ADDRESS)
        return bus.BusTransport(self._bus, links.Codec(KEY.encode()), sender)

    async def stop(self) -> None:
        """Stop all processes, agents first."""
        for each in reversed(self.processes):
            each.begin_stop()
            await each.ended.wait()
            await each.finish()
        for target in self.targets:
            await target.close()


def _make_control(folder: pathlib.Path) -> settings.ControlSettings:
    return settings.ControlSettings(
        'control-1',
        settings.VmModel('vm-1', DOMAINS[0], 'gh-south'),
        ANY_ADDRESS,
        settings.HttpModel(HOST, 0),
        KEY,
        str(folder),
        {'control-1': ANY_ADDRESS},
    )


def _make_entry() -> settings.EntrySettings:
    return settings.EntrySettings(
        'entry-1',
        settings.VmModel('vm-1', DOMAINS[0], 'gh-south'),
        ANY_ADDRESS,
        settings.HttpModel(HOST, 0),
        KEY,
        {'control-1': ANY_ADDRESS},
        max_wait_s=60.0,
    )


async def run_job(plan: Plan) -> Summary:
    """Start all roles, run one job, and stop."""
    with tempfile.TemporaryDirectory() as folder:
        embedded = Embedded(plan, pathlib.Path(folder))
        url = await embedded.start()
        try:
            async with aiohttp.ClientSession(url) as session:
                await prepare(embedded, session)
                return await _run(embedded, session)
        finally:
            await embedded.stop()


async def prepare(embedded: Embedded, session: aiohttp.ClientSession) -> None:
    """Apply the sheet and wait until every process accepts work."""
    await _apply_sheet(session)
    await _wait_ready(embedded)


async def _apply_sheet(session: aiohttp.ClientSession) -> None:
    deadline_s = clock.read_now() + READY_TIMEOUT_S
    while clock.read_now() < deadline_s:
        async with session.put(
            '/v1/sheet',
            params={'expected_revision': '0'},
            data=SHEET.encode(),
            headers={'Idempotency-Key': 'embedded-sheet'},
        ) as response:
            if response.status in (200, 202):
                return
        await asyncio.sleep(0.1)
    raise TimeoutError('the sheet was not accepted')


async def _wait_ready(embedded: Embedded) -> None:
    deadline_s = clock.read_now() + READY_TIMEOUT_S
    while not all(each.is_ready() for each in embedded.processes):
        if clock.read_now() > deadline_s:
            raise TimeoutError('not every process became ready')
        await asyncio.sleep(0.05)
    # Waits for one more renewal, in which agents report that they accept work.
    await asyncio.sleep(1.0)


async def _run(embedded: Embedded, session: aiohttp.ClientSession) -> Summary:
    plan = embedded.plan
    generator = random.Random(plan.seed)
    durations_ms = [
        generator.randint(MIN_WORK_MS, MAX_WORK_MS) for _ in range(plan.tasks)
    ]
    body = msgspec.json.encode(
        {'kind': KIND, 'tasks': [{'work_ms': each} for each in durations_ms]}
    )
    progress = asyncio.create_task(_show_progress(embedded))
    started_s = clock.read_now()
    async with session.post(
        '/v1/jobs',
        data=body,
        headers={
            'Team': TEAM,
            'Idempotency-Key': ids.make_id(clock.read_wall_ms()),
        },
    ) as response:
        answer: Any = await response.json(content_type=None)
    summary = Summary(response_s=clock.read_now() - started_s)
    progress.cancel()
    sys.stderr.write('\n')
    _count_answer(summary, response.status, answer, plan)
    summary.started = sum(sum(t.starts.values()) for t in embedded.targets)
    summary.started_twice = sum(t.count_repeated() for t in embedded.targets)
    tasks = [ideal.IdealTask(0, 0.0, each / 1000) for each in durations_ms]
    slots = [1.0] * (plan.targets * plan.slots)
    summary.ideal_s = ideal.compute_responses(tasks, slots, ROUND_TRIP_S)[0]
    return summary


def _count_answer(
    summary: Summary, status: int, answer: Any, plan: Plan
) -> None:
    if status == 200 and len(answer['results']) == plan.tasks:
        summary.complete = plan.tasks
    elif answer.get('ran') == 'not run':
        summary.refused = plan.tasks
    else:
        summary.failed = plan.tasks


async def _show_progress(embedded: Embedded) -> None:
    while True:
        finished = sum(target.finished for target in embedded.targets)
        sys.stderr.write(f'\r{finished} of {embedded.plan.tasks} tasks done')
        sys.stderr.flush()
        await asyncio.sleep(PROGRESS_INTERVAL_S)
