"""Raft roles of a replica: follower, candidate or leader.

Also the stored state that a replica starts from, and a leader's progress
tracking of the other members.
"""

import dataclasses

from eelgrassworks.links import messages
from eelgrassworks.replication import commands


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Identity of a replica and the names of all replicas.

    With an ``address`` the membership is open: replicas that the settings do
    not name may join, there are at most ``voters`` voters (0: no limit), and a
    learner that has caught up replaces an unresponsive voter.
    """

    name: str
    disk: str
    names: tuple[str, ...]
    address: str = ''
    voters: int = 0

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


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of another member, as tracked by the leader.

    ``last_contact_s`` is the sending time of the latest append that the
    member answered.
    """

    next_index: int
    match_index: int = 0
    last_contact_s: float = float('-inf')
    sent_s: float = float('-inf')
    snapshot_offset: int = 0
    chunk_sent_s: float = float('-inf')


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
