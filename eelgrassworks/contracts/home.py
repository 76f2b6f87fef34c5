"""The table of one home: which entry owns each transient job.

A grant lasts for a time after the latest claim or renewal that the home has
received.  It outlasts the owner's own count, and then every run that the
owner may have left behind.

A home that has lost its table, or that has joined, grants no new job until
all that it does not know has ended; it learns the jobs that go on from the
renewals of their owners.

If so many homes have lost their tables that no majority is left, as after a
loss of power, they need not wait so long.  Once all live entries have reported
their jobs, only entries that have ended can have left runs.  A caller that
loses its job with such an entry submits it again after these runs.  So these
homes grant jobs that were submitted after the latest start of an entry,
unless they were refused before: these may have been submitted before the end
of their owner.
"""

from collections.abc import Sequence
import dataclasses
from typing import Final

from eelgrassworks.contracts import homeset

# For how long an owner relies on a grant, from the time at which it sent the
# request: four renewals may be lost.
GRANT_TTL_S: Final = 1.0
# After the owner's count has ended: the time until the owner notices, its
# leases at agents and targets, and the time to stop a run.
RUNS_TTL_S: Final = 1.5
RETENTION_S: Final = GRANT_TTL_S + RUNS_TTL_S
# The longest lease from control where there are homes: the settings of control
# are held to it, since a home that joins knows no setting of the leader.
MAX_LEASE_TTL_S: Final = 5.0
# For how long an entry may act on a set of homes that has been changed: its
# lease from control, which was granted before the change.  Later leases name
# the newer set, except those of an earlier release, after which the set is
# sent again within 1 s.
HOME_SET_TTL_S: Final = MAX_LEASE_TTL_S + 1.0
JOIN_DELAY_S: Final = HOME_SET_TTL_S + RETENTION_S
SWEEP_INTERVAL_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """A job of one incarnation of an entry."""

    entry: str
    incarnation: int
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim on an id.

    ``attempt`` rises over all claims of a process.  ``repeated`` is set if the
    id was refused to the job before, and ``submitted_s`` is when the caller
    submitted it.
    """

    submission: str
    owner: Owner
    attempt: int
    submitted_s: float
    repeated: bool = False


@dataclasses.dataclass(slots=True)
class Grant:
    """The owner of an id, and when it is forgotten without a renewal.

    ``attempt`` is that of the owner's latest claim: a message that was held
    up must not replace or remove what the same process was granted later.
    """

    owner: Owner
    attempt: int
    until_s: float


class Home:
    """The grants of one home, and the time from which it grants new jobs."""

    def __init__(self, started_s: float) -> None:
        # The process may have granted jobs before it was restarted.
        self._grants_from_s = started_s + RETENTION_S
        self._joined_until_s = float('-inf')
        self._knows_live_owners = False
        # By entry that has reported its jobs: the start of its process.
        self._started_s: dict[str, float] = {}
        self._grants: dict[str, Grant] = {}
        self._swept_s = started_s

    def __len__(self) -> int:
        return len(self._grants)

    def join(self, now_s: float) -> None:
        """Grant nothing while a majority without this home may count."""
        self._joined_until_s = now_s + JOIN_DELAY_S

    def is_recovering(self, now_s: float) -> bool:
        """Tell whether there may be live owners that are not known."""
        if now_s < self._joined_until_s:
            return True
        return now_s < self._grants_from_s and not self._knows_live_owners

    def _may_have_owner(self, claim: Claim, now_s: float) -> bool:
        """Tell whether an unknown owner of an id may be left, or its runs."""
        if self.is_recovering(now_s):
            return True
        if now_s >= self._grants_from_s:
            return False
        latest_start_s = max(self._started_s.values(), default=now_s)
        return claim.repeated or claim.submitted_s < latest_start_s

    def record_report(self, entry: str, started_s: float) -> None:
        """Record that an entry, started at a time, has reported its jobs."""
        self._started_s[entry] = started_s

    def find_unreported(self, live_entries: Sequence[str]) -> list[str]:
        """Return the live entries that have not reported their jobs."""
        return [name for name in live_entries if name not in self._started_s]

    def end_recovery(self, group: Sequence[str], now_s: float) -> None:
        """Grant some jobs early, if no majority of a group can.

        All live entries have reported their jobs.  Other homes, which do not
        report, may have kept their tables.
        """
        restarted_s = now_s - RETENTION_S
        settled = sum(
            self._started_s.get(name, float('-inf')) <= restarted_s
            for name in group
        )
        if settled < homeset.count_majority(group):
            self._knows_live_owners = True

    def claim(
        self, claim: Claim, now_s: float, grants_new: bool = True
    ) -> Owner | None:
        """Grant an id, unless another owner has it; return the owner.

        Returns None if the home cannot tell who owns the id, or if it must
        not grant new jobs, being no home at present.  An owner that it has
        learned meanwhile may be a former one, whose renewal came late.
        """
        current = self._find(claim.submission, now_s)
        if current is not None and _precedes(current, claim):
            return current.owner
        if not grants_new or self._may_have_owner(claim, now_s):
            return None
        self._grant(claim, now_s)
        return claim.owner

    def renew(self, claim: Claim, now_s: float) -> Owner:
        """Extend the grant of an owner that a majority has granted the id.

        A home that does not know the owner learns it.
        """
        current = self._find(claim.submission, now_s)
        if current is not None and _precedes(current, claim):
            return current.owner
        self._grant(claim, now_s)
        return claim.owner

    def extend(self, submission: str, owner: Owner, now_s: float) -> None:
        """Keep the grant of an owner that is lost, while its runs last."""
        current = self._find(submission, now_s)
        if current is None:
            self._grants[submission] = Grant(owner, 0, now_s + RETENTION_S)
        elif _is_same_process(current.owner, owner):
            current.until_s = now_s + RETENTION_S

    def release(
        self, submission: str, owner: Owner, attempt: int, now_s: float
    ) -> None:
        """Forget an id whose job has no run any more.

        While the table is incomplete, a former owner may hide the current
        one, whose renewals were refused for it.
        """
        current = self._grants.get(submission)
        if current is None or current.owner != owner:
            return
        if now_s < self._grants_from_s:
            return
        if current.attempt <= attempt:
            del self._grants[submission]

    def sweep(self, now_s: float) -> None:
        """Remove the grants that have expired, from time to time."""
        if now_s - self._swept_s < SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        self._grants = {
            submission: grant
            for submission, grant in self._grants.items()
            if grant.until_s > now_s
        }

    def _grant(self, claim: Claim, now_s: float) -> None:
        self._grants[claim.submission] = Grant(
            claim.owner, claim.attempt, now_s + RETENTION_S
        )

    def _find(self, submission: str, now_s: float) -> Grant | None:
        grant = self._grants.get(submission)
        if grant is None or grant.until_s <= now_s:
            return None
        return grant


def _precedes(current: Grant, claim: Claim) -> bool:
    """Tell whether a grant goes before a claim.

    A process orders its own jobs, which a late message may not follow.
    """
    if not _is_same_process(current.owner, claim.owner):
        return True
    return claim.attempt < current.attempt


def _is_same_process(one: Owner, other: Owner) -> bool:
    return (one.entry, one.incarnation) == (other.entry, other.incarnation)
