"""Commands of the replicated log.

Every replica applies the commands in log order, with the same result.
``wall_ms`` is the leader's wall clock; the state machine uses it to advance
its own time, which never moves backwards.
"""

import dataclasses

from eelgrassworks import contracts
from eelgrassworks.links import codec


@dataclasses.dataclass(frozen=True, slots=True)
class NoOp:
    """First entry of a new leader's term; changes no state."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetMembers:
    """Replaces the members of the log; maps names to disk identities.

    ``addresses`` holds the addresses of the members where others may join:
    the settings of a replica may name any of them, or none.
    """

    voters: dict[str, str]
    learners: dict[str, str]
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class CommitClaims:
    """A batch of claims, collected while the previous write was synced."""

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
    """Registers a run of an entry.

    Its incarnation is the log index of this command.
    """

    name: str
    address: str
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndEntry:
    """Marks the incarnation of an entry as dead."""

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetHomes:
    """Replaces the homes of transient jobs, if the version is the next one."""

    homes: contracts.HomeSet


codec.register(
    CommitChange,
    CommitClaims,
    EndEntry,
    NoOp,
    RegisterEntry,
    SetHomes,
    SetMembers,
)
