"""Experiment with transient jobs that have response objectives.

Submits a mix of kinds with room demands and priorities to entries under the
virtual clock, optionally with a loss of all processes.  Counts for each kind
and each width (tasks of a job) how many jobs completed in time, completed
late, were refused, failed, or were lost without a response.  Every policy of
``machines.placement`` gets the same arrivals, so that the baselines can be
compared with the default policy.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import functools
import random
from typing import Final

from hdrh import histogram
import xxhash

from eelgrassworks import contracts
from eelgrassworks import dispatcher
from eelgrassworks import entry
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks import shedding
from eelgrassworks import zones
from eelgrassworks.machines import placement
from eelgrassworks.trials import experiment
from eelgrassworks.trials import paces
from eelgrassworks.trials import virtual

SERVICE: Final = 'cover-check'
TEAM: Final = 'callers'
DOMAINS: Final = ('accra-central', 'tema-port', 'kasoa-west')
REPLICAS: Final = 3
MAX_VOTERS: Final = 5
# Room and run time factor of each target of a failure domain.
TARGETS: Final = (
    (contracts.Room(32_000, 65_536), 1.0),
    (contracts.Room(32_000, 65_536), 1.6),
    (contracts.Room(48_000, 65_536), 0.7),
    (contracts.Room(32_000, 65_536), 1.0),
)
# The same with ``uneven_targets``: speeds 1.0, 0.6 and 1.6.
UNEVEN_TARGETS: Final = (
    (contracts.Room(32_000, 65_536), 1.0),
    (contracts.Room(32_000, 65_536), 1 / 0.6),
    (contracts.Room(48_000, 65_536), 1 / 1.6),
)
# Every task declares the same room, because the baselines count slots.
TASK_CPU_MILLIS: Final = 3100
MEMORY_MIB: Final = 64
# Maximum relative error of a declared run time, in either direction.
ESTIMATE_ERROR: Final = 0.4
LIMIT_S: Final = 5.0
WARM_UP_S: Final = 3.0
WINDOW_S: Final = 2.0
# Downtime after a loss of all processes: the platform's delay before a
# restart, and the start.  Replicas restart one after the other.
DOWNTIME_S: Final = 0.8
RESTART_INTERVAL_S: Final = 0.1
# The settings of agents whose targets hold tasks under leases.
ENTRY_TTL_S: Final = 0.6
HOLD_LEASE_S: Final = 0.62
QUEUE_LIMIT: Final = 8
# With ``uneven`` work a job has up to this many times its mean tasks, and the
# run times of its tasks differ by this fraction.
MAX_WIDTH_RATIO: Final = 4
TASK_SPREAD: Final = 0.15
# The widest jobs of each group of widths in a result.
WIDTHS: Final = (1, 4, 8, 16, 32)


# How often agents measure the progress of their runs, as the product does.
PROGRESS_INTERVAL_S: Final = 0.1


class Reports(enum.StrEnum):
    """What agents report as the speeds of their targets."""

    NONE = 'none'
    # Declared work done in a second of run time, from the progress of runs.
    PROGRESS = 'progress'
    EXACT = 'exact'


@dataclasses.dataclass(slots=True)
class RunProgress:
    """A run at a target; progress has been measured until ``sampled_s``."""

    declared_s: float
    run_s: float
    began_s: float
    sampled_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class KindOfWork:
    """A kind of request, its share of the arrivals, and the size of a job."""

    kind: contracts.Kind
    share: float
    tasks: int
    run_s: float


def _make_kind(name: str, priority: int) -> contracts.Kind:
    return contracts.Kind(
        name,
        frozenset(DOMAINS),
        True,
        LIMIT_S,
        service=SERVICE,
        priority=priority,
        attempts=2,
        stretch=1.6,
        objective_s=0.06,
    )


MIX: Final = (
    KindOfWork(_make_kind('crack-flag', 0), 0.245, 8, 0.12),
    KindOfWork(_make_kind('structural-read', 2), 0.044, 4, 1.8),
    KindOfWork(_make_kind('lid-missing', 1), 0.711, 2, 0.4),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The workload of a run; ``load`` is a share of the room of all targets.

    With ``mixed_widths`` a job has half or three halves of the tasks of its
    kind, is otherwise unchanged, and widths are counted by kind.

    All processes are killed at ``loss_s``, or never if it is 0.  From
    ``shortage_s`` to ``shortage_end_s`` the agents of the given number of
    targets are down.  ``uneven`` varies the tasks of a job and their run
    times.  ``optional`` has the optional decisions of entries and agents.
    If ``disks`` is not 0, jobs are claimed at homes, and the first ``disks``
    entries share their machines with the replicas; these machines are without
    power from ``core_loss_s`` to ``core_return_s``.  ``interference`` has the
    kinds that slow each other down on a target.  ``uneven_targets`` makes the
    speeds of targets differ by more, and ``reports`` is what agents report of
    them.
    """

    load: float = 0.8
    seconds: float = 20.0
    seed: int = 1
    entries: int = 3
    loss_s: float = 0.0
    shortage_s: float = 0.0
    shortage_end_s: float = 0.0
    shortage_targets: int = 0
    targets: int = 12
    uneven: bool = False
    optional: features.Features = features.NO_FEATURES
    mixed_widths: bool = False
    disks: int = 0
    core_loss_s: float = 0.0
    core_return_s: float = 0.0
    lease_ttl_s: float = zones.LEASE_TTL_S
    interference: paces.Interference = ()
    uneven_targets: bool = False
    reports: Reports = Reports.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job: its arrival, and its declared and actual run time in seconds.

    The actual run time is that of its longest task.
    """

    number: int
    arrived_s: float
    work: KindOfWork
    declared_s: float
    run_s: float
    tasks: int

    @property
    def objective_s(self) -> float:
        """Return the longest response time that is still in time."""
        kind = self.work.kind
        return kind.stretch * self.run_s + kind.objective_s


@dataclasses.dataclass(slots=True)
class Outcome:
    """Counts of how the jobs of a kind or of a time window ended.

    ``refused_late`` counts the refused jobs that were held beyond their
    objective.
    """

    name: str
    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    p50_s: float = 0.0
    p99_s: float = 0.0
    refused_late: int = 0

    def record(self, answer: object, response_s: float, in_time: bool) -> None:
        """Count a job by its answer; an answer of None counts as lost."""
        self.offered += 1
        match answer:
            case contracts.Complete() if in_time:
                self.in_time += 1
            case contracts.Complete():
                self.late += 1
            case contracts.NotRun():
                self.refused += 1
                self.refused_late += not in_time
            case contracts.Failed():
                self.failed += 1
            case _:
                self.lost += 1


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """What the jobs of a run cost.

    ``busy_per_task`` are the starts declined as busy for each task that
    started.  The others are for each offered job: messages and bytes between
    all processes, and processor time of the entries' decisions.
    """

    busy_per_task: float
    messages_per_job: float
    bytes_per_job: float
    entry_cpu_ms_per_job: float


@dataclasses.dataclass(slots=True)
class Result:
    """The outcomes under one policy, by kind, time of arrival and width."""

    policy: str
    kinds: list[Outcome]
    windows: list[Outcome]
    widths: list[Outcome]
    costs: Costs

    @property
    def share_in_time(self) -> float:
        """Return the share of all jobs that completed in time."""
        offered = sum(each.offered for each in self.kinds)
        return sum(each.in_time for each in self.kinds) / max(1, offered)

    @property
    def refused_late(self) -> int:
        """Return how many refused jobs were held beyond their objective."""
        return sum(each.refused_late for each in self.kinds)


def list_targets(plan: Plan) -> list[tuple[machines.Target, float]]:
    """Return the targets of a plan with their run time factors."""
    result: list[tuple[machines.Target, float]] = []
    shapes = UNEVEN_TARGETS if plan.uneven_targets else TARGETS
    for number, domain in enumerate(DOMAINS):
        count = len(range(number, plan.targets, len(DOMAINS)))
        for position in range(count):
            room, slowness = shapes[position % len(shapes)]
            target = machines.Target(
                f'{domain}-{position + 1}',
                f'worker-{domain}-{position + 1}',
                domain,
                room.cpu_millis // TASK_CPU_MILLIS,
                frozenset(),
                SERVICE,
                room,
            )
            result.append((target, slowness))
    return result


def plan_jobs(plan: Plan) -> list[PlannedJob]:
    """Return the jobs of a plan in order of arrival."""
    generator = random.Random(plan.seed)
    room_cores = sum(
        target.room.cpu_millis / 1000 / slowness
        for target, slowness in list_targets(plan)
    )
    mean_work = sum(
        each.share * each.tasks * each.run_s * TASK_CPU_MILLIS / 1000
        for each in MIX
    )
    rate = plan.load * room_cores / mean_work
    jobs: list[PlannedJob] = []
    widths = random.Random(plan.seed)
    now_s = generator.expovariate(rate)
    while now_s < plan.seconds:
        work = generator.choices(MIX, [each.share for each in MIX])[0]
        if plan.mixed_widths:
            tasks = work.tasks // 2 * widths.choice((1, 3))
            work = dataclasses.replace(work, tasks=tasks)
        run_s = work.run_s * generator.uniform(0.5, 1.5)
        error = 1 + generator.uniform(-ESTIMATE_ERROR, ESTIMATE_ERROR)
        tasks = work.tasks
        if plan.uneven:
            drawn = int(generator.expovariate(1 / work.tasks)) + 1
            tasks = min(drawn, MAX_WIDTH_RATIO * work.tasks)
        jobs.append(
            PlannedJob(len(jobs), now_s, work, run_s * error, run_s, tasks)
        )
        now_s += generator.expovariate(rate)
    return jobs


class Experiment:
    """A single run of one plan with one policy."""

    def __init__(
        self,
        plan: Plan,
        policy: placement.Policy,
        shedding_policy: shedding.Policy = dispatcher.SHEDDING_POLICY,
    ) -> None:
        self.plan = plan
        self.policy = policy
        self.shedding_policy = shedding_policy
        self.jobs = plan_jobs(plan)
        self.entries = tuple(f'entry-{n + 1}' for n in range(plan.entries))
        self.controls = tuple(
            f'control-{n + 1}' for n in range(plan.disks or REPLICAS)
        )
        self.world = virtual.World(plan.seed)
        self._submitted: dict[int, tuple[int, float]] = {}
        self._slowness: dict[str, float] = {}
        self._progress: dict[str, list[RunProgress]] = {}
        self._meters: dict[str, machines.SpeedMeter] = {}
        self._build()

    def _build(self) -> None:
        world = self.world
        world.hold_lease_s = HOLD_LEASE_S
        world.run_model = self._run_task
        world.lease_ttl_s = self.plan.lease_ttl_s
        world.claims_transient = bool(self.plan.disks)
        world.machines = dict(zip(self.entries, self.controls, strict=False))
        if not self.plan.disks:
            world.machines = {}
        for position, name in enumerate(self.entries):
            world.domains[name] = DOMAINS[position % len(DOMAINS)]
        for position, name in enumerate(self.controls):
            world.domains[name] = DOMAINS[position % len(DOMAINS)]
        world.add_control(
            self.controls, voters=min(MAX_VOTERS, self.plan.disks)
        )
        world.paces = paces.Paces(self.plan.interference)
        for name in self.entries:
            world.add_entry(
                name,
                self.controls,
                self.policy,
                shedding_policy=self.shedding_policy,
                optional=self.plan.optional,
            )
        # The baselines bind each task to a target on arrival, so they need
        # long queues at the targets.
        is_late_binding = isinstance(self.policy, placement.LateBinding)
        limit = QUEUE_LIMIT if is_late_binding else len(self.jobs)
        for target, slowness in list_targets(self.plan):
            self._slowness[target.name] = slowness
            self._progress[target.name] = []
            self._meters[target.name] = machines.SpeedMeter()
            world.add_agent(
                target,
                self.entries,
                limit,
                ENTRY_TTL_S,
                optional=self.plan.optional,
            )

    def _run_task(
        self, target: str, key: contracts.TaskKey, _: str, payload: bytes
    ) -> tuple[float, bool]:
        run_s = self.jobs[int(payload)].run_s * self._slowness[target]
        if self.plan.uneven:
            name = f'{int(payload)}/{key.index}'
            draw = xxhash.xxh64_intdigest(name.encode()) / 2**64
            run_s *= 1 - TASK_SPREAD * draw
        now_s = self.world.now_s
        declared_s = self.jobs[int(payload)].declared_s
        self._progress[target].append(
            RunProgress(declared_s, run_s, now_s, now_s)
        )
        return run_s, True

    def _report_speeds(self) -> None:
        """Let each agent that is up report the speed of its target."""
        world = self.world
        world.at(PROGRESS_INTERVAL_S, self._report_speeds)
        for name, meter in self._meters.items():
            runs, self._progress[name] = self._progress[name], []
            for run in runs:
                end_s = min(world.now_s, run.began_s + run.run_s)
                elapsed_s = end_s - run.sampled_s
                work_s = elapsed_s * run.declared_s / run.run_s
                meter.record(work_s, elapsed_s, world.now_s)
                run.sampled_s = end_s
                if end_s == world.now_s:
                    self._progress[name].append(run)
            speed = meter.measure()
            if self.plan.reports == Reports.EXACT:
                speed = 1 / self._slowness[name]
            if world.nodes[name].core is not None:
                world.nodes[name].core.speed = round(speed, 3)

    def run(self) -> Result:
        """Run the plan to its end and return the outcomes."""
        world = self.world
        quota = contracts.Quota(TEAM, 1.0, 1_000_000, 0)
        kinds = {each.kind.name: each.kind for each in MIX}
        sheet = contracts.Sheet(kinds, {TEAM: quota})
        change = contracts.ReplaceSheet(1, sheet, b'')
        change_request = contracts.ChangeRequest(
            'sheet', 'experiment', contracts.ANY_REVISION, change
        )
        world.ask(
            'entry-1', lambda n: entry.ChangeRequested(n, change_request)
        )
        if self.plan.reports != Reports.NONE:
            self._report_speeds()
        world.run(WARM_UP_S)
        for job in self.jobs:
            world.at(job.arrived_s, functools.partial(self._submit, job))
        if self.plan.loss_s:
            world.at(self.plan.loss_s, self._kill_all)
        if self.plan.core_loss_s:
            for name in (*self.controls, *self.entries[: self.plan.disks]):
                world.at(
                    self.plan.core_loss_s, functools.partial(world.kill, name)
                )
                world.at(
                    self.plan.core_return_s,
                    functools.partial(world.start, name),
                )
        for name in list(self._slowness)[: self.plan.shortage_targets]:
            world.at(self.plan.shortage_s, functools.partial(world.kill, name))
            world.at(
                self.plan.shortage_end_s, functools.partial(world.start, name)
            )
        world.run(self.plan.seconds + 2 * LIMIT_S)
        return self._summarize()

    def _kill_all(self) -> None:
        world = self.world
        for name in world.nodes:
            world.kill(name)
        for position, name in enumerate(list(world.nodes)):
            stagger_s = (
                RESTART_INTERVAL_S * position if name in self.controls else 0.0
            )
            world.at(
                DOWNTIME_S + stagger_s, functools.partial(world.start, name)
            )

    def _submit(self, job: PlannedJob) -> None:
        world = self.world
        submission = contracts.Submission(
            f'{job.number:016x}',
            'digest',
            TEAM,
            job.work.kind.name,
            (str(job.number).encode(),) * job.tasks,
            LIMIT_S,
            False,
            transient=True,
            demand=contracts.Room(TASK_CPU_MILLIS, MEMORY_MIB),
            estimate_s=job.declared_s,
        )
        # The callers' balancer leaves out entries that are down.
        live = [n for n in self.entries if world.nodes[n].core is not None]
        if not live:
            return
        name = live[job.number % len(live)]
        request = world.ask(
            name, lambda n: entry.SubmitRequested(n, submission)
        )
        self._submitted[job.number] = (request, world.now_s)

    def _summarize(self) -> Result:
        count = -int(-self.plan.seconds // WINDOW_S)
        windows = [Outcome(f'{n * WINDOW_S:g} s') for n in range(count)]
        kinds = {each.kind.name: Outcome(each.kind.name) for each in MIX}
        widths: dict[str, Outcome] = {}
        if not self.plan.mixed_widths:
            names = [f'to {width} tasks' for width in WIDTHS]
            widths = {name: Outcome(name) for name in names}
        responses: dict[str, histogram.HdrHistogram] = collections.defaultdict(
            _make_histogram
        )
        for job in self.jobs:
            name = job.work.kind.name
            answer, response_s = self.find_answer(job)
            in_time = response_s <= job.objective_s
            width = self._name_width(job)
            widths.setdefault(width, Outcome(width))
            window = windows[int(job.arrived_s // WINDOW_S)]
            for each in (kinds[name], widths[width], window):
                each.record(answer, response_s, in_time)
                if isinstance(answer, contracts.Complete) and (
                    each is not window
                ):
                    responses[each.name].record_value(int(response_s * 1e6))
        for outcome in (*kinds.values(), *widths.values()):
            values = responses[outcome.name]
            outcome.p50_s = values.get_value_at_percentile(50) / 1e6
            outcome.p99_s = values.get_value_at_percentile(99) / 1e6
        return Result(
            experiment.name_policy(self.policy),
            list(kinds.values()),
            windows,
            [each for each in widths.values() if each.offered],
            self._measure_costs(),
        )

    def _name_width(self, job: PlannedJob) -> str:
        if self.plan.mixed_widths:
            return f'{job.work.kind.name} x{job.tasks}'
        width = min(each for each in WIDTHS if each >= job.tasks)
        return f'to {width} tasks'

    def _measure_costs(self) -> Costs:
        tally = self.world.tally
        jobs = max(1, len(self.jobs))
        return Costs(
            tally.declined_busy / max(1, len(tally.starts)),
            sum(tally.messages.values()) / jobs,
            tally.sampled_bytes * virtual.BYTES_SAMPLING / jobs,
            tally.cpu_s['entry'] / jobs * 1000,
        )

    def find_answer(self, job: PlannedJob) -> tuple[object, float]:
        """Return the answer of a job and its response time in seconds.

        A job without an answer has None and an infinite response time.
        """
        submitted = self._submitted.get(job.number)
        if submitted is None or submitted[0] not in self.world.replies:
            return None, float('inf')
        at_s, answer = self.world.replies[submitted[0]]
        return answer, at_s - submitted[1]


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, 100_000_000, 3)


def run_policies(
    plan: Plan, policies: list[placement.Policy], show: Callable[[str], None]
) -> list[Result]:
    """Run each policy on the same arrivals.

    Calls ``show`` with the name of each policy before its run.
    """
    results = []
    for policy in policies:
        show(experiment.name_policy(policy))
        results.append(Experiment(plan, policy).run())
    return results


def format_results(results: list[Result]) -> str:
    """Format results as a text table with a row per policy and kind."""
    headers = ('offered', 'in time', 'late', 'refused', 'failed', 'lost')
    lines = [
        f'{"policy":26}{"kind":16}'
        + ''.join(f'{header:>9}' for header in (*headers, 'p50 s', 'p99 s'))
    ]
    for result in results:
        for each in (*result.kinds, *result.widths):
            counts = (
                each.offered,
                each.in_time,
                each.late,
                each.refused,
                each.failed,
                each.lost,
            )
            lines.append(
                f'{result.policy:26}{each.name:16}'
                + ''.join(f'{count:9}' for count in counts)
                + f'{each.p50_s:9.3f}{each.p99_s:9.3f}'
            )
        costs = result.costs
        lines.append(
            f'{result.policy:26}busy per task {costs.busy_per_task:.3f}, '
            f'per job: {costs.messages_per_job:.1f} messages, '
            f'{costs.bytes_per_job:.0f} bytes, '
            f'{costs.entry_cpu_ms_per_job:.2f} ms of entries'
        )
    return '\n'.join(lines)


def plot_windows(results: list[Result], path: str) -> None:
    """Plot the share in time over the run, with a line per policy."""
    from matplotlib import figure

    chart = figure.Figure(figsize=(8, 5))
    axes = chart.subplots()
    for result in results:
        shares = [
            each.in_time / max(1, each.offered) for each in result.windows
        ]
        times_s = [WINDOW_S * position for position in range(len(shares))]
        axes.step(times_s, shares, where='post', label=result.policy)
    axes.set_xlabel('time of arrival, seconds')
    axes.set_ylabel('share answered in time')
    axes.set_ylim(0, 1.05)
    axes.legend()
    chart.savefig(path)
