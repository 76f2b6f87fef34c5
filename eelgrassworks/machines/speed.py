"""Speed of a target, measured from the progress of what runs there."""

from typing import Final

# Weight of the speed that was measured a second ago.
DECAY_PER_S: Final = 0.4
# Run time that has to be seen before a speed is told, in seconds.
MIN_RUN_S: Final = 0.3


class SpeedMeter:
    """Speed of a target: declared work done in a second of run time.

    It is taken from the progress of running tasks, so it follows a target
    that turns slow before any task has ended there.
    """

    def __init__(self) -> None:
        self._work_s = 0.0
        self._run_s = 0.0
        self._updated_s = 0.0

    def note(self, work_s: float, run_s: float, now_s: float) -> None:
        """Record declared work that was done in some run time."""
        decay = DECAY_PER_S ** max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._work_s = self._work_s * decay + work_s
        self._run_s = self._run_s * decay + run_s

    def measure(self) -> float:
        """Return the speed; 0 while too little was seen."""
        if self._run_s < MIN_RUN_S:
            return 0.0
        return self._work_s / self._run_s
