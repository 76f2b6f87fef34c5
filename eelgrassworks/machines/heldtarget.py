"""Decisions about a target that runs tasks under a renewable lease.

Each run at such a target has a lease, measured on the target's clock, and
the target stops the run when the lease expires.  The agent renews the leases
with hold requests; the response lists the current runs and the ended ones.
A start that got no response may still be carried out, at any later time and
under a lease that counts from then.  So the attempt counts as not started
only when the target has answered a stop, or a hold with a higher fence, and
does not list it.  Responses may arrive out of order.

``HeldTarget`` takes events and the monotonic time and returns effects; a
``TargetLink`` makes the calls.
"""

import collections
import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import machines
from eelgrassworks.links import messages
from eelgrassworks.machines import holds

# Lease requested by each hold and each start.  Together with the agent's
# ENTRY_TTL_S it stays below the time after which callers submit again.
HOLD_LEASE_S: Final = 0.6
# Longest lease that a target grants unless the platform names another one.
MAX_LEASE_S: Final = 1.0
# Longest time for which the target delays the response to a hold; several
# holds fit into one lease.
HOLD_WAIT_S: Final = 0.2
# Timeouts of a response and of a stop.  Both cover a round trip on one machine
# while the processor is busy.
RESPONSE_TIMEOUT_S: Final = 0.08
STOP_TIMEOUT_S: Final = 0.1
# Slowest rate of the target's clock, relative to the agent's.
MIN_CLOCK_RATE: Final = 0.98
# A target without runs is asked this often, since the estimate of its clock
# lags behind by up to a fiftieth of the time since the last reading.
IDLE_HOLD_INTERVAL_S: Final = 1.0
# Covers killing a run after its lease has expired, and reading the clock.
LAPSE_MARGIN_S: Final = 0.1
# Without a response for this long the target gets no new tasks.
UNRESPONSIVE_S: Final = 0.4
# After as many refused holds in a row the target gets no new tasks.
MAX_REFUSALS: Final = 2
# A run without progress for this long is stalled.  Even the longest tasks
# advance by one percent in a fifth of this time on a slow target.
STALL_S: Final = 0.3
REASON_STALLED: Final = messages.REASON_STALLED.decode()
REASON_REBORN: Final = 'reborn'
# After a stall the target gets no new tasks for this long; each further stall
# before a task succeeds doubles the pause.
FIRST_PAUSE_S: Final = 0.5
LONGEST_PAUSE_S: Final = 8.0
# A first attempt is moved to another target when its remaining run time
# exceeds the declared run time by this factor.  The slowest healthy targets
# and inaccurate declarations stay below it.
SLOW_RUN_FACTOR: Final = 3.0
# Progress is measured for this long before a run counts as slow.
SLOW_RUN_SAMPLE_S: Final = 0.2
# A fence is a time in milliseconds; this exceeds any other time.
MAX_FENCE_STEP: Final = 2**42
# Exceeds the number of holds that a process sends between an answered one and
# its last start, each with a fence that is higher by one.
FENCE_ROOM: Final = 1000


@dataclasses.dataclass(slots=True)
class Run:
    """An attempt that was requested and has not been seen to end.

    While its start is pending, the next incarnation may still receive it,
    whatever this one answers to other calls.  If a hold numbered above
    ``settled_after_hold`` does not list the attempt, the attempt has ended, or
    never started if it is not ``confirmed``.  It is ``located`` once this
    incarnation of the target has shown that it runs there.

    ``must_end`` is set once the agent has ordered its stop, and
    ``stop_answered`` once the target has accepted a stop.

    Its progress was ``percent`` at ``last_sample_s`` and last changed at
    ``last_progress_s``, both on the target's clock: the agent may read a
    listing late.
    """

    key: contracts.TaskKey
    attempt: int
    sent_s: float
    start_fence: int
    estimate_s: float = 0.0
    start_pending: bool = True
    confirmed: bool = False
    located: bool = False
    settled_after_hold: int | None = None
    stopped_s: float | None = None
    must_end: bool = False
    stop_answered: bool = False
    percent: int = 0
    first_sample_s: float = 0.0
    last_sample_s: float | None = None
    last_progress_s: float = 0.0
    stalled: bool = False

    @property
    def is_stop_pending(self) -> bool:
        """Tell whether the target has not accepted a stop of the agent."""
        return self.must_end and not self.stop_answered

    @property
    def evidence(self) -> holds.Evidence:
        """Return what the target has shown of the attempt."""
        return holds.Evidence(
            self.attempt,
            self.confirmed,
            self.located,
            self.sent_s,
            self.start_fence,
        )

    def locate(self) -> list[holds.HeldEffect]:
        """Record that this incarnation has shown the attempt."""
        if self.located:
            return []
        self.located = True
        return [holds.RunStarted(self.key)]

    def end_stopped(self, reason: str) -> holds.RunEnded:
        """Return the report of an attempt that has ended unsuccessfully."""
        return holds.RunEnded(self.key, False, True, reason, self.evidence)

    def reject(self, reason: str) -> holds.RunRejected:
        """Return the report of an attempt that never starts."""
        return holds.RunRejected(self.key, reason, self.evidence)


class HeldTarget:
    """State of one incarnation of an agent's target.

    ``confirmed`` is set once the target itself has named the incarnation,
    ``reconciled`` once a listing behind a fence that no earlier agent process
    has used shows no unknown run, and ``ended`` when the incarnation is over.
    Its fence is higher than ``last_fence``; a target grants no
    lease longer than ``max_lease_s``.

    When a later incarnation of the same name answers, it may have carried out
    starts that were meant for this one.  They are settled with the later
    incarnation before this one is ended.
    """

    def __init__(
        self,
        incarnation: holds.TargetIncarnation,
        clock_ms: int,
        now_s: float,
        last_fence: int = 0,
        max_lease_s: float = MAX_LEASE_S,
    ) -> None:
        self.incarnation = incarnation
        self.counters: collections.Counter[str] = collections.Counter()
        self.confirmed = False
        self.reconciled = False
        self.healthy = False
        self.meter = machines.SpeedMeter()
        self._runs: dict[holds.TaskName, Run] = {}
        # Runs that this process did not start, with the time of the last stop.
        self._unknown_runs: dict[tuple[holds.TaskName, int], float] = {}
        self._clock_ms = clock_ms
        self._clock_read_s = now_s
        self.fence = max(last_fence + 1, incarnation.born_ms + clock_ms)
        # Added to a refused fence.  It doubles each time, since the target
        # does not name the fence that it has seen.
        self._fence_step = FENCE_ROOM
        # Set when a fence was refused, until a hold is answered.
        self._is_fence_refused = False
        # Set when a call got no response, until a hold with a higher fence.
        self._is_call_unanswered = False
        # Number of the latest hold that raised the fence, until one from
        # there on is answered.  The first one fences the calls for a former
        # incarnation of this name, which may renew leases until then.
        self._fencing_hold: int | None = 1 if last_fence else None
        self._last_end_number = 0
        self.hold_number = 0
        self._last_listing_number = 0
        self._last_contact_s = now_s
        # Set when the target has no runs and has not been asked for a while.
        self._idle_hold_due = False
        self._hold_answered = True
        self._max_lease_s = max_lease_s
        self._lease_end_s = now_s
        # End of the requested lease on the target's clock.
        self._lease_end_ms = clock_ms
        # Time of the latest call that requested a lease, and the time by which
        # it was sent.
        self._lease_requested_s = now_s
        self._lease_sent_s = now_s
        self._refusals_since_response = 0
        self.ended = False
        # Start time of the later incarnation that answers.
        self._successor_born_ms: int | None = None
        # Number of the last hold before the target, or its later incarnation,
        # was fenced.
        self._fenced_after_hold = 0
        # Set once the target has announced its end; it is not asked any more
        # when its runs have ended.
        self._departing = False
        self._pause_s = 0.0
        self._paused_until_s = float('-inf')

    @property
    def needs_hold(self) -> bool:
        """Tell whether a hold must be sent to the target."""
        return bool(
            not self.ended
            and (
                self._runs
                or self._unknown_runs
                or self._successor_born_ms is not None
                or not self.reconciled
                or not self.healthy
                or self._idle_hold_due
            )
        )

    @property
    def counts(self) -> dict[str, int]:
        """Return the numbers of requested and of unknown runs."""
        return {'runs': len(self._runs), 'strange': len(self._unknown_runs)}

    def describe_contact(self, now_s: float) -> dict[str, float]:
        """Return what is known of the target, with its age in seconds."""
        return {
            'contact_age_s': round(now_s - self._last_contact_s, 3),
            'clock_age_s': round(now_s - self._clock_read_s, 3),
            'lease_left_s': round(self._lease_end_s - now_s, 3),
            'fence': self.fence,
        }

    def handle(
        self, event: holds.HeldEvent, now_s: float
    ) -> list[holds.HeldEffect]:
        """Handle an event and return its effects."""
        match event:
            case holds.StartRequested():
                return self._start(event, now_s)
            case holds.StopRequested(key):
                return self._stop_key(key, now_s)
            case holds.StartResponse():
                return self._handle_start_response(event, now_s)
            case holds.StopResponse(name, attempt):
                return self._handle_stop_response(name, attempt)
            case holds.CallUnanswered():
                return self._handle_unanswered(event, now_s)
            case holds.StartNotSent(name, attempt):
                return self._handle_not_sent(name, attempt)
            case holds.HoldResponse():
                return self._handle_hold_response(event, now_s)
            case holds.HoldFenced(clock_ms):
                return self._handle_refused_fence(clock_ms, now_s)
            case holds.HoldMisdirected():
                # It has refused every start that was meant for this one.
                return self._end_incarnation(REASON_REBORN)
            case holds.HoldUnanswered(refused):
                return self._handle_unanswered_hold(refused, now_s)
            case holds.DepartureAnnounced():
                self._departing = True
                return self._mark_unhealthy()
            case holds.TargetDeparted():
                return self._end_incarnation('left')
            case holds.Ticked():
                return self._tick(now_s)
            case holds.Resumed(paused_s):
                prepared_s = now_s - paused_s - RESPONSE_TIMEOUT_S
                if self._lease_requested_s >= prepared_s:
                    self._lease_sent_s = now_s
                return []

    # Hold requests and clocks.

    def begin_hold(self, now_s: float) -> holds.HoldCall:
        """Return the next hold request."""
        if self._is_call_unanswered:
            self._raise_fence()
        self.hold_number += 1
        deadline_ms: int | None = None
        # The lease of an unresponsive target must expire, so that its runs end
        # whether or not the holds reach it.
        is_superseded = self._successor_born_ms is not None
        is_responsive = self._is_responsive(now_s) and self._is_fence_seen
        if self._runs and is_responsive and not is_superseded:
            deadline_ms = self._extend_lease(now_s)
        may_wait = self._runs and self._hold_answered and not is_superseded
        return holds.HoldCall(
            self.incarnation.name,
            self.hold_number,
            deadline_ms,
            self.fence,
            self._last_end_number,
            # After a missing response the target is asked to respond at once.
            HOLD_WAIT_S if may_wait else 0.0,
        )

    @property
    def _is_fence_seen(self) -> bool:
        """Tell whether the target has seen the fence but for single raises.

        Otherwise a hold could be carried out late beside the next process and
        renew the leases of its runs.
        """
        if self._is_fence_refused:
            return False
        return self._last_listing_number > self._fenced_after_hold

    def _is_responsive(self, now_s: float) -> bool:
        return now_s - self._last_contact_s < UNRESPONSIVE_S

    def _raise_fence(self) -> None:
        """Let the next hold fence the calls sent so far.

        A call without a response may be carried out seconds later.  After the
        response to the hold none of them is, so that an attempt that is not
        listed then never starts.
        """
        self._is_call_unanswered = False
        self.fence += 1
        self._fencing_hold = self.hold_number + 1
        for run in self._runs.values():
            if run.settled_after_hold is None and not run.start_pending:
                run.settled_after_hold = self.hold_number

    def _extend_lease(self, now_s: float) -> int:
        """Extend the lease; return its end on the target's clock, in ms.

        The lease covers all runs of the target.  It is not extended while a
        stop has no response: the entry of that run may be out of contact, and
        starts the task elsewhere once the lease would have ended.
        """
        self._lease_requested_s = now_s
        self._lease_sent_s = now_s
        if any(run.is_stop_pending for run in self._runs.values()):
            return self._lease_end_ms
        # A lease never gets shorter, and a late call may have a longer one.
        lease_end_s = now_s + HOLD_LEASE_S / MIN_CLOCK_RATE
        self._lease_end_s = max(self._lease_end_s, lease_end_s)
        self._lease_end_ms = int(
            self._estimate_clock_ms(now_s) + HOLD_LEASE_S * 1000
        )
        return self._lease_end_ms

    def _estimate_clock_ms(self, now_s: float) -> float:
        """Return the earliest time that the target's clock may show.

        An estimate that runs ahead would make a lease longer than the agent
        counts it.
        """
        passed_ms = (now_s - self._clock_read_s) * 1000
        return self._clock_ms + passed_ms * MIN_CLOCK_RATE

    def _update_clock(self, clock_ms: int, now_s: float) -> None:
        # A delayed response must not set the clock back.  The clock of an
        # unconfirmed incarnation comes from a report, which may be another's.
        passed_ms = (now_s - self._clock_read_s) * 1000
        is_later = clock_ms >= self._clock_ms or passed_ms < 0
        if is_later or not self.confirmed:
            self._clock_ms = clock_ms
            self._clock_read_s = now_s

    # Starts and stops.

    def _start(
        self, request: holds.StartRequested, now_s: float
    ) -> list[holds.HeldEffect]:
        key, attempt = request.key, request.attempt
        name = make_task_name(key)
        is_superseded = self._successor_born_ms is not None
        if self.ended or is_superseded or not self.reconciled:
            return [holds.RunRejected(key, 'unhealthy')]
        if name in self._runs:
            # A run of the same task for an earlier owner has not ended yet.
            return [holds.RunRejected(key, 'twin')]
        deadline_ms = self._extend_lease(now_s)
        self._runs[name] = Run(
            key, attempt, now_s, self.fence, request.estimate_s
        )
        return [
            holds.StartCall(
                self.incarnation.name,
                name,
                attempt,
                request.payload,
                deadline_ms,
                self.fence,
            )
        ]

    def _stop_key(
        self, key: contracts.TaskKey, now_s: float
    ) -> list[holds.HeldEffect]:
        name = make_task_name(key)
        run = self._runs.get(name)
        if run is None or run.key != key:
            return []
        run.must_end = True
        if run.stopped_s is not None:
            return []
        return [self._stop(name, run, now_s)]

    def _stop(
        self, name: holds.TaskName, run: Run, now_s: float
    ) -> holds.StopCall:
        run.stopped_s = now_s
        return holds.StopCall(
            self.incarnation.name, name, run.attempt, self.fence
        )

    def _handle_start_response(
        self, response: holds.StartResponse, now_s: float
    ) -> list[holds.HeldEffect]:
        run = self._find(response.name, response.attempt)
        if run is None:
            return []
        run.start_pending = False
        if response.accepted:
            run.confirmed = True
            run.settled_after_hold = self.hold_number
            return []
        if run.stopped_s is not None:
            # The listing after the stop settles the attempt; the target may
            # have handled the stop before the start.
            run.settled_after_hold = self.hold_number
            return []
        del self._runs[response.name]
        self.counters[f'refused_{response.reason}'] += 1
        return [run.reject(response.reason)]

    def _handle_stop_response(
        self, name: holds.TaskName, attempt: int
    ) -> list[holds.HeldEffect]:
        run = self._find(name, attempt)
        if run is not None:
            run.stop_answered = True
            if not run.start_pending:
                run.settled_after_hold = self.hold_number
        return []

    def _handle_unanswered(
        self, call: holds.CallUnanswered, now_s: float
    ) -> list[holds.HeldEffect]:
        self._is_call_unanswered = True
        run = self._find(call.name, call.attempt)
        if run is None:
            return []
        self.counters['unanswered'] += 1
        if not call.is_stop:
            run.start_pending = False
        if run.stopped_s is not None:
            # A call that fails at once would follow the previous one at once.
            return []
        # The stop also prevents the target from handling the start later.
        return [self._stop(call.name, run, now_s)]

    def _handle_not_sent(
        self, name: holds.TaskName, attempt: int
    ) -> list[holds.HeldEffect]:
        run = self._find(name, attempt)
        if run is None:
            return []
        del self._runs[name]
        self.counters['starts_not_sent'] += 1
        # The next hold shows whether the target is down.
        self._idle_hold_due = True
        return [run.reject('unreachable')]

    def _find(self, name: holds.TaskName, attempt: int) -> Run | None:
        run = self._runs.get(name)
        if run is None or run.attempt != attempt:
            return None
        return run

    # Responses to holds.

    def _handle_hold_response(
        self, response: holds.HoldResponse, now_s: float
    ) -> list[holds.HeldEffect]:
        born_ms = response.incarnation.born_ms
        is_earlier = born_ms < self.incarnation.born_ms
        if is_earlier and (self.confirmed or not born_ms):
            # A late response of an earlier incarnation, or one without a
            # start time; either says nothing about the runs.
            return self._handle_unanswered_hold(False, now_s)
        if born_ms != self.incarnation.born_ms:
            # Another incarnation responds, so this one has ended, or was
            # reported by another writer.
            return self._settle_with_successor(response, now_s)
        self._last_contact_s = now_s
        self._idle_hold_due = False
        self._hold_answered = True
        self._refusals_since_response = 0
        self._update_clock(response.clock_ms, now_s)
        self._outrank_others(response.clock_ms)
        self.confirmed = True
        fencing_hold = self._fencing_hold
        if fencing_hold is not None and response.number >= fencing_hold:
            self._fencing_hold = None
            self._bound_late_leases(now_s)
        result = self._apply_ends(response.ended)
        if response.number > self._last_listing_number:
            self._last_listing_number = response.number
            result += self._reconcile(response, now_s)
        paused = now_s < self._paused_until_s
        if not self.healthy and self.reconciled and not paused:
            self.healthy = True
            result.append(holds.HealthChanged(True))
        return result

    def _bound_late_leases(self, now_s: float) -> None:
        """Bound the lease of a call that was carried out late, by now.

        It may have been granted the longest lease, counted from then.
        """
        lease_end_s = now_s + self._max_lease_s / MIN_CLOCK_RATE
        self._lease_end_s = max(self._lease_end_s, lease_end_s)

    def _outrank_others(self, clock_ms: int) -> None:
        """Let the next hold fence the calls of other agent processes.

        The fences of earlier processes began with an earlier reading of the
        clock, and increase slower than it.  The report, with which this
        process began, may be older than their readings.

        After a refusal the target has seen a fence that is higher than the
        clock may tell.  The process that used it may since have sent starts
        with fences that the target has not seen.
        """
        fence = self.incarnation.born_ms + clock_ms
        if self._is_fence_refused:
            self._is_fence_refused = False
            fence = max(fence, self.fence + FENCE_ROOM)
        elif self.confirmed:
            return
        if fence > self.fence:
            self.fence = fence
            self._fenced_after_hold = self.hold_number

    def _handle_refused_fence(
        self, clock_ms: int, now_s: float
    ) -> list[holds.HeldEffect]:
        """Raise the fence; nothing starts until a hold with it is answered.

        A start with a fence that the target has not seen could not be fenced
        by the next process.
        """
        self._update_clock(clock_ms, now_s)
        fence = self.incarnation.born_ms + clock_ms
        self.fence = max(self.fence + self._fence_step, fence)
        self._fence_step = min(2 * self._fence_step, MAX_FENCE_STEP)
        self._is_fence_refused = True
        self.reconciled = False
        self.counters['fenced'] += 1
        return self._mark_unhealthy()

    def _settle_with_successor(
        self, response: holds.HoldResponse, now_s: float
    ) -> list[holds.HeldEffect]:
        """Settle the starts that a later incarnation may have carried out.

        The first hold with a higher fence keeps it from carrying out further
        ones.  Those that it lists after that hold are stopped; the others
        have ended or never start.
        """
        self._last_contact_s = now_s
        self._hold_answered = True
        self._refusals_since_response = 0
        result: list[holds.HeldEffect] = []
        if self._successor_born_ms != response.incarnation.born_ms:
            result += self._begin_settlement(response.incarnation.born_ms)
        result += self._apply_ends(response.ended)
        listed = {(each.name, each.attempt) for each in response.running}
        is_fenced = response.number > self._fenced_after_hold
        for name, run in list(self._runs.items()):
            if (name, run.attempt) in listed:
                if run.stopped_s is None:
                    result.append(self._stop(name, run, now_s))
            elif is_fenced and not run.start_pending:
                del self._runs[name]
                result.append(run.end_stopped(REASON_REBORN))
        if not self._runs:
            return result + self._end_incarnation(REASON_REBORN)
        return result + self._mark_unhealthy()

    def _begin_settlement(self, born_ms: int) -> list[holds.HeldEffect]:
        """End the runs that cannot be those of the later incarnation."""
        is_first = self._successor_born_ms is None
        self._successor_born_ms = born_ms
        self.fence += 1
        self._fenced_after_hold = self.hold_number
        self._last_end_number = 0
        self._unknown_runs = {}
        result: list[holds.HeldEffect] = []
        for name, run in list(self._runs.items()):
            # A stop that was sent to an earlier incarnation is void.
            run.stopped_s = None
            run.stop_answered = False
            if is_first and run.located:
                del self._runs[name]
                result.append(run.end_stopped(REASON_REBORN))
        return result

    def _apply_ends(
        self, ended: tuple[holds.Ended, ...]
    ) -> list[holds.HeldEffect]:
        result: list[holds.HeldEffect] = []
        for end in sorted(ended, key=lambda each: each.number):
            if end.number <= self._last_end_number:
                continue
            self._last_end_number = end.number
            self._unknown_runs.pop((end.name, end.attempt), None)
            run = self._find(end.name, end.attempt)
            if run is None:
                continue
            del self._runs[end.name]
            if end.succeeded:
                self._pause_s = 0.0
            stopped = not end.succeeded and not end.failed
            reason = REASON_STALLED if stopped and run.stalled else end.reason
            result.append(
                holds.RunEnded(
                    run.key, end.succeeded, stopped, reason, run.evidence
                )
            )
        return result

    def _reconcile(
        self, response: holds.HoldResponse, now_s: float
    ) -> list[holds.HeldEffect]:
        """Compare the runs listed by the target with the requested ones."""
        listed = {
            (each.name, each.attempt): each.percent
            for each in response.running
        }
        result: list[holds.HeldEffect] = []
        for name, run in list(self._runs.items()):
            percent = listed.get((name, run.attempt))
            if percent is not None:
                if not run.confirmed and not run.start_pending:
                    self._bound_late_leases(now_s)
                run.confirmed = True
                result += run.locate()
                result += self._track_progress(
                    name, run, percent, response.clock_ms / 1000, now_s
                )
                continue
            if self._is_settled(run, response):
                del self._runs[name]
                result.append(_report_missing(run))
        self._unknown_runs = {
            each: since_s
            for each, since_s in self._unknown_runs.items()
            if each in listed
        }
        for name, attempt in listed:
            if self._find(name, attempt) is not None:
                continue
            stopped_s = self._unknown_runs.get((name, attempt), float('-inf'))
            if now_s - stopped_s >= STOP_TIMEOUT_S:
                self._unknown_runs[(name, attempt)] = now_s
                result.append(
                    holds.StopCall(
                        self.incarnation.name, name, attempt, self.fence
                    )
                )
        is_fenced = response.number > self._fenced_after_hold
        self.reconciled = is_fenced and not self._unknown_runs
        return result

    def _track_progress(
        self,
        name: holds.TaskName,
        run: Run,
        percent: int,
        listed_s: float,
        now_s: float,
    ) -> list[holds.HeldEffect]:
        """Record the progress of a run; stop it if it is stalled or slow.

        The progress was listed at ``listed_s`` on the target's clock.
        """
        if run.last_sample_s is None:
            run.first_sample_s = run.last_sample_s = run.last_progress_s = (
                listed_s
            )
            run.percent = percent
            return []
        done_s = (percent - run.percent) / 100 * run.estimate_s
        if run.estimate_s:
            self.meter.record(done_s, listed_s - run.last_sample_s, now_s)
        run.last_sample_s = listed_s
        if percent != run.percent:
            run.percent = percent
            run.last_progress_s = listed_s
        if run.stopped_s is not None:
            return []
        if listed_s - run.last_progress_s >= STALL_S:
            self.counters['stalled'] += 1
            run.stalled = True
            return [self._stop(name, run, now_s), *self._pause(now_s)]
        if self._is_slow(run, listed_s):
            self.counters['crawling'] += 1
            run.stalled = True
            return [self._stop(name, run, now_s)]
        return []

    def _is_slow(self, run: Run, listed_s: float) -> bool:
        """Tell whether a run would end much sooner on another target.

        Only a first attempt is moved, since the work itself may take longer
        than declared.
        """
        observed_s = listed_s - run.first_sample_s
        if run.attempt > 1 or not run.estimate_s or not run.percent:
            return False
        if observed_s < SLOW_RUN_SAMPLE_S:
            return False
        remaining_s = observed_s * (100 - run.percent) / run.percent
        return remaining_s > SLOW_RUN_FACTOR * run.estimate_s

    def _pause(self, now_s: float) -> list[holds.HeldEffect]:
        """Pause new tasks after a stalled run."""
        if now_s < self._paused_until_s:
            return []
        self._pause_s = min(
            LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * self._pause_s)
        )
        self._paused_until_s = now_s + self._pause_s
        return self._mark_unhealthy()

    def _is_settled(self, run: Run, response: holds.HoldResponse) -> bool:
        """Tell whether an unlisted attempt has ended or can never start."""
        if run.start_pending:
            return False
        after = run.settled_after_hold
        return after is not None and response.number > after

    def _handle_unanswered_hold(
        self, refused: bool, now_s: float
    ) -> list[holds.HeldEffect]:
        self.counters['holds_unanswered'] += 1
        self._is_call_unanswered = True
        self._hold_answered = False
        if refused:
            self._refusals_since_response += 1
        if self._refusals_since_response >= MAX_REFUSALS:
            return self._handle_refusals()
        if now_s - self._last_contact_s > UNRESPONSIVE_S:
            return self._mark_unhealthy()
        return []

    def _handle_refusals(self) -> list[holds.HeldEffect]:
        """Send no tasks to a target that refuses connections.

        Its runs may go on: a target that stops listening for a while keeps
        them until their lease ends.
        """
        if self._departing and not self._runs:
            return self._end_incarnation('gone')
        return self._mark_unhealthy()

    def _mark_unhealthy(self) -> list[holds.HeldEffect]:
        if not self.healthy:
            return []
        self.healthy = False
        return [holds.HealthChanged(False)]

    def _tick(self, now_s: float) -> list[holds.HeldEffect]:
        result: list[holds.HeldEffect] = []
        if now_s - self._last_contact_s >= IDLE_HOLD_INTERVAL_S:
            self._idle_hold_due = True
        result += self._end_lapsed_runs(now_s)
        for name, run in self._runs.items():
            stopped_s = run.stopped_s
            if stopped_s is None or now_s - stopped_s < STOP_TIMEOUT_S:
                continue
            if not run.confirmed and not self._is_responsive(now_s):
                # The hold that restores the contact settles it.
                continue
            result.append(self._stop(name, run, now_s))
        return result

    def _end_runs(self, reason: str) -> list[holds.HeldEffect]:
        """Report every run as stopped: its lease or its target has ended."""
        runs, self._runs = self._runs, {}
        return [run.end_stopped(reason) for run in runs.values()]

    def _end_lapsed_runs(self, now_s: float) -> list[holds.HeldEffect]:
        """Report the runs whose lease has ended at a target without contact.

        A lease bounds a run, not a start that is still under way: an attempt
        that no incarnation has shown is settled behind a fence only.

        A later incarnation may have carried out a start that this one has not
        shown.  Its clock began anew, so that only the longest lease that a
        target grants bounds that run.
        """
        lapsed_s = max(self._lease_end_s, self._last_contact_s)
        received_s = self._lease_sent_s + RESPONSE_TIMEOUT_S
        elsewhere_s = received_s + self._max_lease_s / MIN_CLOCK_RATE
        result: list[holds.HeldEffect] = []
        for name, run in list(self._runs.items()):
            if not run.confirmed:
                continue
            end_s = lapsed_s if run.located else max(lapsed_s, elsewhere_s)
            if now_s - end_s <= LAPSE_MARGIN_S:
                continue
            del self._runs[name]
            result.append(run.end_stopped('lapsed'))
        if not result:
            return []
        self.counters['lapses'] += 1
        is_over = self._departing or self._successor_born_ms is not None
        if is_over and not self._runs:
            return result + self._end_incarnation('lapsed')
        return result + self._mark_unhealthy()

    def _end_incarnation(self, reason: str) -> list[holds.HeldEffect]:
        self.ended = True
        self._unknown_runs = {}
        return self._end_runs(reason) + self._mark_unhealthy()


def make_task_name(key: contracts.TaskKey) -> holds.TaskName:
    """Return the target's name for a task."""
    return holds.TaskName(contracts.read_caller_id(key.submission), key.index)


def _report_missing(run: Run) -> holds.HeldEffect:
    if run.confirmed:
        return run.end_stopped('vanished')
    return run.reject('unanswered')
