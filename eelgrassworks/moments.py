"""Inputs of decisions about the replicated log: time and randomness."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """Inputs that the process passes to the decisions with each event.

    ``now_s`` is the monotonic time in seconds, ``wall_ms`` the Unix time in
    milliseconds, and ``entropy`` a random number in the range 0 to 1.
    """

    now_s: float
    wall_ms: int
    entropy: float
