"""What a replica is at a time: follower, candidate or leader.

Also what it starts from, and what a leader knows of the others.
"""

import dataclasses

from eelgrassworks.links import messages
from eelgrassworks.replication import commands


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Identity of a replica and the names of all replicas.

    With an ``address`` the members are open: replicas that the settings do
    not name may join, up to ``voters`` of them vote, and a voter that stays
    silent makes way for a learner that has caught up.
    """

    name: str
    disk: str
    names: tuple[str, ...]
    address: str = ''
    voters: int = 0

    @property
    def is_open(self) -> bool:
        """Tell whether unnamed replicas may join."""
        return bool(self.address)


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """What the data folder held at the start."""

    term: int
    vote: str
    base_index: int
    base_term: int
    members: commands.SetMembers
    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Follower:
    """Follows ``leader``, or nobody yet."""

    leader: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Asks for votes; with ``trial`` only whether they would be given."""

    pre_vote: bool
    votes: set[str]
    transfer: bool


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of one other member.

    ``contact_s`` is the sending time of the latest append it answered.
    """

    next_index: int
    match_index: int = 0
    last_contact_s: float = float('-inf')
    sent_s: float = float('-inf')
    snapshot_offset: int = 0
    chunk_sent_s: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Leader:
    """Leads since ``since_s``; ``opening`` is its first entry's index."""

    progress: dict[str, Progress]
    first_index: int
    since_s: float
    last_heartbeat_s: float = float('-inf')
    transfer_started_s: float | None = None


Role = Follower | Candidate | Leader


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that arrives in parts."""

    last_index: int
    last_term: int
    data: bytearray
