"""State of one outgoing connection.

A connection can go silent while the network accepts new ones, and it can do
so in one direction only.  Each heartbeat asks for an echo; when echoes stay
out beyond a deadline the connection is replaced, however healthy the socket
looks.
"""

import dataclasses
from typing import Final

HEARTBEAT_INTERVAL_S: Final = 0.5
SILENCE_DEADLINE_S: Final = 2.0


@dataclasses.dataclass(slots=True)
class Connection:
    """Heartbeat state of a connection to ``peer``.  Times are monotonic.

    ``echoed_s`` is the sending time of the latest heartbeat that came back,
    or the opening time of the connection.
    """

    peer: str
    echoed_s: float
    asked_s: float = float('-inf')
    interval_s: float = HEARTBEAT_INTERVAL_S
    deadline_s: float = SILENCE_DEADLINE_S

    def needs_heartbeat(self, now_s: float) -> bool:
        """Tell whether the next heartbeat is due."""
        return now_s - self.asked_s >= self.interval_s

    def note_asked(self, now_s: float) -> None:
        """Record that a heartbeat was posted."""
        self.asked_s = now_s

    def note_echo(self, sent_s: float) -> None:
        """Record the echo of a heartbeat that was sent at ``sent_s``."""
        self.echoed_s = max(self.echoed_s, sent_s)

    def is_silent(self, now_s: float) -> bool:
        """Tell whether echoes stayed out beyond the deadline."""
        return now_s - self.echoed_s > self.deadline_s
