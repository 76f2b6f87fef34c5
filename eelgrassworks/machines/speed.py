"""Speed of a target, measured from the progress of its running tasks."""

from typing import Final

# Weight of a sample that is one second old, relative to a new one.
DECAY_PER_S: Final = 0.4
# Least weighted run time for which a speed is reported.
MIN_RUN_S: Final = 0.3


class SpeedMeter:
    """Speed of a target: declared work done in a second of run time.

    The progress of running tasks is measured, so the speed of a target that
    becomes slow falls before any task has ended there.
    """

    def __init__(self) -> None:
        self._work_s = 0.0
        self._run_s = 0.0
        self._updated_s = 0.0

    def record(self, work_s: float, run_s: float, now_s: float) -> None:
        """Record ``work_s`` of declared work done in ``run_s`` of run time."""
        decay = DECAY_PER_S ** max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._work_s = self._work_s * decay + work_s
        self._run_s = self._run_s * decay + run_s

    def measure(self) -> float:
        """Return the speed; 0 until enough run time was recorded."""
        if self._run_s < MIN_RUN_S:
            return 0.0
        return self._work_s / self._run_s
