"""Decides when a configuration revision is in force at every node.

Work starts only under a lease, and a lease ends at most one TTL after a
quorum last followed the leader that granted it.  A revision is therefore in
force once every lease that was granted before its commit has expired.
"""

import collections

from eelgrassworks import zones


class Grants:
    """The lease time that a leader may grant, and the revision in force."""

    def __init__(self, lease_ttl_s: float = zones.LEASE_TTL_S) -> None:
        self.in_force_revision = 0
        self._lease_ttl_s = lease_ttl_s
        self._in_force_delay_s = lease_ttl_s * (1 + zones.DRIFT_RATIO)
        self._pending: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def start_leadership(self, revision: int, now_s: float) -> None:
        """Start to lead with ``revision`` as the newest committed one.

        An earlier leader may have granted leases until now, so no revision
        is in force until those have expired.
        """
        self.in_force_revision = 0
        self._pending.clear()
        self.record_commit(revision, now_s)

    def record_commit(self, revision: int, now_s: float) -> None:
        """Schedule when a newly committed revision comes into force."""
        self._pending.append((now_s + self._in_force_delay_s, revision))

    def update_in_force(self, now_s: float) -> int:
        """Return the revision that is in force at every node; 0 for none."""
        while self._pending and self._pending[0][0] <= now_s:
            self.in_force_revision = self._pending.popleft()[1]
        return self.in_force_revision

    def measure_lease(self, contact_s: float, now_s: float) -> float:
        """Return for how many seconds a lease granted now may last.

        ``contact_s`` is the time at which a quorum last followed this leader.
        """
        return max(0.0, contact_s + self._lease_ttl_s - now_s)
