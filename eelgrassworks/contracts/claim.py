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
    """The claim is committed and the asking entry owns the job."""

    submission: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFree:
    """No claim on the id is committed; the answer to a lookup."""

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
    """The id is older than the claim window; a claim may be forgotten."""

    submission: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFuture:
    """The time inside the id lies too far ahead of the log's clock."""

    submission: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSuperseded:
    """The asking incarnation is not the registered one."""

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
