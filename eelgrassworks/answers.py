"""Answers of an entry without results, one function for each case."""

from eelgrassworks import contracts
from eelgrassworks import errors


def refuse_foreign_team() -> contracts.NotRun:
    """Return the answer to a team that requests another team's job."""
    return contracts.NotRun(
        errors.refuse(
            errors.Code.NOT_PERMITTED, action='access to the job of a team'
        )
    )


def refuse_unknown(submission: str) -> contracts.NotRun:
    """Return the answer to a lookup of an id that no entry has claimed."""
    return contracts.NotRun(
        errors.refuse(errors.Code.NOT_FOUND, what='job', name=submission)
    )


def refuse_conflict(submission: str) -> contracts.NotRun:
    """Return the answer to a body whose id is claimed for another body."""
    return contracts.NotRun(
        errors.refuse(errors.Code.ID_CONFLICT, submission=submission)
    )


def refuse_expired(submission: str) -> contracts.Failed:
    """Return the answer for an id of which no record is left."""
    return contracts.Failed(
        errors.refuse_started(errors.Code.ID_EXPIRED, submission=submission)
    )


def refuse_owner_lost(owner: str, submission: str) -> contracts.Failed:
    """Return the answer for an id whose owner process has ended."""
    return contracts.Failed(
        errors.refuse_started(
            errors.Code.OWNER_LOST, owner=owner, submission=submission
        )
    )


def refuse_owner_unreachable(owner: str, submission: str) -> contracts.Failed:
    """Return the answer for an id whose owner does not respond."""
    return contracts.Failed(
        errors.refuse_started(
            errors.Code.OWNER_UNREACHABLE, owner=owner, submission=submission
        )
    )


def refuse_unavailable(limit_s: float) -> contracts.Failed:
    """Return the answer for a claim that was neither granted nor rejected."""
    return contracts.Failed(
        errors.refuse_started(errors.Code.UNAVAILABLE, limit_s=limit_s)
    )


def refuse_claim(verdict: contracts.ClaimVerdict) -> contracts.Answer:
    """Return the answer for a rejected claim."""
    match verdict:
        case contracts.ClaimConflict(submission):
            return refuse_conflict(submission)
        case contracts.ClaimFuture(submission):
            return contracts.NotRun(
                errors.refuse(errors.Code.ID_FUTURE, submission=submission)
            )
        case _:
            return refuse_expired(verdict.submission)
