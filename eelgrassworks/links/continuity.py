"""Interruptions after which the callers of a process may be elsewhere.

A process that was suspended, or that hears no other machine, can't know
whether its callers still wait for it: they may have submitted their jobs
again at another process.
"""

import dataclasses
from typing import Final

# A longer gap between two events means that the process was suspended.
# Shorter than the lease of an entry at an agent.
MAX_EVENT_GAP_S: Final = 0.5
# Without a message for longer than this, the process is cut off.  Every agent
# and the leader send several messages in this time.  Shorter than the lease
# of an entry at an agent, so that no run is given up that could go on.
ISOLATION_TIMEOUT_S: Final = 0.5
# Callers submit a job again 1.3 s after they have lost its entry, so one that
# waited for less than this is not elsewhere yet.
MIN_RESUBMISSION_S: Final = 1.2
# What waited in the sockets of a suspended process is read within this time.
BACKLOG_PERIOD_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The first event of the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspended:
    """The process handled no event for a while."""

    gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Isolated:
    """No message of another machine has arrived for a while."""

    silent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejoined:
    """The first event after the end of an isolation."""


Interruption = Started | Suspended | Isolated | Rejoined


class Continuity:
    """Tracks the times of events and of messages of other machines."""

    def __init__(self) -> None:
        self._last_event_s = float('-inf')
        self._last_message_s = float('-inf')
        self._isolated = False
        self._resumed_s = float('-inf')

    def record_message(self, now_s: float) -> None:
        """Record that a message of another machine has arrived."""
        self._last_message_s = now_s

    def observe(self, now_s: float) -> Interruption | None:
        """Return what preceded an event that is about to be handled."""
        gap_s = now_s - self._last_event_s
        self._last_event_s = now_s
        if gap_s == float('inf'):
            return Started()
        if gap_s > MAX_EVENT_GAP_S:
            if gap_s > MIN_RESUBMISSION_S:
                self._resumed_s = now_s
            # Messages of the time of the suspension are still to be read.
            self._last_message_s = max(self._last_message_s, now_s)
            return Suspended(gap_s)
        if self.is_isolated(now_s):
            self._isolated = True
            return Isolated(now_s - self._last_message_s)
        if self._isolated:
            self._isolated = False
            return Rejoined()
        return None

    def is_reading_backlog(self, now_s: float) -> bool:
        """Tell whether a job may have waited until its caller left."""
        return now_s - self._resumed_s < BACKLOG_PERIOD_S

    def is_isolated(self, now_s: float) -> bool:
        """Tell whether the process is cut off from all others.

        A process that has had no message yet is starting.
        """
        silent_s = now_s - self._last_message_s
        return ISOLATION_TIMEOUT_S < silent_s < float('inf')
