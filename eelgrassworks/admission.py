"""Admission control of an entry.

A job is refused on arrival if it can never be served, or not in time.  No
task of a refused job has run or will run.
"""

import collections
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import dispatcher
from eelgrassworks import errors
from eelgrassworks import inquiries
from eelgrassworks import shedding
from eelgrassworks.contracts import queues
from eelgrassworks.links import session

MAX_QUEUED_TASKS: Final = 50_000
# Targets and leases return within about this time after a start or a loss of
# control.  Until then a job that may still be in time waits for them.
SETTLING_PERIOD_S: Final = 2.0


class Admission:
    """Checks jobs against limits, the configuration and known targets."""

    def __init__(
        self,
        control_session: session.Session,
        task_dispatcher: dispatcher.Dispatcher,
        max_wait_s: float,
    ) -> None:
        self._session = control_session
        self._dispatcher = task_dispatcher
        self._max_wait_s = max_wait_s
        self._settling_since_s = float('-inf')

    def start_settling(self, now_s: float) -> None:
        """Start the period in which targets may not have registered yet."""
        self._settling_since_s = now_s

    def find_refusal(
        self, submission: contracts.Submission, now_s: float
    ) -> errors.Refusal | None:
        """Return the reason for rejecting a job, or None to admit it."""
        configuration = self._session.configuration
        sheet = configuration.sheet
        count = len(submission.payloads)
        if not configuration.revision:
            return errors.refuse(
                errors.Code.UNAVAILABLE, limit_s=inquiries.CLAIM_TIMEOUT_S
            )
        kind = sheet.kinds.get(submission.kind)
        if kind is None:
            return errors.refuse(
                errors.Code.UNKNOWN_KIND,
                kind=submission.kind,
                revision=configuration.revision,
            )
        quota = sheet.quotas.get(submission.team)
        if quota is None:
            return errors.refuse(
                errors.Code.UNKNOWN_TEAM,
                team=submission.team,
                revision=configuration.revision,
            )
        if submission.transient:
            return self._find_transient_refusal(submission, kind, now_s)
        if not kind.repeatable and not submission.claimed:
            return errors.refuse(errors.Code.ID_REQUIRED, kind=kind.name)
        queue = self._dispatcher.queue
        if queue.count_waiting(quota.team) + count > quota.max_queued:
            return errors.refuse(
                errors.Code.QUOTA, team=quota.team, limit=quota.max_queued
            )
        return self._find_overload_refusal(submission, count)

    def _find_transient_refusal(
        self,
        submission: contracts.Submission,
        kind: contracts.Kind,
        now_s: float,
    ) -> errors.Refusal | None:
        """Return the reason for rejecting a transient job, or None."""
        queued = self._dispatcher.queue.length
        schedule = shedding.plan_job(kind, submission.estimate_s, now_s)
        count = len(submission.payloads)
        job = queues.QueuedJob(
            submission.id,
            kind.name,
            collections.deque(range(count)),
            schedule.due_s,
            submission.demand,
            submission.estimate_s,
            kind.priority,
            width=count,
        )
        waits = self._dispatcher.waits
        waits.record_offered(job, now_s)
        wait_s = waits.predict(submission.team, job, now_s)
        is_late = shedding.should_refuse(schedule, wait_s, now_s)
        if is_late:
            # Counted only here, since it looks at every target.
            startable = self._dispatcher.count_startable(job, now_s)
            wait_s = waits.predict(submission.team, job, now_s, startable)
            is_late = shedding.should_refuse(schedule, wait_s, now_s)
            if not is_late:
                self._dispatcher.counters['admitted_by_free_room'] += 1
        if queued + count > MAX_QUEUED_TASKS or is_late:
            return errors.refuse(
                errors.Code.OVERLOADED,
                queued=queued,
                limit_s=round(schedule.due_s - now_s, 3),
                retry_s=waits.advise_retry(job, wait_s, now_s),
            )
        if self._is_settling(now_s):
            return None
        if not self._dispatcher.has_capacity(
            submission.kind, submission.demand
        ):
            return self._refuse_without_target(submission.kind)
        return None

    def _refuse_without_target(self, kind: str) -> errors.Refusal:
        reasons = self._dispatcher.explain_kind(kind)
        return errors.refuse(errors.Code.NO_TARGET, kind=kind, reasons=reasons)

    def _is_settling(self, now_s: float) -> bool:
        """Tell whether some targets may not have registered yet."""
        return now_s - self._settling_since_s < SETTLING_PERIOD_S

    def _find_overload_refusal(
        self, submission: contracts.Submission, count: int
    ) -> errors.Refusal | None:
        queued = self._dispatcher.queue.length
        wait_s = self._dispatcher.estimate_work(submission.kind, queued)
        work_s = self._dispatcher.estimate_work(submission.kind, count)
        if work_s == float('inf'):
            return self._refuse_without_target(submission.kind)
        limit_s = submission.time_limit_s
        if (
            wait_s > self._max_wait_s
            or wait_s + work_s > limit_s
            or queued + count > MAX_QUEUED_TASKS
        ):
            return errors.refuse(
                errors.Code.OVERLOADED, queued=queued, limit_s=limit_s
            )
        return None
