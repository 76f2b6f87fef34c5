"""Experiment with claims while homes are slow.

Plays the uneven arrivals of ``objectives`` through entries that claim jobs at
homes.  Some homes respond late, or one entry in turn stands still.  Prints the
same arrivals with ``LearntHomes`` off and on.
"""

from collections.abc import Iterator
import dataclasses
import functools
import sys
from typing import Any
from typing import Final

import fire

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import features
from eelgrassworks import shedding
from eelgrassworks.links import messages
from eelgrassworks.machines import placement
from eelgrassworks.trials import objectives
from eelgrassworks.trials import virtual

# Entries that share their machines with replicas.
DISKS: Final = 3
# A slow home responds later by this time.
DELAY_S: Final = 0.06
# An entry stands still for this long, another one in each interval.
STALL_S: Final = 0.2
STALL_INTERVAL_S: Final = 1.0


class ClaimWorld(virtual.World):
    """A world that keeps how long the claims of jobs took."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.claims_s: dict[int, float] = {}

    def _execute_effects(
        self, node: virtual.Node, result: effects.Effects
    ) -> None:
        for effect in result:
            if isinstance(effect, effects.Log) and 'claim_s' in effect.fields:
                fields: dict[str, Any] = effect.fields
                number = int(contracts.read_caller_id(fields['id']), 16)
                self.claims_s[number] = fields['claim_s']
        super()._execute_effects(node, result)


class ClaimExperiment(objectives.Experiment):
    """A run in which the last ``slow_homes`` entries respond late as homes."""

    def __init__(
        self, plan: objectives.Plan, slow_homes: int = 0, stalls: bool = False
    ) -> None:
        self._slow_homes = slow_homes
        self._stalls = stalls
        super().__init__(
            dataclasses.replace(plan, uneven=True, disks=DISKS),
            placement.LateBinding(),
        )

    def _build(self) -> None:
        self.world: ClaimWorld = ClaimWorld(self.plan.seed)
        world = self.world

        def route(sender: str, receiver: str, message: object) -> list[float]:
            del sender
            homes = world.nodes[self.entries[0]].core.ownership.homes
            slow = homes.list_names()[: self._slow_homes]
            is_late = receiver in slow and isinstance(
                message, messages.OwnershipRequest
            )
            return [virtual.LATENCY_S + DELAY_S * is_late]

        world.router = route
        super()._build()
        if self._stalls:
            for number in range(int(self.plan.seconds / STALL_INTERVAL_S)):
                name = self.entries[number % len(self.entries)]
                at_s = objectives.WARM_UP_S + number * STALL_INTERVAL_S
                world.at(at_s, functools.partial(world.freeze, name))
                world.at(at_s + STALL_S, functools.partial(world.thaw, name))

    def list_claims(self, kind: contracts.Kind) -> list[float]:
        """Return the claim times of a kind as shares of the jobs' slack."""
        return [
            self.world.claims_s[job.number]
            / shedding.plan_job(kind, job.declared_s, 0.0).due_s
            for job in self.jobs
            if job.work.kind is kind and job.number in self.world.claims_s
        ]


def find_quantile(values: list[float], share: float) -> float:
    """Return a quantile of values; 0 if there are none."""
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def format_runs(
    runs: list[ClaimExperiment], results: list[objectives.Result]
) -> Iterator[str]:
    """Return a line for each kind and each width, and one for the costs."""
    yield f'{"":16}{"offered":>9}{"in time":>9}{"claim p50":>11}{"p95":>8}'
    outcomes: dict[str, list[objectives.Outcome]] = {}
    for result in results:
        for each in (*result.kinds, *result.widths):
            outcomes.setdefault(each.name, []).append(each)
    kinds = {each.kind.name: each.kind for each in objectives.MIX}
    for name, counted in outcomes.items():
        line = (
            f'{name:16}{sum(each.offered for each in counted):9}'
            f'{sum(each.in_time for each in counted):9}'
        )
        if name in kinds:
            shares = [
                share for run in runs for share in run.list_claims(kinds[name])
            ]
            line += f'{find_quantile(shares, 0.5):11.3f}'
            line += f'{find_quantile(shares, 0.95):8.3f}'
        yield line
    jobs = sum(len(run.jobs) for run in runs)
    for title, total in (
        ('messages', sum(r.world.tally.messages.total() for r in runs)),
        (
            'ms of entries',
            1e3 * sum(r.world.tally.cpu_s['entry'] for r in runs),
        ),
    ):
        yield f'{total / jobs:.2f} {title} a job'


def compare(
    slow_homes: int = 0,
    stalls: bool = False,
    seed: int = 1,
    runs: int = 1,
    **options: Any,
) -> None:
    """Print the same arrivals with the decision off and on.

    Args:
        slow_homes: homes that respond late.
        stalls: let one entry in turn stand still now and then.
        seed: seed of the first run.
        runs: runs with seeds in a row, counted together.
        options: load, seconds, entries and targets of the plan.
    """
    for policy in (features.Off(), features.LearntHomes()):
        optional = features.Features(claims=policy)
        experiments = [
            ClaimExperiment(
                objectives.Plan(
                    **options, seed=seed + number, optional=optional
                ),
                slow_homes,
                stalls,
            )
            for number in range(runs)
        ]
        results = [each.run() for each in experiments]
        print(type(policy).__name__)
        for line in format_runs(experiments, results):
            print(line)
        sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(compare)
