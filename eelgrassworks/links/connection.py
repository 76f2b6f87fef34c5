"""Liveness of one outgoing connection.

An established connection can stop carrying data, in one or both directions,
while new connections to the same peer still succeed and the socket reports no
error.  Each heartbeat requests an echo; a connection without an echo within
the timeout is replaced.
"""

import dataclasses
from typing import Final

HEARTBEAT_INTERVAL_S: Final = 0.5
ECHO_TIMEOUT_S: Final = 2.0


@dataclasses.dataclass(slots=True)
class Connection:
    """Heartbeat state of a connection to ``peer``.  Times are monotonic.

    ``last_contact_s`` is the sending time of the latest heartbeat that was
    echoed, or the opening time of the connection; ``has_echo`` tells which.
    """

    peer: str
    last_contact_s: float
    last_heartbeat_s: float = float('-inf')
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    timeout_s: float = ECHO_TIMEOUT_S
    has_echo: bool = False

    def needs_heartbeat(self, now_s: float) -> bool:
        """Return whether the next heartbeat is due."""
        return now_s - self.last_heartbeat_s >= self.heartbeat_interval_s

    def may_send_heartbeat(self, now_s: float) -> bool:
        """Return whether a frame to the peer may carry a heartbeat.

        It is sent early then, so that none is needed on its own.
        """
        return now_s - self.last_heartbeat_s >= self.heartbeat_interval_s / 2

    def record_heartbeat(self, now_s: float) -> None:
        """Record that a heartbeat was queued for sending."""
        self.last_heartbeat_s = now_s

    def record_echo(self, sent_s: float) -> None:
        """Record the echo of a heartbeat that was sent at ``sent_s``."""
        # An echo of an earlier connection may still arrive.
        if sent_s >= self.last_contact_s:
            self.last_contact_s = sent_s
            self.has_echo = True

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether no echo arrived within the timeout."""
        return now_s - self.last_contact_s > self.timeout_s
