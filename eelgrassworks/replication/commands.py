"""Commands of the replicated log.

A command is applied by every replica in log order, with the same result.
``wall_ms`` is the leader's wall clock; the state machine only ever moves its
own time forward by it.
"""

import dataclasses

from eelgrassworks import contracts
from eelgrassworks.links import codec


@dataclasses.dataclass(frozen=True, slots=True)
class NoOp:
    """Opens the term of a new leader."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetMembers:
    """Replaces the members of the log: names and the disks they hold.

    ``addresses`` says where members are that the settings do not name.
    """

    voters: dict[str, str]
    learners: dict[str, str]
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class CommitClaims:
    """Claims that arrived while the previous write was synced."""

    claims: tuple[contracts.Claim, ...]
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitChange:
    """A change of the configuration."""

    id: str
    operator: str
    expected_revision: int
    change: codec.Variant


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterEntry:
    """A run of an entry; its incarnation is the index of this command."""

    name: str
    address: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndEntry:
    """The incarnation of an entry is considered dead."""

    name: str
    incarnation: int


codec.register(
    CommitChange, CommitClaims, EndEntry, NoOp, RegisterEntry, SetMembers
)
