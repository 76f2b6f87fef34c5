"""Detection of targets that fail what they start.

A target that fails everything at once looks like the fastest one, so its
failures are counted for each kind.  Two triggers open the breaker: a run of
consecutive failures, and the failure rate within a window of recent tasks.
An open breaker lets a single probe through once its pause has ended; the
pause doubles with each failed probe.  The two triggers follow the circuit
breaker of the meridianjs documentation; the single probe replaces its
uncoordinated half-open state.
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
    """Tasks are sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """No task is sent before ``until_s``."""

    until_s: float
    pause_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """One task was sent; its outcome decides."""

    pause_s: float


BreakerState = Closed | Open | Probing


class Breaker:
    """Breaker of one target and one kind."""

    def __init__(self) -> None:
        self.state: BreakerState = Closed()
        self._consecutive = 0
        self._recent: collections.deque[bool] = collections.deque(
            maxlen=WINDOW_TASKS
        )

    def allows(self, now_s: float) -> bool:
        """Tell whether a task may be sent."""
        match self.state:
            case Closed():
                return True
            case Open(until_s, _):
                return now_s >= until_s
            case Probing():
                return False

    def note_sent(self, now_s: float) -> None:
        """Record that a task was sent; after a pause it is the probe."""
        match self.state:
            case Open(until_s, pause_s) if now_s >= until_s:
                self.state = Probing(pause_s)
            case _:
                pass

    def note_no_outcome(self, now_s: float) -> None:
        """Record that a sent task was not started."""
        match self.state:
            case Probing(pause_s):
                self.state = Open(now_s, pause_s)
            case _:
                pass

    def note_outcome(self, succeeded: bool, now_s: float) -> bool:
        """Take an outcome; return whether the breaker opened by it."""
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
