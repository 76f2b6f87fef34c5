"""The clocks of a process.

Decisions use the boot clock, which keeps running while a machine is
suspended, so that a lease also expires during a suspension of its holder.
"""

import random
import time

from eelgrassworks import decisioninputs


def read_now() -> float:
    """Return the seconds since boot, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def read_inputs(source: random.Random) -> decisioninputs.DecisionInputs:
    """Return the times and a random number for one event."""
    return decisioninputs.DecisionInputs(
        read_now(), read_wall_ms(), source.random()
    )
