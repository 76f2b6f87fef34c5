"""Failure domains and regions.

Each failure domain belongs to exactly one region, so its state is kept in
one place.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Region:
    """A group of failure domains that are close to each other."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDomain:
    """A set of machines that fail, close and open together."""

    name: str
    region: Region
