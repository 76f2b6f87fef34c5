"""Groups of eight replicas, as processes, that lose power and disks."""

import asyncio
import os
import pathlib
import signal
import sys
import unittest

import ddt

from soak import powerloss
from soak import powerplan
from soak import replicagroup
from tests import deployment

VOTERS_LOST = (
    powerplan.Victim(powerplan.Role.VOTER, 1),
    powerplan.Victim(powerplan.Role.VOTER, 2),
)
JOINED_LOST = (
    powerplan.Victim(powerplan.Role.JOINED_VOTER, 1),
    powerplan.Victim(powerplan.Role.JOINED_VOTER, 2),
)
LEADER_LOST = (
    powerplan.Victim(powerplan.Role.LEADER),
    powerplan.Victim(powerplan.Role.VOTER, 2),
)
# Founders that all vote are left alone with each other, so the group needs
# the addresses that the first settings had.
RESEEDED = powerplan.Script(
    ((powerplan.Reseed(powerplan.Role.JOINED, 2),),), JOINED_LOST
)


def lose_disk(number: int) -> powerplan.Step:
    """Return a step in which a voter that does not lead loses its disk."""
    return (
        powerplan.LoseDisk(
            powerplan.Victim(powerplan.Role.VOTING_FOLLOWER, number), 1.0
        ),
    )


# Groups that run at the same time.
MAX_GROUPS = 3
# Name, seed and script of each run, the longest first.
ROWS: tuple[tuple[str, int, powerplan.Script], ...] = (
    (
        'four disks lost one at a time without a seed that leads',
        3,
        powerplan.Script(
            ((powerplan.MoveLeader(),), *map(lose_disk, range(4))),
            VOTERS_LOST,
        ),
    ),
    (
        'two machines replaced',
        4,
        powerplan.Script(
            (
                (
                    powerplan.Replace(
                        powerplan.Victim(powerplan.Role.FOUNDER, 1), 1.0
                    ),
                ),
                (
                    powerplan.Replace(
                        powerplan.Victim(powerplan.Role.FOUNDER, 2), 1.0
                    ),
                ),
            ),
            VOTERS_LOST,
        ),
    ),
    ('calm', 1, powerplan.Script((), LEADER_LOST)),
    ('founders after other seeds', 11, RESEEDED),
    ('founders after other seeds, again', 12, RESEEDED),
)


# One disk more than the group tolerates.
TOO_MANY_LOST = powerplan.Script(
    (), (*VOTERS_LOST, powerplan.Victim(powerplan.Role.VOTER, 3))
)


async def play_rows() -> dict[str, powerloss.Report]:
    """Play all rows, a few at the same time."""
    free = asyncio.Semaphore(MAX_GROUPS)

    async def play(
        name: str, seed: int, script: powerplan.Script
    ) -> tuple[str, powerloss.Report]:
        async with free:
            return name, await powerloss.Run(seed, script).play()

    rows = (*ROWS, ('too many lost', 5, TOO_MANY_LOST))
    return dict(await asyncio.gather(*(play(*row) for row in rows)))


@ddt.ddt
class PowerLossTest(unittest.TestCase):
    reports: dict[str, powerloss.Report]

    @classmethod
    def setUpClass(cls) -> None:
        cls.reports = asyncio.run(play_rows())

    @ddt.data(*(name for name, _, _ in ROWS))
    def test_acknowledged_change_outlives_a_loss_of_power(
        self, name: str
    ) -> None:
        """Guards against a group that does not serve after its return."""
        report = self.reports[name]
        self.assertEqual(report.violations, [], report)

    def test_lost_majority_is_found(self) -> None:
        """Guards against checks that find nothing."""
        violations = self.reports['too many lost'].violations
        found = {each.partition(':')[0] for each in violations}
        self.assertEqual(found, {'recovery', 'change', 'membership'})


def list_children(process: int) -> list[int]:
    """Return the processes that a process has started."""
    path = pathlib.Path(f'/proc/{process}/task/{process}/children')
    return [int(each) for each in path.read_text().split()]


def list_running(processes: list[int]) -> list[int]:
    """Return those of some processes that have not ended."""
    return [p for p in processes if pathlib.Path(f'/proc/{p}').exists()]


class CommandTest(unittest.IsolatedAsyncioTestCase):
    async def test_stopped_run_ends_its_processes(self) -> None:
        """Guards against replicas that outlive a run that is stopped."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'soak.powerloss',
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
            cwd=replicagroup.ROOT,
        )
        children: list[int] = []

        async def has_started() -> bool:
            children[:] = list_children(process.pid)
            return len(children) == len(replicagroup.DOMAINS) * 2

        await deployment.wait_until(has_started)
        process.terminate()
        await process.wait()
        left = list_running(children)
        for each in left:
            os.kill(each, signal.SIGKILL)
        self.assertEqual(left, [])


@ddt.ddt
class ScriptTest(unittest.TestCase):
    @ddt.data(*range(1, 51))
    def test_step_stays_within_what_the_group_tolerates(
        self, seed: int
    ) -> None:
        """Guards against scripts that lose more than is promised."""
        for step in powerplan.draw_script(seed).steps:
            affecting = [
                fault
                for fault in step
                if not isinstance(fault, powerplan.Reseed)
            ]
            self.assertLessEqual(len(affecting), powerplan.TOLERATED_MACHINES)
            losses = [f for f in affecting if powerplan.loses_disk(f)]
            starts_s = [fault.delay_s for fault in losses]
            ends_s = [fault.delay_s + fault.duration_s for fault in losses]
            self.assertLess(max(starts_s, default=0.0), min(ends_s, default=1))

    def test_seed_determines_the_script(self) -> None:
        """Guards against a failed run that cannot be played again."""
        self.assertEqual(powerplan.draw_script(7), powerplan.draw_script(7))


if __name__ == '__main__':
    unittest.main()
