"""Leases under which a process may start work.

A lease is a remaining time, counted from the moment at which the holder
sent the renewal, on the holder's own monotonic clock.  A relay hands on
what remains of its own lease and never a fresh term, so that the whole
chain ends no later than the lease at its root.
"""

import dataclasses
from typing import Final

LEASE_TTL_S: Final = 2.0

# Bound on how much faster one monotonic clock may run than another.
DRIFT_RATIO: Final = 0.005


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease as its holder knows it.

    ``revision`` is the configuration revision that the lease confirms and
    ``expires_s`` the holder's monotonic time at which it ends.
    """

    revision: int = 0
    expires_s: float = 0.0

    def extend(self, revision: int, sent_s: float, remaining_s: float) -> bool:
        """Take a renewal that was asked for at ``sent_s``.

        An answer with an older revision is ignored, so that a late frame
        never brings an old configuration back.  Return whether the answer
        was taken.
        """
        if revision < self.revision:
            return False
        expires_s = sent_s + remaining_s * (1.0 - DRIFT_RATIO)
        if revision > self.revision:
            self.revision = revision
            self.expires_s = expires_s
            return True
        self.expires_s = max(self.expires_s, expires_s)
        return True

    def measure_remaining(self, now_s: float) -> float:
        """Return the remaining time in seconds; zero when expired."""
        return max(0.0, self.expires_s - now_s)

    def is_valid(self, now_s: float) -> bool:
        """Tell whether work may start at ``now_s``."""
        return now_s < self.expires_s
