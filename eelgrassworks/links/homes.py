"""How a home answers the requests of entries."""

from eelgrassworks import contracts
from eelgrassworks.contracts import home
from eelgrassworks.links import messages


def answer_request(
    table: home.Home,
    peer: str,
    incarnation: int,
    request: messages.OwnershipRequest,
    now_s: float,
    grants_new: bool,
) -> messages.OwnershipResponse:
    """Apply a request of an entry to the table of a home.

    ``grants_new`` is False for a process that cannot be sure to be a home.
    """
    refused: list[messages.OwnershipRefusal] = []
    undecided: list[str] = []
    for each in request.renewals:
        claim = make_claim(peer, incarnation, each, now_s)
        found = table.renew(claim, now_s)
        if found != claim.owner:
            refused.append(_refuse(each.submission, found))
    for each in request.claims:
        claim = make_claim(peer, incarnation, each, now_s)
        granted = table.claim(claim, now_s, grants_new)
        if granted is None:
            undecided.append(each.submission)
        elif granted != claim.owner:
            refused.append(_refuse(each.submission, granted))
    return messages.OwnershipResponse(
        request.request,
        tuple(refused),
        tuple(undecided),
        not grants_new or table.is_recovering(now_s),
    )


def make_claim(
    peer: str, incarnation: int, named: messages.JobOwnership, now_s: float
) -> home.Claim:
    """Return the claim of an entry on the id of a job that it names."""
    return home.Claim(
        named.submission,
        home.Owner(peer, incarnation, named.job),
        named.attempt,
        now_s - named.age_ms / 1000,
        named.repeated,
    )


def apply_release(
    table: home.Home,
    peer: str,
    incarnation: int,
    release: messages.OwnershipRelease,
    now_s: float,
) -> None:
    """Remove grants of an entry from the table of a home."""
    for each in release.jobs:
        owner = home.Owner(peer, incarnation, each.job)
        table.release(each.submission, owner, each.attempt, now_s)


def apply_protection(
    table: home.Home, protection: messages.OwnershipProtection, now_s: float
) -> None:
    """Keep the grants of jobs of which a run is left without its entry."""
    for each in protection.jobs:
        run = contracts.read_run(each.job)
        if run is not None:
            owner = home.Owner(each.entry, run, each.job)
            submission = contracts.read_caller_id(each.job)
            table.extend(submission, owner, now_s)


def _refuse(submission: str, owner: home.Owner) -> messages.OwnershipRefusal:
    return messages.OwnershipRefusal(submission, owner.entry, owner.job)
