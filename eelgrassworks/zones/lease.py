"""Leases under which a process may start work.

A lease lasts for a duration counted from the time at which its holder sent
the renewal, on the holder's own monotonic clock.  A process that passes a
lease on grants only the remaining time of its own, so no lease in a chain
outlives the first one.
"""

import dataclasses
from typing import Final

LEASE_TTL_S: Final = 2.0

# Upper bound on the relative drift between two monotonic clocks.
DRIFT_RATIO: Final = 0.005


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease as its holder tracks it.

    ``revision`` is the configuration revision that the lease confirms.
    ``expires_s`` is the holder's monotonic time at which the lease ends.
    """

    revision: int = 0
    expires_s: float = 0.0

    def extend(self, revision: int, sent_s: float, remaining_s: float) -> bool:
        """Apply the answer to a renewal that was sent at ``sent_s``.

        An answer with an older revision is ignored, so that a delayed frame
        never restores an old configuration.  Return whether the answer was
        applied.
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
        """Return the remaining time in seconds; zero if expired."""
        return max(0.0, self.expires_s - now_s)

    def is_valid(self, now_s: float) -> bool:
        """Return whether work may start at ``now_s``."""
        return now_s < self.expires_s
