"""Linear regression whose samples lose weight with age."""

from collections.abc import Sequence
import math
from typing import Final

from eelgrassworks.machines import interference

# The weight of a run halves in this time.  An interference that ends is
# forgotten after three to four times as long, and 6 targets need two to three
# times as long for the rarer of two kinds.
HALF_LIFE_S: Final = 45.0
# Smallest standard deviation of rates that is taken as measured.
MIN_DEVIATION: Final = 0.05
MIN_RUNS: Final = 20.0
RIDGE: Final = 1e-3


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
            alone, beside = (
                max(alone, interference.MIN_RATE),
                max(beside, interference.MIN_RATE),
            )
            error = math.sqrt(variance * inverse[position][position] / runs)
            none[n] = (
                alone / beside,
                min(runs, (interference.NOISE * beside / error) ** 2),
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
