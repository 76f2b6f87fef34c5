"""Shares of scarce capacity: who is served how much in an overload.

The pattern is weighted max-min fairness.  Capacity is divided by weight, and
what one party does not ask for is divided among the others.  Work is measured
in processor-seconds, so that neither the width of a job nor the size of its
tasks changes the share of its kind.

``KindShares`` divides the capacity of one entry among kinds of jobs.  A kind
that gets all that it asks for has no limit; one that asks for more goes behind
the others while it has started more than its share.  Nothing is reserved, so
an unused share is lent at once.  Its owner gets it back as running tasks end,
since from then on the borrower goes last.
"""

from collections.abc import Mapping
import dataclasses
import math
from typing import Final

# Time constant of the rates: covers several jobs of the longest kind, and is
# shorter than a burst.
WINDOW_S: Final = 1.0
# Shares are computed at most this often.
REFRESH_S: Final = 0.02
# A change of the limited kinds is reported at most this often for each kind.
REPORT_INTERVAL_S: Final = 1.0
DEFAULT_WEIGHT: Final = 1.0
# More kinds than a sheet may name; further kinds share one account.
MAX_KINDS: Final = 256
OTHER_KINDS: Final = ''


def divide(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity, by name."""
    weight = {name: weights.get(name, DEFAULT_WEIGHT) for name in demands}
    total = sum(weight.values())
    shares: dict[str, float] = {}
    for name in sorted(demands, key=lambda each: demands[each] / weight[each]):
        fair = capacity * weight[name] / total
        shares[name] = min(demands[name], fair)
        capacity -= shares[name]
        total -= weight[name]
    return shares


@dataclasses.dataclass(slots=True)
class DecayingRate:
    """Rate of work that weighs the past exponentially."""

    amount: float = 0.0
    updated_s: float = float('-inf')

    def record(self, work: float, now_s: float) -> None:
        """Record work; a negative amount takes back an earlier one."""
        self.amount = max(0.0, self._decay(now_s) + work)
        self.updated_s = max(self.updated_s, now_s)

    def measure(self, now_s: float) -> float:
        """Return the rate, in processor-seconds a second."""
        return self._decay(now_s) / WINDOW_S

    def _decay(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.updated_s)
        return self.amount * math.exp(-age_s / WINDOW_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The share of one kind, in processor-seconds a second.

    ``granted`` is what the kind gets of what it offers, and ``limit`` what it
    would get if it offered more.
    """

    offered: float
    granted: float
    limit: float

    @property
    def is_limited(self) -> bool:
        """Tell whether the kind offers more than it gets."""
        return self.limit > 0 and self.granted < self.offered


@dataclasses.dataclass(frozen=True, slots=True)
class Ahead:
    """Queued work that goes before a job, in processor-seconds.

    ``urgent`` is that of more urgent kinds within their shares, ``own`` that
    of the same kind.
    """

    urgent: float
    own: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """A kind begins to offer more than its share, or no longer does."""

    kind: str
    share: Share
    capacity: float


@dataclasses.dataclass(slots=True)
class KindAccount:
    """What one kind offers and starts, and what was last reported.

    ``debt`` is the work started beyond the share, in processor-seconds.
    """

    priority: int = 0
    offered: DecayingRate = dataclasses.field(default_factory=DecayingRate)
    debt: float = 0.0
    was_limited: bool = False
    reported_s: float = float('-inf')


class KindShares:
    """Accounts of the kinds at one entry."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._accounts: dict[str, KindAccount] = {}
        self._shares: dict[str, Share] = {}
        self._capacity = 0.0
        self._refreshed_s = float('-inf')

    def record_offered(
        self, kind: str, priority: int, work: float, now_s: float
    ) -> None:
        """Record the work of a job that arrives, whether admitted or not."""
        account = self._find_account(kind)
        account.priority = priority
        account.offered.record(work, now_s)

    def record_started(self, kind: str, work: float, now_s: float) -> None:
        """Record the work of a task that starts; negative if it did not."""
        account = self._find_account(kind)
        # What was lent is not held against a kind for longer than the window.
        most = 2 * WINDOW_S * self.find_share(kind).limit
        account.debt = min(max(0.0, account.debt + work), most)

    def is_outdated(self, now_s: float) -> bool:
        """Tell whether the shares are to be computed again."""
        return now_s - self._refreshed_s >= REFRESH_S

    def refresh(self, capacity: float, now_s: float) -> None:
        """Compute the shares of a capacity, in processor-seconds a second."""
        elapsed_s = max(0.0, now_s - self._refreshed_s)
        for kind, account in self._accounts.items():
            paid = self.find_share(kind).limit * elapsed_s
            account.debt = max(0.0, account.debt - paid) if paid else 0.0
        self._refreshed_s = now_s
        self._capacity = capacity
        offered = {
            kind: account.offered.measure(now_s)
            for kind, account in self._accounts.items()
        }
        granted = divide(capacity, offered, self._weights)
        self._shares = {
            kind: Share(
                offered[kind], share, self._compute_limit(kind, offered)
            )
            for kind, share in granted.items()
        }

    def find_share(self, kind: str) -> Share:
        """Return the share of a kind when shares were last computed."""
        share = self._shares.get(self._name_account(kind))
        if share is None:
            return Share(0.0, 0.0, self._compute_limit(kind, {}))
        return share

    def is_beyond(self, kind: str) -> bool:
        """Tell whether a kind has used its share and the burst allowance."""
        return self._measure_credit(kind) <= 0

    def measure_lead(self, work: float) -> float:
        """Return the shortest time in which all tasks of a job start."""
        return work / self._capacity if self._capacity > 0 else 0.0

    def measure_spread(self, kind: str, work: float) -> float:
        """Return how long the share of a kind needs to start some work."""
        limit = self.find_share(kind).limit
        return work / limit if limit > 0 else 0.0

    def predict_wait(self, kind: str, ahead: Ahead) -> float:
        """Return how long the work ahead delays a start, in seconds.

        A kind within its share has what more urgent kinds leave.  Every kind
        has at least its share, behind the urgent work that waits already.
        """
        limit = self.find_share(kind).limit
        if limit <= 0:
            return 0.0
        by_share_s = ahead.urgent / self._capacity + ahead.own / limit
        left = self._measure_left(kind)
        if left <= 0:
            return by_share_s
        rest = max(0.0, ahead.own - max(0.0, self._measure_credit(kind)))
        by_urgency_s = (ahead.urgent + ahead.own - rest) / left + rest / limit
        return min(by_share_s, by_urgency_s)

    def predict_free(self, kind: str, excess_s: float) -> float:
        """Return when a refused job of a kind could be served, in seconds.

        ``excess_s`` is by how much its wait was too long.  While the kind
        offers more than its share, those that come back compete for it.
        """
        share = self.find_share(kind)
        if share.limit <= 0:
            return float('inf')
        return max(0.0, excess_s) * max(1.0, share.offered / share.limit)

    def list_changes(self, now_s: float) -> list[Limited]:
        """Return the kinds that are limited since the last call, or free."""
        changes: list[Limited] = []
        for kind, account in self._accounts.items():
            share = self.find_share(kind)
            if share.is_limited == account.was_limited:
                continue
            if now_s - account.reported_s < REPORT_INTERVAL_S:
                continue
            account.was_limited = share.is_limited
            account.reported_s = now_s
            changes.append(Limited(kind, share, self._capacity))
        return changes

    def _compute_limit(self, kind: str, offered: Mapping[str, float]) -> float:
        demands = {**offered, kind: float('inf')}
        return divide(self._capacity, demands, self._weights)[kind]

    def _measure_left(self, kind: str) -> float:
        """Return the capacity that more urgent kinds leave to a kind."""
        account = self._accounts.get(self._name_account(kind))
        priority = 0 if account is None else account.priority
        return self._capacity - sum(
            self.find_share(name).granted
            for name, other in self._accounts.items()
            if other.priority < priority
        )

    def _measure_credit(self, kind: str) -> float:
        """Return the work that a kind may start before it goes last."""
        share = self.find_share(kind)
        account = self._accounts.get(self._name_account(kind))
        if account is None or not share.is_limited:
            return float('inf')
        return share.limit * WINDOW_S - account.debt

    def _name_account(self, kind: str) -> str:
        is_full = len(self._accounts) >= MAX_KINDS
        if is_full and kind not in self._accounts:
            return OTHER_KINDS
        return kind

    def _find_account(self, kind: str) -> KindAccount:
        return self._accounts.setdefault(
            self._name_account(kind), KindAccount()
        )
