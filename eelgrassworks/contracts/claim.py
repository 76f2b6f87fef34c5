"""Claims on submission ids.

The first committed claim on an id wins.  It names the entry process that
owns the job, so that every later resubmission finds that process.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A request by one entry incarnation to own a submission id."""

    submission: str
    digest: str
    owner: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim is committed and the requesting entry owns the job."""

    submission: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFree:
    """Result of a lookup: no claim on the id is committed."""

    submission: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """Another incarnation owns the job.

    ``address`` is empty when that incarnation has ended.
    """

    submission: str
    owner: str
    incarnation: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimConflict:
    """The id is claimed for a different body."""

    submission: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimExpired:
    """The id is older than the claim window; its claim may be deleted."""

    submission: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFuture:
    """The time in the id is too far ahead of the replicated log's clock."""

    submission: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSuperseded:
    """The requesting incarnation is not the registered one."""

    submission: str


ClaimVerdict = (
    ClaimGranted
    | ClaimFree
    | ClaimTaken
    | ClaimConflict
    | ClaimExpired
    | ClaimFuture
    | ClaimSuperseded
)
