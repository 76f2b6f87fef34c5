"""Raft roles of a replica: follower, candidate or leader.

Also the stored state that a replica starts from, and a leader's progress
tracking of the other members.
"""

import collections
from collections.abc import Iterable
import dataclasses

from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import replicatedlog


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Identity of a replica and the names of all replicas.

    With an ``address`` the membership is open: replicas that the settings do
    not name may join, there are at most ``voters`` voters (0: no limit), and a
    learner that has caught up replaces an unresponsive voter.  Voters are
    spread over the failure domains.
    """

    name: str
    disk: str
    names: tuple[str, ...]
    address: str = ''
    voters: int = 0
    failure_domain: str = ''

    @property
    def is_open(self) -> bool:
        """Return whether replicas not named in the settings may join."""
        return bool(self.address)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """Content of the data folder at the start."""

    term: int
    vote: str
    base_index: int
    base_term: int
    members: commands.SetMembers
    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Follower:
    """Follows ``leader``; empty while the leader is unknown."""

    leader: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Requests votes; with ``pre_vote`` in the pre-vote phase."""

    pre_vote: bool
    votes: set[str]
    transfer: bool
    refused_by: set[str] = dataclasses.field(default_factory=set)


class InFlight:
    """Entries that were sent to a member and not acknowledged yet."""

    def __init__(self) -> None:
        self.size_bytes = 0
        # Last index and size in bytes of each append.
        self._appends: collections.deque[tuple[int, int]] = collections.deque()

    def record(self, entries: Iterable[messages.LogEntry]) -> None:
        """Record the entries of one append."""
        last_index = 0
        total_bytes = 0
        for entry in entries:
            last_index = entry.index
            total_bytes += replicatedlog.measure_entry(entry)
        if last_index:
            self._appends.append((last_index, total_bytes))
            self.size_bytes += total_bytes

    def acknowledge(self, index: int) -> None:
        """Remove the appends whose entries are all acknowledged."""
        while self._appends and self._appends[0][0] <= index:
            self.size_bytes -= self._appends.popleft()[1]

    def clear(self) -> None:
        """Remove all: what was sent did not follow the member's log."""
        self._appends.clear()
        self.size_bytes = 0


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of another member, as tracked by the leader.

    ``last_contact_s`` is the sending time of the latest append that the
    member answered.  Since ``resent_s`` the member is sent the entries after
    the index that its latest rejection named.  ``failure_domain`` is empty
    until the member has answered.
    """

    next_index: int
    match_index: int = 0
    last_contact_s: float = float('-inf')
    resent_s: float = float('-inf')
    snapshot_offset: int = 0
    chunk_sent_s: float = float('-inf')
    in_flight: InFlight = dataclasses.field(default_factory=InFlight)
    failure_domain: str = ''


@dataclasses.dataclass(slots=True)
class Leader:
    """Leads since ``since_s``; ``first_index`` is its no-op entry."""

    progress: dict[str, Progress]
    first_index: int
    since_s: float
    last_heartbeat_s: float = float('-inf')
    transfer_started_s: float | None = None


Role = Follower | Candidate | Leader


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    last_index: int
    last_term: int
    data: bytearray
