"""Predicted waits of jobs at one entry, and the jobs that wait in vain."""

import collections
import dataclasses
from typing import Final

from eelgrassworks import effects
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks import shedding
from eelgrassworks.contracts import queues
from eelgrassworks.contracts import shares

# Two missed renewals of an agent; its tasks may be stalled.
THROUGHPUT_TIMEOUT_S: Final = 0.5


def make_order(choice: features.Off | features.WeightedShares) -> queues.Order:
    """Return the order of waiting jobs."""
    match choice:
        case features.Off():
            return queues.ByPriority()
        case features.WeightedShares(kind_weights):
            return queues.ByShare(shares.KindShares(kind_weights))


@dataclasses.dataclass(frozen=True, slots=True)
class Filled:
    """What is left to wait once waiting tasks have filled some room.

    ``ahead`` and ``own`` are the fractions of the tasks ahead of a job, and of
    its own, that still wait; ``cores`` is the processor of those that start.
    """

    ahead: float
    own: float
    cores: float


class Waits:
    """Rates of one entry, and the waits that follow from its queue."""

    def __init__(
        self,
        queue: queues.FairQueue,
        views: dict[str, machines.TargetView],
        policy: shedding.Policy,
        counters: collections.Counter[str],
    ) -> None:
        self.completion_rate = shedding.CompletionRate()
        self._queue = queue
        self._views = views
        self._policy = policy
        self._counters = counters
        self._admitted_rate = shedding.AdmittedRate()

    def record_offered(self, job: queues.QueuedJob, now_s: float) -> None:
        """Record a transient job that arrives, whether admitted or not."""
        match self._queue.order:
            case queues.ByShare(kinds):
                kinds.record_offered(job.kind, job.priority, job.work, now_s)
            case queues.ByPriority():
                pass

    def record_admitted(self, job: queues.QueuedJob, now_s: float) -> None:
        """Record an admitted job."""
        self._admitted_rate.record(job.priority, job.work, now_s)

    def record_start(self, job: queues.QueuedJob, now_s: float) -> None:
        """Record that a task of a job was sent to a target."""
        match self._queue.order:
            case queues.ByShare(kinds):
                if kinds.is_beyond(job.kind):
                    self._counters['starts_beyond_share'] += 1
                kinds.record_started(job.kind, job.task_work, now_s)
            case queues.ByPriority():
                pass

    def record_decline(self, job: queues.QueuedJob, now_s: float) -> None:
        """Record that a task that was sent did not start."""
        match self._queue.order:
            case queues.ByShare(kinds):
                kinds.record_started(job.kind, -job.task_work, now_s)
            case queues.ByPriority():
                pass

    def refresh_shares(self, now_s: float) -> None:
        """Compute the shares of the current rate, if they are outdated."""
        match self._queue.order:
            case queues.ByShare(kinds) if kinds.is_outdated(now_s):
                kinds.refresh(self._measure_rate(now_s), now_s)
            case _:
                pass

    def predict(
        self,
        team: str,
        job: queues.QueuedJob,
        now_s: float,
        startable: int = 0,
    ) -> float:
        """Predict how long an arriving job would wait, in seconds.

        Targets are known to have room for ``startable`` tasks of its size.
        This room only makes the prediction shorter.
        """
        match self._queue.order:
            case queues.ByShare(kinds):
                return self._predict_by_share(
                    kinds, team, job, now_s, startable
                )
            case queues.ByPriority():
                return self._predict_by_priority(team, job, now_s, startable)

    def _predict_by_share(
        self,
        kinds: shares.KindShares,
        team: str,
        job: queues.QueuedJob,
        now_s: float,
        startable: int,
    ) -> float:
        ahead = self._queue.measure_share_ahead(team, job, now_s)
        if not ahead.urgent and not ahead.own:
            return 0.0
        self.refresh_shares(now_s)
        # The last task has to start in time, too.
        spread_s = kinds.measure_spread(job.kind, job.work)
        if not startable:
            return kinds.predict_wait(job.kind, ahead) + spread_s
        filled = self._fill(team, job, now_s, startable)
        left = shares.Ahead(
            ahead.urgent * filled.ahead, ahead.own * filled.ahead
        )
        wait_s = kinds.predict_wait(job.kind, left) + spread_s * filled.own
        rate = self._measure_rate(now_s)
        return wait_s * rate / (rate + filled.cores) if rate else 0.0

    def _predict_by_priority(
        self, team: str, job: queues.QueuedJob, now_s: float, startable: int
    ) -> float:
        ahead = self._queue.measure_work_ahead(
            team, job.due_s, now_s, job.priority
        )
        if not ahead:
            return 0.0
        match self._policy:
            case shedding.AtLatestStart():
                urgent_rate = self._admitted_rate.measure_above(
                    job.priority, now_s
                )
            case shedding.AtLatestUse():
                urgent_rate = 0.0
        rate = self._measure_rate(now_s)
        if not startable or not rate:
            return shedding.predict_wait(ahead, rate, urgent_rate)
        filled = self._fill(team, job, now_s, startable)
        return shedding.predict_wait(
            ahead * filled.ahead, rate + filled.cores, urgent_rate
        )

    def _fill(
        self, team: str, job: queues.QueuedJob, now_s: float, startable: int
    ) -> Filled:
        """Fill room for some tasks of a job's size, those ahead first."""
        cpu_millis = startable * job.demand.cpu_millis
        ahead = self._queue.measure_cpu_ahead(team, job, now_s)
        own = len(job.indices) * job.demand.cpu_millis
        used = min(cpu_millis, ahead)
        used_by_job = min(cpu_millis - used, own)
        return Filled(
            1 - used / ahead if ahead else 1.0,
            1 - used_by_job / own if own else 1.0,
            used / 1000,
        )

    def advise_retry(
        self, job: queues.QueuedJob, wait_s: float, now_s: float
    ) -> int:
        """Return when the caller of a refused job may retry, in seconds."""
        match self._queue.order:
            case queues.ByShare(kinds):
                excess_s = wait_s - (job.due_s - now_s)
                free_s = kinds.predict_free(job.kind, excess_s)
                if kinds.find_share(job.kind).is_limited:
                    self._counters['refused_beyond_share'] += 1
                return shedding.spread_retry(free_s, job.submission)
            case queues.ByPriority():
                return shedding.advise_retry(wait_s, job.submission)

    def list_overdue(self, now_s: float) -> list[queues.QueuedJob]:
        """Return the jobs that would take the place of jobs in time.

        These have missed their latest start, since all room was in use.
        While no task runs, targets may just be returning, and jobs wait.
        """
        match self._policy:
            case shedding.AtLatestStart() if self._measure_throughput(now_s):
                return self._queue.list_overdue(now_s)
            case _:
                return []

    def log_shares(self, now_s: float) -> effects.Effects:
        """Log the kinds that begin or cease to be limited to their share."""
        match self._queue.order:
            case queues.ByShare(kinds):
                return [
                    _log_limited(each) for each in kinds.list_changes(now_s)
                ]
            case queues.ByPriority():
                return []

    def _measure_rate(self, now_s: float) -> float:
        return max(
            self.completion_rate.measure(now_s),
            self._measure_throughput(now_s),
        )

    def _measure_throughput(self, now_s: float) -> float:
        """Return the declared work that outstanding tasks do a second.

        The result is in processor-seconds a second.  Completions lag behind
        starts by a run time, so the completion rate is too low while targets
        fill up: after this entry has started, or targets have returned.
        """
        return sum(
            view.throughput
            for view in self._views.values()
            if now_s - view.last_contact_s < THROUGHPUT_TIMEOUT_S
        )


def _log_limited(change: shares.Limited) -> effects.Log:
    return effects.Log(
        'share_limited' if change.share.is_limited else 'share_free',
        {
            'kind': change.kind,
            'offered': round(change.share.offered, 2),
            'share': round(change.share.limit, 2),
            'capacity': round(change.capacity, 2),
        },
    )
