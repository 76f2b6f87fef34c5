"""Figures of the interference of kinds of tasks on the same target.

Agents measure them (``interferencemeter``), entries merge them
(``interferencebeliefs``) and place tasks by them (``separation``).
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

MAX_KINDS: Final = 8
MAX_PAIRS: Final = 16
# Corrected rates above this come from wrong declared run times.
MAX_RATE: Final = 2.5
MIN_RATE: Final = 0.05
# Standard deviation of the logarithm of run times to which the numbers of
# samples refer: declared run times that are wrong by up to 40%, and 3% of
# runs that take seven times as long, give 0.28.
NOISE: Final = 0.3


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


def describe(figures: Iterable[PairFigure]) -> dict[str, object]:
    """Return figures for a dump."""
    return {
        f'{each.kind} beside {each.beside}': {
            'slowdown': each.slowdown,
            'samples': each.samples,
        }
        for each in figures
    }
