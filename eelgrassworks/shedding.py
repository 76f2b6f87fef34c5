"""Load shedding: which transient jobs an entry refuses, and when it gives up.

The pattern is admission by predicted queueing delay.  Under lasting overload
a queue by due time makes every job late, since each waits until it is just
due.  A job is therefore refused when it comes, before it has waited, if the
work that is due earlier would keep it from starting in time.  The rate at
which work ends is measured here, since the targets are shared with other
entries.

A job that was admitted and whose time has passed is given up as soon as it
is known that its answer can no longer be of use.
"""

import collections
import dataclasses
import math
from typing import Final

import xxhash

from eelgrassworks import contracts

# Long enough for tens of ends at one entry, shorter than a burst.
RATE_WINDOW_S: Final = 1.0
# An answer is of use until this many times the objective.
USEFUL_OBJECTIVE_RATIO: Final = 3.0
# Declared run times are off by about this much.
ESTIMATE_ERROR_RATIO: Final = 0.4
# Below this wait a queue is a ripple, and a prediction says nothing.
NEGLIGIBLE_WAIT_S: Final = 0.02
# Bounds of the first moment at which a refused caller should come back.
RETRY_MIN_S: Final = 1.0
RETRY_MAX_S: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Times of one transient job.

    A start after ``due_s`` is late; an answer after ``useless_s`` is of no
    use any more.
    """

    due_s: float
    useless_s: float


def plan_job(
    kind: contracts.Kind, estimate_s: float, now_s: float
) -> Schedule:
    """Return the times of a job that arrives now."""
    objective_s = kind.stretch * estimate_s + kind.objective_s
    # The run may be longer than declared, and its objective with it.
    longest_s = (
        kind.stretch * estimate_s * (1 + ESTIMATE_ERROR_RATIO)
        + kind.objective_s
    )
    return Schedule(
        now_s + objective_s - estimate_s,
        now_s + USEFUL_OBJECTIVE_RATIO * longest_s,
    )


class CompletionRate:
    """Work that ended lately, in processor-seconds a second."""

    def __init__(self) -> None:
        self._ended: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._work = 0.0

    def note(self, work: float, now_s: float) -> None:
        """Record that work has ended."""
        self._ended.append((now_s, work))
        self._work += work
        self._drop_expired(now_s)

    def measure(self, now_s: float) -> float:
        """Return the rate over the window."""
        self._drop_expired(now_s)
        return self._work / RATE_WINDOW_S

    def _drop_expired(self, now_s: float) -> None:
        while self._ended and now_s - self._ended[0][0] > RATE_WINDOW_S:
            self._work -= self._ended.popleft()[1]


def predict_wait(work_ahead: float, rate: float) -> float:
    """Return how long work that goes first takes to start, in seconds.

    Nothing is predicted while nothing has ended: an entry that has just
    begun, or whose targets have just come back.
    """
    if rate <= 0:
        return 0.0
    return work_ahead / rate


def should_refuse(schedule: Schedule, wait_s: float, now_s: float) -> bool:
    """Tell whether a job would start too late to be in time."""
    return wait_s > NEGLIGIBLE_WAIT_S and now_s + wait_s > schedule.due_s


def advise_retry(wait_s: float, submission: str) -> int:
    """Return when a refused caller should come back, in whole seconds.

    Callers that were refused together come back spread over as long again,
    so that they do not make the next peak.
    """
    first_s = min(RETRY_MAX_S, max(RETRY_MIN_S, 2 * wait_s))
    fraction = xxhash.xxh32_intdigest(submission.encode()) / 2**32
    return math.ceil(first_s * (1 + fraction))
