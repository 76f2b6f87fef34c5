"""Pairs of kinds that an entry believes to slow each other down.

The entry merges the figures that its agents report.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math
from typing import Final

from eelgrassworks import features
from eelgrassworks.machines import interference

REPORT_TTL_S: Final = 30.0
MAX_MERGED_PAIRS: Final = 256
MIN_SAMPLES: Final = 30.0
# A pair is believed if its slowdown exceeds the threshold by four standard
# errors, since noise of hundreds of pairs must give no false one, and dropped
# if it does not exceed it by one.
MIN_SLOWDOWN: Final = 1.1
BELIEF_ERRORS: Final = 4.0
DROP_ERRORS: Final = 1.0
# A belief holds at least this long, which bounds the log lines.
MIN_BELIEF_S: Final = 10.0

Pair = tuple[str, str]
_NO_KINDS: Final[frozenset[str]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class BeliefChange:
    """A pair that an entry begins or ceases to believe."""

    figure: interference.PairFigure
    is_believed: bool


@dataclasses.dataclass(slots=True)
class _MergedPair:
    """Sums over the agents of samples and of logarithms of slowdowns."""

    samples: float = 0.0
    weighted_log: float = 0.0
    is_believed: bool = False
    changed_s: float = float('-inf')

    @property
    def mean_log(self) -> float:
        return self.weighted_log / self.samples if self.samples > 0 else 0.0

    def is_slow(self, errors: float) -> bool:
        """Tell whether the slowdown exceeds the threshold by errors."""
        margin = (
            errors * interference.NOISE / math.sqrt(max(1e-9, self.samples))
        )
        return self.mean_log - margin > math.log(MIN_SLOWDOWN)


@dataclasses.dataclass(slots=True)
class _AgentReport:
    running: frozenset[str] = frozenset()
    pairs: tuple[interference.PairFigure, ...] = ()
    # When the pairs arrived.
    pairs_s: float = 0.0
    contact_s: float = 0.0


class InterferenceBeliefs:
    """What an entry knows of the kinds at its agents, and what it believes."""

    def __init__(
        self,
        feature: features.Off | features.Separation,
        counters: collections.Counter[str],
    ) -> None:
        self.feature = feature
        self._counters = counters
        self._reports: dict[str, _AgentReport] = {}
        self._pairs: dict[Pair, _MergedPair] = {}
        # The believed slowdown that a kind suffers from others, and causes.
        self._suffered: dict[str, dict[str, float]] = {}
        self._caused: dict[str, dict[str, float]] = {}
        self._expired_s = float('-inf')

    def apply(
        self,
        peer: str,
        reported: interference.Neighbourhood | None,
        now_s: float,
    ) -> list[BeliefChange]:
        """Apply the report of an agent; return the beliefs that change."""
        match self.feature:
            case features.Off():
                return []
            case features.Separation():
                pass
        if reported is not None:
            report = self._reports.setdefault(peer, _AgentReport())
            report.running = frozenset(
                reported.running[: interference.MAX_KINDS]
            )
            report.contact_s = now_s
            if reported.pairs is not None:
                self._subtract(report)
                report.pairs = _list_valid(reported.pairs)
                report.pairs_s = now_s
                self._add(report)
        if now_s - self._expired_s >= 1.0:
            self._expired_s = now_s
            self._expire(now_s)
            return self._revise(now_s)
        return []

    def _add(self, report: _AgentReport) -> None:
        kept = []
        for each in report.pairs:
            pair = each.kind, each.beside
            if pair not in self._pairs:
                if len(self._pairs) >= MAX_MERGED_PAIRS:
                    self._counters['separation_pairs_ignored'] += 1
                    continue
                self._pairs[pair] = _MergedPair()
            merged = self._pairs[pair]
            merged.samples += each.samples
            merged.weighted_log += each.samples * math.log(each.slowdown)
            kept.append(each)
        report.pairs = tuple(kept)

    def _subtract(self, report: _AgentReport) -> None:
        for each in report.pairs:
            merged = self._pairs[each.kind, each.beside]
            merged.samples -= each.samples
            merged.weighted_log -= each.samples * math.log(each.slowdown)
        report.pairs = ()

    def _expire(self, now_s: float) -> None:
        """Forget the figures of agents that no longer repeat them."""
        for peer, report in list(self._reports.items()):
            if now_s - report.pairs_s > REPORT_TTL_S:
                self._subtract(report)
                if now_s - report.contact_s > REPORT_TTL_S:
                    del self._reports[peer]
        for pair, merged in list(self._pairs.items()):
            # Above the rounding error of the sums.
            if merged.samples < 1e-3 and not merged.is_believed:
                del self._pairs[pair]

    def _revise(self, now_s: float) -> list[BeliefChange]:
        changes: list[BeliefChange] = []
        for pair, merged in self._pairs.items():
            if now_s - merged.changed_s < MIN_BELIEF_S:
                continue
            samples, errors = MIN_SAMPLES, BELIEF_ERRORS
            if merged.is_believed:
                samples, errors = MIN_SAMPLES / 2, DROP_ERRORS
            keeps = merged.samples >= samples and merged.is_slow(errors)
            if keeps == merged.is_believed:
                continue
            merged.is_believed, merged.changed_s = keeps, now_s
            changes.append(BeliefChange(self._make_figure(pair), keeps))
            name = 'believed' if keeps else 'dropped'
            self._counters[f'separation_{name}'] += 1
        self._suffered, self._caused = {}, {}
        for each in self.list_believed():
            kind, beside = each.kind, each.beside
            self._suffered.setdefault(kind, {})[beside] = each.slowdown
            self._caused.setdefault(beside, {})[kind] = each.slowdown
        return changes

    def _make_figure(self, pair: Pair) -> interference.PairFigure:
        merged = self._pairs[pair]
        return interference.PairFigure(
            *pair,
            round(math.exp(merged.mean_log), 3),
            round(merged.samples, 1),
        )

    def list_believed(self) -> list[interference.PairFigure]:
        """Return the pairs that are kept apart."""
        return [
            self._make_figure(pair)
            for pair, merged in self._pairs.items()
            if merged.is_believed
        ]

    def list_running(self, target: str) -> frozenset[str]:
        """Return the kinds that run at a target, as it last reported."""
        report = self._reports.get(target)
        return _NO_KINDS if report is None else report.running

    def is_involved(self, kind: str) -> bool:
        """Tell whether a kind slows others down, or is slowed down."""
        return kind in self._suffered or kind in self._caused

    def slows_others(self, kind: str) -> bool:
        """Tell whether a kind slows others down."""
        return kind in self._caused

    def find_cost(self, kind: str, kinds: frozenset[str]) -> float:
        """Return the slowdown by a kind beside others, or of these."""
        factors = self._suffered.get(kind, {})
        cost = max((factors.get(each, 1.0) for each in kinds), default=1.0)
        if kind in kinds:
            return cost
        factors = self._caused.get(kind, {})
        return max([cost, *(factors.get(each, 1.0) for each in kinds)])

    def describe(self) -> dict[str, object]:
        """Return the state for a dump; empty if the decision is off."""
        match self.feature:
            case features.Off():
                return {}
            case features.Separation():
                figures = [self._make_figure(pair) for pair in self._pairs]
                return {
                    'separation': {
                        'believed': interference.describe(
                            self.list_believed()
                        ),
                        'measured': interference.describe(figures),
                    }
                }


def _list_valid(
    pairs: Iterable[interference.PairFigure],
) -> tuple[interference.PairFigure, ...]:
    """Return the figures that an agent can have measured."""
    valid = {
        (each.kind, each.beside): each
        for each in pairs
        if interference.MIN_RATE / interference.MAX_RATE
        <= each.slowdown
        <= interference.MAX_RATE / interference.MIN_RATE
        and 1 <= each.samples <= 1e6
    }
    return tuple(valid.values())[: interference.MAX_PAIRS]
