"""Checks of promises, from what callers, operators and targets see.

The witness records observations with their time and reports each promise that
they break.  It has no sockets and no clock.
"""

import collections
import dataclasses
from typing import Any
from typing import Final

NOT_RUN: Final = 'not run'
# From the decision of an agent to the target's record of a start.
START_DELAY_S: Final = 0.3
# The first resources that count are those of a process that has started.
START_S: Final = 5.0
MAX_DESCRIPTOR_GROWTH: Final = 64
MAX_MEMORY_RATIO: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise."""

    at_s: float
    promise: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Descriptors and resident memory of a process, in kB."""

    descriptors: int
    resident_kb: int


@dataclasses.dataclass(slots=True)
class ClosedDomain:
    """A closing that is in force since ``from_s``, until an opening."""

    domain: str
    from_s: float
    until_s: float = float('inf')


class Witness:
    """Records observations and finds broken promises."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._starts: dict[str, list[tuple[float, str]]] = {}
        self._not_run: dict[str, float] = {}
        self._closings: list[ClosedDomain] = []
        self._accepted_revision = 0
        self._first_seen_s: dict[int, float] = {}
        self._usage: dict[int, Usage] = {}

    def report(self, at_s: float, promise: str, detail: str) -> None:
        """Record a broken promise."""
        self.violations.append(Violation(round(at_s, 2), promise, detail))

    # Targets.

    def record_start(self, key: str, domain: str, at_s: float) -> None:
        """Record that a target has started a task."""
        starts = self._starts.setdefault(key, [])
        starts.append((at_s, domain))
        if len(starts) > 1:
            self.report(at_s, 'at most one start', f'{key}: {starts}')
        for closing in self._closings:
            if closing.domain != domain:
                continue
            if closing.from_s + START_DELAY_S < at_s < closing.until_s:
                self.report(at_s, 'no start in a closed domain', key)

    def record_run(
        self, key: str, place: str, others: list[str], at_s: float
    ) -> None:
        """Record a run that begins beside other runs of the same task."""
        self._starts.setdefault(key, []).append((at_s, place))
        if others:
            self.report(
                at_s,
                'one run of a task at a time',
                f'{key} at {place} beside {", ".join(others)}',
            )

    # Callers.

    def record_refusal(
        self, submission: str, status: int, at_s: float
    ) -> None:
        """Record that each attempt of a caller to submit a job was refused."""
        self.outcomes[f'status {status}'] += 1
        self._not_run[submission] = at_s

    def record_unanswered(
        self, name: str, submission: str, at_s: float
    ) -> None:
        """Record a request without an answer whose connection stays open."""
        self.report(at_s, 'every request is answered', f'{name} {submission}')

    def record_answer(
        self,
        submission: str,
        tasks: int,
        status: int,
        answer: Any,
        at_s: float,
    ) -> None:
        """Record the final answer that a caller got for a job."""
        if status == 200:
            self.outcomes['complete'] += 1
            keys = sorted(each['key'] for each in answer['results'])
            expected = sorted(f'{submission}/{n}' for n in range(tasks))
            if keys != expected:
                self.report(at_s, 'whole answers', f'{submission}: {keys}')
            return
        ran = answer.get('ran', '') if isinstance(answer, dict) else ''
        self.outcomes[ran or f'status {status}'] += 1
        if ran == NOT_RUN:
            self._not_run[submission] = at_s

    def record_cut(self, name: str, submission: str, at_s: float) -> None:
        """Record a request that a planned stop left without an answer."""
        self.report(at_s, 'planned stops cut nothing', f'{name} {submission}')

    # Operators.

    def record_closing(self, domain: str, at_s: float) -> ClosedDomain:
        """Record that a closing is in force; set its end when it ends."""
        closing = ClosedDomain(domain, at_s)
        self._closings.append(closing)
        return closing

    def record_accepted(self, revision: int) -> None:
        """Record a revision that was accepted and is in force."""
        self._accepted_revision = max(self._accepted_revision, revision)

    def find_accepted(self) -> int:
        """Return the revision that a read that begins now must show."""
        return self._accepted_revision

    def record_read(
        self, name: str, revision: int, expected: int, at_s: float
    ) -> None:
        """Record a confirmed revision that an entry shows."""
        if revision < expected:
            self.report(
                at_s,
                'accepted configuration stays',
                f'{name} shows {revision} after {expected}',
            )

    # Processes.

    def record_exit(self, name: str, status: int, at_s: float) -> None:
        """Record a process that ended though nobody ended it."""
        self.report(at_s, 'no process ends by itself', f'{name}: {status}')

    def record_usage(
        self, name: str, process_id: int, usage: Usage, at_s: float
    ) -> None:
        """Record the resources of a process, and compare with the first."""
        first_s = self._first_seen_s.setdefault(process_id, at_s)
        if at_s - first_s < START_S:
            return
        base = self._usage.setdefault(process_id, usage)
        if usage.descriptors > base.descriptors + MAX_DESCRIPTOR_GROWTH:
            self.report(at_s, 'descriptors stay flat', f'{name} {usage}')
        if usage.resident_kb > base.resident_kb * MAX_MEMORY_RATIO:
            self.report(at_s, 'memory stays flat', f'{name} {usage}')

    def finish(self) -> None:
        """Check the answers that said that nothing had run."""
        submissions = {key.partition('/')[0] for key in self._starts}
        for submission, at_s in self._not_run.items():
            if submission in submissions:
                self.report(at_s, 'true refusals', submission)
