"""Experiments that run a planned workload against the decision classes.

Compares response times with the ideal ones, counts wasted messages, and
measures how busy the slots are while failure domains close or targets fail.
"""

from collections.abc import Callable
import dataclasses
import functools
from typing import Any
from typing import Final

from hdrh import histogram

from eelgrassworks import contracts
from eelgrassworks import entry
from eelgrassworks import machines
from eelgrassworks.contracts import ids
from eelgrassworks.machines import placement
from eelgrassworks.trials import ideal
from eelgrassworks.trials import virtual
from eelgrassworks.trials import workload

KIND: Final = 'crack-flag'
JOB_LIMIT_S: Final = 60.0
SETTLE_S: Final = 3.0
# A closing must be in force after at most this time.
IN_FORCE_S: Final = 3.0
DRAIN_S: Final = 60.0
RATIO_SCALE: Final = 10_000
MAX_RATIO: Final = 10_000 * RATIO_SCALE
# Messages about a task other than its start and its result.
WASTED: Final = frozenset(
    {
        'JobCancel',
        'SlotsOffered',
        'SlotsWanted',
        'TaskDeclined',
        'TaskFence',
        'TaskRunning',
        'TaskUnknown',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """A failure domain that is closed and reopened.

    Times are in seconds since the start of the run.
    """

    failure_domain: str
    closes_s: float
    opens_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """The configuration of the system under test.

    ``failing`` targets fail every task after 1 ms; ``hanging`` targets run
    each task until its time limit, at which it fails.
    """

    policy: placement.Policy = dataclasses.field(
        default_factory=placement.LateBinding
    )
    entries: int = 3
    queue_limit: int = 10
    max_wait_s: float = JOB_LIMIT_S
    failing: frozenset[str] = frozenset()
    hanging: frozenset[str] = frozenset()
    closing: Closing | None = None
    cancel_ratio: float = 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """The counts and measurements of an experiment.

    ``busy_share`` is the share of time in which the available slots ran
    tasks.  It is measured from the end of the first tenth of the run to the
    end of the run or, with a closing, over the slots outside the closed
    domain, from the time at which the closing must be in force until the
    domain is reopened.

    ``ratio`` fields are percentiles of each job's response divided by the
    same job's ideal; ``against_ideal`` fields divide a percentile of all
    responses by the same percentile of all ideals.
    """

    policy: str
    load: float
    jobs: int = 0
    complete: int = 0
    failed: int = 0
    not_run: int = 0
    unanswered: int = 0
    tasks: int = 0
    started: int = 0
    started_twice: int = 0
    failed_tasks: int = 0
    ratio_p50: float = 0.0
    ratio_p90: float = 0.0
    ratio_p99: float = 0.0
    response_p50_s: float = 0.0
    response_p99_s: float = 0.0
    ideal_p50_s: float = 0.0
    ideal_p99_s: float = 0.0
    against_ideal_p50: float = 0.0
    against_ideal_p99: float = 0.0
    wasted_per_task: float = 0.0
    frames_per_task: float = 0.0
    busy_share: float = 0.0


Progress = Callable[[float], None]


class Experiment:
    """A single run of one plan against one setup."""

    def __init__(self, plan: workload.Plan, setup: Setup) -> None:
        self.plan = plan
        self.setup = setup
        self.jobs = workload.plan_jobs(plan)
        self.slowness: dict[str, float] = {}
        self.world = virtual.World(plan.seed)
        self.submitted: dict[int, workload.PlannedJob] = {}
        self.submitted_s: dict[int, float] = {}
        self.ids: dict[str, workload.PlannedJob] = {}
        self.failed_tasks = 0
        self.done_s = 0.0
        self._start_s = 0.0
        self._build()

    def _build(self) -> None:
        world, preset = self.world, self.plan.preset
        controls = tuple(f'control-{n + 1}' for n in range(3))
        entries = tuple(f'entry-{n + 1}' for n in range(self.setup.entries))
        world.latency_s = lambda _, __: preset.domain_latency_s
        world.run_model = self._run_task
        world.add_control(controls, snapshot_interval=4096)
        for name in entries:
            world.add_entry(
                name, controls, self.setup.policy, self.setup.max_wait_s
            )
        slownesses = workload.list_slownesses(preset)
        for position, slowness in enumerate(slownesses):
            domains = preset.failure_domains
            target = machines.Target(
                f'runner-{position + 1}',
                f'worker-{position + 1}',
                domains[position % len(domains)],
                preset.slots,
                frozenset(),
            )
            self.slowness[target.name] = slowness
            world.add_agent(target, entries, self.setup.queue_limit)

    def _run_task(
        self, target: str, key: contracts.TaskKey, _: str, __: bytes
    ) -> tuple[float, bool]:
        if target in self.setup.failing:
            self.failed_tasks += 1
            return 0.001, False
        if target in self.setup.hanging:
            self.failed_tasks += 1
            return JOB_LIMIT_S, False
        job = self.ids[key.submission]
        work_s = self._stretch(job, key.index)
        return work_s * self.slowness[target], True

    def _stretch(self, job: workload.PlannedJob, index: int) -> float:
        return workload.stretch_work(
            job.works_s[index], job.number, index, self.plan.straggler_ratio
        )

    # The run.

    def run(self, progress: Progress | None = None) -> Result:
        """Run the plan to its end and return the measurements."""
        world = self.world
        self._apply_sheet()
        self._start_s = world.now_s
        for job in self.jobs:
            world.at(job.arrived_s, functools.partial(self._submit, job))
        self._plan_closing()
        world.tally = virtual.Tally()
        parts = 20
        for part in range(parts):
            world.run(self.plan.duration_s / parts)
            if progress is not None:
                progress((part + 1) / parts)
        world.run_until(self._is_done, DRAIN_S + JOB_LIMIT_S)
        return self._summarize()

    def _apply_sheet(self) -> None:
        preset = self.plan.preset
        kind = contracts.Kind(
            KIND, frozenset(preset.failure_domains), True, JOB_LIMIT_S
        )
        quotas = {
            name: contracts.Quota(name, 1.0, 1_000_000, 0)
            for name in (f'team-{n}' for n in range(self.plan.teams))
        }
        sheet = contracts.Sheet({KIND: kind}, quotas)
        self._change(contracts.ApplySheet(sheet), 0)
        self.world.run(SETTLE_S * 2)

    def _change(self, change: contracts.Change, expected: int) -> None:
        change_request = contracts.ChangeRequest(
            f'change-{expected}', 'experiment', expected, change
        )
        self.world.ask(
            'entry-1', lambda n: entry.ChangeRequested(n, change_request)
        )

    def _plan_closing(self) -> None:
        closing = self.setup.closing
        if closing is None:
            return
        close = contracts.CloseDomain(closing.failure_domain)
        open_again = contracts.OpenDomain(closing.failure_domain)
        self.world.at(closing.closes_s, lambda: self._change(close, 1))
        self.world.at(closing.opens_s, lambda: self._change(open_again, 2))

    def _submit(self, job: workload.PlannedJob) -> None:
        world, preset = self.world, self.plan.preset
        time_ms = virtual.WALL_OFFSET_MS + int(world.now_s * 1000)
        submission_id = ids.compose_id(time_ms, job.number)
        self.ids[submission_id] = job
        submission = contracts.Submission(
            submission_id,
            submission_id,
            job.team,
            KIND,
            (b'{}',) * len(job.works_s),
            JOB_LIMIT_S,
            True,
        )
        entry_name = f'entry-{job.number % self.setup.entries + 1}'

        def arrive() -> None:
            request = world.ask(
                entry_name, lambda n: entry.SubmitRequested(n, submission)
            )
            self.submitted[request] = job
            self.submitted_s[request] = world.now_s - preset.client_latency_s
            if job.number % 1000 < self.setup.cancel_ratio * 1000:
                world.at(0.1, lambda: self._cancel(entry_name, submission))

        world.at(preset.client_latency_s, arrive)

    def _cancel(
        self, entry_name: str, submission: contracts.Submission
    ) -> None:
        self.world.ask(
            entry_name,
            lambda n: entry.CancelRequested(n, submission.id, submission.team),
        )

    def _is_done(self) -> bool:
        return len(self.submitted) == len(self.jobs) and all(
            request in self.world.replies for request in self.submitted
        )

    # The summary.

    def _summarize(self) -> Result:
        result = Result(
            name_policy(self.setup.policy), self.plan.load, len(self.jobs)
        )
        ratios = histogram.HdrHistogram(1, MAX_RATIO, 3)
        responses = histogram.HdrHistogram(1, 1_000_000_000, 3)
        ideals = self._compute_ideals()
        ideal_values = histogram.HdrHistogram(1, 1_000_000_000, 3)
        for response_s in ideals.values():
            ideal_values.record_value(int(response_s * 1e6))
        for request, job in self.submitted.items():
            self._count_answer(result, request, job, ideals, ratios, responses)
        tally = self.world.tally
        result.tasks = sum(len(job.works_s) for job in self.jobs)
        result.started = sum(tally.starts.values())
        result.started_twice = sum(n > 1 for n in tally.starts.values())
        result.failed_tasks = self.failed_tasks
        result.ratio_p50 = _read_percentile(ratios, 50) / RATIO_SCALE
        result.ratio_p90 = _read_percentile(ratios, 90) / RATIO_SCALE
        result.ratio_p99 = _read_percentile(ratios, 99) / RATIO_SCALE
        result.response_p50_s = _read_percentile(responses, 50) / 1e6
        result.response_p99_s = _read_percentile(responses, 99) / 1e6
        result.ideal_p50_s = _read_percentile(ideal_values, 50) / 1e6
        result.ideal_p99_s = _read_percentile(ideal_values, 99) / 1e6
        result.against_ideal_p50 = result.response_p50_s / result.ideal_p50_s
        result.against_ideal_p99 = result.response_p99_s / result.ideal_p99_s
        wasted = sum(tally.messages[name] for name in WASTED)
        extra = tally.messages['TaskStart'] - result.started
        result.wasted_per_task = (wasted + extra) / max(1, result.started)
        result.frames_per_task = tally.frames / max(1, result.started)
        result.busy_share = self._measure_busy()
        return result

    def _count_answer(
        self,
        result: Result,
        request: int,
        job: workload.PlannedJob,
        ideals: dict[int, float],
        ratios: Any,
        responses: Any,
    ) -> None:
        if request not in self.world.replies:
            result.unanswered += 1
            return
        replied_s, answer = self.world.replies[request]
        match answer:
            case contracts.Complete():
                result.complete += 1
            case contracts.NotRun():
                result.not_run += 1
                return
            case _:
                result.failed += 1
                return
        response_s = (
            replied_s + self.plan.preset.client_latency_s
        ) - self.submitted_s[request]
        ratios.record_value(int(response_s / ideals[job.number] * RATIO_SCALE))
        responses.record_value(int(response_s * 1e6))

    def _compute_ideals(self) -> dict[int, float]:
        preset = self.plan.preset
        one_way_s = preset.client_latency_s + preset.domain_latency_s
        tasks = [
            ideal.IdealTask(job.number, job.arrived_s, self._stretch(job, n))
            for job in self.jobs
            for n in range(len(job.works_s))
        ]
        slots = [
            slowness
            for slowness in self.slowness.values()
            for _ in range(preset.slots)
        ]
        return ideal.compute_responses(tasks, slots, 2 * one_way_s)

    def _measure_busy(self) -> float:
        preset = self.plan.preset
        closing = self.setup.closing
        begin_s = self.plan.duration_s / 10
        end_s = self.plan.duration_s
        closed: set[str] = set()
        if closing is not None:
            begin_s = closing.closes_s + IN_FORCE_S
            end_s = closing.opens_s
            closed = {
                name
                for name in self.slowness
                if self.world.nodes[name].core.options.target.failure_domain
                == closing.failure_domain
            }
        busy_s = 0.0
        for started_s, run_s, target in self.world.tally.runs:
            if target not in closed:
                first_s = max(begin_s, started_s - self._start_s)
                last_s = min(end_s, started_s - self._start_s + run_s)
                busy_s += max(0.0, last_s - first_s)
        slots = (preset.targets - len(closed)) * preset.slots
        return busy_s / (slots * (end_s - begin_s))


def name_policy(policy: placement.Policy) -> str:
    """Return the name of a policy, as the command line takes it."""
    names = {kind: name for name, kind in placement.POLICIES.items()}
    learnt = '+speeds' if policy.learnt else ''
    return names[type(policy)] + learnt


def _read_percentile(values: Any, percentile: float) -> float:
    return float(values.get_value_at_percentile(percentile))
