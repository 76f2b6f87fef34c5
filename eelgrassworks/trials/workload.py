"""Open-loop workloads for experiments.

Arrivals, work and stragglers are determined by the seed, so that two policies
are compared on the same workload.
"""

import dataclasses
import math
import random
from typing import Final

import xxhash

from eelgrassworks import contracts

STRAGGLER_FACTOR: Final = 10.0
MEDIAN_WORK_S: Final = 0.2
WORK_SIGMA: Final = 0.8
MIN_WORK_S: Final = 0.05
MAX_WORK_S: Final = 5.0
SINGLE_RATIO: Final = 0.4
LARGE_RATIO: Final = 0.1
SMALL_TASKS: Final = 24
LARGE_TASKS: Final = 120


@dataclasses.dataclass(frozen=True, slots=True)
class Preset:
    """A deployment that is simulated.

    Latencies are one way and in seconds.  ``slowness_spread`` is the ratio of
    the slowest to the fastest target.
    """

    name: str
    failure_domains: tuple[str, ...]
    targets: int
    slots: int
    domain_latency_s: float
    client_latency_s: float
    slowness_spread: float


PRESETS: Final[dict[str, Preset]] = {
    'coverwatch': Preset(
        'coverwatch',
        ('accra-central', 'tema-port', 'kasoa-west'),
        10,
        8,
        0.0005,
        0.003,
        4.0,
    ),
    'co-operative': Preset(
        'co-operative',
        ('aqaba-north', 'aqaba-south', 'aqaba-quay'),
        10,
        8,
        0.0005,
        0.001,
        4.0,
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job: its arrival in seconds and the work of each of its tasks."""

    number: int
    arrived_s: float
    team: str
    works_s: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The workload that an experiment submits.

    ``load`` is a share of the capacity; ``burst`` multiplies the arrival rate
    during the middle tenth of the run.
    """

    preset: Preset
    load: float
    duration_s: float
    seed: int
    straggler_ratio: float = 0.0
    burst: float = 1.0
    teams: int = 4


def list_slownesses(preset: Preset) -> list[float]:
    """Return the run time factor of each target.

    The factors are spread evenly on a logarithmic scale.
    """
    span = math.log(preset.slowness_spread)
    steps = max(1, preset.targets - 1)
    factors = [
        math.exp(span * (position / steps - 0.5))
        for position in range(preset.targets)
    ]
    # Interleaves the factors, so that no failure domain has all slow targets.
    return factors[::2] + factors[1::2]


def measure_capacity(preset: Preset) -> float:
    """Return the seconds of work that all slots complete per second."""
    return sum(preset.slots / each for each in list_slownesses(preset))


def draw_work(source: random.Random) -> float:
    """Return the work of a task in seconds, drawn at random."""
    work_s = MEDIAN_WORK_S * math.exp(source.gauss(0.0, WORK_SIGMA))
    return min(MAX_WORK_S, max(MIN_WORK_S, work_s))


def draw_size(source: random.Random) -> int:
    """Return the number of tasks of a job, drawn at random."""
    draw = source.random()
    if draw < SINGLE_RATIO:
        return 1
    if draw < 1 - LARGE_RATIO:
        return source.randint(2, SMALL_TASKS)
    return min(contracts.MAX_TASKS, source.randint(SMALL_TASKS, LARGE_TASKS))


def plan_jobs(plan: Plan) -> list[PlannedJob]:
    """Return the jobs of a plan in order of arrival."""
    source = random.Random(plan.seed)
    sample = random.Random(plan.seed + 1)
    mean_work_s = sum(
        draw_size(sample) * draw_work(sample) for _ in range(4000)
    )
    mean_work_s /= 4000
    rate = plan.load * measure_capacity(plan.preset) / mean_work_s
    jobs: list[PlannedJob] = []
    now_s = 0.0
    while True:
        middle = 0.45 < now_s / plan.duration_s < 0.55
        now_s += source.expovariate(rate * (plan.burst if middle else 1.0))
        if now_s >= plan.duration_s:
            return jobs
        works_s = tuple(draw_work(source) for _ in range(draw_size(source)))
        number = len(jobs)
        team = f'team-{source.randrange(plan.teams)}'
        jobs.append(PlannedJob(number, now_s, team, works_s))


def stretch_work(
    work_s: float, job: int, index: int, straggler_ratio: float
) -> float:
    """Return the work of a task, longer if it is a straggler."""
    draw = xxhash.xxh64_intdigest(f'{job}/{index}'.encode()) / 2**64
    return work_s * (STRAGGLER_FACTOR if draw < straggler_ratio else 1.0)
