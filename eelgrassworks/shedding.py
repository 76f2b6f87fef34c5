"""Load shedding: which transient jobs an entry refuses or abandons.

The pattern is admission control by predicted queueing delay.  Under sustained
overload a queue ordered by due time makes every job late, since each waits
until it is just due.  A job is therefore refused on arrival if the work that
is due earlier would keep it from starting in time.  Each entry measures the
rate at which its own work completes, since the targets are shared with other
entries.

Jobs of a more urgent kind that come later pass those that wait, so only the
rate that they leave counts for the others.  A job that has missed its latest
start because all room was in use is abandoned at once: it would take the place
of one that can still be in time.  While no task runs, a job waits until its
answer can no longer be of use.
"""

import collections
import dataclasses
import math
from typing import Final

import xxhash

from eelgrassworks import contracts

# Covers tens of completions at one entry and is shorter than a burst.
RATE_WINDOW_S: Final = 1.0
# An answer is of use until this multiple of the objective.
USEFUL_OBJECTIVE_RATIO: Final = 3.0
# Declared run times are wrong by about this fraction.
ESTIMATE_ERROR_RATIO: Final = 0.4
# Below this wait the queue is a negligible delay, and the prediction is not
# reliable.
NEGLIGIBLE_WAIT_S: Final = 0.02
# Bounds of the shortest delay after which a refused caller may retry.
RETRY_MIN_S: Final = 1.0
RETRY_MAX_S: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class AtLatestStart:
    """Counts urgent arrivals, and abandons jobs at their latest start."""


@dataclasses.dataclass(frozen=True, slots=True)
class AtLatestUse:
    """Counts only queued work, and abandons jobs that are of no use.

    Sheds less, and is the baseline that measurements compare with.
    """


Policy = AtLatestStart | AtLatestUse


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Times of one transient job.

    A start after ``due_s`` misses the objective; an answer after
    ``latest_end_s`` is of no use to the caller.
    """

    due_s: float
    latest_end_s: float


def plan_job(
    kind: contracts.Kind, estimate_s: float, now_s: float
) -> Schedule:
    """Return the times of a job that arrives at ``now_s``."""
    objective_s = kind.stretch * estimate_s + kind.objective_s
    # The run, and so its objective, may be longer than declared.
    longest_s = (
        kind.stretch * estimate_s * (1 + ESTIMATE_ERROR_RATIO)
        + kind.objective_s
    )
    return Schedule(
        now_s + objective_s - estimate_s,
        now_s + USEFUL_OBJECTIVE_RATIO * longest_s,
    )


class CompletionRate:
    """Rate of completed work in a window, in processor-seconds a second."""

    def __init__(self) -> None:
        self._ended: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._work = 0.0

    def record(self, work: float, now_s: float) -> None:
        """Record completed work, in processor-seconds."""
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


class AdmittedRate:
    """Rate of admitted work by priority, in processor-seconds a second."""

    def __init__(self) -> None:
        self._admitted: collections.deque[tuple[float, int, float]] = (
            collections.deque()
        )
        self._work: dict[int, float] = collections.defaultdict(float)

    def record(self, priority: int, work: float, now_s: float) -> None:
        """Record an admitted job, its work in processor-seconds."""
        self._admitted.append((now_s, priority, work))
        self._work[priority] += work
        self._drop_expired(now_s)

    def measure_above(self, priority: int, now_s: float) -> float:
        """Return the rate of the work that is more urgent."""
        self._drop_expired(now_s)
        work = sum(
            amount for each, amount in self._work.items() if each < priority
        )
        return work / RATE_WINDOW_S

    def _drop_expired(self, now_s: float) -> None:
        admitted = self._admitted
        while admitted and now_s - admitted[0][0] > RATE_WINDOW_S:
            _, priority, work = admitted.popleft()
            self._work[priority] -= work


def predict_wait(
    work_ahead: float, rate: float, urgent_rate: float = 0.0
) -> float:
    """Return how long the work ahead in the queue delays a start, in seconds.

    More urgent work that is admitted meanwhile takes ``urgent_rate`` of the
    rate; the result is infinite if it takes all.  Without a rate the result
    is 0: the entry has just started, or its targets have just returned.
    """
    if rate <= 0 or not work_ahead:
        return 0.0
    if urgent_rate >= rate:
        return float('inf')
    return work_ahead / (rate - urgent_rate)


def should_refuse(schedule: Schedule, wait_s: float, now_s: float) -> bool:
    """Return whether a job would start after its due time."""
    return wait_s > NEGLIGIBLE_WAIT_S and now_s + wait_s > schedule.due_s


def advise_retry(wait_s: float, submission: str) -> int:
    """Return the delay before a refused caller retries, in whole seconds.

    The retries of callers that were refused together are spread between one
    and two times the shortest delay, so that they do not cause another peak.
    """
    return spread_retry(2 * wait_s, submission)


def spread_retry(free_s: float, submission: str) -> int:
    """Return the delay before a retry that is of use after ``free_s``."""
    first_s = min(RETRY_MAX_S, max(RETRY_MIN_S, free_s))
    fraction = xxhash.xxh32_intdigest(submission.encode()) / 2**32
    return math.ceil(first_s * (1 + fraction))
