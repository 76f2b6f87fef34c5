"""An operator changes a manifest of many routes hundreds of times."""

import asyncio
import json
import pathlib
import signal
import sys
import time

import aiohttp

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins2'))

import harness  # noqa: E402

# The site's routes, and three of its largest steps of big_config.
SITE_ROUTES = 11
ROUTES = SITE_ROUTES + 3 * 350
CHANGES = 900
MEMORY_MB = 300
CHANGES_UNTIL_S = 80.0
# ackTimeoutMs, and 3 ms for each route.
ACK_S = 4.0 + 0.003 * ROUTES
SAMPLE_S = 0.1


class Platform:
    """Ends a process that uses more memory than its settings allow."""

    def __init__(self, site: harness.Site) -> None:
        self.site = site
        self.kills: dict[str, int] = {}
        self.peaks_mb: dict[str, float] = {}

    async def watch(self) -> None:
        """Check the memory of each process, until cancelled."""
        while True:
            for name, program in self.site.programs.items():
                used_mb = program.read_rss_mb()
                peak_mb = self.peaks_mb.get(name, 0.0)
                self.peaks_mb[name] = max(peak_mb, used_mb)
                if used_mb > MEMORY_MB:
                    self.site.record.write(f'{name} uses {used_mb:.0f} MB')
                    self.kills[name] = self.kills.get(name, 0) + 1
                    program.send(signal.SIGKILL)
            await asyncio.sleep(SAMPLE_S)


async def play(folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the manifest cannot be read back at the end."""
    routes = ROUTES if has_trouble else SITE_ROUTES
    async with harness.Site(folder, runners=1) as site:
        await site.become_ready()
        platform = Platform(site)
        watching = asyncio.create_task(platform.watch())
        acknowledged = 1
        began_s = time.monotonic()
        for version in range(2, 2 + CHANGES):
            manifest = harness.make_manifest(version, routes)
            manifest['routes'][1]['timeoutMs'] = 1000 + version
            if time.monotonic() - began_s > CHANGES_UNTIL_S:
                break
            status = await site.replace_manifest(manifest, ACK_S)
            if version % 50 == 0:
                used = {k: round(v) for k, v in platform.peaks_mb.items()}
                site.record.write(f'peaks {used}')
            if status == 200:
                acknowledged = version
            else:
                break
        status, body = await site.order(
            'GET', '/api/config/read', limit_s=10.0, try_s=3.0
        )
        found = json.loads(body)['version'] if status == 200 else None
        site.record.write(
            f'read back: {status}, version {found}; acknowledged '
            f'{acknowledged}; ends for memory {platform.kills}'
        )
        async with aiohttp.ClientSession() as session:
            job = harness.make_job(2, 40, 50)
            for front in range(len(site.fronts)):
                await site.submit(session, front, harness.make_id(), job, 3.0)
        watching.cancel()
        return found is None or found < acknowledged


if __name__ == '__main__':
    sys.exit(harness.run_case(FOLDER, play))
