"""Whether the leases of an entry confirm the homes that it knows.

Each lease names the version of the homes that were committed when it was
granted.  The leader sends the homes in the roster, which may come later than
the lease or be lost, so an entry that was away could act on former homes
under a new lease.  Therefore a lease counts only for an entry that knows the
homes of its version or later ones.  A lease of an earlier version of the
product names no homes (version 0) and always counts.

If the homes change after a lease was granted, the lease goes on counting for
the former ones until it ends, which ``home.HOME_SET_TTL_S`` bounds.
"""

from typing import Final

from eelgrassworks import effects
from eelgrassworks import zones
from eelgrassworks.links import messages

# A reachable leader responds at once; most rosters arrive with the lease.
REQUEST_INTERVAL_S: Final = 0.15


class HomeLeases:
    """The leases of an entry by the version of the homes that they name.

    Those that have ended are dropped with the next one, so there are no more
    than the renewals that are answered within the time of one lease.
    """

    def __init__(self) -> None:
        self._known_version = 0
        self._leases: dict[int, zones.Lease] = {}
        self._requested_s = float('-inf')
        # The latest version whose absence was logged.
        self._awaited_version = 0

    def record_lease(
        self, version: int, sent_s: float, remaining_s: float, now_s: float
    ) -> None:
        """Record a lease that answers a renewal sent at ``sent_s``."""
        self._leases = {
            named: lease
            for named, lease in self._leases.items()
            if lease.is_valid(now_s)
        }
        lease = self._leases.setdefault(version, zones.Lease())
        lease.extend(0, sent_s, remaining_s)

    def record_homes(self, version: int) -> None:
        """Record that the homes of a version are known."""
        self._known_version = max(self._known_version, version)

    def confirms_homes(self, now_s: float) -> bool:
        """Tell whether a lease counts for the homes that are known."""
        return any(
            version <= self._known_version and lease.is_valid(now_s)
            for version, lease in self._leases.items()
        )

    def find_oldest(self, now_s: float) -> int:
        """Return the lowest version that a running lease names, or 0.

        An entry that knew no later homes might still act on these.
        """
        return min(self._list_named(now_s), default=0)

    def request_roster(self, leader: str, now_s: float) -> effects.Effects:
        """Request the roster if a lease names homes that are not known."""
        named = max(self._list_named(now_s), default=0)
        if (
            named <= self._known_version
            or now_s - self._requested_s < REQUEST_INTERVAL_S
        ):
            return []
        self._requested_s = now_s
        request = effects.Send(leader, messages.RosterRequest())
        if named == self._awaited_version:
            return [request]
        self._awaited_version = named
        fields: dict[str, object] = {
            'version': named,
            'known': self._known_version,
            'leader': leader,
        }
        return [effects.Log('homes_awaited', fields), request]

    def _list_named(self, now_s: float) -> list[int]:
        """Return the versions in running leases of this release."""
        return [
            version
            for version, lease in self._leases.items()
            if version > 0 and lease.is_valid(now_s)
        ]
