"""Runs experiments for comparison and presents their results.

Compares policies, or this revision with another one, on the same arrivals.
"""

import asyncio
import dataclasses
import json
import os
import sys
from typing import Any
from typing import Final

from eelgrassworks.machines import placement
from eelgrassworks.trials import experiment
from eelgrassworks.trials import workload

PLOT_LOADS: Final = (0.3, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95)
COLUMNS: Final = (
    'policy',
    'load',
    'jobs',
    'complete',
    'failed',
    'not_run',
    'started_twice',
    'failed_tasks',
    'against_ideal_p50',
    'against_ideal_p99',
    'ratio_p50',
    'ratio_p99',
    'response_p50_s',
    'response_p99_s',
    'wasted_per_task',
    'busy_share',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """The options of the `trial` command; times are in seconds."""

    preset: str = 'coverwatch'
    load: float = 0.8
    seconds: float = 60.0
    seed: int = 1
    entries: int = 3
    stragglers: float = 0.0
    burst: float = 1.0
    cancels: float = 0.0
    failing: str = ''
    hanging: str = ''
    closing: str = ''
    max_wait_s: float = experiment.JOB_LIMIT_S

    def make_plan(self, load: float) -> workload.Plan:
        """Return the workload plan for a load."""
        return workload.Plan(
            workload.PRESETS[self.preset],
            load,
            self.seconds,
            self.seed,
            self.stragglers,
            self.burst,
        )

    def make_setup(self, policy: placement.Policy) -> experiment.Setup:
        """Return the setup for a policy.

        The baselines bind each task to a target on arrival, so they need
        long queues at the targets.
        """
        closing = None
        if self.closing:
            closing = experiment.Closing(
                self.closing, self.seconds / 3, self.seconds * 2 / 3
            )
        default = experiment.Setup()
        is_late_binding = isinstance(policy, placement.LateBinding)
        return experiment.Setup(
            policy,
            self.entries,
            default.queue_limit if is_late_binding else 100_000,
            self.max_wait_s,
            frozenset(filter(None, [self.failing])),
            frozenset(filter(None, [self.hanging])),
            closing,
            self.cancels,
        )


def run_trial(
    trial: Trial, policy: placement.Policy, load: float
) -> experiment.Result:
    """Run one experiment and print its progress to stderr."""

    def show_progress(share: float) -> None:
        sys.stderr.write(f'\r{share:4.0%} of {trial.seconds:g} s')
        sys.stderr.flush()

    planned = experiment.Experiment(
        trial.make_plan(load), trial.make_setup(policy)
    )
    result = planned.run(show_progress)
    sys.stderr.write('\n')
    return result


async def run_revision(folder: str, arguments: list[str]) -> dict[str, Any]:
    """Run the same trial with the code of the checkout in ``folder``."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        'from eelgrassworks import client; client.main()',
        'trial',
        *arguments,
        '--as_json',
        cwd=folder,
        env=os.environ | {'PYTHONPATH': folder},
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    results: list[dict[str, Any]] = json.loads(output)
    return results[0]


def format_table(results: list[dict[str, Any]]) -> str:
    """Format results as a text table with one column per result."""
    lines = []
    for column in COLUMNS:
        cells = []
        for result in results:
            value = result[column]
            text = f'{value:.3f}' if isinstance(value, float) else str(value)
            cells.append(text.rjust(28))
        lines.append(column.ljust(20) + ''.join(cells))
    return '\n'.join(lines)


def plot_loads(
    trial: Trial, policies: list[placement.Policy], path: str
) -> list[experiment.Result]:
    """Plot the response against the load for each policy into a file."""
    from matplotlib import figure

    chart = figure.Figure(figsize=(8, 5))
    axes = chart.subplots()
    results = []
    for policy in policies:
        row = [run_trial(trial, policy, load) for load in PLOT_LOADS]
        results += row
        for name, style in (('p50', '-'), ('p99', '--')):
            axes.plot(
                PLOT_LOADS,
                [getattr(each, f'against_ideal_{name}') for each in row],
                style,
                label=f'{row[0].policy} {name}',
            )
    axes.set_xlabel('load, share of capacity')
    axes.set_ylabel('response against the ideal')
    axes.set_yscale('log')
    axes.legend()
    chart.savefig(path)
    return results
