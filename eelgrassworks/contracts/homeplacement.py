"""When the leader places the homes of transient jobs, and what it decides.

A check takes 10 ms with 90 entries and 30 ms with 300, so that it is made
again only once one of its inputs has changed.
"""

from collections.abc import Mapping
import dataclasses
from typing import Final

from eelgrassworks.contracts import homeset
from eelgrassworks.contracts import homesites

# Entries that start together have registered by then.
FORMATION_DELAY_S: Final = 1.0
# Longer than a new home waits before it grants jobs, so that at most one home
# waits at a time; also the time that a lost home has to return.
CHANGE_INTERVAL_S: Final = 10.0
# Bounds how often the inputs are collected and compared.
CHECK_INTERVAL_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementInputs:
    """All that the placement of homes depends on, except the waits.

    ``entries`` are all registered ones by name, and ``live_entries`` the names
    of those that have not ended.  ``replicas`` holds the addresses of the
    members of the log by name.
    """

    current: homeset.HomeSet
    entries: Mapping[str, homesites.RegisteredEntry]
    live_entries: tuple[str, ...]
    voters: tuple[str, ...]
    replicas: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class HomesRevised:
    """A set of homes that is to replace the current one."""

    homes: homeset.HomeSet


@dataclasses.dataclass(frozen=True, slots=True)
class ExposuresChanged:
    """The failures that take a majority, with the number of its groups."""

    exposures: Mapping[str, int]


Decision = HomesRevised | ExposuresChanged | None


class HomePlacement:
    """The waits of a leader before it revises the homes, and its checks."""

    def __init__(self, now_s: float) -> None:
        # By failure, how many groups lose their majority to it.
        self.exposures: Mapping[str, int] = {}
        self._wait_began_s = now_s
        self._checked_s = float('-inf')
        # The inputs of the latest check that kept the homes.
        self._settled: PlacementInputs | None = None

    def start_leadership(self, now_s: float) -> None:
        """Start to lead; an earlier leader may have just changed the homes."""
        self.exposures = {}
        self._settled = None
        self.restart_wait(now_s)

    def restart_wait(self, now_s: float) -> None:
        """Wait again, since the homes or the first candidates changed."""
        self._wait_began_s = now_s

    def is_due(self, current: homeset.HomeSet, now_s: float) -> bool:
        """Tell whether the waits before the next decision are over."""
        delay_s = CHANGE_INTERVAL_S if current.version else FORMATION_DELAY_S
        return (
            now_s - self._wait_began_s >= delay_s
            and now_s - self._checked_s >= CHECK_INTERVAL_S
        )

    def decide(self, inputs: PlacementInputs, now_s: float) -> Decision:
        """Return what follows from the inputs; None if nothing does.

        A set that was decided is decided again after a wait for as long as it
        is not the current one, since its proposal may be lost.
        """
        self._checked_s = now_s
        if inputs == self._settled:
            return None
        if not inputs.current.version and not inputs.live_entries:
            return None
        sites = homesites.make_sites(inputs.entries, inputs.replicas)
        revised = _place(inputs, sites)
        if revised is not None:
            self.restart_wait(now_s)
            return HomesRevised(revised)
        self._settled = inputs
        exposures = sites.find_exposures(inputs.current.groups)
        if exposures == self.exposures:
            return None
        self.exposures = exposures
        return ExposuresChanged(exposures)


def _place(
    inputs: PlacementInputs, sites: homesites.Sites
) -> homeset.HomeSet | None:
    """Return the first set or a revised one; None to keep the current one."""
    entries, voters = inputs.live_entries, inputs.voters
    if not inputs.current.version:
        return homeset.form(entries, voters, sites)
    return homeset.revise(inputs.current, entries, voters, sites)
