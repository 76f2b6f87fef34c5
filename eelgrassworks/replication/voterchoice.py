"""Choice of the members that vote.

There are at most as many voters as the settings ask for; further members are
learners.  A learner that has caught up fills a vacancy, takes the place of an
unresponsive voter, or relieves a failure domain that has more voters than
another.  A voter is demoted only after its successor votes, so the number of
voters never falls below the maximum meanwhile.  The disk of an unresponsive
voter may be whole: 2 f + 1 voters bear f lost disks, and so do 2 f + 2, but
2 f bear only f - 1.  If f voters are unresponsive, the others and the
successor are a majority of 2 f + 2.

A voter that is replaced stays a learner, since nothing tells a replica that
it is a member no longer: it may be frozen or cut off.

Replicas beyond those that the voters need stay outside the group: members
cost the leader messages.
"""

import collections
import dataclasses
from typing import Final

from eelgrassworks.replication import commands

# Bounds the members that are gone for good.
MAX_MEMBERS: Final = 32
# A domain that loses a member keeps one that can vote.
MEMBERS_PER_DOMAIN: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """What the leader knows of a member.

    ``failure_domain`` is empty until the member has answered this leader.
    """

    failure_domain: str = ''
    is_caught_up: bool = False
    is_unresponsive: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion:
    """A learner becomes a voter."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Demotion:
    """A voter becomes a learner."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A learner is a member no longer."""

    name: str


VoterChange = Promotion | Demotion | Removal


def choose_change(
    members: commands.SetMembers,
    states: dict[str, MemberState],
    leader: str,
    max_voters: int,
) -> VoterChange | None:
    """Return the next change of the voters, if one is due.

    ``states`` has every member but the leader, whose own failure domain it
    has as well.  With ``max_voters`` 0 there is no limit.  The leader itself
    is never demoted.
    """
    loads = collections.Counter(
        states[name].failure_domain for name in members.voters
    )
    others = [name for name in members.voters if name != leader]
    if max_voters and len(members.voters) > max_voters:
        return Demotion(_choose_surplus(others, states, loads))
    if len(members.voters) + len(members.learners) > MAX_MEMBERS:
        for name in members.learners:
            if states[name].is_unresponsive:
                return Removal(name)
    candidates = [n for n in members.learners if states[n].is_caught_up]
    if not candidates:
        return None
    candidate = _choose_successor(candidates, members, states, loads)
    if (
        not max_voters
        or len(members.voters) < max_voters
        or any(states[name].is_unresponsive for name in others)
        or _is_relief(states[candidate].failure_domain, loads)
    ):
        return Promotion(candidate)
    return None


def has_enough_members(
    states: dict[str, MemberState], domain: str, max_voters: int
) -> bool:
    """Return whether the group needs no further member in ``domain``.

    Beside the voters there is one learner that takes the place of a lost one
    at once; more only where they spread the members over the domains.
    Unresponsive members do not count.  One whose domain is not known yet may
    be in any.
    """
    if not max_voters or not domain:
        return False
    present = [each for each in states.values() if not each.is_unresponsive]
    in_domain = sum(each.failure_domain in ('', domain) for each in present)
    return len(present) > max_voters and in_domain >= MEMBERS_PER_DOMAIN


def _choose_successor(
    candidates: list[str],
    members: commands.SetMembers,
    states: dict[str, MemberState],
    loads: collections.Counter[str],
) -> str:
    """Return the candidate that spreads the voters best.

    This holds while all of them vote and, among equals, once the unresponsive
    ones are demoted.
    """
    staying = collections.Counter(
        states[name].failure_domain
        for name in members.voters
        if not states[name].is_unresponsive
    )
    domains = {name: states[name].failure_domain for name in candidates}
    return min(
        candidates,
        key=lambda name: (loads[domains[name]], staying[domains[name]]),
    )


def _choose_surplus(
    voters: list[str],
    states: dict[str, MemberState],
    loads: collections.Counter[str],
) -> str:
    return max(
        voters,
        key=lambda name: (
            states[name].is_unresponsive,
            loads[states[name].failure_domain],
        ),
    )


def _is_relief(domain: str, loads: collections.Counter[str]) -> bool:
    """Return whether a voter in ``domain`` would spread the voters better."""
    known = [count for each, count in loads.items() if each]
    return bool(domain and known) and max(known) >= loads[domain] + 2
