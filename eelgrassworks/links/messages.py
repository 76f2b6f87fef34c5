"""Typed messages between processes.

Messages are the models at the border between two processes: each is validated
field by field when a frame is decoded.  The values that they carry, such as
claims and configurations, are data classes.  Times in messages are durations
or echoes of the receiver's own clock, so that clocks of different machines
are never compared.
"""

from typing import ClassVar
from typing import Final
import zlib

import msgspec

from eelgrassworks import contracts
from eelgrassworks.links import codec

# Reason for a decline when no slot is free.
REASON_BUSY: Final = 'busy'
# Reason for stopping a run that made no progress.
REASON_STALLED: Final = b'stalled'
# Reasons that concern one attempt.  After a decline for any other reason the
# target counts as not accepting tasks.
ATTEMPT_REASONS: Final = frozenset(
    {'cancelled', 'fenced', 'late', 'old', 'unanswered', 'room'}
)

# Agent to entry.


class ShownAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that the agent's target has shown to run."""

    submission: str
    index: int
    attempt: int


class OrphanedJob(msgspec.Struct, frozen=True, array_like=True):
    """A job with runs at a target, and its entry, which is unresponsive."""

    entry: str
    job: str


class PairReport(msgspec.Struct, frozen=True, array_like=True):
    """How much longer a kind runs beside another one, by so many runs."""

    kind: str
    beside: str
    slowdown: float
    samples: float


class KindsReport(msgspec.Struct, frozen=True, array_like=True):
    """The kinds that run at a target, and how they slow each other down.

    ``pairs`` is None if the entry has confirmed the latest ones.
    """

    running: tuple[str, ...]
    pairs: tuple[PairReport, ...] | None = None


class AgentRenewal(msgspec.Struct, frozen=True):
    """Registers a target and requests a lease for it.

    ``stamp_ms`` is the agent's monotonic time at sending.  ``shown`` names
    the entry's attempts that run, until the entry has confirmed a renewal
    that names them.  Any other start may still be under way to the target.
    ``unended`` names all attempts of the entry that the agent has received
    and that have not ended; it is None if the renewal lists none of them.
    ``orphans`` names the jobs of which a run is left at the target, or may
    still begin, and whose entry the agent has lost.  ``free_room`` is the room
    for the receiver, and ``shared`` what an agent that shares room reports to
    all entries.  ``neighbours`` is encoded only if the agent measures
    interference.
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
    # Declared work completed per second of run time; 0 until measured.
    speed: float = 0.0
    shown: tuple[ShownAttempt, ...] = ()
    unended: tuple[ShownAttempt, ...] | None = None
    orphans: tuple[OrphanedJob, ...] = ()
    shared: contracts.SharedState | msgspec.UnsetType = msgspec.UNSET
    neighbours: KindsReport | msgspec.UnsetType = msgspec.UNSET


class TaskFinished(msgspec.Struct, frozen=True):
    """Outcome of a task that ran; ``free`` slots remain at the target.

    ``stopped`` is set when the run was stopped because its job was cancelled
    or its lease expired.  The attempt has ended completely.
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


class TaskDeclined(msgspec.Struct, frozen=True):
    """Confirms that no attempt up to this one was or will be started."""

    submission: str
    index: int
    attempt: int
    reason: str
    free: int
    starts_seen: int
    free_room: contracts.Room = contracts.NO_ROOM


class TaskRunning(msgspec.Struct, frozen=True):
    """Response to a fence that arrived after the task had started."""

    submission: str
    index: int


class TaskUnknown(msgspec.Struct, frozen=True):
    """The agent has no record of whether it started the task key."""

    submission: str
    index: int
    attempt: int


class SlotsOffered(msgspec.Struct, frozen=True):
    """Slots became free after the entry reported waiting tasks."""

    free: int
    starts_seen: int
    free_room: contracts.Room = contracts.NO_ROOM


# Entry to agent.


class AgentLease(msgspec.Struct, frozen=True):
    """Response to a renewal: remaining lease and the policy it confirms."""

    TAG: ClassVar[str] = 'AgentTerms'

    stamp_ms: int
    remaining_ms: int
    revision: int
    open: bool
    draining: bool
    kinds: tuple[str, ...]
    any_kind: bool = False


class TaskStart(msgspec.Struct, frozen=True):
    """Start of a task, for one incarnation of the agent.

    ``attempt`` increases with each start that follows a decline; ``stamp_ms``
    echoes the agent's last renewal; ``waiting`` is the number of tasks that
    the entry cannot place.  A ``transient`` task may start again after an
    earlier attempt has ended; it queues at the target only if ``patient``.
    An entry that shares room adds the digest of its first waiting work.
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
    first_waiting: contracts.Demand | msgspec.UnsetType = msgspec.UNSET


class TaskFence(msgspec.Struct, frozen=True):
    """Prevents the start of an attempt, or requests the state of the key.

    The last three fields have the values of the corresponding start.
    """

    submission: str
    index: int
    attempt: int
    incarnation: int
    stamp_ms: int


class JobCancel(msgspec.Struct, frozen=True):
    """Stops running tasks of the jobs and fences their other tasks."""

    submissions: tuple[str, ...]


class SlotsRequest(msgspec.Struct, frozen=True):
    """Reports how many tasks of the entry wait for a slot.

    An entry that shares room adds the digest of its first waiting work.
    """

    TAG: ClassVar[str] = 'SlotsWanted'

    waiting: int
    first_waiting: contracts.Demand | msgspec.UnsetType = msgspec.UNSET


# Entry to control.


class EntryRenewal(msgspec.Struct, frozen=True):
    """Registers an incarnation of an entry and requests a lease.

    ``roster_digest`` is that of the roster which the entry has.  An entry of
    an earlier version names no failure domain.
    """

    name: str
    address: str
    nonce: int
    sent_ms: int
    revision: int
    roster_digest: int = 0
    failure_domain: str = ''


class ClaimsRequest(msgspec.Struct, frozen=True):
    """Claims of one batch; the response has the same ``request`` number."""

    TAG: ClassVar[str] = 'ClaimsAsked'

    request: int
    claims: tuple[contracts.Claim, ...]


class LookupsRequest(msgspec.Struct, frozen=True):
    """Requests the owners of submission ids without claiming the ids."""

    TAG: ClassVar[str] = 'LookupsAsked'

    request: int
    submissions: tuple[str, ...]


class ConfigurationChangeRequest(msgspec.Struct, frozen=True):
    """A change by an operator; the change id makes resending idempotent."""

    TAG: ClassVar[str] = 'ChangeAsked'

    id: str
    operator: str
    expected_revision: int
    change: codec.Variant


# Control to entry.


class EntryLease(msgspec.Struct, frozen=True):
    """Response of the leader to a renewal.

    ``homes_version`` is that of the homes that were committed when the lease
    was granted; 0 if there are none, or in a lease of an earlier version.
    """

    TAG: ClassVar[str] = 'EntryTerms'

    sent_ms: int
    remaining_ms: int
    revision: int
    in_force_revision: int
    incarnation: int
    homes_version: int = 0


class ConfigurationUpdate(msgspec.Struct, frozen=True):
    """The whole configuration at its current revision."""

    TAG: ClassVar[str] = 'ConfigurationTold'

    configuration: contracts.Configuration


class ClaimsResponse(msgspec.Struct, frozen=True):
    """Verdicts on the claims or lookups of one batch, in their order."""

    TAG: ClassVar[str] = 'ClaimsTold'

    request: int
    verdicts: tuple[codec.Variant, ...]


class ConfigurationChangeResponse(msgspec.Struct, frozen=True):
    """Verdict on a change."""

    TAG: ClassVar[str] = 'ChangeTold'

    verdict: codec.Variant


class NotLeader(msgspec.Struct, frozen=True):
    """The replica is not the leader; ``leader`` is empty when unknown."""

    leader: str


# Any process to an entry or a control replica.


class RosterRequest(msgspec.Struct, frozen=True):
    """Requests the names and addresses of the processes."""

    TAG: ClassVar[str] = 'RosterAsked'


class RosterUpdate(msgspec.Struct, frozen=True):
    """Names and addresses of the control replicas and the live entries.

    ``leader`` is the name of the replica that leads, or empty if unknown.
    """

    TAG: ClassVar[str] = 'RosterTold'

    replicas: dict[str, str]
    entries: dict[str, str]
    leader: str = ''
    homes: contracts.HomeSet = contracts.NO_HOMES

    def hide_homes(self) -> 'RosterUpdate':
        """Return the roster for a process that owns no jobs."""
        return RosterUpdate(self.replicas, self.entries, self.leader)

    def digest(self) -> int:
        """Return a checksum of the names, the addresses and the homes."""
        rows = (
            sorted(self.replicas.items()),
            sorted(self.entries.items()),
            self.homes,
        )
        return zlib.crc32(msgspec.msgpack.encode(rows))


# Entry to entry.


class AttachRequest(msgspec.Struct, frozen=True):
    """Requests the result of a job from its owner.

    ``age_ms`` is the time since the submission that waits for a transient
    job.
    """

    TAG: ClassVar[str] = 'AttachAsked'

    request: int
    submission: str
    digest: str
    team: str
    age_ms: int = 0


class AttachResponse(msgspec.Struct, frozen=True):
    """The result of a job, from its owner.

    Each run of an entry numbers its requests from 1, so the number alone
    does not tell which job was requested.
    """

    TAG: ClassVar[str] = 'AttachTold'

    request: int
    answer: codec.Variant
    submission: str = ''


class AttachWithdrawal(msgspec.Struct, frozen=True):
    """The request of another entry no longer waits for a job."""

    request: int
    submission: str


class CancelRequest(msgspec.Struct, frozen=True):
    """Requests that the owner of a job cancels it."""

    TAG: ClassVar[str] = 'CancelAsked'

    submission: str
    team: str


# Entry to home, and back.


class JobOwnership(msgspec.Struct, frozen=True, array_like=True):
    """A transient job, by the id of its caller and by that of the entry.

    ``attempt`` rises over all claims of the entry; ``repeated`` is set once a
    claim of the job was refused.  ``age_ms`` is the time since its caller
    submitted it.
    """

    submission: str
    job: str
    attempt: int = 1
    repeated: bool = False
    age_ms: int = 0


class OwnershipRequest(msgspec.Struct, frozen=True):
    """Requests and extends grants of transient jobs.

    The sender owns the jobs in ``renewals`` and claims those in ``claims``.
    A request without jobs asks whether the home grants new ones.
    """

    request: int
    claims: tuple[JobOwnership, ...] = ()
    renewals: tuple[JobOwnership, ...] = ()


class OwnershipRelease(msgspec.Struct, frozen=True):
    """Gives back grants of transient jobs; there is no response."""

    jobs: tuple[JobOwnership, ...]


class OwnershipProtection(msgspec.Struct, frozen=True):
    """Extends the grants of owners that are lost; there is no response."""

    jobs: tuple[OrphanedJob, ...]


class OwnershipReportRequest(msgspec.Struct, frozen=True):
    """A home that has lost its grants requests the jobs of an entry.

    ``run`` identifies the process of the home.
    """

    run: int


class OwnershipReport(msgspec.Struct, frozen=True):
    """All jobs that an entry owns, for one run of a home.

    The process of the entry was started ``uptime_ms`` before.
    """

    run: int
    uptime_ms: int
    jobs: tuple[JobOwnership, ...]


class OwnershipRefusal(msgspec.Struct, frozen=True, array_like=True):
    """Another job owns an id; ``owner`` is its entry."""

    submission: str
    owner: str
    job: str


class OwnershipResponse(msgspec.Struct, frozen=True):
    """Response of a home: all jobs are granted that it does not name.

    ``undecided`` names the claims on ids whose owner the home may not know
    while it is ``recovering``.
    """

    request: int
    refused: tuple[OwnershipRefusal, ...] = ()
    undecided: tuple[str, ...] = ()
    recovering: bool = False


# Any process to any process.


class Heartbeat(msgspec.Struct, frozen=True):
    """Requests an echo, to check that the connection carries frames.

    ``kept`` is set if the sender keeps this connection while it is idle.
    """

    sent_s: float
    kept: bool = True


class HeartbeatEcho(msgspec.Struct, frozen=True):
    """Response to a heartbeat, with the sending time of the heartbeat."""

    sent_s: float


# Control to control.


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of the replicated log."""

    index: int
    term: int
    command: codec.Variant


class VoteRequest(msgspec.Struct, frozen=True):
    """Requests a vote; with ``trial``, a pre-vote that is not recorded."""

    TAG: ClassVar[str] = 'VoteAsked'

    term: int
    trial: bool
    last_index: int
    last_term: int
    transfer: bool
    disk: str


class VoteResponse(msgspec.Struct, frozen=True):
    """Response to a vote request of ``term``."""

    TAG: ClassVar[str] = 'VoteTold'

    term: int
    trial: bool
    granted: bool
    disk: str


class AppendRequest(msgspec.Struct, frozen=True):
    """Entries after ``previous_index``; without entries, a heartbeat.

    ``sent_s`` is the leader's monotonic time and is echoed.  ``durable`` is
    the index that each disk has acknowledged, so that the other replicas can
    detect a disk that lost acknowledged entries.
    """

    TAG: ClassVar[str] = 'AppendAsked'

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_s: float
    durable: dict[str, int]


class AppendResponse(msgspec.Struct, frozen=True):
    """Response to an append: the last index that matches durably.

    When ``accepted`` is False, ``match`` is the index to retry from.
    ``disk`` is the identity of the data folder of the sender, and
    ``failure_domain`` where the sender runs.
    """

    TAG: ClassVar[str] = 'AppendTold'

    term: int
    accepted: bool
    match: int
    sent_s: float
    disk: str
    failure_domain: str = ''
    # Set by replicas that can apply SetHomes.
    knows_homes: bool = False


class SnapshotChunk(msgspec.Struct, frozen=True):
    """One part of a snapshot, at byte ``offset``."""

    TAG: ClassVar[str] = 'SnapshotPart'

    term: int
    last_index: int
    last_term: int
    offset: int
    data: bytes
    final: bool
    sent_s: float


class SnapshotChunkResponse(msgspec.Struct, frozen=True):
    """The next byte offset that the receiver needs."""

    TAG: ClassVar[str] = 'SnapshotPartTold'

    term: int
    last_index: int
    offset: int
    sent_s: float


class LeadershipTransferRequest(msgspec.Struct, frozen=True):
    """Requests that an up-to-date voter starts an election at once."""

    TAG: ClassVar[str] = 'LeadershipOffered'

    term: int


class VerificationRequest(msgspec.Struct, frozen=True):
    """Requests the receiver's record of the sender's data folder."""

    TAG: ClassVar[str] = 'StandingAsked'

    disk: str


class VerificationResponse(msgspec.Struct, frozen=True):
    """What was seen to be durable in that data folder.

    ``seen_index`` is the index up to which it matched the log of the latest
    leader, and ``seen_leader_term`` the term of this leader (0 if unknown).
    """

    TAG: ClassVar[str] = 'StandingTold'

    disk: str
    seen_index: int
    seen_term: int
    seen_leader_term: int = 0


class AdmissionRequest(msgspec.Struct, frozen=True):
    """Requests that the leader admits a replica with a new data folder."""

    TAG: ClassVar[str] = 'AdmissionAsked'

    disk: str
    address: str = ''
    failure_domain: str = ''


class AdmissionDeferred(msgspec.Struct, frozen=True):
    """The leader has enough members, and admits no other one for now.

    ``members`` has their addresses, at which the replica finds the next
    leader.
    """

    TAG: ClassVar[str] = 'AdmissionDeferred'

    members: dict[str, str]


codec.register(
    *(
        each
        for each in list(globals().values())
        if isinstance(each, type) and issubclass(each, msgspec.Struct)
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
