"""A core machine loses its disk after a day with many changes.

Rule CONFIG: read back at the end of the day, the manifest doesn't come.
"""

import asyncio
import pathlib
import shutil

from review.kit import system

FOLDER = pathlib.Path(__file__).resolve().parent
# The site's days add up to 450 routes at once (`big_config`), and a day may
# contain hundreds of changes.
ROUTES = 451
CHANGES = 200
# The operator waits longer for the answer to a large body.
CHANGE_WAIT_S = 3.0
DOWN_S = 3.0
# catchUpS is 4.
CATCH_UP_S = 12.0
READ_LIMIT_S = 15.0


async def run(trouble: bool) -> bool:
    """Run the case; tell whether the rule was broken."""
    deployment = system.System(FOLDER / 'record.txt')
    first, second, third = deployment.cores
    try:
        await deployment.start_all()
        await deployment.replace_manifest(deployment.make_manifest())
        await deployment.wait_serving()
        for _ in range(CHANGES):
            if not await deployment.replace_manifest(
                deployment.make_manifest(ROUTES), wait_s=CHANGE_WAIT_S
            ):
                raise system.CouldNotRun('a change was not acknowledged')
        if trouble:
            await deployment.kill(f'{first}-control')
            shutil.rmtree(deployment.folder / 'data' / first)
            deployment.record('disk lost', node=first)
            await asyncio.sleep(DOWN_S)
            await deployment.start(first, 'control', first=False)
        await asyncio.sleep(CATCH_UP_S)
        # The one loss that the deployment has to bear.
        await deployment.kill(f'{second}-control')
        status, text = await deployment.order(
            'GET',
            '/api/config/read',
            None,
            READ_LIMIT_S,
            nodes=[first, third],
        )
        deployment.record('read back', status=status, text=str(text)[:60])
        await deployment.submit(
            deployment.fronts[0], system.make_job_id(), 4, 100
        )
        for name in (first, third):
            log = deployment.read_log(f'{name}-control')
            deployment.record(
                'log', node=name, frames_rejected=log.count('frame_rejected')
            )
        return status != 200
    finally:
        await deployment.close()


if __name__ == '__main__':
    system.run_case(run)
