"""Open-loop load generator over HTTP for a running system.

Jobs are sent at planned times whether or not earlier ones were answered, so
a stall shows in the response times of all jobs that were due during it.
"""

import asyncio
import dataclasses
import random
import sys
from typing import Any
from typing import Final

import aiohttp
from hdrh import histogram
import msgspec

from eelgrassworks import clock
from eelgrassworks.contracts import ids

MAX_JOBS: Final = 100_000
MAX_DURATION_S: Final = 3600.0
MAX_RESPONSE_US: Final = 3_600_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Jobs to send: ``rate`` is jobs per second, ``work_ms`` per task."""

    servers: tuple[str, ...]
    team: str
    kind: str = 'crack-flag'
    jobs: int = 200
    tasks: int = 1
    rate: float = 50.0
    work_ms: float = 50.0
    seed: int = 1
    claimed: bool = True


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Outcomes; response times start at the planned time of sending."""

    complete: int = 0
    not_run: int = 0
    may_have_run: int = 0
    unreachable: int = 0
    seconds: float = 0.0
    tasks_per_s: float = 0.0
    response_p50_ms: float = 0.0
    response_p99_ms: float = 0.0
    response_max_ms: float = 0.0


async def run_load(plan: LoadPlan) -> LoadReport:
    """Send the jobs of the plan and wait for every answer."""
    if plan.jobs > MAX_JOBS or plan.jobs / plan.rate > MAX_DURATION_S:
        raise ValueError('the plan exceeds the limit on jobs or on duration')
    report = LoadReport()
    response_times_us = histogram.HdrHistogram(1, MAX_RESPONSE_US, 3)
    generator = random.Random(plan.seed)
    body = msgspec.json.encode(
        {
            'kind': plan.kind,
            'tasks': [{'work_ms': plan.work_ms}] * plan.tasks,
        }
    )
    start_s = clock.read_now()
    due_s = start_s
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        pending = []
        for number in range(plan.jobs):
            due_s += generator.expovariate(plan.rate)
            await asyncio.sleep(max(0.0, due_s - clock.read_now()))
            server = plan.servers[number % len(plan.servers)]
            request = _send(
                session, server, plan, body, due_s, response_times_us
            )
            pending.append(asyncio.create_task(request))
            if number % 100 == 0:
                sys.stderr.write(f'\r{number} of {plan.jobs} jobs sent')
        for outcome in await asyncio.gather(*pending):
            setattr(report, outcome, getattr(report, outcome) + 1)
    sys.stderr.write('\n')
    report.seconds = clock.read_now() - start_s
    report.tasks_per_s = report.complete * plan.tasks / report.seconds
    report.response_p50_ms = _read_percentile_ms(response_times_us, 50)
    report.response_p99_ms = _read_percentile_ms(response_times_us, 99)
    report.response_max_ms = response_times_us.get_max_value() / 1000
    return report


async def _send(
    session: aiohttp.ClientSession,
    server: str,
    plan: LoadPlan,
    body: bytes,
    due_s: float,
    response_times_us: Any,
) -> str:
    headers = {'Team': plan.team}
    if plan.claimed:
        headers['Idempotency-Key'] = ids.make_id(clock.read_wall_ms())
    try:
        async with session.post(
            f'{server}/v1/jobs', data=body, headers=headers
        ) as response:
            answer = await response.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError):
        return 'unreachable'
    response_times_us.record_value(int((clock.read_now() - due_s) * 1e6))
    if response.status == 200:
        return 'complete'
    return 'not_run' if answer.get('ran') == 'not run' else 'may_have_run'


def _read_percentile_ms(response_times_us: Any, percentile: float) -> float:
    return float(response_times_us.get_value_at_percentile(percentile)) / 1000
