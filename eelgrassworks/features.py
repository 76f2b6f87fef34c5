"""Optional decisions of entries and agents.

Each decision has a data class for every way in which it can be made, and the
code that decides branches on it with ``match``.  ``Off`` keeps the way of
releases without the decision, and is the default everywhere.
"""

import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Off:
    """The decision is not made."""


@dataclasses.dataclass(frozen=True, slots=True)
class SharedRoom:
    """Entries report what waits; agents grant room to the most urgent."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedShares:
    """Kinds have shares of the capacity in an overload.

    The weight of a kind that is not named is 1.
    """

    kind_weights: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LearntHomes:
    """Homes that respond soonest are asked first for a claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Separation:
    """Kinds that slow each other down are kept apart while there is room."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rebalancing:
    """A busy entry has callers connect to other entries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """The optional decisions of one process."""

    room: Off | SharedRoom = Off()
    shares: Off | WeightedShares = Off()
    claims: Off | LearntHomes = Off()
    separation: Off | Separation = Off()
    rebalancing: Off | Rebalancing = Off()


NO_FEATURES: Final = Features()
