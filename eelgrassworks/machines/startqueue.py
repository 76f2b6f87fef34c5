"""Starts that wait at an agent for room of its target."""

import collections

from eelgrassworks import contracts


class StartQueue:
    """The keys of queued starts, the most urgent first.

    Starts without a digest of their entry keep the order of arrival, behind
    the others.  The agent bounds the number of starts.
    """

    def __init__(self) -> None:
        self._ranks: collections.OrderedDict[
            contracts.TaskKey, tuple[bool, int, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._ranks)

    def add(
        self,
        key: contracts.TaskKey,
        demand: contracts.Demand | None,
        now_s: float,
    ) -> None:
        """Queue a start; ``demand`` has the urgency of its job."""
        match demand:
            case None:
                self._ranks[key] = (True, 0, 0.0)
            case contracts.Demand(priority=priority, due_ms=due_ms):
                self._ranks[key] = (False, priority, now_s + due_ms / 1000)

    def remove(self, key: contracts.TaskKey) -> None:
        """Remove a queued start."""
        del self._ranks[key]

    def list_keys(self) -> list[contracts.TaskKey]:
        """Return the keys in the order in which they are started."""
        return sorted(self._ranks, key=self._ranks.__getitem__)
