"""A deployment in one zone loses one disk, which it says that it bears."""

import asyncio
import json
import pathlib
import signal
import sys

import aiohttp

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins2'))

import harness  # noqa: E402

MACHINES = 3
# The machine is dark for this long, and comes back with an empty disk.
DARK_S = 3.0
# recoveryS of the settings, after the machine is back.
RECOVERY_S = 12.0
# Longer than stableWindowMs.
READ_S = 6.0
JOBS = 4
LOST = 'front-2'


async def play(folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the manifest can't be read after a disk was lost."""
    async with harness.Site(
        folder, fronts=MACHINES, zones=('accra-central',)
    ) as site:
        controls = [name for name in site.programs if 'control' in name]
        site.record.write(f'control runs as {controls}')
        await site.become_ready()
        version = 2
        if await site.replace_manifest(harness.make_manifest(version)) != 200:
            raise harness.CannotRun('a change has no acknowledgement')
        lost = [
            program
            for name, program in site.programs.items()
            if name.startswith(LOST)
        ]
        for program in lost:
            program.delay_s = DARK_S
            program.send(signal.SIGKILL)
        if has_trouble:
            await asyncio.sleep(DARK_S / 2)
            for program in lost:
                program.lose_disk()
        await asyncio.sleep(DARK_S + RECOVERY_S)
        status, body = await site.order(
            'GET', '/api/config/read', limit_s=READ_S
        )
        found = json.loads(body)['version'] if status == 200 else None
        served = await count_served(site)
        site.record.write(
            f'read back: {status}, version {found}; {served} of {JOBS} jobs '
            'served'
        )
        return found != version


async def count_served(site: harness.Site) -> int:
    """Return how many jobs the fronts that are left complete."""
    served = 0
    async with aiohttp.ClientSession() as session:
        for number in range(JOBS):
            front = (0, 2)[number % 2]
            job = harness.make_job(2, 40, 50)
            status, _ = await site.submit(
                session, front, harness.make_id(), job, 1.0
            )
            served += status == 200
    return served


if __name__ == '__main__':
    sys.exit(harness.run_case(FOLDER, play))
