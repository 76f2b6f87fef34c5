"""When a configuration revision is in force at every node.

Work starts only under a lease, and every lease ends within its ttl of a
moment at which a quorum followed the granting leader.  A revision is in
force once every lease that was granted before its commit has run out.
"""

import collections

from eelgrassworks import zones


class Grants:
    """What the leader may grant, and which revision is in force."""

    def __init__(self, lease_ttl_s: float = zones.LEASE_TTL_S) -> None:
        self.in_force_revision = 0
        self._lease_ttl_s = lease_ttl_s
        self._in_force_delay_s = lease_ttl_s * (1 + zones.DRIFT_RATIO)
        self._pending: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def start_leadership(self, revision: int, now_s: float) -> None:
        """Begin to lead: an earlier leader may have granted until now."""
        self.in_force_revision = 0
        self._pending.clear()
        self.record_commit(revision, now_s)

    def record_commit(self, revision: int, now_s: float) -> None:
        """Record that a revision was committed."""
        self._pending.append((now_s + self._in_force_delay_s, revision))

    def update_in_force(self, now_s: float) -> int:
        """Return the revision that is in force everywhere."""
        while self._pending and self._pending[0][0] <= now_s:
            self.in_force_revision = self._pending.popleft()[1]
        return self.in_force_revision

    def measure_lease(self, contact_s: float, now_s: float) -> float:
        """Return the seconds that a lease granted now may last.

        ``contact_s`` is when a quorum last followed this leader.
        """
        return max(0.0, contact_s + self._lease_ttl_s - now_s)
