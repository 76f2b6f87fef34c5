"""Circuit breakers for targets whose tasks fail.

A target that fails every task immediately looks like the fastest target, so
failures are counted for each target and kind.  Two triggers open a breaker:
consecutive failures, and the number of failures in a window of recent tasks.
An open breaker allows a single probe once its pause has ended; the pause
doubles with each failed probe.  The two triggers follow the circuit breaker
of the meridianjs documentation; the single probe replaces its uncoordinated
half-open state.
"""

import collections
import dataclasses
from typing import Final

CONSECUTIVE_FAILURES: Final = 3
WINDOW_TASKS: Final = 20
WINDOW_FAILURES: Final = 10
FIRST_PAUSE_S: Final = 1.0
LONGEST_PAUSE_S: Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Tasks may be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """No task may be sent before ``until_s``."""

    until_s: float
    pause_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """A probe was sent; its outcome closes or reopens the breaker."""

    pause_s: float


BreakerState = Closed | Open | Probing


class Breaker:
    """Circuit breaker of one target for one kind."""

    def __init__(self) -> None:
        self.state: BreakerState = Closed()
        self._consecutive = 0
        self._recent: collections.deque[bool] = collections.deque(
            maxlen=WINDOW_TASKS
        )

    def allows(self, now_s: float) -> bool:
        """Return whether a task may be sent."""
        match self.state:
            case Closed():
                return True
            case Open(until_s, _):
                return now_s >= until_s
            case Probing():
                return False

    def record_sent(self, now_s: float) -> None:
        """Record a sent task; the first one after a pause is the probe."""
        match self.state:
            case Open(until_s, pause_s) if now_s >= until_s:
                self.state = Probing(pause_s)
            case _:
                pass

    def record_no_outcome(self, now_s: float) -> None:
        """Record that a sent task has no outcome; allow another probe.

        The target declined the task, or it was stopped before its end.
        """
        match self.state:
            case Probing(pause_s):
                self.state = Open(now_s, pause_s)
            case _:
                pass

    def record_outcome(self, succeeded: bool, now_s: float) -> bool:
        """Record an outcome; return whether it opened the breaker."""
        self._recent.append(succeeded)
        self._consecutive = 0 if succeeded else self._consecutive + 1
        match self.state:
            case Probing() if succeeded:
                self.state = Closed()
                self._recent.clear()
                return False
            case Probing(pause_s):
                return self._open(min(pause_s * 2, LONGEST_PAUSE_S), now_s)
            case Closed() if self._has_tripped():
                return self._open(FIRST_PAUSE_S, now_s)
            case _:
                return False

    def _has_tripped(self) -> bool:
        if self._consecutive >= CONSECUTIVE_FAILURES:
            return True
        return self._recent.count(False) >= WINDOW_FAILURES

    def _open(self, pause_s: float, now_s: float) -> bool:
        self.state = Open(now_s + pause_s, pause_s)
        return True
