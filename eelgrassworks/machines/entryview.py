"""An entry as an agent sees it."""

import dataclasses
from typing import Final

# An entry whose last start is older than this and that runs nothing is idle.
IDLE_AFTER_S: Final = 0.3
# Slots offered to an entry stay reserved for this long: longer than a round
# trip between the entry and the agent, shorter than a task.
OFFER_TTL_S: Final = 0.02


@dataclasses.dataclass(slots=True)
class EntryView:
    """State of one entry, as seen by the agent.

    ``waiting`` is the number of tasks that the entry last reported as waiting
    for a slot, less the slots offered since; ``offered`` slots are reserved
    for it until ``offered_until_s``.
    """

    incarnation: int = 0
    waiting: int = 0
    starts_seen: int = 0
    running: int = 0
    offered: int = 0
    offered_until_s: float = 0.0
    # Sending time of the latest renewal that the entry has confirmed.
    confirmed_s: float = float('-inf')
    last_start_s: float = float('-inf')

    def is_idle(self, now_s: float) -> bool:
        """Tell whether the entry has had no work here for a while."""
        return not self.running and now_s - self.last_start_s > IDLE_AFTER_S

    def count_offered(self, now_s: float) -> int:
        """Return the number of slots reserved for the entry."""
        return self.offered if now_s < self.offered_until_s else 0

    def offer(self, count: int, now_s: float) -> None:
        """Reserve slots for the entry for ``OFFER_TTL_S``."""
        self.offered = self.count_offered(now_s) + count
        self.offered_until_s = now_s + OFFER_TTL_S
        self.waiting = max(0, self.waiting - count)
