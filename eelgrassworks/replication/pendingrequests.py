"""Requests to the leader that wait for a commit or for a quorum's contact.

Claims are committed in batches; each request is answered on its own, once the
command that holds it is committed.
"""

from collections.abc import Sequence
import dataclasses
import itertools
from typing import Any
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks.links import codec
from eelgrassworks.links import messages

# Bounds the size of one record of the log, and how long its sync takes.
MAX_BATCH_CLAIMS: Final = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class PendingClaims:
    """Claims of one entry's request that are not yet committed."""

    peer: str
    request: int
    claims: tuple[contracts.Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingChange:
    """A change from another process that is not yet committed."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class PendingLocalChange:
    """A change from this replica's own API that is not yet committed."""

    request: int


# What one command of the log answers once it is committed.
PendingCommit = list[PendingClaims] | PendingChange | PendingLocalChange


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A configuration read that waits until a quorum confirms the leader."""

    request: int
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingLookups:
    """Lookups of one request that wait until a quorum confirms the leader."""

    peer: str
    request: int
    submissions: tuple[str, ...]
    arrived_s: float


def send_claim_verdicts(
    peer: str, request: int, verdicts: list[Any]
) -> effects.Send:
    """Answer one request, in the order of its claims or lookups."""
    packed = tuple(codec.pack(verdict) for verdict in verdicts)
    return effects.Send(peer, messages.ClaimsResponse(request, packed))


def answer_committed(
    pending: PendingCommit | None, verdicts: list[Any]
) -> effects.Effects:
    """Answer the requests whose command was committed."""
    match pending:
        case PendingLocalChange(request):
            return [effects.Reply(request, verdicts[0])]
        case PendingChange(peer):
            response = messages.ConfigurationChangeResponse(
                codec.pack(verdicts[0])
            )
            return [effects.Send(peer, response)]
        case list():
            result: effects.Effects = []
            position = 0
            for each in pending:
                end = position + len(each.claims)
                result.append(
                    send_claim_verdicts(
                        each.peer, each.request, verdicts[position:end]
                    )
                )
                position = end
            return result
        case None:
            return []


def count_batch(waiting: Sequence[PendingClaims]) -> int:
    """Return how many waiting requests the next batch contains.

    At least one: a single request may exceed the limit of a batch.
    """
    totals = itertools.accumulate(len(request.claims) for request in waiting)
    return max(1, sum(total <= MAX_BATCH_CLAIMS for total in totals))
