"""Failure domains and regions.

A failure domain belongs to one region, so its state has one home.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Region:
    """A group of failure domains with short distances between them."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDomain:
    """A set of machines that fail, close and open together."""

    name: str
    region: Region
