"""Moments: what a decision about the replicated log knows of time."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """What the process around gives with each event.

    Monotonic time, Unix time in milliseconds, and a random number in the
    range 0 to 1.
    """

    now_s: float
    wall_ms: int
    entropy: float
