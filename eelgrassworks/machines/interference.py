"""Kinds of tasks that slow each other down on the same target.

An agent measures how the run times of a kind depend on the kinds beside it,
and reports a few figures.  An entry merges the figures of its agents, decides
which pairs of kinds interfere, and prefers targets without interference.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks.machines import placement

# At an agent.
MAX_KINDS: Final = 8
MAX_PAIRS: Final = 16
# The weight of a run halves in this time.  An interference that ends is
# forgotten after three to four times as long, and 6 targets need two to three
# times as long for the rarer of two kinds.
HALF_LIFE_S: Final = 45.0
SPEED_HALF_LIFE_S: Final = 10.0
# Least weighted run time before the speed of the target is known.
MIN_SPEED_RUN_S: Final = 2.0
# A kind that has not run for this long leaves its place to another one.
KIND_TTL_S: Final = 120.0
# Corrected rates above this come from wrong declared run times.
MAX_RATE: Final = 2.5
MIN_RATE: Final = 0.05
# Standard deviation of the logarithm of run times to which the numbers of
# samples refer: declared run times that are wrong by up to 40%, and 3% of
# runs that take seven times as long, give 0.28.
NOISE: Final = 0.3
# Smallest standard deviation of rates that is taken as measured.
MIN_DEVIATION: Final = 0.05
MIN_RUNS: Final = 20.0
MIN_REPORTED_SAMPLES: Final = 3.0
RIDGE: Final = 1e-3
EVALUATION_INTERVAL_S: Final = 2.0
# A report without a change is repeated after this time.
REFRESH_S: Final = 10.0
SLOWDOWN_CHANGE: Final = 1.1
SAMPLES_CHANGE: Final = 1.5

# At an entry.
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
class PairFigure:
    """How much longer a kind runs beside another one.

    ``samples`` is the number of runs of usual noise that give the same
    precision; half of them ran beside the other kind.
    """

    kind: str
    beside: str
    slowdown: float
    samples: float


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbourhood:
    """What an agent reports; ``pairs`` is None if the entry has them."""

    running: tuple[str, ...]
    pairs: tuple[PairFigure, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class BeliefChange:
    """A pair that an entry begins or ceases to believe."""

    figure: PairFigure
    is_believed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """Targets where a kind would interfere, and by how much.

    ``hosts`` are other targets, where a kind runs that slows others down.
    """

    costs: Mapping[str, float]
    hosts: frozenset[str]


class AgedFit:
    """Linear regression whose samples lose weight with age."""

    def __init__(self, size: int) -> None:
        self.size = size
        self._reference_s = 0.0
        self._weight = 0.0
        self._squared_weight = 0.0
        # Moments of the inputs followed by the output.
        self._sums = [0.0] * (size + 1)
        self._products = [[0.0] * (size + 1) for _ in range(size + 1)]

    def record(
        self,
        inputs: Sequence[float],
        output: float,
        weight: float,
        now_s: float,
    ) -> None:
        """Add a sample."""
        if now_s - self._reference_s > 8 * HALF_LIFE_S:
            self._rescale(now_s)
        # Later samples weigh more, which ages the earlier ones.
        weight *= 2 ** ((now_s - self._reference_s) / HALF_LIFE_S)
        self._weight += weight
        self._squared_weight += weight * weight
        values = (*inputs, output)
        for position, value in enumerate(values):
            if not value:
                continue
            weighted = weight * value
            self._sums[position] += weighted
            row = self._products[position]
            for other, second in enumerate(values):
                row[other] += weighted * second

    def _rescale(self, now_s: float) -> None:
        factor = 0.5 ** min(1000.0, (now_s - self._reference_s) / HALF_LIFE_S)
        self._reference_s = now_s
        self._weight *= factor
        self._squared_weight *= factor * factor
        self._sums = [each * factor for each in self._sums]
        self._products = [
            [each * factor for each in row] for row in self._products
        ]

    def measure(self, now_s: float) -> list[tuple[float, float]]:
        """Return the slowdown by each input and the samples behind it.

        The output is a rate, and an input is the share of a run.  An input
        that never varies has no samples.
        """
        none = [(1.0, 0.0)] * self.size
        if self._weight <= 0:
            return none
        age = 0.5 ** ((now_s - self._reference_s) / HALF_LIFE_S)
        runs = self._weight * self._weight / self._squared_weight
        # Old runs lose weight also while no new ones arrive.
        runs = min(runs, self._weight * age)
        if runs < MIN_RUNS:
            return none
        means = [each / self._weight for each in self._sums]
        covariance = [
            [
                self._products[row][column] / self._weight
                - means[row] * means[column]
                for column in range(self.size + 1)
            ]
            for row in range(self.size + 1)
        ]
        varying = [n for n in range(self.size) if covariance[n][n] > RIDGE]
        inverse = _invert(
            [
                [covariance[n][m] + RIDGE * (n == m) for m in varying]
                for n in varying
            ]
        )
        output = [covariance[n][self.size] for n in varying]
        slopes = [
            sum(a * b for a, b in zip(row, output, strict=True))
            for row in inverse
        ]
        explained = sum(a * b for a, b in zip(slopes, output, strict=True))
        variance = max(
            covariance[self.size][self.size] - explained, MIN_DEVIATION**2
        )
        for position, n in enumerate(varying):
            alone = means[self.size] - slopes[position] * means[n]
            beside = alone + slopes[position]
            alone, beside = max(alone, MIN_RATE), max(beside, MIN_RATE)
            error = math.sqrt(variance * inverse[position][position] / runs)
            none[n] = (
                alone / beside,
                min(runs, (NOISE * beside / error) ** 2),
            )
        return none


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    """Return the inverse of a positive definite matrix."""
    size = len(matrix)
    rows = [
        [*row, *(float(n == m) for m in range(size))]
        for n, row in enumerate(matrix)
    ]
    for pivot in range(size):
        divisor = rows[pivot][pivot]
        rows[pivot] = [each / divisor for each in rows[pivot]]
        for n in range(size):
            factor = rows[n][pivot]
            if n != pivot and factor:
                rows[n] = [
                    a - factor * b
                    for a, b in zip(rows[n], rows[pivot], strict=True)
                ]
    return [row[size:] for row in rows]


@dataclasses.dataclass(slots=True)
class _Presence:
    """How long tasks of a kind have been running at a target.

    ``any_s`` counts the time with at least one of them, ``several_s`` that
    with at least two.
    """

    count: int = 0
    any_s: float = 0.0
    several_s: float = 0.0
    ended_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Run:
    """A run and the presence of each kind at its start.

    ``siblings`` is the number of other tasks of the job beside it; the errors
    of their declared run times are the same.
    """

    kind: str
    estimate_s: float
    demand: float
    started_s: float
    busy_s: float
    presence_s: dict[str, float]
    siblings: int = 0


class InterferenceMeter:
    """Measures at an agent which kinds slow each other down.

    The declared work done in a second of run time, relative to the target's
    own speed, is explained by the shares of the run that each kind was beside
    it, and by how busy the target was.  Runs of a kind are compared only with
    other runs of the kind on the target.
    """

    def __init__(
        self, feature: features.Off | features.Separation, capacity: float
    ) -> None:
        self.feature = feature
        self._capacity = max(1.0, capacity)
        self._presences: dict[str, _Presence] = {}
        self._fits: dict[str, AgedFit] = {}
        self._runs: dict[contracts.TaskKey, _Run] = {}
        self._occupied = 0.0
        self._busy_s = 0.0
        self._updated_s = 0.0
        self._work_s = 0.0
        self._run_s = 0.0
        self._speed_s = 0.0
        self.pairs: tuple[PairFigure, ...] = ()
        self._evaluated_s = float('-inf')
        self._changed_s = float('-inf')

    def begin(
        self,
        key: contracts.TaskKey,
        kind: str,
        estimate_s: float,
        demand: contracts.Room,
        now_s: float,
    ) -> None:
        """Record that a task starts."""
        match self.feature:
            case features.Off():
                return
            case features.Separation():
                pass
        self._advance(now_s)
        self._admit(kind, now_s)
        load = (demand.cpu_millis or 1) / self._capacity
        run = _Run(kind, estimate_s, load, now_s, self._busy_s, {})
        for other, known in self._runs.items():
            if other.submission == key.submission:
                known.siblings += 1
                run.siblings += 1
        presence = self._presences.get(kind)
        if presence is not None:
            presence.count += 1
        run.presence_s = self._read_presences(kind)
        self._occupied += load
        self._runs[key] = run

    def end(
        self, key: contracts.TaskKey, is_complete: bool, now_s: float
    ) -> None:
        """Record that a task has ended; an incomplete run counts nothing."""
        run = self._runs.pop(key, None)
        if run is None:
            return
        self._advance(now_s)
        self._occupied -= run.demand
        presence = self._presences.get(run.kind)
        if presence is not None:
            presence.count = max(0, presence.count - 1)
            presence.ended_s = now_s
        if is_complete and run.estimate_s > 0 and now_s > run.started_s:
            self._record(run, now_s - run.started_s, now_s)

    def _record(self, run: _Run, run_s: float, now_s: float) -> None:
        decay = 0.5 ** ((now_s - self._speed_s) / SPEED_HALF_LIFE_S)
        self._speed_s = now_s
        speed = self._work_s / self._run_s if self._run_s else 0.0
        is_known = self._run_s * decay >= MIN_SPEED_RUN_S
        self._work_s = self._work_s * decay + run.estimate_s
        self._run_s = self._run_s * decay + run_s
        if not is_known or run.kind not in self._presences:
            return
        shares = [
            min(1.0, max(0.0, end_s - run.presence_s.get(kind, 0.0)) / run_s)
            for kind, end_s in self._read_presences(run.kind).items()
        ]
        shares += [0.0] * (MAX_KINDS - len(shares))
        busy = (self._busy_s - run.busy_s) / run_s
        rate = min(MAX_RATE, run.estimate_s / run_s / speed)
        fit = self._fits.get(run.kind)
        if fit is None:
            fit = self._fits[run.kind] = AgedFit(MAX_KINDS + 1)
        fit.record((*shares, busy), rate, 1 / (1 + run.siblings), now_s)

    def _admit(self, kind: str, now_s: float) -> None:
        """Give a new kind a place, if one is free or unused for long."""
        if kind in self._presences:
            return
        if len(self._presences) >= MAX_KINDS:
            oldest = min(
                (
                    each
                    for each in self._presences.items()
                    if not each[1].count
                ),
                key=lambda each: each[1].ended_s,
                default=None,
            )
            if oldest is None or now_s - oldest[1].ended_s < KIND_TTL_S:
                return
            # The places of the kinds in the sums change.
            del self._presences[oldest[0]]
            self._fits = {}
        self._presences[kind] = _Presence()

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._busy_s += elapsed_s * self._occupied
        for presence in self._presences.values():
            if presence.count > 0:
                presence.any_s += elapsed_s
            if presence.count > 1:
                presence.several_s += elapsed_s

    def _read_presences(self, kind: str) -> dict[str, float]:
        """Return the time that each kind was beside a run of a kind."""
        return {
            name: each.several_s if name == kind else each.any_s
            for name, each in self._presences.items()
        }

    def report(self, confirmed_s: float, now_s: float) -> Neighbourhood | None:
        """Return the report for an entry; None while nothing is measured.

        The pairs are repeated until the entry has confirmed a report that
        was sent after they changed; ``confirmed_s`` is when it was sent.
        """
        match self.feature:
            case features.Off():
                return None
            case features.Separation():
                pass
        if now_s - self._evaluated_s >= EVALUATION_INTERVAL_S:
            self._evaluated_s = now_s
            self._evaluate(now_s)
        running = [
            kind for kind, each in self._presences.items() if each.count
        ]
        is_known = confirmed_s >= self._changed_s
        return Neighbourhood(
            tuple(sorted(running)), None if is_known else self.pairs
        )

    def _evaluate(self, now_s: float) -> None:
        figures = [
            PairFigure(kind, beside, round(slowdown, 3), round(samples, 1))
            for kind, fit in self._fits.items()
            for beside, (slowdown, samples) in zip(
                self._presences, fit.measure(now_s), strict=False
            )
            if samples >= MIN_REPORTED_SAMPLES
        ]
        # By samples, not by slowdown: the largest of many noisy figures
        # would be reported as interference.
        figures.sort(key=lambda each: -each.samples)
        pairs = tuple(figures[:MAX_PAIRS])
        is_due = bool(pairs) and now_s - self._changed_s >= REFRESH_S
        if is_due or _differ(self.pairs, pairs):
            self.pairs = pairs
            # As precise as the stamp that an entry returns.
            self._changed_s = int(now_s * 1000) / 1000

    def describe(self) -> dict[str, object]:
        """Return the state for a dump; empty if the decision is off."""
        match self.feature:
            case features.Off():
                return {}
            case features.Separation():
                return {'separation': {'pairs': _describe(self.pairs)}}


def _differ(old: Iterable[PairFigure], new: Iterable[PairFigure]) -> bool:
    """Tell whether figures differ by more than their usual noise."""
    known = {(each.kind, each.beside): each for each in old}
    latest = {(each.kind, each.beside): each for each in new}
    if known.keys() != latest.keys():
        return True
    return any(
        _measure_ratio(each.slowdown, latest[pair].slowdown) > SLOWDOWN_CHANGE
        or _measure_ratio(each.samples, latest[pair].samples) > SAMPLES_CHANGE
        for pair, each in known.items()
    )


def _measure_ratio(first: float, second: float) -> float:
    return max(first, second) / max(1e-9, min(first, second))


def _describe(figures: Iterable[PairFigure]) -> dict[str, object]:
    return {
        f'{each.kind} beside {each.beside}': {
            'slowdown': each.slowdown,
            'samples': each.samples,
        }
        for each in figures
    }


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
        margin = errors * NOISE / math.sqrt(max(1e-9, self.samples))
        return self.mean_log - margin > math.log(MIN_SLOWDOWN)


@dataclasses.dataclass(slots=True)
class _AgentReport:
    running: frozenset[str] = frozenset()
    pairs: tuple[PairFigure, ...] = ()
    # When the pairs arrived.
    pairs_s: float = 0.0
    contact_s: float = 0.0


class SeparationView:
    """The pairs of kinds that an entry keeps apart."""

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
        self, peer: str, reported: Neighbourhood | None, now_s: float
    ) -> list[BeliefChange]:
        """Apply the report of an agent; return the beliefs that change."""
        match self.feature:
            case features.Off():
                return []
            case features.Separation():
                pass
        if reported is not None:
            report = self._reports.setdefault(peer, _AgentReport())
            report.running = frozenset(reported.running[:MAX_KINDS])
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

    def _make_figure(self, pair: Pair) -> PairFigure:
        merged = self._pairs[pair]
        return PairFigure(
            *pair,
            round(math.exp(merged.mean_log), 3),
            round(merged.samples, 1),
        )

    def list_believed(self) -> list[PairFigure]:
        """Return the pairs that are kept apart."""
        return [
            self._make_figure(pair)
            for pair, merged in self._pairs.items()
            if merged.is_believed
        ]

    def survey(
        self, kind: str, views: Iterable[machines.TargetView]
    ) -> Surroundings:
        """Return where a kind would interfere, and where it runs already.

        The cost at a target is the larger of the slowdown that the task would
        suffer and of that which it would cause.  It causes none where its
        kind runs already.
        """
        caused = self._caused.get(kind, {})
        costs: dict[str, float] = {}
        hosts: set[str] = set()
        # Few different sets of kinds run at many targets.
        known: dict[frozenset[str], float] = {}
        for view in views:
            name = view.target.name
            report = self._reports.get(name)
            kinds = _NO_KINDS if report is None else report.running
            if view.outstanding:
                kinds = kinds.union(
                    [start.kind for start in view.outstanding.values()]
                )
            cost = known.get(kinds)
            if cost is None:
                cost = known[kinds] = self._find_cost(kind, kinds)
            if cost > 1:
                costs[name] = cost
            elif caused and kind in kinds:
                hosts.add(name)
        return Surroundings(costs, frozenset(hosts))

    def _find_cost(self, kind: str, kinds: frozenset[str]) -> float:
        """Return the slowdown by a kind beside others, or of these."""
        factors = self._suffered.get(kind, {})
        cost = max((factors.get(each, 1.0) for each in kinds), default=1.0)
        if kind in kinds:
            return cost
        factors = self._caused.get(kind, {})
        return max([cost, *(factors.get(each, 1.0) for each in kinds)])

    def choose(
        self,
        policy: placement.Policy,
        views: list[machines.TargetView],
        kind: str,
        key: contracts.TaskKey,
        demand: contracts.Room,
    ) -> machines.TargetView | None:
        """Return the target for a task, or None if the task has to wait."""
        chosen = placement.choose(policy, views, key, demand)
        if chosen is None:
            return None
        if kind not in self._suffered and kind not in self._caused:
            return chosen
        here = self.survey(kind, [chosen])
        if not here.costs and (here.hosts or kind not in self._caused):
            return chosen
        # Only what is cheap is asked of every target; a choice asks the rest.
        candidates = [view for view in views if view.free > 0]
        surroundings = self.survey(kind, candidates)
        limit = chosen.slowness * here.costs.get(chosen.target.name, 1.0)
        apart = choose_apart(
            policy, candidates, key, demand, surroundings, limit
        )
        if apart is None:
            apart = chosen
        if apart is not chosen:
            self._counters['starts_apart'] += 1
        elif here.costs:
            self._counters['starts_beside'] += 1
        return apart

    def describe(self) -> dict[str, object]:
        """Return the state for a dump; empty if the decision is off."""
        match self.feature:
            case features.Off():
                return {}
            case features.Separation():
                figures = [self._make_figure(pair) for pair in self._pairs]
                return {
                    'separation': {
                        'believed': _describe(self.list_believed()),
                        'measured': _describe(figures),
                    }
                }


def choose_apart(
    policy: placement.Policy,
    views: list[machines.TargetView],
    key: contracts.TaskKey,
    demand: contracts.Room,
    surroundings: Surroundings,
    max_slowness: float,
) -> machines.TargetView | None:
    """Return the best target without interference that has room, if any.

    A kind that slows others down stays together, so that more targets are
    free of it.
    """
    match policy:
        case placement.LateBinding():
            pass
        case _:
            return None
    others = [
        view for view in views if view.target.name not in surroundings.costs
    ]
    joined = [
        view for view in others if view.target.name in surroundings.hosts
    ]
    for candidates in (joined, others):
        found = placement.choose(policy, candidates, key, demand)
        if found is not None and found.slowness <= max_slowness:
            return found
    return None


def _list_valid(pairs: Iterable[PairFigure]) -> tuple[PairFigure, ...]:
    """Return the figures that an agent can have measured."""
    valid = {
        (each.kind, each.beside): each
        for each in pairs
        if MIN_RATE / MAX_RATE <= each.slowdown <= MAX_RATE / MIN_RATE
        and 1 <= each.samples <= 1e6
    }
    return tuple(valid.values())[:MAX_PAIRS]
