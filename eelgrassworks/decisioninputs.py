"""Inputs of decisions about the replicated log: time and randomness."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionInputs:
    """Inputs that the process passes to the decisions with each event.

    ``now_s`` is the monotonic time in seconds, ``wall_ms`` the Unix time in
    milliseconds, and ``random_fraction`` a random number in the range 0 to 1.
    """

    now_s: float
    wall_ms: int
    random_fraction: float
