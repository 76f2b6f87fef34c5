"""Callers that submit a job again at another entry, with real processes."""

import asyncio
import os
import unittest

import ddt

from soak import plan
from soak import runner

LOSS_S = plan.WARM_UP_S + 0.3
# The callers of the first entry have submitted their jobs at the second one.
NEXT_LOSS_S = LOSS_S + 1.9
# Longer than a task runs, and than callers wait until they go on.
HOLD_S = 6.0
JOBS = plan.Batch()

# What happens to the entries while the tasks of all jobs run.
HELD_ONCE = (plan.TimedFault(LOSS_S, plan.CutWay('entry-1', HOLD_S)),)
HELD_TWICE = (
    *HELD_ONCE,
    plan.TimedFault(NEXT_LOSS_S, plan.CutWay('entry-2', HOLD_S)),
)
OTHERS: tuple[tuple[plan.TimedFault, ...], ...] = (
    (plan.TimedFault(LOSS_S, plan.Kill('entry-1', 4.0)),),
    (plan.TimedFault(LOSS_S, plan.Freeze('entry-1', 4.0)),),
    (plan.TimedFault(LOSS_S, plan.Stop('entry-1', 4.0)),),
    (
        plan.TimedFault(LOSS_S, plan.ResetWay('entry-1')),
        plan.TimedFault(NEXT_LOSS_S, plan.ResetWay('entry-2')),
    ),
)
LOSSES = [HELD_ONCE, HELD_TWICE]
# The whole table takes more than a minute.
if os.environ.get('EELGRASSWORKS_ALL_LOSSES'):
    LOSSES += OTHERS


@ddt.ddt
class LostCallersTest(unittest.TestCase):
    # Guards against a second run of a task that an entry goes on with whose
    # callers have submitted its job at another entry.
    @ddt.data(*LOSSES)
    def test_job_that_is_submitted_again_runs_once(
        self, faults: tuple[plan.TimedFault, ...]
    ) -> None:
        options = runner.Options(seconds=0.0, jobs=JOBS)
        report = asyncio.run(runner.Run(options, list(faults)).run())
        self.assertEqual(report.violations, [])
        self.assertEqual(report.outcomes, {'complete': JOBS.jobs})


if __name__ == '__main__':
    unittest.main()
