"""Decisions of the agent, the only process that starts tasks.

The agent enforces every condition of a start: the lease, the state of the
failure domain, the drain of the target, the incarnation and the record of the
key.  ``Agent`` takes typed events and a monotonic time and returns effects;
it has no socket, no clock and no source of randomness.

A start carries a timestamp that the agent sent earlier.  The agent rejects a
start whose timestamp is older than the start window, so it keeps the record
of a key for that window only, however long a frame was buffered.
"""

import collections
from collections.abc import Sequence
import dataclasses
from typing import Final

from eelgrassworks import agentroom
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import features
from eelgrassworks import keyrecords
from eelgrassworks import machines
from eelgrassworks import neighbourreports
from eelgrassworks import runlogs
from eelgrassworks import runreports
from eelgrassworks import zones
from eelgrassworks.links import messages
from eelgrassworks.machines import entryview
from eelgrassworks.machines import interferencemeter
from eelgrassworks.machines import startqueue

RENEWAL_INTERVAL_S: Final = 0.5
# Renewals to an entry without work here are rarer by this factor.  A start
# of such an entry is still covered by the latest renewal that it confirmed.
IDLE_RENEWAL_FACTOR: Final = 1.75
# An entry that answers confirms a renewal sooner.
LISTING_DELAY_S: Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class AgentOptions:
    """Settings of an agent that do not change while it runs.

    ``incarnation`` identifies this run of the agent; ``queue_limit`` bounds
    the starts that wait for a slot of the target.  The agent stops the tasks
    of an entry that has confirmed no renewal for ``entry_ttl_s``, counted
    from the sending time of the renewal that it confirmed last.
    """

    target: machines.Target
    incarnation: int
    entries: tuple[str, ...]
    queue_limit: int
    entry_ttl_s: float = float('inf')
    renewal_interval_s: float = RENEWAL_INTERVAL_S
    optional: features.Features = features.NO_FEATURES


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message arrived from an entry."""

    peer: str
    incarnation: int
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStarted:
    """The target has shown that the attempt of a task runs."""

    key: contracts.TaskKey


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task ended at the target; ``body`` is its result or the reason.

    ``stopped`` is set when the task was stopped and did not fail itself.
    """

    key: contracts.TaskKey
    succeeded: bool
    body: bytes
    stopped: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRejected:
    """The target did not start an attempt and will never start it."""

    key: contracts.TaskKey
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDraining:
    """The target announced that it will stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesFound:
    """Discovery found these entries alive."""

    entries: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChecked:
    """A health check of the target completed."""

    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop begins."""


AgentEvent = (
    Received
    | TaskStarted
    | TaskEnded
    | TaskRejected
    | TargetChecked
    | TargetDraining
    | EntriesFound
    | Ticked
    | StopRequested
)


class Agent:
    """Decides which tasks start at a target, and answers the entries."""

    def __init__(self, options: AgentOptions) -> None:
        self.options = options
        self.slots = machines.Slots(options.target.slots, options.target.room)
        self.interference = interferencemeter.InterferenceMeter(
            options.optional.separation, options.target.capacity
        )
        self.live_entries = options.entries
        self.draining = False
        # Measured speed of the target, sent in renewals.
        self.speed = 0.0
        self.lease = zones.Lease()
        self.policy = zones.DomainPolicy(0, False, False, frozenset())
        self.healthy = True
        # Entries take the first renewal of an incarnation as the end of all
        # tasks of the earlier ones, so it must not precede that end.
        self.announced = True
        self.stopping = False
        self.entries: dict[str, entryview.EntryView] = {}
        self.records = keyrecords.KeyRecords()
        self.cancelled: dict[str, float] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self.room = agentroom.AgentRoom(
            options.optional.room, self.slots, self.counters
        )
        self._queue = startqueue.StartQueue()
        # Time of the latest renewal to each entry.
        self._renewed_s: dict[str, float] = {}
        self._now_s = float('-inf')
        self._leave_requested = False

    def handle(self, event: AgentEvent, now_s: float) -> effects.Effects:
        """Handle an event and return its effects."""
        self._now_s = now_s
        match event:
            case Received(peer, incarnation, message):
                return self._receive(peer, incarnation, message, now_s)
            case TaskStarted(key):
                occupant = self.slots.occupants.get(key)
                if occupant is not None:
                    occupant.is_shown = True
                return []
            case TaskEnded(key, succeeded, body, stopped):
                return self._end_task(key, succeeded, body, stopped, now_s)
            case TaskRejected(key, reason):
                return self._reject_task(key, reason, now_s)
            case TargetDraining():
                return self._begin_drain(now_s)
            case EntriesFound(found):
                self.live_entries = found
                return []
            case TargetChecked(healthy):
                return self._handle_health(healthy, now_s)
            case Ticked():
                return self._tick(now_s)
            case StopRequested():
                return self._begin_stop(now_s)

    # Messages of entries.

    def _receive(
        self, peer: str, incarnation: int, message: object, now_s: float
    ) -> effects.Effects:
        view = self.entries.get(peer)
        if view is None:
            view = self.entries[peer] = entryview.EntryView(incarnation)
        if incarnation != view.incarnation:
            if isinstance(message, messages.JobCancel):
                # Only one run of an entry ever owns a job of these ids.
                return self._cancel(message.submissions, now_s)
            if not runreports.is_later(message, view):
                self.counters['messages_outdated'] += 1
                return []
            view = entryview.EntryView(incarnation, running=view.running)
            self.entries[peer] = view
            self.room.forget(peer)
            return self._stop_earlier_incarnation(peer) + self._handle_message(
                peer, view, message, now_s
            )
        return self._handle_message(peer, view, message, now_s)

    def _handle_message(
        self,
        peer: str,
        view: entryview.EntryView,
        message: object,
        now_s: float,
    ) -> effects.Effects:
        match message:
            case messages.TaskStart():
                view.starts_seen += 1
                view.last_start_s = now_s
                view.offered = max(0, view.offered - 1)
                view.waiting = max(
                    0, message.waiting - view.count_offered(now_s)
                )
                self.room.record_demand(peer, message.first_waiting, now_s)
                return self._handle_start(
                    peer, message, now_s
                ) + self._confirm_busy_entry(peer, now_s)
            case messages.AgentLease():
                sent_s = message.stamp_ms / 1000
                if sent_s <= now_s:
                    view.confirmed_s = max(view.confirmed_s, sent_s)
                return self._handle_lease(message, now_s)
            case messages.TaskFence():
                return self._handle_fence(peer, message, now_s)
            case messages.JobCancel(submissions):
                return self._cancel(submissions, now_s)
            case messages.SlotsRequest(waiting, first_waiting):
                view.waiting = waiting
                self.room.record_demand(peer, first_waiting, now_s)
                return self._offer_slots(peer, now_s)
            case _:
                self.counters['messages_unexpected'] += 1
                return []

    def _handle_start(
        self, peer: str, start: messages.TaskStart, now_s: float
    ) -> effects.Effects:
        key = contracts.TaskKey(start.submission, start.index)
        match self.records.find(key):
            case None:
                pass
            case keyrecords.KeyFenced(attempt) if attempt < start.attempt:
                pass
            case keyrecords.KeyEnded() as ended if (
                start.transient and ended.attempt < start.attempt
            ):
                pass
            case record:
                self.counters['starts_repeated'] += 1
                return self._report_record(peer, key, start.attempt, record)
        if self._is_stale(start.incarnation, start.stamp_ms, now_s):
            self.counters['starts_stale'] += 1
            return [self._make_unknown(peer, key, start.attempt)]
        rejection = self._find_rejection_reason(peer, start, now_s)
        if rejection:
            return self._decline(peer, start, rejection, now_s)
        if start.transient and self._is_lease_over(start.stamp_ms, now_s):
            return [
                runlogs.log_late_start(
                    peer, self._describe_run(peer), start, now_s
                ),
                *self._decline(peer, start, 'late', now_s),
            ]
        # A patient start would wait in the queue, which needs no grant.
        if self.slots.fits(start.demand) and (
            start.patient or self.room.allows(peer, start.demand, now_s)
        ):
            return self._start_task(peer, start, now_s)
        if not start.patient or len(self._queue) >= self.options.queue_limit:
            return self._decline(peer, start, messages.REASON_BUSY, now_s)
        self.records.track(key, keyrecords.KeyQueued(peer, start))
        self._queue.add(key, self.room.read_demand(start.first_waiting), now_s)
        return []

    def _find_rejection_reason(
        self, peer: str, start: messages.TaskStart, now_s: float
    ) -> str:
        """Return why a start is rejected; empty if it is allowed."""
        if self.stopping:
            return 'stopping'
        if not self.lease.is_valid(now_s):
            return 'no-lease'
        if not self.policy.open:
            return 'closed'
        if self.policy.draining or self.draining:
            return 'draining'
        if not self._is_confirmed(peer, now_s):
            return 'entry-silent'
        if not self.healthy:
            return 'unhealthy'
        if start.submission in self.cancelled:
            return 'cancelled'
        if not self.policy.any_kind and start.kind not in self.policy.kinds:
            return 'kind'
        kinds = self.options.target.kinds
        if kinds and start.kind not in kinds:
            return 'kind'
        return ''

    def _handle_lease(
        self, lease: messages.AgentLease, now_s: float
    ) -> effects.Effects:
        sent_s = lease.stamp_ms / 1000
        if sent_s > now_s:
            self.counters['terms_rejected'] += 1
            return []
        if not self.lease.extend(
            lease.revision, sent_s, lease.remaining_ms / 1000
        ):
            self.counters['terms_outdated'] += 1
            return []
        if lease.revision > self.policy.revision:
            self.policy = zones.DomainPolicy(
                lease.revision,
                lease.open,
                lease.draining,
                frozenset(lease.kinds),
                lease.any_kind,
            )
        return self._fill_slots(now_s)

    def _handle_fence(
        self, peer: str, fence: messages.TaskFence, now_s: float
    ) -> effects.Effects:
        key = contracts.TaskKey(fence.submission, fence.index)
        match self.records.find(key):
            case None:
                return self._fence_unseen_start(peer, fence, now_s)
            case keyrecords.KeyFenced(attempt) if attempt < fence.attempt:
                return self._fence_unseen_start(peer, fence, now_s)
            case keyrecords.KeyEnded() as ended if (
                0 < ended.attempt < fence.attempt
            ):
                # Only a transient task has a further attempt after an end.
                return self._fence_unseen_start(peer, fence, now_s)
            case keyrecords.KeyQueued(_, start) if (
                start.attempt <= fence.attempt
            ):
                self._queue.remove(key)
                return self._decline(peer, fence, 'fenced', now_s)
            case record:
                return self._report_record(peer, key, fence.attempt, record)

    def _fence_unseen_start(
        self, peer: str, fence: messages.TaskFence, now_s: float
    ) -> effects.Effects:
        """Fence an attempt whose start has not arrived here."""
        if self._is_stale(fence.incarnation, fence.stamp_ms, now_s):
            key = contracts.TaskKey(fence.submission, fence.index)
            return [self._make_unknown(peer, key, fence.attempt)]
        # The entry subtracts the starts that are not counted here.
        self.entries[peer].starts_seen += 1
        return self._decline(peer, fence, 'fenced', now_s)

    def _cancel(
        self, submissions: tuple[str, ...], now_s: float
    ) -> effects.Effects:
        result: effects.Effects = []
        for name in submissions:
            self.cancelled[name] = now_s + keyrecords.START_WINDOW_S
        for key in self.slots.occupants:
            if key.submission in submissions:
                result.append(effects.StopTask(key))
        return result + self._fill_slots(now_s)

    # Tasks.

    def _start_task(
        self,
        peer: str,
        start: messages.TaskStart,
        now_s: float,
    ) -> effects.Effects:
        key = contracts.TaskKey(start.submission, start.index)
        # A start renews the lease of all runs of the target, and after a
        # freeze it may be handled earlier than the timer.
        stops = self._stop_unconfirmed(now_s)
        self.slots.occupy(key, peer, now_s, start.demand, start.attempt)
        self.entries[peer].running += 1
        withdrawn = self.room.record_start(
            peer, start.demand, self.entries[peer].running, now_s
        )
        self.records.track(key, keyrecords.KeyRunning())
        self.counters['tasks_started'] += 1
        self.interference.begin(
            key, start.kind, start.estimate_ms / 1000, start.demand, now_s
        )
        return [
            *stops,
            *self._tell_room(withdrawn),
            effects.StartTask(
                key,
                start.kind,
                start.payload,
                start.limit_ms / 1000,
                start.attempt,
                start.estimate_ms / 1000,
            ),
            runlogs.log_started(
                key,
                peer,
                self._describe_run(peer),
                start.attempt,
                now_s - self.entries[peer].confirmed_s,
            ),
        ]

    def _describe_run(self, peer: str) -> str:
        """Return the known run of an entry as its job ids write it."""
        return f'{self.entries[peer].incarnation:x}'

    def _end_task(
        self,
        key: contracts.TaskKey,
        succeeded: bool,
        body: bytes,
        stopped: bool,
        now_s: float,
    ) -> effects.Effects:
        occupant = self._release_slot(key)
        if occupant is None:
            return []
        self.interference.end(key, succeeded and not stopped, now_s)
        view = self.entries[occupant.entry]
        self.counters['tasks_ended'] += 1
        result = self._fill_slots(now_s)
        if not self._is_paused():
            result += self._tell_room(
                self.room.grant_freed(occupant.entry, now_s)
            )
        chosen = self._choose_entry(occupant.entry, now_s)
        offers = self._offer(chosen, now_s) if chosen else []
        finished = messages.TaskFinished(
            key.submission,
            key.index,
            succeeded,
            not succeeded and (stopped or key.submission in self.cancelled),
            body,
            round((now_s - occupant.started_s) * 1000),
            self._count_usable(occupant.entry, now_s),
            view.starts_seen,
            occupant.attempt,
            self.room.report(occupant.entry, self._now_s),
        )
        self.records.end(key, finished, now_s)
        result += [
            runlogs.log_ended(
                finished,
                occupant.entry,
                self._describe_run(occupant.entry),
            ),
            effects.Send(occupant.entry, finished),
        ]
        if chosen != occupant.entry:
            result += offers
        return result + self._finish_stop()

    def _release_slot(
        self, key: contracts.TaskKey
    ) -> machines.Occupant | None:
        """Release a task's slot; return None if it occupies none."""
        occupant = self.slots.release(key)
        if occupant is None:
            self.counters['ends_unexpected'] += 1
            return None
        view = self.entries[occupant.entry]
        view.running = max(0, view.running - 1)
        return occupant

    def _reject_task(
        self, key: contracts.TaskKey, reason: str, now_s: float
    ) -> effects.Effects:
        """Undo a start that the target did not carry out."""
        occupant = self._release_slot(key)
        if occupant is None:
            return []
        self.interference.end(key, False, now_s)
        self.counters['starts_rejected'] += 1
        attempt = occupant.attempt
        self.records.fence(key, attempt, reason, now_s)
        declined = self._make_declined(occupant.entry, key, attempt, reason)
        return [declined, *self._fill_slots(now_s), *self._finish_stop()]

    def _fill_slots(self, now_s: float) -> effects.Effects:
        """Start queued tasks while slots are free."""
        result: effects.Effects = []
        for key in self._queue.list_keys():
            record = self.records.find(key)
            if not isinstance(record, keyrecords.KeyQueued):
                raise TypeError(f'queued key {key} is recorded as {record}')
            peer, start = record.entry, record.start
            rejection = self._find_rejection_reason(peer, start, now_s)
            if not rejection and not self.slots.fits(start.demand):
                continue
            self._queue.remove(key)
            if rejection:
                result += self._decline(peer, start, rejection, now_s)
            else:
                result += self._start_task(peer, start, now_s)
        return result

    def _decline(
        self,
        peer: str,
        request: messages.TaskStart | messages.TaskFence,
        reason: str,
        now_s: float,
    ) -> effects.Effects:
        """Fence an attempt that was not started, and report it declined."""
        key = contracts.TaskKey(request.submission, request.index)
        self.records.fence(key, request.attempt, reason, now_s)
        self.counters['starts_declined'] += 1
        return [self._make_declined(peer, key, request.attempt, reason)]

    # Responses to entries.

    def _report_record(
        self,
        peer: str,
        key: contracts.TaskKey,
        attempt: int,
        record: keyrecords.KeyRecord,
    ) -> effects.Effects:
        match record:
            case keyrecords.KeyQueued():
                return []
            case keyrecords.KeyRunning():
                running = messages.TaskRunning(key.submission, key.index)
                return [effects.Send(peer, running)]
            case keyrecords.KeyEnded(finished):
                return [effects.Send(peer, finished)]
            case keyrecords.KeyForgotten():
                return [self._make_unknown(peer, key, attempt)]
            case keyrecords.KeyFenced(fenced, reason):
                return [self._make_declined(peer, key, fenced, reason)]

    def _make_unknown(
        self, peer: str, key: contracts.TaskKey, attempt: int
    ) -> effects.Send:
        unknown = messages.TaskUnknown(key.submission, key.index, attempt)
        return effects.Send(peer, unknown)

    def _make_declined(
        self, peer: str, key: contracts.TaskKey, attempt: int, reason: str
    ) -> effects.Send:
        declined = messages.TaskDeclined(
            key.submission,
            key.index,
            attempt,
            reason,
            self._count_usable(peer, self._now_s)
            if self.options.target.has_room
            else -len(self._queue),
            self.entries[peer].starts_seen,
            self.room.report(peer, self._now_s),
        )
        return effects.Send(peer, declined)

    # Sharing slots among entries.

    def _count_usable(self, peer: str, now_s: float) -> int:
        """Return the free slots that are not reserved for another entry.

        Queued starts are subtracted, so the result may be negative.  A target
        with room ignores the reservations.
        """
        if self.options.target.has_room:
            return -len(self._queue) if self._queue else self.slots.free
        reserved = sum(
            view.count_offered(now_s)
            for name, view in self.entries.items()
            if name != peer
        )
        return max(0, self.slots.free - reserved) - len(self._queue)

    def _choose_entry(self, owner: str, now_s: float) -> str:
        """Return the entry to offer a free slot to; empty for none.

        A waiting ``owner`` gets its slot again unless another waiting entry
        runs fewer tasks here.
        """
        if self._queue or self._is_paused():
            return ''
        if self._count_usable('', now_s) <= 0:
            return ''
        waiting = [
            name
            for name, view in self.entries.items()
            if view.waiting > 0 and not self.room.is_shared_with(name)
        ]
        if not waiting:
            return ''
        least = min(waiting, key=lambda name: self.entries[name].running)
        if owner not in waiting:
            return least
        if self.entries[least].running < self.entries[owner].running:
            return least
        return owner

    def _is_paused(self) -> bool:
        return (
            self.stopping
            or not self.policy.open
            or self.policy.draining
            or self.draining
            or not self.healthy
        )

    def _offer(self, peer: str, now_s: float) -> effects.Effects:
        """Reserve free slots for an entry and offer them to it."""
        view = self.entries[peer]
        view.offer(min(self._count_usable('', now_s), view.waiting), now_s)
        self.counters['slots_offered'] += 1
        return self._tell_room([peer])

    def _offer_slots(self, peer: str, now_s: float) -> effects.Effects:
        if not self.lease.is_valid(now_s):
            return []
        if self.room.is_shared_with(peer):
            if self._is_paused():
                return []
            return self._tell_room(self.room.grant_requested(peer, now_s))
        chosen = self._choose_entry('', now_s)
        if not chosen:
            return []
        return self._offer(chosen, now_s)

    def _tell_room(self, names: Sequence[str]) -> effects.Effects:
        """Tell entries the room that they may use."""
        return [
            effects.Send(
                name,
                messages.SlotsOffered(
                    self._count_usable(name, self._now_s),
                    self.entries[name].starts_seen,
                    self.room.report(name, self._now_s),
                ),
            )
            for name in names
        ]

    # Time and stopping.

    def _tick(self, now_s: float) -> effects.Effects:
        self._expire(now_s)
        result = self._stop_unconfirmed(now_s)
        result += self._fill_slots(now_s)
        if not self._is_paused():
            result += self._tell_room(self.room.grant_unused(now_s))
            result += self.room.summarize(now_s)
        due = [
            name
            for name in self._list_renewal_peers()
            if self._is_renewal_due(name, now_s)
        ]
        result += self._send_renewals_to(due, now_s)
        return result + self._finish_stop()

    def _is_renewal_due(self, name: str, now_s: float) -> bool:
        interval_s = self.options.renewal_interval_s
        view = self.entries.get(name)
        if view is not None and view.is_idle(now_s):
            interval_s *= IDLE_RENEWAL_FACTOR
        return now_s - self._renewed_s.get(name, float('-inf')) >= interval_s

    def _confirm_busy_entry(self, peer: str, now_s: float) -> effects.Effects:
        """Send a renewal to an entry that was idle and has work here now.

        Its latest confirmation may be almost as old as its lease; the next
        tick would leave too little time for another one.
        """
        if not self.entries[peer].running:
            return []
        if not self._is_renewal_due(peer, now_s):
            return []
        return self._send_renewals_to([peer], now_s)

    # Entries that may have stopped.

    def _is_confirmed(self, peer: str, now_s: float) -> bool:
        """Tell whether an entry confirmed a renewal within the timeout."""
        ttl_s = self.options.entry_ttl_s
        if ttl_s == float('inf'):
            return True
        return now_s - self.entries[peer].confirmed_s < ttl_s

    def _stop_unconfirmed(self, now_s: float) -> effects.Effects:
        """Stop the tasks of entries that have become unresponsive."""
        if not self.slots.occupants:
            return []
        unresponsive = {
            name
            for name in self.entries
            if not self._is_confirmed(name, now_s)
        }
        stops = self._stop_tasks(unresponsive) if unresponsive else []
        added = [
            occupant
            for occupant in self.slots.occupants.values()
            if occupant.entry in unresponsive and not occupant.must_end
        ]
        if not added:
            return stops
        for occupant in added:
            occupant.must_end = True
        ages = {
            name: round(now_s - self.entries[name].confirmed_s, 2)
            for name in unresponsive
        }
        logged = effects.Log(
            'entry_silent', {'tasks': len(added), 'ages_s': str(ages)}
        )
        return [logged, *stops]

    def _stop_earlier_incarnation(self, peer: str) -> effects.Effects:
        """Stop the tasks started for an earlier incarnation of an entry."""
        if self.options.entry_ttl_s == float('inf'):
            return []
        return self._stop_tasks({peer})

    def _stop_tasks(self, names: set[str]) -> effects.Effects:
        return [
            effects.StopTask(key)
            for key, occupant in self.slots.occupants.items()
            if occupant.entry in names
        ]

    def _begin_drain(self, now_s: float) -> effects.Effects:
        if self.draining:
            return []
        self.draining = True
        return self._fill_slots(now_s) + self._send_renewals(now_s)

    def _list_renewal_peers(self) -> tuple[str, ...]:
        """Return the entries to serve, then others whose tasks still run."""
        finishing = [
            name
            for name, view in self.entries.items()
            if view.running and name not in self.live_entries
        ]
        return (*self.live_entries, *finishing)

    def _send_renewals(self, now_s: float) -> effects.Effects:
        """Send a renewal to every entry, since the state has changed."""
        self._renewed_s = {}
        return self._send_renewals_to(self._list_renewal_peers(), now_s)

    def _send_renewals_to(
        self, names: Sequence[str], now_s: float
    ) -> effects.Effects:
        if not self.announced:
            return []
        self._renewed_s.update(dict.fromkeys(names, now_s))
        target = self.options.target
        accepting = not self.stopping and self.healthy and not self.draining
        occupants = self.slots.occupants
        shown = runreports.list_shown(occupants, self.entries, names, now_s)
        orphans = runreports.list_orphans(
            occupants, self.entries, self.options.entry_ttl_s, now_s
        )
        shared = self.room.report_shared(now_s)
        return [
            effects.Send(
                entry,
                messages.AgentRenewal(
                    target.name,
                    target.worker,
                    target.failure_domain,
                    tuple(sorted(target.kinds)),
                    target.slots,
                    self._count_usable(entry, now_s),
                    self._count_starts(entry),
                    int(now_s * 1000),
                    self.policy.revision,
                    accepting and entry in self.live_entries,
                    target.service,
                    target.room,
                    self.room.report(entry, self._now_s),
                    self.speed,
                    tuple(shown[entry]),
                    self._list_unended(entry, now_s),
                    orphans,
                    shared,
                    neighbourreports.make_report(
                        self.interference,
                        self._read_confirmed(entry),
                        now_s,
                    ),
                ),
            )
            for entry in names
        ]

    def _list_unended(
        self, entry: str, now_s: float
    ) -> tuple[messages.ShownAttempt, ...] | None:
        """Return the attempts of an entry whose answers do not arrive.

        It may have cancelled any of them.  Returns None for other entries.
        """
        view = self.entries.get(entry)
        if view is None or self.options.entry_ttl_s == float('inf'):
            return None
        if now_s - view.confirmed_s < LISTING_DELAY_S:
            return None
        queued = [self.records.find(key) for key in self._queue.list_keys()]
        return runreports.list_unended(self.slots.occupants, queued, entry)

    def _read_confirmed(self, entry: str) -> float:
        view = self.entries.get(entry)
        return float('-inf') if view is None else view.confirmed_s

    def _count_starts(self, entry: str) -> int:
        view = self.entries.get(entry)
        return 0 if view is None else view.starts_seen

    def _expire(self, now_s: float) -> None:
        self.records.expire(now_s)
        expired = [
            name for name, end in self.cancelled.items() if end <= now_s
        ]
        for name in expired:
            del self.cancelled[name]

    def _is_stale(self, incarnation: int, stamp_ms: int, now_s: float) -> bool:
        """Tell whether the record of a key may be missing here.

        After the start window the record may have expired, and the records
        of an earlier incarnation were lost with it.
        """
        if incarnation != self.options.incarnation:
            return True
        age_s = now_s - stamp_ms / 1000
        return age_s >= keyrecords.START_WINDOW_S or age_s < 0

    def _is_lease_over(self, stamp_ms: int, now_s: float) -> bool:
        """Tell whether an entry's lease that began at a stamp has ended.

        A start may arrive long after newer renewals were confirmed over
        another connection.  Its own stamp bounds its age: the entry restarts
        the task elsewhere only when every lease that it knew has ended.
        """
        return now_s - stamp_ms / 1000 >= self.options.entry_ttl_s

    def _handle_health(self, healthy: bool, now_s: float) -> effects.Effects:
        changed = healthy != self.healthy
        self.healthy = healthy
        self.announced = True
        if not changed:
            return []
        return self._fill_slots(now_s) + self._send_renewals(now_s)

    def _begin_stop(self, now_s: float) -> effects.Effects:
        self.stopping = True
        result = self._fill_slots(now_s) + self._send_renewals(now_s)
        return result + self._finish_stop()

    def _finish_stop(self) -> effects.Effects:
        if not self.stopping or self._leave_requested or self.slots.occupants:
            return []
        self._leave_requested = True
        return [effects.Exit()]

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            'target': self.options.target.name,
            'failure_domain': self.options.target.failure_domain,
            'revision': self.policy.revision,
            'open': self.policy.open,
            'draining': self.policy.draining,
            'healthy': self.healthy,
            'stopping': self.stopping,
            'lease_remaining_s': round(self.lease.measure_remaining(now_s), 3),
            'slots': self.slots.count,
            'free': self.slots.free,
            'queued': len(self._queue),
            'records': len(self.records),
            'entries': {
                name: {
                    'incarnation': view.incarnation,
                    'waiting': view.waiting,
                    'running': view.running,
                }
                for name, view in self.entries.items()
            },
            'room': self.room.describe(now_s),
            'counters': dict(self.counters),
            **self.interference.describe(),
        }
