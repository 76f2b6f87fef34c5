"""State of one connection as seen from one end.

A connection can go silent while the network accepts new ones, so silence
beyond a deadline ends it, however healthy the socket looks.
"""

import dataclasses
from typing import Final

HEARTBEAT_INTERVAL_S: Final = 0.5
SILENCE_DEADLINE_S: Final = 2.0


@dataclasses.dataclass(slots=True)
class Connection:
    """Heartbeat state of a connection to ``peer``.  Times are monotonic."""

    peer: str
    last_heard_s: float
    last_sent_s: float

    def note_heard(self, now_s: float) -> None:
        """Record that a valid frame arrived."""
        self.last_heard_s = now_s

    def note_sent(self, now_s: float) -> None:
        """Record that a frame was handed to the socket."""
        self.last_sent_s = now_s

    def is_silent(self, now_s: float) -> bool:
        """Tell whether the peer has missed its deadline."""
        return now_s - self.last_heard_s > SILENCE_DEADLINE_S

    def needs_heartbeat(self, now_s: float) -> bool:
        """Tell whether nothing was sent for one heartbeat interval."""
        return now_s - self.last_sent_s >= HEARTBEAT_INTERVAL_S
