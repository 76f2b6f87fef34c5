"""Pace of simulated tasks that slow each other down on the same node."""

import dataclasses

# Kind, another kind, and how much longer the first runs beside the second.
Interference = tuple[tuple[str, str, float], ...]


@dataclasses.dataclass(slots=True)
class _Progress:
    node: str
    kind: str
    remaining_s: float


class Paces:
    """Remaining run time of each run, at full pace, by its number."""

    def __init__(self, interference: Interference) -> None:
        self._factors = {
            (kind, beside): factor for kind, beside, factor in interference
        }
        self._runs: dict[int, _Progress] = {}
        self._nodes: dict[str, dict[int, _Progress]] = {}
        self._updated_s: dict[str, float] = {}

    def begin(
        self, number: int, node: str, kind: str, run_s: float, now_s: float
    ) -> None:
        """Record that a run starts."""
        if not self._factors:
            return
        self._advance(node, now_s)
        run = self._runs[number] = _Progress(node, kind, run_s)
        self._nodes.setdefault(node, {})[number] = run

    def end(self, number: int, now_s: float) -> None:
        """Record that a run has ended."""
        run = self._runs.get(number)
        if run is not None:
            self._advance(run.node, now_s)
            del self._runs[number]
            del self._nodes[run.node][number]

    def measure_remaining(self, number: int, now_s: float) -> float:
        """Return the least time until a run ends; 0 if it has ended."""
        run = self._runs.get(number)
        if run is None:
            return 0.0
        self._advance(run.node, now_s)
        # Ends within a millisecond are not told apart.
        return run.remaining_s if run.remaining_s > 0.001 else 0.0

    def _advance(self, node: str, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s.get(node, now_s)
        self._updated_s[node] = now_s
        runs = self._nodes.get(node, {})
        kinds = [run.kind for run in runs.values()]
        for run in runs.values():
            factor = max(
                (
                    self._factors.get((run.kind, kind), 1.0)
                    for kind in set(kinds)
                    if kind != run.kind or kinds.count(kind) > 1
                ),
                default=1.0,
            )
            run.remaining_s -= elapsed_s / factor
