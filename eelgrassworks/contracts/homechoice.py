"""Which homes an entry asks for a job, and when it asks further ones.

An entry needs the grants of a majority of the homes of an id.  Which homes it
asks, in which order and how many at once affects only the time until it has
them; every decision about ownership counts grants alone.

Without ``LearntHomes`` homes are asked in turns, and a further one after
``HEDGE_DELAY_S``.  With it, homes that respond slowly are asked last, a
further home is asked once a response takes longer than most do, and one home
more than needed is asked at once if responses take long for the slack of the
job.  A budget bounds the requests that this adds.
"""

import collections
from collections.abc import Iterable
import dataclasses
import heapq
import statistics
from typing import Final

from eelgrassworks import features

# A home that has not answered by then is slow or lost; the others are asked.
HEDGE_DELAY_S: Final = 0.05
# Such a home is asked last for a while.
DOUBT_DELAY_S: Final = 0.1
# A home without a response for this long is not counted on.
HOME_TIMEOUT_S: Final = 0.5
# A claim and the first start should take no more than this share of the slack.
CLAIM_SHARE_OF_SLACK: Final = 0.1
# Responses of all homes from which the usual response time is learnt.
MAX_SAMPLES: Final = 64
SAMPLES_BETWEEN_ESTIMATES: Final = 8
# Weight of the latest response of a home: after three slow responses most of
# the estimate is theirs.
RESPONSE_SMOOTHING: Final = 0.3
# A home is slow if its responses take this many times the usual time.
SLOW_RATIO: Final = 2.0
# Requests that are made only with ``LearntHomes``, as a share of those that
# claims need, and how many may be saved up for a bad moment.
EXTRA_SHARE: Final = 0.1
MAX_SAVED_EXTRAS: Final = 20.0
LOG_INTERVAL_S: Final = 1.0

Policy = features.Off | features.LearntHomes


@dataclasses.dataclass(slots=True)
class HomeContact:
    """What this entry knows of a home.

    ``unanswered_s`` is when the oldest request was sent that has no response,
    and ``response_s`` the smoothed response time.
    """

    unanswered_s: float = float('inf')
    sent_s: float = float('-inf')
    recovering: bool = False
    response_s: float = 0.0
    is_slow: bool = False

    def is_late(self, now_s: float, timeout_s: float = HOME_TIMEOUT_S) -> bool:
        """Tell whether the home has not responded for a time."""
        return now_s - self.unanswered_s > timeout_s

    def expect_response(self, now_s: float) -> float:
        """Return the response time to expect, in seconds."""
        return max(self.response_s, now_s - self.unanswered_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A claim whose job is not owned yet.

    ``needed`` is the number of grants that it lacks.  ``pending`` has the
    homes that may still grant it, with the time of the latest request, and
    ``names`` all that were asked.  ``slack_s`` is the time from the claim to
    the latest start of the job that is in time, and ``submission`` the id that
    is claimed.
    """

    group: tuple[str, ...]
    needed: int
    pending: dict[str, float]
    names: Iterable[str]
    slack_s: float = float('inf')
    submission: str = ''


class HomeChoice:
    """The contacts of one entry with its homes, and their response times."""

    def __init__(
        self,
        name: str,
        policy: Policy = features.NO_FEATURES.claims,
    ) -> None:
        self.contacts: dict[str, HomeContact] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self._name = name
        self._policy = policy
        self._rotation = 0
        self._samples_s: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._sample_count = 0
        self._median_s = HEDGE_DELAY_S
        self._slow_s = HEDGE_DELAY_S
        self._extras = 0.0
        self._logged_s = float('-inf')
        # When to ask further homes, and for which claims.
        self._hedges: list[tuple[float, str]] = []
        self._hedges_s: dict[str, float] = {}

    def apply_homes(self, names: Iterable[str]) -> None:
        """Keep the contacts of the homes, and begin those of new ones."""
        self.contacts = {
            name: self.contacts.get(name, HomeContact()) for name in names
        }

    def record_request(self, name: str, now_s: float) -> None:
        """Record that a request was sent to a home."""
        contact = self.contacts.get(name)
        if contact is not None:
            contact.sent_s = now_s
            contact.unanswered_s = min(contact.unanswered_s, now_s)

    def record_response(self, name: str, recovering: bool) -> None:
        """Record that a home has responded to any request."""
        contact = self.contacts.get(name)
        if contact is not None:
            contact.unanswered_s = float('inf')
            contact.recovering = recovering

    def measure_response(
        self, name: str, sent_s: float, later_s: Iterable[float], now_s: float
    ) -> None:
        """Learn from the response to a request that was sent at ``sent_s``.

        ``later_s`` has the times of the later requests to the home that have
        no response yet.
        """
        contact = self.contacts.get(name)
        if contact is None or isinstance(self._policy, features.Off):
            return
        elapsed_s = now_s - sent_s
        contact.unanswered_s = min(later_s, default=float('inf'))
        weight = RESPONSE_SMOOTHING if contact.response_s else 1.0
        contact.response_s += weight * (elapsed_s - contact.response_s)
        self._samples_s.append(elapsed_s)
        self._sample_count += 1
        if self._sample_count % SAMPLES_BETWEEN_ESTIMATES == 0:
            ordered_s = sorted(self._samples_s)
            self._median_s = ordered_s[len(ordered_s) // 2]
            self._slow_s = ordered_s[len(ordered_s) * 9 // 10]

    def choose(
        self, asked: Asked, recovering: set[str], now_s: float
    ) -> list[str]:
        """Return the homes to ask now.

        The homes in ``recovering`` can't grant jobs that they do not know.
        ``take_due`` tells when the claim may need further ones.
        """
        names = set(asked.names)
        unasked = [
            name
            for name in self._rank(asked.group, recovering, now_s)
            if name not in names
        ]
        planned = self._count_missing(asked, HEDGE_DELAY_S, now_s)
        match self._policy:
            case features.Off():
                return unasked[:planned]
            case features.LearntHomes():
                if not names:
                    self._extras = min(
                        MAX_SAVED_EXTRAS,
                        self._extras + EXTRA_SHARE * asked.needed,
                    )
                delay_s = self.find_delay(asked.slack_s)
                early = self._count_missing(asked, delay_s, now_s)
                early += not names and self._needs_spare(
                    unasked[:planned], asked.slack_s, now_s
                )
                extra = min(max(0, early - planned), int(self._extras))
                chosen = unasked[: planned + extra]
                self._extras -= max(0, len(chosen) - planned)
                self.counters['ownership_asked_early'] += max(
                    0, len(chosen) - planned
                )
                self._schedule(asked, chosen, recovering, now_s)
                return chosen

    def take_due(self, now_s: float) -> list[str]:
        """Return the claims for which further homes may be asked now."""
        due = []
        while self._hedges and self._hedges[0][0] <= now_s:
            hedge_s, submission = heapq.heappop(self._hedges)
            # A claim that was asked again has a later time.
            if self._hedges_s.get(submission) == hedge_s:
                del self._hedges_s[submission]
                due.append(submission)
        return due

    def find_delay(self, slack_s: float) -> float:
        """Return the time after which a further home is asked, in seconds.

        It is the 90th percentile of responses, or less if the slack is short,
        but no less than that of a slow response: usual ones would be doubled.
        """
        match self._policy:
            case features.Off():
                return HEDGE_DELAY_S
            case features.LearntHomes():
                wanted_s = min(self._slow_s, CLAIM_SHARE_OF_SLACK * slack_s)
                usual_s = SLOW_RATIO * self._median_s
                return min(HEDGE_DELAY_S, max(usual_s, wanted_s))

    def find_next_s(self, asked: Asked, now_s: float) -> float:
        """Return when the next further home is to be asked.

        A request that is older than the delay by now has been replaced, or
        the budget is spent, and the tick asks.  Without ``LearntHomes`` ticks
        alone ask.
        """
        match self._policy:
            case features.Off():
                return float('inf')
            case features.LearntHomes():
                delay_s = self.find_delay(asked.slack_s)
                return min(
                    (
                        sent_s + delay_s
                        for sent_s in asked.pending.values()
                        if sent_s + delay_s > now_s
                    ),
                    default=float('inf'),
                )

    def list_slow(self, now_s: float) -> list[tuple[str, dict[str, object]]]:
        """Return the log lines for homes that became slow, or are so no more.

        Each is an event with its fields.  The homes are compared once in
        ``LOG_INTERVAL_S``, to bound the log.
        """
        if now_s - self._logged_s < LOG_INTERVAL_S or not self._samples_s:
            return []
        self._logged_s = now_s
        lines: list[tuple[str, dict[str, object]]] = []
        for name, contact in self.contacts.items():
            expected_s = contact.expect_response(now_s)
            is_slow = expected_s > SLOW_RATIO * self._median_s
            if name != self._name and is_slow != contact.is_slow:
                contact.is_slow = is_slow
                event = 'home_slow' if is_slow else 'home_fast'
                fields = {'home': name, 'response_s': round(expected_s, 4)}
                lines.append((event, fields))
        return lines

    def _schedule(
        self,
        asked: Asked,
        chosen: list[str],
        recovering: set[str],
        now_s: float,
    ) -> None:
        """Remember when the next further home is to be asked, if any is left.

        The own home answers at once, so that nothing waits for it.
        """
        if len({*asked.names, *chosen}) >= len(asked.group):
            return
        sent_s = {
            name: now_s
            for name in chosen
            if name != self._name and name not in recovering
        }
        pending = {**asked.pending, **sent_s}
        next_s = self.find_next_s(
            dataclasses.replace(asked, pending=pending), now_s
        )
        if next_s not in (float('inf'), self._hedges_s.get(asked.submission)):
            self._hedges_s[asked.submission] = next_s
            heapq.heappush(self._hedges, (next_s, asked.submission))

    def _needs_spare(
        self, planned: list[str], slack_s: float, now_s: float
    ) -> bool:
        """Tell whether the homes to ask take long for the slack of a job."""
        limit_s = CLAIM_SHARE_OF_SLACK * slack_s
        return any(
            self.contacts[name].expect_response(now_s) > limit_s
            for name in planned
            if name != self._name
        )

    def _count_missing(
        self, asked: Asked, delay_s: float, now_s: float
    ) -> int:
        """Return how many grants no request of the last time may bring."""
        since_s = now_s - delay_s
        waiting = sum(sent_s > since_s for sent_s in asked.pending.values())
        return max(0, asked.needed - waiting)

    def _rank(
        self, group: tuple[str, ...], recovering: set[str], now_s: float
    ) -> list[str]:
        """Return the homes of a group in the order in which they are asked.

        The own home comes first, then those that respond, in turns; with
        ``LearntHomes`` those that respond slowly come after the others.
        """
        self._rotation += 1
        start = self._rotation % len(group) if group else 0
        rotated = [*group[start:], *group[:start]]
        expected_s = self._expect_responses(group, now_s)

        def find_rank(name: str) -> tuple[bool, bool, float]:
            is_late = self.contacts[name].is_late(now_s, DOUBT_DELAY_S)
            is_doubtful = is_late or name in recovering
            return is_doubtful, name != self._name, expected_s.get(name, 0.0)

        return sorted(rotated, key=find_rank)

    def _expect_responses(
        self, group: tuple[str, ...], now_s: float
    ) -> dict[str, float]:
        """Return the expected response times of the slow homes of a group.

        The others are equal, so that claims spread over them.
        """
        if isinstance(self._policy, features.Off):
            return {}
        times_s = {
            name: self.contacts[name].expect_response(now_s)
            for name in group
            if name != self._name
        }
        if not times_s:
            return {}
        limit_s = SLOW_RATIO * statistics.median_low(times_s.values())
        return {
            name: time_s
            for name, time_s in times_s.items()
            if time_s > limit_s
        }
