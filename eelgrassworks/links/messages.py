"""Typed messages between processes.

Each message is validated field by field when a frame is decoded.  Times in
messages are durations or echoes of the receiver's own clock; no message
compares clocks of two machines.
"""

import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks.links import codec

# The reason of a decline for want of a slot.
BUSY: Final = 'busy'
# Reason of a run that was stopped since it made no progress.
STALLED: Final = b'stalled'
# Reasons that concern one attempt and say nothing about the target.
ATTEMPT_REASONS: Final = frozenset(
    {'cancelled', 'fenced', 'late', 'old', 'unanswered', 'room'}
)

# Agent to entry.


@dataclasses.dataclass(frozen=True, slots=True)
class AgentRenewal:
    """Announces a target and asks for a lease.

    ``stamp_ms`` is the agent's monotonic time at sending.
    """

    target: str
    worker: str
    failure_domain: str
    kinds: tuple[str, ...]
    slots: int
    free: int
    starts_seen: int
    stamp_ms: int
    revision: int
    accepting: bool
    service: str = ''
    room: contracts.Room = contracts.NO_ROOM
    free_room: contracts.Room = contracts.NO_ROOM
    # Declared work done in a second of run time; 0 while not measured.
    speed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFinished:
    """Outcome of a task that ran; ``free`` slots are left at the target.

    ``stopped`` is set when it ended through no fault of its own: its job
    was cancelled, or its lease ended.  Nothing of the attempt runs any more.
    """

    submission: str
    index: int
    succeeded: bool
    stopped: bool
    body: bytes
    run_ms: int
    free: int
    starts_seen: int
    attempt: int = 0
    free_room: contracts.Room = contracts.NO_ROOM


@dataclasses.dataclass(frozen=True, slots=True)
class TaskDeclined:
    """No attempt up to this one was or will be started."""

    submission: str
    index: int
    attempt: int
    reason: str
    free: int
    starts_seen: int
    free_room: contracts.Room = contracts.NO_ROOM


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRunning:
    """Answer to a fence that came after the start of the task."""

    submission: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskUnknown:
    """The agent no longer knows whether it started the key."""

    submission: str
    index: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsOffered:
    """Slots became free and the entry has said that tasks wait."""

    free: int
    starts_seen: int
    free_room: contracts.Room = contracts.NO_ROOM


# Entry to agent.


@dataclasses.dataclass(frozen=True, slots=True)
class AgentTerms:
    """Answer to a renewal: remaining lease and the policy it confirms."""

    stamp_ms: int
    remaining_ms: int
    revision: int
    open: bool
    draining: bool
    kinds: tuple[str, ...]
    any_kind: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStart:
    """Start of a task, for one incarnation of the agent.

    ``attempt`` grows with each start that follows a decline; ``stamp_ms``
    echoes the agent's last renewal; ``waiting`` is the number of tasks that
    the entry cannot place.  A ``transient`` task may start again after an
    earlier attempt has ended; it waits at the target only if ``patient``.
    """

    submission: str
    index: int
    attempt: int
    incarnation: int
    kind: str
    payload: bytes
    limit_ms: int
    stamp_ms: int
    waiting: int
    transient: bool = False
    patient: bool = True
    demand: contracts.Room = contracts.NO_ROOM
    estimate_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFence:
    """Asks that an attempt is never started, or what became of the key.

    The last three fields are those that the start carried.
    """

    submission: str
    index: int
    attempt: int
    incarnation: int
    stamp_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancel:
    """Stops running tasks of the jobs and fences the others."""

    submissions: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsWanted:
    """Tells how many tasks of the entry wait for a slot."""

    waiting: int


# Entry to control.


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRenewal:
    """Registers an entry incarnation and asks for a lease."""

    name: str
    address: str
    nonce: int
    sent_ms: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsAsked:
    """Claims of one batch; the answer carries the same ``request``."""

    request: int
    claims: tuple[contracts.Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LookupsAsked:
    """Asks who owns submission ids, without claiming them."""

    request: int
    submissions: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAsked:
    """A change by an operator; the change id makes a resend harmless."""

    id: str
    operator: str
    expected_revision: int
    change: codec.Variant


# Control to entry.


@dataclasses.dataclass(frozen=True, slots=True)
class EntryTerms:
    """Answer to a renewal by the leader."""

    sent_ms: int
    remaining_ms: int
    revision: int
    in_force_revision: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationTold:
    """The whole configuration at its current revision."""

    configuration: contracts.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsTold:
    """Verdicts on the claims or lookups of one batch, in their order."""

    request: int
    verdicts: tuple[codec.Variant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeTold:
    """Verdict on a change."""

    verdict: codec.Variant


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """The replica cannot answer; ``leader`` is empty when unknown."""

    leader: str


# Any process to an entry or a control replica.


@dataclasses.dataclass(frozen=True, slots=True)
class RosterAsked:
    """Asks which processes there are."""


@dataclasses.dataclass(frozen=True, slots=True)
class RosterTold:
    """Names and addresses of the control replicas and the live entries."""

    replicas: dict[str, str]
    entries: dict[str, str]


# Entry to entry.


@dataclasses.dataclass(frozen=True, slots=True)
class AttachAsked:
    """Asks the owner of a job for its answer."""

    request: int
    submission: str
    digest: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttachTold:
    """The answer of a job, from its owner."""

    request: int
    answer: codec.Variant


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAsked:
    """Asks the owner of a job to cancel it."""

    submission: str
    team: str


# Any process to any process.


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asks for an echo, to show that the connection carries frames."""

    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatEcho:
    """Answer to a heartbeat, with the time that it carried."""

    sent_s: float


# Control to control.


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log."""

    index: int
    term: int
    command: codec.Variant


@dataclasses.dataclass(frozen=True, slots=True)
class VoteAsked:
    """Asks for a vote; with ``trial`` nothing is recorded."""

    term: int
    trial: bool
    last_index: int
    last_term: int
    transfer: bool
    disk: str


@dataclasses.dataclass(frozen=True, slots=True)
class VoteTold:
    """Answer to a vote request of ``term``."""

    term: int
    trial: bool
    granted: bool
    disk: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendAsked:
    """Entries after ``previous_index``; empty as a heartbeat.

    ``sent_s`` is the leader's monotonic time and is echoed; ``durable`` says
    what each disk has acknowledged, for the day on which it forgets it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_s: float
    durable: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class AppendTold:
    """Answer to an append: the last index that matches durably.

    When ``accepted`` is False, ``match`` is where the leader should retry.
    ``disk`` is the identity of the data folder that answers.
    """

    term: int
    accepted: bool
    match: int
    sent_s: float
    disk: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a snapshot, at byte ``offset``."""

    term: int
    last_index: int
    last_term: int
    offset: int
    data: bytes
    final: bool
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPartTold:
    """The next byte offset that the receiver needs."""

    term: int
    last_index: int
    offset: int
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipOffered:
    """Asks a caught-up voter to start an election at once."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class StandingAsked:
    """Asks what the receiver has seen of the sender's disk."""

    disk: str


@dataclasses.dataclass(frozen=True, slots=True)
class StandingTold:
    """The highest durable index and term ever seen from that disk."""

    disk: str
    seen_index: int
    seen_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionAsked:
    """A replica with a new disk asks the leader to admit it."""

    disk: str
    address: str = ''


codec.register(
    *(
        each
        for each in list(globals().values())
        if isinstance(each, type) and dataclasses.is_dataclass(each)
    )
)
codec.register(
    contracts.ApplySheet,
    contracts.ChangeAccepted,
    contracts.ChangeConflict,
    contracts.ChangeInvalid,
    contracts.ClaimConflict,
    contracts.ClaimExpired,
    contracts.ClaimFree,
    contracts.ClaimFuture,
    contracts.ClaimGranted,
    contracts.ClaimSuperseded,
    contracts.ClaimTaken,
    contracts.CloseDomain,
    contracts.Complete,
    contracts.DrainTarget,
    contracts.Failed,
    contracts.NotRun,
    contracts.OpenDomain,
    contracts.ReplaceSheet,
    contracts.UndrainTarget,
)
