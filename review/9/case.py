"""A client cancels a job while its tasks run; they must not run on."""

import asyncio
import pathlib
import sys
import time

import aiohttp

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins2'))

import harness  # noqa: E402

TASKS = 4
DURATION_MS = 10000
# ackTimeoutMs, cancel_ms and stopGraceMs of the settings: the bound for a
# cancel that was not acknowledged, and so for any.
LIMIT_S = 4.0 + 3.0 + 0.05


async def cancel(site: harness.Site, job_id: str) -> tuple[int, float]:
    """Send a DELETE to another front; return its status and the time."""
    url = f'http://{site.fronts[1]}:{harness.FRONT_PORT}{harness.PREFIX}'
    async with (
        aiohttp.ClientSession() as session,
        session.delete(
            url + job_id,
            headers={'Host': harness.HOST},
            timeout=aiohttp.ClientTimeout(total=4),
        ) as response,
    ):
        site.record.write(f'client: DELETE {job_id} -> {response.status}')
        return response.status, time.monotonic()


async def play(folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether a task runs on after its job was cancelled."""
    async with harness.Site(folder) as site:
        await site.become_ready()
        job_id = harness.make_id()
        job = harness.make_job(TASKS, DURATION_MS, DURATION_MS)
        async with aiohttp.ClientSession() as session:
            submission = asyncio.create_task(
                site.submit(session, 0, job_id, job, 20.0)
            )
            await asyncio.sleep(0.5)
            status, cancelled_s = 0, float('inf')
            if has_trouble:
                status, cancelled_s = await cancel(site, job_id)
            await submission
        rows = [
            row
            for runner in site.runners
            for row in runner.history
            if row[0].startswith(job_id)
        ]
        late = [
            row for row in rows if row[3] and row[3] > cancelled_s + LIMIT_S
        ]
        for row in late:
            site.record.write(
                f'{row[0]} run {row[1]} ended {row[4]} '
                f'{row[3] - cancelled_s:.2f} s after the answer {status}'
            )
        return bool(late) and status in (200, 410)


if __name__ == '__main__':
    sys.exit(harness.run_case(FOLDER, play))
