"""Placement of tasks on targets by one entry.

The dispatcher holds the fair queue, the views of targets, their circuit
breakers and the learnt run times.  It starts a task only while it believes
that a slot is free, and starts it again only after the previous attempt has
been fenced or can no longer run.  The result of a task is returned as an
outcome; the entry owns the jobs.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import dispatchreports
from eelgrassworks import effects
from eelgrassworks import entryroom
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks import neighbourreports
from eelgrassworks import shedding
from eelgrassworks import waits
from eelgrassworks import zones
from eelgrassworks.contracts import jobs
from eelgrassworks.contracts import queues
from eelgrassworks.links import messages
from eelgrassworks.machines import health
from eelgrassworks.machines import interferencebeliefs
from eelgrassworks.machines import placement
from eelgrassworks.machines import separation

SUSPECT_TIMEOUT_S: Final = 2.0
LOST_TIMEOUT_S: Final = 5.0
FENCE_INTERVAL_S: Final = 1.0
OVERDUE_MARGIN_S: Final = 1.0
# An agent reports the end of a cancelled run within this time: stopping the
# task, a hold and two message delays.
CANCEL_ANSWER_TIMEOUT_S: Final = 0.2
MAX_REJECTIONS: Final = 16
DEFAULT_RUN_S: Final = 0.3
RUN_SMOOTHING: Final = 0.02
# Sum of the entry's lease at an agent, the agent's lease at its target, the
# time to stop a task and the message delays.  After this time without contact
# no task that the agent has reported as running runs at a target with room any
# more; a start under way may still begin.
HOLD_LOST_TIMEOUT_S: Final = 1.35
# An agent declines a start whose stamp is older, by its own clock: the lease
# of an entry at the agent, and some rounding.
START_TTL_S: Final = 0.65
# Starts that may still be under way are remembered for this long after the
# end of their job.
LOST_START_TTL_S: Final = 10.0
SHEDDING_POLICY: Final = shedding.AtLatestStart()


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSucceeded:
    """The task ran and succeeded."""

    key: contracts.TaskKey
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed:
    """The task ran and failed."""

    key: contracts.TaskKey
    target: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskLost:
    """The task may have run, but its result cannot be obtained."""

    key: contracts.TaskKey
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRejected:
    """The task was not run; too many targets declined it."""

    key: contracts.TaskKey


Outcome = TaskSucceeded | TaskFailed | TaskLost | TaskRejected


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchResult:
    """Effects and outcomes that follow from a message of an agent."""

    effects: effects.Effects
    outcomes: list[Outcome]


class Dispatcher:
    """Queue, target views and placement of one entry."""

    def __init__(
        self,
        policy: placement.Policy,
        table: jobs.JobTable,
        shedding_policy: shedding.Policy = SHEDDING_POLICY,
        optional: features.Features = features.NO_FEATURES,
    ) -> None:
        self.policy = policy
        self.features = optional
        self.queue = queues.FairQueue(waits.make_order(optional.shares))
        self.views: dict[str, machines.TargetView] = {}
        # By the name and the incarnation of the agent.
        self._lost: dict[tuple[str, int], machines.LostTarget] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self.run_s: dict[str, float] = {}
        self.beliefs = interferencebeliefs.InterferenceBeliefs(
            optional.separation, self.counters
        )
        self._separation = separation.Separation(self.beliefs, self.counters)
        self._table = table
        self._configuration: contracts.Configuration | None = None
        # Of the current configuration, by failure domain and target.
        self._policies: dict[tuple[str, str], zones.DomainPolicy] = {}
        self._breakers: dict[tuple[str, str], health.Breaker] = {}
        self._pending_cancels: dict[str, list[str]] = {}
        self._slot_requests = 0
        self.room = entryroom.EntryRoom(
            optional.room, self.queue, self.counters
        )
        self.waits = waits.Waits(
            self.queue, self.views, shedding_policy, self.counters
        )
        self.completion_rate = self.waits.completion_rate

    # Configuration and capacity.

    def configure(self, configuration: contracts.Configuration) -> None:
        """Apply a configuration revision.

        Targets of a failure domain that opens again start with few tasks.
        """
        previous = self._configuration
        opened = (
            frozenset()
            if previous is None
            else previous.closed - configuration.closed
        )
        for view in self.views.values():
            if view.target.failure_domain in opened:
                view.begin_ramp()
        self._configuration = configuration
        self._policies = {}
        for quota in configuration.sheet.quotas.values():
            self.queue.set_quota(quota)

    def list_serving(self, kind_name: str) -> list[machines.TargetView]:
        """Return the views of targets that may serve a kind now."""
        configuration = self._configuration
        if configuration is None:
            return []
        kind = configuration.sheet.kinds.get(kind_name)
        if kind is None:
            return []
        allowed = kind.failure_domains - configuration.closed
        draining = configuration.draining
        return [
            view
            for view in self.views.values()
            if view.accepting
            and not view.suspect
            and view.target.failure_domain in allowed
            and view.target.name not in draining
            and kind.service in ('', view.target.service)
            and (not view.target.kinds or kind_name in view.target.kinds)
        ]

    def count_waiting(self, kind: str) -> int:
        """Return the number of jobs of a kind that cannot have run yet."""
        return sum(
            job.submission.kind == kind and not job.may_have_run()
            for job in self._table.list_open()
        )

    def has_capacity(self, kind: str, demand: contracts.Room) -> bool:
        """Return whether any target that serves a kind is large enough."""
        return any(
            not view.target.has_room or view.target.room.covers(demand)
            for view in self.list_serving(kind)
        )

    def estimate_run(self, kind: str) -> float:
        """Return the smoothed run time of a kind in seconds."""
        return self.run_s.get(kind, DEFAULT_RUN_S)

    def estimate_work(self, kind: str, count: int) -> float:
        """Estimate how long ``count`` tasks would keep the slots busy.

        Slots that other entries use are not counted.  The result is in
        seconds, and infinite when no target serves the kind.
        """
        serving = self.list_serving(kind)
        slots = sum(
            len(view.outstanding) + max(0, view.free) for view in serving
        )
        if not serving:
            return float('inf')
        return count / max(1, slots) * self.estimate_run(kind)

    # Jobs.

    def add(self, job: jobs.Job) -> None:
        """Queue every task of a job."""
        submission = job.submission
        queued = _make_queued(job, range(len(submission.payloads)))
        self.waits.record_admitted(queued, job.arrived_s)
        self.room.record_arrival()
        self.queue.add(submission.team, queued)

    def predict_wait(
        self, team: str, due_s: float, now_s: float, priority: int = 0
    ) -> float:
        """Predict how long a job due at ``due_s`` would wait, in seconds."""
        arriving = queues.QueuedJob(
            '', '', collections.deque(), due_s, priority=priority
        )
        return self.waits.predict(team, arriving, now_s)

    def count_startable(self, job: queues.QueuedJob, now_s: float) -> int:
        """Return for how many tasks of a job targets are known to have room.

        Without waiting work the result is not needed, and is 0.
        """
        if not self.queue.length:
            return 0
        usable = self._list_usable(job.kind, now_s)
        return self.room.count_startable(usable, job, now_s)

    def list_overdue(self, now_s: float) -> list[str]:
        """Return the jobs that would take the place of jobs in time."""
        return self.room.list_without_room(
            self.waits.list_overdue(now_s), self.list_serving, now_s
        )

    def requeue(self, job: jobs.Job, index: int) -> None:
        """Queue a task of a job again, after its attempt has ended."""
        self.room.record_arrival()
        self.queue.requeue(job.submission.team, _make_queued(job, (index,)))

    def remove(self, job: jobs.Job, now_s: float) -> None:
        """Drop the waiting tasks of a job and cancel the sent ones."""
        submission = job.submission
        self.queue.remove(submission.team, submission.id)
        for index, target in job.targets_by_index.items():
            if target in self.views:
                key = contracts.TaskKey(submission.id, index)
                self.views[target].cancel(key, now_s)
        for target in dict.fromkeys(job.targets_by_index.values()):
            self._pending_cancels.setdefault(target, []).append(submission.id)

    def flush_cancels(self) -> effects.Effects:
        """Send the pending cancellations, one message for each target."""
        result: effects.Effects = [
            effects.Send(target, messages.JobCancel(tuple(submissions)))
            for target, submissions in self._pending_cancels.items()
            if target in self.views
        ]
        self.counters['cancels_sent'] += len(result)
        self._pending_cancels = {}
        return result

    def _repeat_cancels(
        self, peer: str, view: machines.TargetView, now_s: float
    ) -> effects.Effects:
        """Send the cancellations of runs that are not known to have ended.

        Those without an answer for some time come with fences, to which the
        agent responds again if its report of the end was lost.
        """
        if not view.cancelled:
            return []
        is_first = self._pending_cancels.pop(peer, None) is not None
        self.counters['cancels_sent' if is_first else 'cancels_repeated'] += 1
        submissions = dict.fromkeys(key.submission for key in view.cancelled)
        result: effects.Effects = [
            effects.Send(peer, messages.JobCancel(tuple(submissions)))
        ]
        unanswered = {
            key: now_s - cancelled_s
            for key, cancelled_s in view.cancelled.items()
            if now_s - cancelled_s > CANCEL_ANSWER_TIMEOUT_S
        }
        if not unanswered:
            return result
        result.append(dispatchreports.log_unanswered(view, unanswered))
        for key in unanswered:
            start = view.outstanding[key]
            start.fence_sent_s = now_s
            fence = dispatchreports.make_fence(view, key, start)
            result.append(effects.Send(peer, fence))
        self.counters['fences_sent'] += len(unanswered)
        return result

    # Placement.

    def place(self, now_s: float) -> effects.Effects:
        """Start waiting tasks for which the policy finds a target."""
        result: effects.Effects = []
        blocked: set[str] = set()
        requests: effects.Effects = []
        asked: set[str] = set()
        self.waits.refresh_shares(now_s)
        serving: dict[str, list[machines.TargetView]] = {}
        while self.queue.length:
            peeked = self.queue.peek(blocked, now_s)
            if peeked is None:
                break
            team, queued = peeked
            kind = queued.kind
            if kind not in serving:
                serving[kind] = self._list_usable(kind, now_s)
            key = contracts.TaskKey(queued.submission, queued.indices[0])
            usable = placement.list_fast_enough(
                serving[kind], queued.due_s - now_s, queued.estimate_s
            )
            view = self._separation.choose(
                self.policy, usable, kind, key, queued.demand
            )
            if view is None:
                share = self._compute_waiting_share()
                requests += self.room.request(
                    usable, queued, share, asked, now_s
                )
                blocked.add(kind)
                continue
            self.queue.pop(team, queued)
            self.waits.record_start(queued, now_s)
            result += self._start(view, team, kind, key, now_s)
            if not self._find_breaker(view, kind).allows(now_s):
                serving[kind].remove(view)
        self.room.record_placed(asked)
        return result + requests

    def _list_usable(
        self, kind: str, now_s: float
    ) -> list[machines.TargetView]:
        return [
            view
            for view in self.list_serving(kind)
            if self._find_breaker(view, kind).allows(now_s)
        ]

    def _find_breaker(
        self, view: machines.TargetView, kind: str
    ) -> health.Breaker:
        key = (view.target.name, kind)
        breaker = self._breakers.get(key)
        if breaker is None:
            breaker = self._breakers[key] = health.Breaker()
        return breaker

    def _start(
        self,
        view: machines.TargetView,
        team: str,
        kind: str,
        key: contracts.TaskKey,
        now_s: float,
    ) -> effects.Effects:
        job = self._table.jobs[key.submission]
        job.record_sent(key.index, view.target.name)
        attempt = job.attempts.get(key.index, 0) + 1
        limit_s = max(0.001, job.deadline_s - now_s)
        submission = job.submission
        patient = not submission.transient or not view.covers(
            submission.demand
        )
        view.send(
            key,
            machines.Outstanding(
                team,
                kind,
                attempt,
                view.stamp_ms,
                limit_s,
                now_s,
                now_s,
                submission.demand,
                dispatchreports.expect_answer(submission, view),
            ),
        )
        self._find_breaker(view, kind).record_sent(now_s)
        self.counters['starts_sent'] += 1
        start = messages.TaskStart(
            key.submission,
            key.index,
            attempt,
            view.incarnation,
            kind,
            submission.payloads[key.index],
            max(1, int(limit_s * 1000)),
            view.stamp_ms,
            self._compute_waiting_share(),
            submission.transient,
            patient,
            submission.demand,
            round(submission.estimate_s * 1000),
            self.room.make_demand(
                kind, job.priority, job.due_s, submission.demand, now_s
            ),
        )
        self.room.record_start()
        previous = job.previous.get(key.index, jobs.EndedAttempt())
        log_entry = effects.Log(
            'start_sent',
            {
                'id': key.submission,
                'index': key.index,
                'attempt': attempt,
                'target': view.target.name,
                'contact_age_s': round(now_s - view.last_contact_s, 3),
                'previous': previous.reason,
                'previous_target': previous.target,
            },
        )
        return [log_entry, effects.Send(view.target.name, start)]

    def _compute_waiting_share(self) -> int:
        """Return the waiting tasks divided by the targets, rounded up."""
        return -(-self.queue.length // max(1, len(self.views)))

    # Messages of agents.

    def handle_renewal(
        self,
        peer: str,
        incarnation: int,
        renewal: messages.AgentRenewal,
        now_s: float,
    ) -> DispatchResult:
        """Update the view of a target from a renewal of its agent."""
        outcomes: list[Outcome] = []
        view = self.views.get(peer)
        if view is not None and renewal.stamp_ms < view.stamp_ms:
            # A replaced connection delivered it late.  Stamps rise over the
            # incarnations of an agent, so the view is newer, and its tasks
            # still run.
            self.counters['renewals_outdated'] += 1
            return DispatchResult([], [])
        if view is not None and view.incarnation != incarnation:
            outcomes = self._drop_target(peer, 'restarted')
            view = None
        if view is None:
            view = machines.TargetView(
                machines.Target(
                    renewal.target,
                    renewal.worker,
                    renewal.failure_domain,
                    renewal.slots,
                    frozenset(renewal.kinds),
                    renewal.service,
                    renewal.room,
                ),
                incarnation,
            )
            self.views[peer] = view
        view.last_contact_s = now_s
        view.stamp_ms = max(view.stamp_ms, renewal.stamp_ms)
        if renewal.accepting and not view.accepting:
            view.begin_ramp()
            view.decline_reason = ''
        view.accepting = renewal.accepting
        view.report(renewal.free, renewal.starts_seen, renewal.free_room)
        view.reported_speed = renewal.speed
        self.room.record_report(view, renewal.shared, now_s)
        outcomes += self._settle_lost(peer, view)
        # Follows _settle_lost, which may take back the starts that are named.
        for each in renewal.shown:
            key = contracts.TaskKey(each.submission, each.index)
            view.record_shown(key, each.attempt)
        self._settle_unlisted(view, renewal)
        result = neighbourreports.apply_report(
            self.beliefs, peer, renewal.neighbours, now_s
        )
        if view.suspect:
            view.suspect = False
            result += self._send_fences(view, now_s, float('inf'))
        return DispatchResult(result, outcomes)

    def _settle_lost(
        self, peer: str, view: machines.TargetView
    ) -> list[Outcome]:
        """Settle the starts of an agent that has returned.

        The same incarnation is asked for them.  A later one has renewed only
        after its target was fenced, so that they have ended or never start;
        a smaller stamp may be one of an earlier incarnation.
        """
        outcomes: list[Outcome] = []
        for (name, incarnation), lost in list(self._lost.items()):
            if name != peer:
                continue
            if incarnation == view.incarnation:
                view.restore({**lost.starts, **lost.ended})
                view.suspect = True
                for key in lost.ended:
                    view.cancel(key, view.last_contact_s)
            elif view.stamp_ms >= lost.stamp_ms:
                for key, start in lost.starts.items():
                    self.queue.record_end(start.team)
                    outcomes += self._restart_lost(
                        peer, key, start, 'restarted'
                    )
            else:
                continue
            del self._lost[name, incarnation]
        return outcomes

    def _settle_unlisted(
        self, view: machines.TargetView, renewal: messages.AgentRenewal
    ) -> None:
        """Settle the cancelled starts that the agent does not have.

        They have ended there, or never arrived and would be declined now.
        """
        if renewal.unended is None:
            return
        listed = {(each.submission, each.index) for each in renewal.unended}
        latest_stamp_ms = renewal.stamp_ms - START_TTL_S * 1000
        for key in list(view.cancelled):
            start = view.outstanding[key]
            is_over = start.stamp_ms <= latest_stamp_ms
            if is_over and (key.submission, key.index) not in listed:
                self.counters['starts_unlisted'] += 1
                self._settle(view, key)

    def _is_active(self, key: contracts.TaskKey) -> bool:
        job = self._table.find(key.submission)
        return job is not None and job.state == jobs.JobState.ACTIVE

    def send_lease(
        self,
        peer: str,
        renewal: messages.AgentRenewal,
        lease: zones.Lease,
        now_s: float,
    ) -> effects.Effects:
        """Answer a renewal with the remaining time of the entry's lease.

        The answer lets the tasks of the entry run on, so the cancellations
        that may be lost go first in the same frame: either both arrive, or
        the agent stops the tasks for want of an answer.
        """
        configuration = self._configuration
        if configuration is None:
            return []
        view = self.views.get(peer)
        cancels = self._repeat_cancels(peer, view, now_s) if view else []
        policy = self._find_policy(
            configuration, renewal.failure_domain, renewal.target
        )
        is_current = renewal.revision == policy.revision
        # A target with room is matched by its service, so it needs no kinds.
        any_kind = policy.any_kind and renewal.room != contracts.NO_ROOM
        return [
            *cancels,
            effects.Send(
                peer,
                messages.AgentLease(
                    renewal.stamp_ms,
                    int(lease.measure_remaining(now_s) * 1000),
                    policy.revision,
                    policy.open,
                    policy.draining,
                    ()
                    if is_current or any_kind
                    else tuple(sorted(policy.kinds)),
                    any_kind,
                ),
            ),
        ]

    def _find_policy(
        self,
        configuration: contracts.Configuration,
        failure_domain: str,
        target: str,
    ) -> zones.DomainPolicy:
        policy = self._policies.get((failure_domain, target))
        if policy is None:
            policy = zones.project_policy(
                configuration, failure_domain, target
            )
            self._policies[failure_domain, target] = policy
        return policy

    def handle_message(
        self, peer: str, incarnation: int, message: object, now_s: float
    ) -> DispatchResult:
        """Handle any other message of an agent.

        Messages of an unknown target or of another incarnation are dropped.
        """
        view = self.views.get(peer)
        if view is None or view.incarnation != incarnation:
            self.counters['agent_messages_foreign'] += 1
            return DispatchResult([], [])
        view.last_contact_s = now_s
        match message:
            case messages.TaskFinished():
                return self._handle_finished(view, message, now_s)
            case messages.TaskDeclined():
                return self._handle_declined(view, message, now_s)
            case messages.TaskUnknown(submission, index, attempt):
                key = contracts.TaskKey(submission, index)
                if self._settle_attempt(view, key, attempt) is None:
                    return DispatchResult([], [])
                return DispatchResult([], [TaskLost(key, view.target.name)])
            case messages.SlotsOffered(free, starts_seen, free_room):
                self.counters['offers_received'] += 1
                self.room.record_offer(peer)
                view.report(free, starts_seen, free_room)
                return DispatchResult([], [])
            case _:
                return DispatchResult([], [])

    def _handle_finished(
        self,
        view: machines.TargetView,
        finished: messages.TaskFinished,
        now_s: float,
    ) -> DispatchResult:
        view.report(finished.free, finished.starts_seen, finished.free_room)
        key = contracts.TaskKey(finished.submission, finished.index)
        start = self._settle_end(view, key, finished.attempt)
        if start is None:
            self.counters['results_repeated'] += 1
            return DispatchResult([], [])
        self.counters['results_received'] += 1
        breaker = self._find_breaker(view, start.kind)
        if finished.stopped and finished.body != messages.REASON_STALLED:
            breaker.record_no_outcome(now_s)
        elif breaker.record_outcome(finished.succeeded, now_s):
            self.counters['breakers_opened'] += 1
        job = self._table.find(key.submission)
        if job is not None:
            job.attempts[key.index] = start.attempt
        reason = (
            ''
            if finished.succeeded
            else finished.body.decode('utf-8', 'replace')
        )
        if finished.stopped and self._restart(job, key, reason or 'stopped'):
            restart = dispatchreports.log_restart(view, key, reason)
            return DispatchResult([restart], [])
        if not finished.succeeded:
            return DispatchResult(
                [], [TaskFailed(key, view.target.name, reason)]
            )
        view.ramp()
        if job is not None:
            submission = job.submission
            work = submission.demand.measure_work(submission.estimate_s)
            self.completion_rate.record(work, now_s)
        self._record_run_time(view, start.kind, finished.run_ms / 1000)
        return DispatchResult([], [TaskSucceeded(key, finished.body)])

    def _handle_declined(
        self,
        view: machines.TargetView,
        declined: messages.TaskDeclined,
        now_s: float,
    ) -> DispatchResult:
        self.counters['starts_declined'] += 1
        view.report(declined.free, declined.starts_seen, declined.free_room)
        if declined.reason == messages.REASON_BUSY:
            self.room.record_busy(view.target.name)
            if not view.target.has_room:
                view.block()
        elif declined.reason not in messages.ATTEMPT_REASONS:
            view.accepting = False
            view.decline_reason = declined.reason
        key = contracts.TaskKey(declined.submission, declined.index)
        start = self._settle_attempt(view, key, declined.attempt)
        if start is None:
            return DispatchResult([], [])
        self._find_breaker(view, start.kind).record_no_outcome(now_s)
        job = self._table.find(key.submission)
        if job is None or job.state != jobs.JobState.ACTIVE:
            return DispatchResult([], [])
        job.record_fenced(key.index, declined.reason)
        job.attempts[key.index] = start.attempt
        # A busy target does not count as a rejection of the task.
        if (
            declined.reason != messages.REASON_BUSY
            and not job.submission.transient
        ):
            rejections = job.rejections.get(key.index, 0) + 1
            job.rejections[key.index] = rejections
            if rejections >= MAX_REJECTIONS:
                return DispatchResult([], [TaskRejected(key)])
        self.waits.record_decline(_make_queued(job, (key.index,)), now_s)
        self.requeue(job, key.index)
        return DispatchResult([], [])

    def _restart(
        self, job: jobs.Job | None, key: contracts.TaskKey, reason: str
    ) -> bool:
        """Queue a transient task again whose last attempt no longer runs.

        Return whether it was queued.
        """
        if job is None or job.state != jobs.JobState.ACTIVE:
            return False
        if not job.submission.transient:
            return False
        self.counters['tasks_restarted'] += 1
        job.record_restart(key.index, reason)
        self.requeue(job, key.index)
        return True

    def _settle_end(
        self, view: machines.TargetView, key: contracts.TaskKey, attempt: int
    ) -> machines.Outstanding | None:
        """Settle a key whose attempt has ended; 0 matches any attempt."""
        if not attempt:
            return self._settle(view, key)
        return self._settle_attempt(view, key, attempt)

    def _settle(
        self, view: machines.TargetView, key: contracts.TaskKey
    ) -> machines.Outstanding | None:
        start = view.settle(key)
        if start is not None and start.is_counted:
            self.queue.record_end(start.team)
        return start

    def _settle_attempt(
        self,
        view: machines.TargetView,
        key: contracts.TaskKey,
        attempt: int,
    ) -> machines.Outstanding | None:
        """Settle a key if the answer is about its current attempt."""
        start = view.outstanding.get(key)
        if start is None or start.attempt != attempt:
            self.counters['answers_outdated'] += 1
            return None
        return self._settle(view, key)

    def _record_run_time(
        self, view: machines.TargetView, kind: str, run_s: float
    ) -> None:
        mean_s = self.run_s.get(kind)
        if mean_s is None:
            self.run_s[kind] = run_s
            return
        view.speed.record(run_s / mean_s if mean_s > 0 else 1.0)
        self.run_s[kind] = mean_s + RUN_SMOOTHING * (run_s - mean_s)

    # Time.

    def tick(self, now_s: float) -> DispatchResult:
        """Check for unresponsive agents and overdue starts."""
        result = self.flush_cancels() + self.waits.log_shares(now_s)
        outcomes: list[Outcome] = []
        for peer, view in list(self.views.items()):
            no_contact_s = now_s - view.last_contact_s
            lost_timeout_s = (
                HOLD_LOST_TIMEOUT_S if view.target.has_room else LOST_TIMEOUT_S
            )
            if no_contact_s > lost_timeout_s:
                result.append(dispatchreports.log_lost(view, no_contact_s))
                outcomes += self._lose_target(peer)
            elif no_contact_s > SUSPECT_TIMEOUT_S:
                view.suspect = True
            else:
                view.ramp_by_time(now_s)
                if view.outstanding:
                    result += self._send_fences(view, now_s, OVERDUE_MARGIN_S)
        self._forget_lost(now_s)
        result += self._request_slots()
        return DispatchResult(result, outcomes)

    def _send_fences(
        self, view: machines.TargetView, now_s: float, margin_s: float
    ) -> effects.Effects:
        """Send fences; the answers report what became of the starts.

        With an infinite margin every start is fenced, otherwise those that
        are overdue by more than ``margin_s`` seconds, once an interval.
        """
        result: effects.Effects = []
        fence_all = margin_s == float('inf')
        for key, start in view.outstanding.items():
            overdue = start.is_overdue(now_s, margin_s)
            interval_elapsed = now_s - start.fence_sent_s > FENCE_INTERVAL_S
            if not fence_all and not (overdue and interval_elapsed):
                continue
            start.fence_sent_s = now_s
            fence = dispatchreports.make_fence(view, key, start)
            result.append(effects.Send(view.target.name, fence))
        self.counters['fences_sent'] += len(result)
        return result

    def _lose_target(self, peer: str) -> list[Outcome]:
        """Remove the target of an unresponsive agent.

        The lease of an attempt that its target has shown has ended.  Nothing
        bounds a start that is still under way: its task starts nowhere else
        until the agent has returned.
        """
        view = self.views[peer]
        starts = {key: view.outstanding[key] for key in view.list_unshown()}
        if starts:
            self.counters['starts_unsettled'] += len(starts)
            self._lost[peer, view.incarnation] = machines.LostTarget(
                view.stamp_ms, starts
            )
        for key in starts:
            view.settle(key)
        return self._drop_target(peer, 'lost')

    def _forget_lost(self, now_s: float) -> None:
        """Set the lost starts of ended jobs apart, and forget them later."""
        for name, lost in list(self._lost.items()):
            for key, start in list(lost.starts.items()):
                if self._is_active(key):
                    continue
                self.queue.record_end(start.team)
                start.is_counted = False
                lost.ended[key] = lost.starts.pop(key)
                lost.ended_s = now_s
            if now_s - lost.ended_s > LOST_START_TTL_S:
                lost.ended = {}
            if not lost.starts and not lost.ended:
                del self._lost[name]

    def may_start(self, job: jobs.Job) -> bool:
        """Tell whether a start of a job may still be under way to a target.

        A caller that submits such a job again could have it run twice.
        """
        for index, target in job.targets_by_index.items():
            key = contracts.TaskKey(job.submission.id, index)
            view = self.views.get(target)
            if view is not None and view.is_unshown(key):
                return True
            if any(key in lost.starts for lost in self._lost.values()):
                return True
        return False

    def runs_all(self, job: jobs.Job, now_s: float) -> bool:
        """Tell whether all unfinished tasks of a job run in contact."""
        if job.has_waiting_tasks():
            return False
        for index, target in job.targets_by_index.items():
            view = self.views.get(target)
            key = contracts.TaskKey(job.submission.id, index)
            if view is None or key not in view.outstanding:
                return False
            no_contact_s = now_s - view.last_contact_s
            if (
                view.is_unshown(key)
                or no_contact_s > waits.THROUGHPUT_TIMEOUT_S
            ):
                return False
        return True

    def may_run(self, job: jobs.Job) -> bool:
        """Tell whether a run of a job may be left, or may still begin."""
        for index, target in job.targets_by_index.items():
            key = contracts.TaskKey(job.submission.id, index)
            view = self.views.get(target)
            if view is not None and key in view.outstanding:
                return True
            if any(key in lost.starts for lost in self._lost.values()):
                return True
        return False

    def list_unsettled(self) -> set[str]:
        """Return the jobs of which a run may be left, or may still begin."""
        unsettled = {
            key.submission
            for view in self.views.values()
            for key in view.outstanding
        }
        for lost in self._lost.values():
            unsettled.update(key.submission for key in lost.starts)
            unsettled.update(key.submission for key in lost.ended)
        return unsettled

    def _drop_target(self, peer: str, reason: str) -> list[Outcome]:
        """Remove a target; tasks that were sent to it may have run."""
        view = self.views.pop(peer)
        self.room.service.forget(view.target.name)
        self.counters['targets_lost'] += 1
        for breaker_key in [key for key in self._breakers if key[0] == peer]:
            del self._breakers[breaker_key]
        outcomes: list[Outcome] = []
        for key in list(view.outstanding):
            start = self._settle(view, key)
            if start is not None:
                outcomes += self._restart_lost(peer, key, start, reason)
        return outcomes

    def _restart_lost(
        self,
        peer: str,
        key: contracts.TaskKey,
        start: machines.Outstanding,
        reason: str,
    ) -> list[Outcome]:
        """Queue the task of a lost start again, if it may run again."""
        job = self._table.find(key.submission)
        if job is not None:
            job.attempts[key.index] = start.attempt
        if self._restart(job, key, reason):
            return []
        return [TaskLost(key, peer)]

    def _request_slots(self) -> effects.Effects:
        """Request slots from one target at a time, in rotation.

        An entry with outstanding tasks learns of free slots from their
        results, so only an entry without any sends a request.
        """
        if not self.queue.length:
            return []
        usable = [
            view
            for view in self.views.values()
            if view.accepting and not view.suspect
        ]
        if not usable or any(view.outstanding for view in usable):
            return []
        self._slot_requests += 1
        view = usable[self._slot_requests % len(usable)]
        self.counters['wants_sent'] += 1
        request = messages.SlotsRequest(self._compute_waiting_share())
        return [effects.Send(view.target.name, request)]

    def explain(self, view: machines.TargetView) -> str:
        """Return why a target gets no tasks; empty if it may get some."""
        configuration = self._configuration
        target = view.target
        if configuration is None:
            return 'no-configuration'
        if target.failure_domain in configuration.closed:
            return 'closed'
        if target.name in configuration.draining:
            return 'draining'
        if view.suspect:
            return 'no-contact'
        if not view.accepting:
            return view.decline_reason or 'unhealthy-or-stopping'
        return ''

    def explain_kind(self, kind: str) -> str:
        """Return why the targets of a kind get no tasks, with numbers."""
        configuration = self._configuration
        served = (
            None
            if configuration is None
            else configuration.sheet.kinds.get(kind)
        )
        reasons = collections.Counter(
            self.explain(view) or 'too-small'
            for view in self.views.values()
            if served is None or served.service in ('', view.target.service)
        )
        if not reasons:
            return 'no target has registered'
        return ', '.join(
            f'{count} {reason}' for reason, count in reasons.most_common()
        )

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            'queued': self.queue.length,
            'run_s': {
                kind: round(run_s, 4) for kind, run_s in self.run_s.items()
            },
            'targets': {
                name: dispatchreports.describe_target(
                    view,
                    self.explain(view),
                    {
                        kind: breaker
                        for (target, kind), breaker in self._breakers.items()
                        if target == name
                    },
                    now_s,
                )
                for name, view in sorted(self.views.items())
            },
            'service': self.room.service.describe(now_s),
            'counters': dict(self.counters),
            **self.beliefs.describe(),
        }


def _make_queued(job: jobs.Job, indices: Iterable[int]) -> queues.QueuedJob:
    """Return the queue's record of the given tasks of a job."""
    submission = job.submission
    return queues.QueuedJob(
        submission.id,
        submission.kind,
        collections.deque(indices),
        job.due_s,
        submission.demand,
        submission.estimate_s,
        job.priority,
        job.may_have_run(),
        len(submission.payloads),
    )
