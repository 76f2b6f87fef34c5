"""Answers of an entry that are no results: which refusal fits which case."""

from eelgrassworks import contracts
from eelgrassworks import errors


def refuse_foreign_team() -> contracts.NotRun:
    """Answer a team that asks for the job of another."""
    return contracts.NotRun(
        errors.refuse(
            errors.Code.NOT_PERMITTED, action='access to the job of a team'
        )
    )


def refuse_unknown(submission: str) -> contracts.NotRun:
    """Answer a question about an id that nobody has claimed."""
    return contracts.NotRun(
        errors.refuse(errors.Code.NOT_FOUND, what='job', name=submission)
    )


def refuse_conflict(submission: str) -> contracts.NotRun:
    """Answer a body whose id is claimed for another body."""
    return contracts.NotRun(
        errors.refuse(errors.Code.ID_CONFLICT, submission=submission)
    )


def refuse_expired(submission: str) -> contracts.Failed:
    """Answer an id of which nothing is known any more."""
    return contracts.Failed(
        errors.refuse_started(errors.Code.ID_EXPIRED, submission=submission)
    )


def refuse_owner_lost(owner: str, submission: str) -> contracts.Failed:
    """Answer an id whose owner has ended."""
    return contracts.Failed(
        errors.refuse_started(
            errors.Code.OWNER_LOST, owner=owner, submission=submission
        )
    )


def refuse_owner_silent(owner: str, submission: str) -> contracts.Failed:
    """Answer an id whose owner does not answer."""
    return contracts.Failed(
        errors.refuse_started(
            errors.Code.OWNER_UNREACHABLE, owner=owner, submission=submission
        )
    )


def refuse_undecided(limit_s: float) -> contracts.Failed:
    """Answer a submission whose claim was neither granted nor refused."""
    return contracts.Failed(
        errors.refuse_started(errors.Code.UNAVAILABLE, limit_s=limit_s)
    )


def refuse_verdict(verdict: contracts.ClaimVerdict) -> contracts.Answer:
    """Answer a submission whose claim was refused."""
    match verdict:
        case contracts.ClaimConflict(submission):
            return refuse_conflict(submission)
        case contracts.ClaimFuture(submission):
            return contracts.NotRun(
                errors.refuse(errors.Code.ID_FUTURE, submission=submission)
            )
        case _:
            return refuse_expired(verdict.submission)
