"""Decision logic of an entry: job ownership, results and answers.

An entry owns the jobs whose claims it won.  It answers each job once, for all
of its tasks.  A request for an existing job attaches to it, at this entry or
at the one that owns the job.  The class takes typed events and a monotonic
time and returns effects.
"""

import collections
import dataclasses
import heapq
from typing import Final

from eelgrassworks import admission
from eelgrassworks import answers
from eelgrassworks import attachments
from eelgrassworks import changes
from eelgrassworks import contracts
from eelgrassworks import dispatcher
from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks import features
from eelgrassworks import inquiries
from eelgrassworks import joblog
from eelgrassworks import jobwaiters
from eelgrassworks import ownership
from eelgrassworks import shedding
from eelgrassworks.contracts import jobs
from eelgrassworks.links import codec
from eelgrassworks.links import continuity
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.machines import placement

# Response times held between two reads by the process.
MAX_LATENCY_SAMPLES: Final = 10_000
# Resolution of the time limits of ownership, also while events follow a pause.
OWNERSHIP_INTERVAL_S: Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOptions:
    """Identity and limits of an entry, fixed while it runs.

    ``max_wait_s`` bounds the expected wait of an admitted job's first task.
    During a planned stop the entry still accepts jobs for ``stop_linger_s``,
    so that load balancers can notice that it is not ready.  With
    ``claims_transient`` a transient job runs only while its homes have granted
    it to this entry; without it two entries may run the same job.
    """

    session: session.SessionOptions
    policy: placement.Policy
    max_wait_s: float
    stop_linger_s: float = 0.0
    shedding_policy: shedding.Policy = dispatcher.SHEDDING_POLICY
    claims_transient: bool = False
    optional: features.Features = features.NO_FEATURES


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitRequested:
    """A caller submits a job."""

    request: int
    submission: contracts.Submission


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRequested:
    """A caller requests the answer of a job by its id."""

    request: int
    submission: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller cancels a job by its id."""

    request: int
    submission: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of a request disconnected; ends only transient jobs."""

    request: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator requests a change of the configuration."""

    request: int
    change: contracts.ChangeRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Messages of one frame arrived from another process.

    ``is_local`` is set if that process runs on the same machine, so that the
    frame shows nothing about the network.
    """

    peer: str
    incarnation: int
    messages: tuple[object, ...]
    is_local: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop begins."""


EntryEvent = (
    SubmitRequested
    | AnswerRequested
    | CancelRequested
    | CallerDisconnected
    | ChangeRequested
    | Received
    | Ticked
    | StopRequested
)


class Entry:
    """Decision logic of one entry process."""

    def __init__(self, options: EntryOptions) -> None:
        self.options = options
        optional = options.optional
        self.session = session.Session(options.session)
        self.table = jobs.JobTable()
        self.dispatcher = dispatcher.Dispatcher(
            options.policy, self.table, options.shedding_policy, optional
        )
        self.counters: collections.Counter[str] = collections.Counter()
        self.stopping = False
        self._stop_finished = False
        self._stop_requested_s = float('-inf')
        self._inquiries = inquiries.Inquiries(self.session)
        self._changes = changes.Changes(self.session)
        self._deadlines: list[tuple[float, str]] = []
        self._transient_ids = jobs.TransientIds(options.session.nonce)
        self.ownership = ownership.Ownership(
            options.session.name, options.session.nonce, optional.claims
        )
        self._ownership_checked_s = float('-inf')
        self._attachments = attachments.Attachments()
        self._continuity = continuity.Continuity()
        # Kinds and response times of complete jobs; the process drains it.
        self.latencies: collections.deque[tuple[str, float]] = (
            collections.deque(maxlen=MAX_LATENCY_SAMPLES)
        )
        self._has_lease = False
        self._admission = admission.Admission(
            self.session, self.dispatcher, options.max_wait_s
        )

    def handle(self, event: EntryEvent, now_s: float) -> effects.Effects:
        """Handle one event and return its effects."""
        # Checked first, since any event may be the first one after a pause.
        result = self._handle_interruption(now_s)
        result += self._check_ownership(now_s)
        result += self._handle_event(event, now_s)
        return result + self.ownership.flush(
            now_s, with_releases=isinstance(event, Ticked)
        )

    def _handle_event(
        self, event: EntryEvent, now_s: float
    ) -> effects.Effects:
        match event:
            case Received(peer, incarnation, received, is_local):
                if not is_local:
                    self._continuity.record_message(now_s)
                result = []
                for message in received:
                    result += self._handle_message(
                        peer, incarnation, message, now_s
                    )
            case SubmitRequested(request, submission):
                result = self._submit(request, submission, now_s)
            case AnswerRequested(request, submission, team):
                result = self._request_answer(request, submission, team, now_s)
            case CancelRequested(request, submission, team):
                result = self._cancel(request, submission, team, now_s)
            case CallerDisconnected(request):
                result = self._drop_request(request, now_s)
            case ChangeRequested(request, change):
                return self._changes.forward(request, change, now_s)
            case Ticked():
                result = self._tick(now_s)
            case StopRequested():
                if not self.stopping:
                    self.stopping = True
                    self._stop_requested_s = now_s
                result = []
        return result + self._place_tasks(now_s) + self._finish_stop(now_s)

    # Requests of callers.

    def _submit(
        self, request: int, submission: contracts.Submission, now_s: float
    ) -> effects.Effects:
        self.counters['submissions'] += 1
        if submission.transient:
            submission = self._transient_ids.assign_job_id(submission)
        job = self.table.find(submission.id)
        if job is not None:
            self.counters['resubmissions'] += 1
            return jobwaiters.attach_caller(
                job, request, submission.digest, now_s
            )
        refusal = self._find_refusal(submission, now_s)
        if refusal is None:
            return self._admit(request, submission, now_s)
        self.counters[f'refused_{refusal.code}'] += 1
        log_entry = joblog.log_refusal(
            submission, refusal, self._describe_inputs(now_s)
        )
        if not submission.claimed:
            reply = effects.Reply(request, contracts.NotRun(refusal))
            return [log_entry, reply]
        return self._inquiries.look_up(
            inquiries.Inquiry(
                request,
                submission.id,
                submission.digest,
                submission.team,
                refusal,
                now_s + inquiries.CLAIM_TIMEOUT_S,
            ),
            now_s,
        )

    def _describe_inputs(self, now_s: float) -> dict[str, object]:
        """Return the inputs of decisions about jobs, for log lines."""
        lease_s = self.session.lease.measure_remaining(now_s)
        return {
            'queued': self.dispatcher.queue.length,
            'targets': len(self.dispatcher.views),
            'revision': self.session.configuration.revision,
            'lease_s': round(lease_s, 2),
        }

    def _find_refusal(
        self, submission: contracts.Submission, now_s: float
    ) -> errors.Refusal | None:
        """Return the reason for rejecting a job, or None to admit it."""
        if self.is_linger_over(now_s):
            return errors.refuse(errors.Code.STOPPING)
        if submission.transient and self._continuity.is_isolated(now_s):
            return errors.refuse(
                errors.Code.ISOLATED,
                silent_s=continuity.ISOLATION_TIMEOUT_S,
            )
        if submission.transient and self._continuity.is_reading_backlog(now_s):
            # Its caller may have submitted it again elsewhere meanwhile.
            return errors.refuse(errors.Code.RESUMED)
        if self._must_claim(submission) and not self.ownership.can_claim(
            submission.caller_id, now_s
        ):
            return errors.refuse(errors.Code.UNCLAIMABLE)
        return self._admission.find_refusal(submission, now_s)

    def _admit(
        self, request: int, submission: contracts.Submission, now_s: float
    ) -> effects.Effects:
        deadline_s = now_s + submission.time_limit_s
        job = jobs.Job(submission, now_s, deadline_s, waiters=[request])
        if submission.transient:
            self._schedule_transient(job, now_s)
        self.table.add(job)
        accepted = joblog.log_acceptance(
            job, request, self._describe_inputs(now_s)
        )
        if self._must_claim(submission):
            heapq.heappush(self._deadlines, (deadline_s, submission.id))
            outcomes = self.ownership.claim(
                submission.caller_id, submission.id, now_s, job.due_s - now_s
            )
            return [accepted, *self._handle_ownership(outcomes, now_s)]
        if not submission.claimed:
            self._activate(job)
            return [accepted]
        claim = contracts.Claim(
            submission.id,
            submission.digest,
            self.options.session.name,
            self.session.incarnation,
        )
        wait_s = min(deadline_s, now_s + inquiries.CLAIM_TIMEOUT_S)
        heapq.heappush(self._deadlines, (wait_s, submission.id))
        return [accepted, *self.session.claim((claim,), now_s)]

    def _schedule_transient(self, job: jobs.Job, now_s: float) -> None:
        """Set the due time, priority and latest end of a transient job."""
        submission = job.submission
        kind = self.session.configuration.sheet.kinds[submission.kind]
        schedule = shedding.plan_job(kind, submission.estimate_s, now_s)
        job.due_s = schedule.due_s
        job.priority = kind.priority
        job.latest_end_s = schedule.latest_end_s
        # If a task still waits at this time, the job is aborted; if all tasks
        # have started, it continues.
        latest_start_s = schedule.latest_end_s - submission.estimate_s
        heapq.heappush(self._deadlines, (latest_start_s, submission.id))
        self._transient_ids.open(submission)

    def _activate(self, job: jobs.Job) -> None:
        job.activate()
        self.dispatcher.add(job)
        heapq.heappush(self._deadlines, (job.deadline_s, job.submission.id))

    def _request_answer(
        self, request: int, submission: str, team: str, now_s: float
    ) -> effects.Effects:
        job = self.table.find(submission)
        if job is None:
            return self._inquiries.look_up(
                inquiries.Inquiry(
                    request,
                    submission,
                    '',
                    team,
                    None,
                    now_s + inquiries.ATTACH_TIMEOUT_S,
                ),
                now_s,
            )
        if team != job.submission.team:
            return [effects.Reply(request, answers.refuse_foreign_team())]
        return jobwaiters.attach_caller(
            job, request, job.submission.digest, now_s
        )

    def _cancel(
        self, request: int, submission: str, team: str, now_s: float
    ) -> effects.Effects:
        job = self.table.find(submission)
        if job is not None:
            result = self._cancel_job(job, team, now_s)
            return [
                *result,
                effects.Reply(request, inquiries.CancelResponse(True)),
            ]
        inquiry = inquiries.Inquiry(
            request,
            submission,
            '',
            team,
            None,
            now_s + inquiries.CLAIM_TIMEOUT_S,
        )
        inquiry.is_cancellation = True
        return self._inquiries.look_up(inquiry, now_s)

    def _cancel_job(
        self, job: jobs.Job, team: str, now_s: float
    ) -> effects.Effects:
        if team != job.submission.team or job.answer is not None:
            return []
        self.counters['jobs_cancelled'] += 1
        return self._abort_job(job, errors.Code.CANCELLED, now_s)

    def _drop_request(self, request: int, now_s: float) -> effects.Effects:
        self._inquiries.remove(request)
        result: effects.Effects = []
        for job in self.table.list_open():
            if request not in job.waiters:
                continue
            job.waiters.remove(request)
            result.append(joblog.log_disconnection(job, request, now_s))
            result += self._end_abandoned(job, now_s)
        return result + self.dispatcher.flush_cancels()

    def _end_abandoned(self, job: jobs.Job, now_s: float) -> effects.Effects:
        """End a transient job for which nobody waits any more."""
        if not job.submission.transient or job.waiters or job.remote_waiters:
            return []
        self.counters['jobs_abandoned'] += 1
        return self._abort_job(job, errors.Code.CANCELLED, now_s)

    # Requests of other entries about jobs of this entry.

    def _handle_attach_request(
        self, peer: str, message: messages.AttachRequest, now_s: float
    ) -> effects.Effects:
        """Answer another entry about a job, or attach its request to it.

        A transient job whose tasks do not all run is given up instead, if it
        was submitted earlier: its caller has left this entry, and the other
        one may be able to run it.
        """
        job = self.table.find(message.submission)
        if job is None:
            expired = answers.refuse_expired(message.submission)
            return [jobwaiters.answer_entry(peer, message, expired)]
        answer = jobwaiters.find_answer(job, message)
        if answer is not None:
            return [jobwaiters.answer_entry(peer, message, answer)]
        submitted_s = now_s - message.age_ms / 1000
        if self._must_give_up(job, submitted_s, now_s):
            return self._give_up_to(job, peer, now_s)
        jobwaiters.attach_entry(job, peer, message.request)
        return []

    def _must_give_up(
        self, job: jobs.Job, submitted_s: float, now_s: float
    ) -> bool:
        """Tell whether a job gives way to one that was submitted again."""
        if not job.submission.transient or job.state != jobs.JobState.ACTIVE:
            return False
        if submitted_s <= job.arrived_s:
            return False
        return not self.dispatcher.runs_all(job, now_s)

    def _give_up_to(
        self, job: jobs.Job, peer: str, now_s: float
    ) -> effects.Effects:
        """End a transient job that another entry waits to run."""
        self.counters['jobs_moved'] += 1
        result = self._abort_job(job, errors.Code.MOVED, now_s, entry=peer)
        return result + self.dispatcher.flush_cancels()

    def _withdraw(
        self, peer: str, withdrawal: messages.AttachWithdrawal, now_s: float
    ) -> effects.Effects:
        """Forget a request of another entry that no longer waits."""
        job = self.table.find(withdrawal.submission)
        remote_waiter = (peer, withdrawal.request)
        if job is None or remote_waiter not in job.remote_waiters:
            return []
        job.remote_waiters.remove(remote_waiter)
        result = self._end_abandoned(job, now_s)
        return result + self.dispatcher.flush_cancels()

    # Ownership of transient jobs.

    def _must_claim(self, submission: contracts.Submission) -> bool:
        return submission.transient and self.options.claims_transient

    def _check_ownership(self, now_s: float) -> effects.Effects:
        """End the jobs whose grants have lapsed, before any other event."""
        self.ownership.begin(now_s)
        is_confirmed = self.session.confirms_homes(now_s)
        oldest_version = self.session.find_oldest_homes(now_s)
        self.ownership.set_authority(is_confirmed, oldest_version)
        if now_s - self._ownership_checked_s < OWNERSHIP_INTERVAL_S:
            return self._handle_ownership(self.ownership.hedge(now_s), now_s)
        self._ownership_checked_s = now_s
        outcomes = self.ownership.tick(now_s)
        if self.ownership.list_ended():
            outcomes += self.ownership.release_ended(
                self.dispatcher.list_unsettled(), now_s
            )
        result = self._handle_ownership(outcomes, now_s)
        return result + self._request_reports(now_s)

    def _request_reports(self, now_s: float) -> effects.Effects:
        """Ask the live entries for their jobs after a restart of this home."""
        entries = self.session.live_entries
        requests = self.ownership.request_reports(tuple(entries), now_s)
        return [
            *(
                effects.Connect(each.peer, entries[each.peer], False)
                for each in requests
            ),
            *requests,
        ]

    def _handle_ownership(
        self, outcomes: list[ownership.Outcome], now_s: float
    ) -> effects.Effects:
        result: effects.Effects = []
        for outcome in outcomes:
            job = self.table.find(outcome.job)
            if job is not None:
                result += self._apply_ownership(job, outcome, now_s)
        return result

    def _apply_ownership(
        self, job: jobs.Job, outcome: ownership.Outcome, now_s: float
    ) -> effects.Effects:
        match outcome:
            case ownership.JobGranted(job_id):
                job.granted_s = now_s
                self._activate(job)
                return self._attachments.detach(job_id)
            case ownership.JobTaken(_, owner, owner_job):
                return self._wait_for_owner(job, owner, owner_job, now_s)
            case ownership.JobUnclaimable():
                return self._abort_job(job, errors.Code.UNCLAIMABLE, now_s)
            case ownership.OwnershipLapsed():
                self.counters['jobs_lapsed'] += 1
                result = self._abort_job(job, errors.Code.LAPSED, now_s)
                return result + self.dispatcher.flush_cancels()

    def _wait_for_owner(
        self, job: jobs.Job, owner: str, owner_job: str, now_s: float
    ) -> effects.Effects:
        """Attach a job to the one that owns its id."""
        result: effects.Effects = []
        if not job.has_run:
            # The job of the owner is the same one for its caller.
            job.has_run = True
            result.append(joblog.log_taken(job, owner, owner_job, now_s))
        if owner == self.options.session.name:
            return result
        address = self.session.roster.entries.get(owner)
        if address is None:
            return result
        connect = effects.Connect(owner, address, persistent=False)
        attached = self._attachments.attach(job, owner, owner_job, now_s)
        return [*result, connect, *attached]

    def _apply_homes(
        self, roster: messages.RosterUpdate, now_s: float
    ) -> effects.Effects:
        """Apply the homes of a roster and let messages reach them."""
        result = self.ownership.apply_homes(roster.homes, now_s)
        own_name = self.options.session.name
        return result + [
            effects.Connect(name, roster.entries[name], persistent=False)
            for name in roster.homes.list_names()
            if name in roster.entries and name != own_name
        ]

    def _end_ownership(
        self,
        job: jobs.Job,
        may_run: bool,
        now_s: float,
        is_awaited: bool = True,
    ) -> effects.Effects:
        """Release a job, unless runs of it may be left."""
        submission = job.submission
        if not self._must_claim(submission):
            return []
        outcomes = self.ownership.end(
            submission.caller_id, submission.id, now_s, may_run, is_awaited
        )
        result = self._attachments.detach(submission.id)
        return result + self._handle_ownership(outcomes, now_s)

    # Messages.

    def _handle_message(
        self, peer: str, incarnation: int, message: object, now_s: float
    ) -> effects.Effects:
        match message:
            case messages.AgentRenewal():
                return self._handle_renewal(peer, incarnation, message, now_s)
            case (
                messages.TaskFinished()
                | messages.TaskDeclined()
                | messages.TaskUnknown()
                | messages.TaskRunning()
                | messages.SlotsOffered()
            ):
                return self._handle_dispatch_result(
                    self.dispatcher.handle_message(
                        peer, incarnation, message, now_s
                    ),
                    now_s,
                )
            case messages.EntryLease():
                return self._handle_lease(peer, message, now_s)
            case messages.ConfigurationUpdate(configuration):
                if not self.session.apply_configuration(peer, configuration):
                    return []
                self.dispatcher.configure(configuration)
                return [
                    *self.session.request_lease(now_s),
                    effects.Log(
                        'configuration_taken',
                        {
                            'revision': configuration.revision,
                            'version': configuration.version,
                            'closed': ','.join(sorted(configuration.closed)),
                            'peer': peer,
                        },
                    ),
                ]
            case messages.ClaimsResponse():
                return self._handle_claims_response(message, now_s)
            case messages.ConfigurationChangeResponse():
                return self._handle_change_response(message, now_s)
            case messages.RosterUpdate():
                return [
                    *self.session.handle_roster(message, now_s, peer),
                    *self._apply_homes(message, now_s),
                ]
            case messages.RosterRequest():
                return [effects.Send(peer, self.session.roster.hide_homes())]
            case messages.NotLeader(leader):
                return self.session.follow_leader(peer, leader, now_s)
            case messages.AttachRequest():
                return self._handle_attach_request(peer, message, now_s)
            case messages.AttachResponse():
                return self._handle_attach_response(peer, message, now_s)
            case messages.AttachWithdrawal():
                return self._withdraw(peer, message, now_s)
            case messages.OwnershipRequest():
                return self.ownership.handle_request(
                    peer, incarnation, message, now_s
                )
            case messages.OwnershipReportRequest():
                return self.ownership.make_report(peer, message, now_s)
            case messages.OwnershipReport():
                return self.ownership.handle_report(
                    peer, incarnation, message, now_s
                )
            case messages.OwnershipProtection():
                self.ownership.handle_protection(message, now_s)
                return []
            case messages.OwnershipRelease():
                self.ownership.handle_release(
                    peer, incarnation, message, now_s
                )
                return []
            case messages.OwnershipResponse():
                outcomes = self.ownership.handle_response(peer, message, now_s)
                return self._handle_ownership(outcomes, now_s)
            case messages.CancelRequest(submission, team):
                job = self.table.find(submission)
                if job is None:
                    return []
                return self._cancel_job(job, team, now_s)
            case _:
                self.counters['messages_unexpected'] += 1
                return []

    def _handle_attach_response(
        self, peer: str, response: messages.AttachResponse, now_s: float
    ) -> effects.Effects:
        answer = codec.unpack(response.answer)
        job = self.table.find(self._attachments.find_job(peer, response) or '')
        if job is not None:
            if not attachments.is_final(answer):
                return []
            self.counters['jobs_joined'] += 1
            return self._end_job(job, answer, now_s)
        result = self._inquiries.handle_answer(
            peer, response.request, response.submission, answer
        )
        if result is None:
            self.counters['answers_unexpected'] += 1
            return []
        return result

    def _handle_renewal(
        self,
        peer: str,
        incarnation: int,
        renewal: messages.AgentRenewal,
        now_s: float,
    ) -> effects.Effects:
        dispatch_result = self.dispatcher.handle_renewal(
            peer, incarnation, renewal, now_s
        )
        result = self._handle_dispatch_result(dispatch_result, now_s)
        result += self.ownership.protect(renewal.orphans, now_s)
        if self.session.has_confirmed_lease(now_s):
            result += self.dispatcher.send_lease(
                peer, renewal, self.session.lease, now_s
            )
        return result

    def _handle_dispatch_result(
        self, dispatch_result: dispatcher.DispatchResult, now_s: float
    ) -> effects.Effects:
        result = list(dispatch_result.effects)
        for outcome in dispatch_result.outcomes:
            result += self._handle_outcome(outcome, now_s)
        return result

    def _handle_outcome(
        self, outcome: dispatcher.Outcome, now_s: float
    ) -> effects.Effects:
        job = self.table.find(outcome.key.submission)
        if job is None or job.state != jobs.JobState.ACTIVE:
            return []
        index = outcome.key.index
        match outcome:
            case dispatcher.TaskSucceeded(_, body):
                if not job.record_result(index, body):
                    return []
                self.counters['jobs_complete'] += 1
                complete = contracts.Complete(tuple(job.results))
                return self._end_job(job, complete, now_s)
            case dispatcher.TaskFailed() if self._retry_task(job, index):
                return []
            case dispatcher.TaskFailed(_, target, reason):
                return self._abort_job(
                    job,
                    errors.Code.TASK_FAILED,
                    now_s,
                    index=index,
                    target=target,
                    reason=reason,
                )
            case dispatcher.TaskLost(_, target):
                return self._abort_job(
                    job,
                    errors.Code.TARGET_LOST,
                    now_s,
                    index=index,
                    target=target,
                )
            case dispatcher.TaskRejected():
                return self._abort_job(
                    job,
                    errors.Code.NO_TARGET,
                    now_s,
                    kind=job.submission.kind,
                    reasons=self.dispatcher.explain_kind(job.submission.kind),
                )

    def _retry_task(self, job: jobs.Job, index: int) -> bool:
        """Requeue a failed task if its kind allows another attempt."""
        if not job.submission.transient:
            return False
        failures = job.failures.get(index, 0) + 1
        job.failures[index] = failures
        kind = self.session.configuration.sheet.kinds.get(job.submission.kind)
        if kind is None or failures >= kind.attempts:
            return False
        job.record_restart(index, 'failed')
        self.dispatcher.requeue(job, index)
        return True

    def _handle_lease(
        self, peer: str, lease: messages.EntryLease, now_s: float
    ) -> effects.Effects:
        if not self.session.handle_lease(peer, lease, now_s):
            return [self._halt_superseded()]
        return self._changes.answer_finished(now_s)

    def _halt_superseded(self) -> effects.Halt:
        """Halt this process: another one was registered under its name."""
        name = self.options.session.name
        return effects.Halt(errors.refuse(errors.Code.SUPERSEDED, name=name))

    def _handle_claims_response(
        self, response: messages.ClaimsResponse, now_s: float
    ) -> effects.Effects:
        result: effects.Effects = []
        for verdict in self.session.handle_claims(response):
            job = self.table.find(verdict.submission)
            if job is not None and job.state == jobs.JobState.CLAIMING:
                result += self._handle_claim_verdict(job, verdict, now_s)
            result += self._inquiries.handle_verdict(verdict, now_s)
        return result

    def _handle_claim_verdict(
        self, job: jobs.Job, verdict: contracts.ClaimVerdict, now_s: float
    ) -> effects.Effects:
        submission = job.submission
        match verdict:
            case contracts.ClaimGranted():
                self._activate(job)
                return []
            case contracts.ClaimTaken():
                self.table.drop(submission.id)
                for request in job.waiters:
                    inquiry = inquiries.Inquiry(
                        request,
                        submission.id,
                        submission.digest,
                        submission.team,
                        None,
                        job.deadline_s,
                    )
                    self._inquiries.add(inquiry, now_s)
                return []
            case contracts.ClaimSuperseded():
                unavailable = answers.refuse_unavailable(
                    inquiries.CLAIM_TIMEOUT_S
                )
                return [
                    *self._drop_job(job, unavailable, now_s),
                    self._halt_superseded(),
                ]
            case _:
                answer = answers.refuse_claim(verdict)
                return self._drop_job(job, answer, now_s)

    def _handle_change_response(
        self, response: messages.ConfigurationChangeResponse, now_s: float
    ) -> effects.Effects:
        self._changes.handle_verdict(self.session.handle_change(response))
        return self._changes.answer_finished(now_s)

    # Ending jobs.

    def _end_job(
        self,
        job: jobs.Job,
        answer: contracts.Answer,
        now_s: float,
        may_run: bool = False,
    ) -> effects.Effects:
        """Answer a job; ``may_run`` if a run of it may be left."""
        result: effects.Effects = [
            joblog.log_end(job, answer, now_s, self._describe_inputs(now_s))
        ]
        result += jobwaiters.answer_all(job, answer)
        self._record_latency(job, answer, now_s)
        self._transient_ids.close(job.submission)
        self.table.end(job, answer, now_s)
        is_awaited = not isinstance(answer, contracts.Complete)
        ended = self._end_ownership(job, may_run, now_s, is_awaited)
        return result + ended

    def _record_latency(
        self, job: jobs.Job, answer: contracts.Answer, now_s: float
    ) -> None:
        if isinstance(answer, contracts.Complete):
            age_s = now_s - job.arrived_s
            self.latencies.append((job.submission.kind, age_s))

    def _drop_job(
        self, job: jobs.Job, answer: contracts.Answer, now_s: float
    ) -> effects.Effects:
        """Answer and remove a job of which no task was sent."""
        self._transient_ids.close(job.submission)
        self.table.drop(job.submission.id)
        return [
            *jobwaiters.answer_all(job, answer),
            *self._end_ownership(job, False, now_s),
        ]

    def _abort_job(
        self,
        job: jobs.Job,
        code: errors.Code,
        now_s: float,
        **values: object,
    ) -> effects.Effects:
        """End a job that lacks results.

        The answer says whether a task may have run.
        """
        values['submission'] = job.submission.id
        started = job.may_have_run()
        may_start = self.dispatcher.may_start(job)
        may_run = self.dispatcher.may_run(job)
        self.dispatcher.remove(job, now_s)
        self.counters['jobs_failed' if started else 'jobs_not_run'] += 1
        if started:
            refusal = errors.refuse_started(code, **values)
            failed = contracts.Failed(refusal, may_start)
            return self._end_job(job, failed, now_s, may_run)
        refusal = errors.refuse(code, **values)
        not_run = contracts.NotRun(refusal)
        return self._end_job(job, not_run, now_s, may_run)

    # Time.

    def _tick(self, now_s: float) -> effects.Effects:
        result = self.session.tick(now_s, eager=bool(self._changes))
        result += self._log_lease(now_s)
        result += self._handle_dispatch_result(
            self.dispatcher.tick(now_s), now_s
        )
        result += self._expire_jobs(now_s)
        result += self._give_up_overdue(now_s)
        result += self._inquiries.tick(now_s)
        result += self._changes.answer_finished(now_s)
        self.table.expire(now_s)
        return result

    def _log_lease(self, now_s: float) -> effects.Effects:
        """Log when the lease from control is lost or regained."""
        has_lease = self.session.has_confirmed_lease(now_s)
        if has_lease == self._has_lease:
            return []
        self._has_lease = has_lease
        self._admission.start_settling(now_s)
        event = 'lease_gained' if has_lease else 'lease_lost'
        fields = self._describe_inputs(now_s)
        return [effects.Log(event, {'leader': self.session.leader, **fields})]

    def _handle_interruption(self, now_s: float) -> effects.Effects:
        """Abort transient jobs whose callers may be elsewhere.

        They may have resubmitted them at another entry, so the tasks must
        not start again here.
        """
        match self._continuity.observe(now_s):
            case continuity.Started():
                # There is no lease and no target has registered.
                self._admission.start_settling(now_s)
                return []
            case continuity.Suspended(gap_s):
                return self._abort_transient_jobs(
                    'jobs_paused',
                    errors.Code.PAUSED,
                    now_s,
                    pause_s=round(gap_s, 1),
                )
            case continuity.Isolated(silent_s):
                return self._abort_transient_jobs(
                    'jobs_isolated',
                    errors.Code.ISOLATED,
                    now_s,
                    silent_s=round(silent_s, 1),
                )
            case continuity.Rejoined():
                # Targets that were given up meanwhile register again.
                self._admission.start_settling(now_s)
                return [effects.Log('rejoined', self._describe_inputs(now_s))]
            case None:
                return []

    def _abort_transient_jobs(
        self, counter: str, code: errors.Code, now_s: float, **values: object
    ) -> effects.Effects:
        result: effects.Effects = []
        for job in self.table.list_open():
            if job.submission.transient:
                self.counters[counter] += 1
                result += self._abort_job(job, code, now_s, **values)
        return result + self.dispatcher.flush_cancels()

    def _expire_jobs(self, now_s: float) -> effects.Effects:
        result: effects.Effects = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            submission = heapq.heappop(self._deadlines)[1]
            job = self.table.find(submission)
            if job is None:
                continue
            if job.state == jobs.JobState.CLAIMING:
                result += self._expire_claim(job, now_s)
            elif self._would_finish_late(job, now_s):
                result += self._give_up(job, now_s)
            elif job.answer is None and job.deadline_s <= now_s:
                result += self._abort_job(
                    job,
                    errors.Code.DEADLINE,
                    now_s,
                    limit_s=job.submission.time_limit_s,
                )
        return result

    def _expire_claim(self, job: jobs.Job, now_s: float) -> effects.Effects:
        """End a job that this entry does not own in time.

        One that another entry owns waits for the answer up to its deadline.
        """
        if not job.submission.transient:
            unavailable = answers.refuse_unavailable(inquiries.CLAIM_TIMEOUT_S)
            return self._drop_job(job, unavailable, now_s)
        if job.has_run and now_s < job.deadline_s:
            return []
        return self._abort_job(job, errors.Code.UNCLAIMABLE, now_s)

    def _give_up_overdue(self, now_s: float) -> effects.Effects:
        """End transient jobs that missed their latest start under load."""
        result: effects.Effects = []
        for submission in self.dispatcher.list_overdue(now_s):
            job = self.table.find(submission)
            if job is not None and job.submission.transient:
                result += self._give_up(job, now_s)
        return result

    def _give_up(self, job: jobs.Job, now_s: float) -> effects.Effects:
        """End a transient job that waits for room in vain."""
        self.counters['jobs_given_up'] += 1
        return self._abort_job(
            job,
            errors.Code.OVERLOADED,
            now_s,
            queued=self.dispatcher.queue.length,
            limit_s=round(now_s - job.arrived_s, 3),
            retry_s=shedding.advise_retry(0.0, job.submission.id),
        )

    def _would_finish_late(self, job: jobs.Job, now_s: float) -> bool:
        """Tell whether a transient job has waiting tasks that end too late."""
        if job.answer is not None or not job.submission.transient:
            return False
        end_s = now_s + job.submission.estimate_s
        return end_s >= job.latest_end_s and job.has_waiting_tasks()

    def _place_tasks(self, now_s: float) -> effects.Effects:
        if not self.dispatcher.queue.length:
            return []
        if not self.session.has_confirmed_lease(now_s):
            return []
        return self.dispatcher.place(now_s)

    def is_linger_over(self, now_s: float) -> bool:
        """Tell whether a planned stop no longer accepts new jobs."""
        if not self.stopping:
            return False
        return now_s - self._stop_requested_s >= self.options.stop_linger_s

    def _finish_stop(self, now_s: float) -> effects.Effects:
        if self._stop_finished or not self.is_linger_over(now_s):
            return []
        if self._inquiries or self._changes or self.table.list_open():
            return []
        self._stop_finished = True
        return [effects.Exit()]

    def is_current(self, now_s: float) -> bool:
        """Tell whether the configuration is confirmed."""
        return (
            not self.stopping
            and self.session.has_confirmed_lease(now_s)
            and not self._continuity.is_isolated(now_s)
        )

    def is_ready(self, now_s: float) -> bool:
        """Tell whether load balancers may send new jobs."""
        can_own = (
            not self.options.claims_transient
            or self.ownership.is_available(now_s)
        )
        return can_own and self.is_current(now_s)

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        control_session = self.session
        return {
            'incarnation': control_session.incarnation,
            'leader': control_session.leader,
            'revision': control_session.configuration.revision,
            'in_force_revision': control_session.in_force_revision,
            'lease_remaining_s': round(
                control_session.lease.measure_remaining(now_s), 3
            ),
            'ready': self.is_ready(now_s),
            'stopping': self.stopping,
            'jobs': len(self.table.jobs),
            'jobs_open': len(self.table.list_open()),
            'inquiries': len(self._inquiries),
            'attachments': len(self._attachments),
            'ownership': self.ownership.describe(),
            'counters': dict(self.counters),
            'dispatcher': self.dispatcher.describe(now_s),
        }
