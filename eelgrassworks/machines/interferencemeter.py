"""Measures at an agent which kinds of tasks slow each other down."""

from collections.abc import Iterable
import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import features
from eelgrassworks.machines import agedregression
from eelgrassworks.machines import interference

SPEED_HALF_LIFE_S: Final = 10.0
# Least weighted run time before the speed of the target is known.
MIN_SPEED_RUN_S: Final = 2.0
# A kind that has not run for this long leaves its place to another one.
KIND_TTL_S: Final = 120.0
MIN_REPORTED_SAMPLES: Final = 3.0
EVALUATION_INTERVAL_S: Final = 2.0
# A report without a change is repeated after this time.
REFRESH_S: Final = 10.0
SLOWDOWN_CHANGE: Final = 1.1
SAMPLES_CHANGE: Final = 1.5


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
        self._fits: dict[str, agedregression.AgedFit] = {}
        self._runs: dict[contracts.TaskKey, _Run] = {}
        self._occupied = 0.0
        self._busy_s = 0.0
        self._updated_s = 0.0
        self._work_s = 0.0
        self._run_s = 0.0
        self._speed_s = 0.0
        self.pairs: tuple[interference.PairFigure, ...] = ()
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
        shares += [0.0] * (interference.MAX_KINDS - len(shares))
        busy = (self._busy_s - run.busy_s) / run_s
        rate = min(interference.MAX_RATE, run.estimate_s / run_s / speed)
        fit = self._fits.get(run.kind)
        if fit is None:
            fit = self._fits[run.kind] = agedregression.AgedFit(
                interference.MAX_KINDS + 1
            )
        fit.record((*shares, busy), rate, 1 / (1 + run.siblings), now_s)

    def _admit(self, kind: str, now_s: float) -> None:
        """Give a new kind a place, if one is free or unused for long."""
        if kind in self._presences:
            return
        if len(self._presences) >= interference.MAX_KINDS:
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

    def report(
        self, confirmed_s: float, now_s: float
    ) -> interference.Neighbourhood | None:
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
        return interference.Neighbourhood(
            tuple(sorted(running)), None if is_known else self.pairs
        )

    def _evaluate(self, now_s: float) -> None:
        figures = [
            interference.PairFigure(
                kind, beside, round(slowdown, 3), round(samples, 1)
            )
            for kind, fit in self._fits.items()
            for beside, (slowdown, samples) in zip(
                self._presences, fit.measure(now_s), strict=False
            )
            if samples >= MIN_REPORTED_SAMPLES
        ]
        # By samples, not by slowdown: the largest of many noisy figures
        # would be reported as interference.
        figures.sort(key=lambda each: -each.samples)
        pairs = tuple(figures[: interference.MAX_PAIRS])
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
                return {
                    'separation': {'pairs': interference.describe(self.pairs)}
                }


def _differ(
    old: Iterable[interference.PairFigure],
    new: Iterable[interference.PairFigure],
) -> bool:
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
