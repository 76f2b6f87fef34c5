"""Discovery of entries by an agent whose settings name none.

The agent requests the roster of live entries from one process at a time: from
an entry if it has a current roster, otherwise also from control replicas.
This keeps the load of a large deployment off the control replicas.

The agent serves a subset of the entries, so that what an agent and an entry
know of each other does not grow with the deployment.
"""

import dataclasses
from typing import Final

from eelgrassworks import effects
from eelgrassworks.links import messages
from eelgrassworks.links import subset

# Agents find a new entry within this time.  The response is a small message.
ROSTER_INTERVAL_S: Final = 1.0
# No task can start until an entry is found, so requests are frequent.
SEARCH_INTERVAL_S: Final = 0.15
# Longer than it takes to request the roster from a replica three times.
ROSTER_MAX_AGE_S: Final = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class DiscoveryResult:
    """The live entries, and the effects that connect to them."""

    entries: tuple[str, ...]
    effects: effects.Effects


class Discovery:
    """Maintains an agent's list of the live entries that it serves."""

    def __init__(
        self,
        replicas: tuple[str, ...],
        name: str = '',
        subset_size: int = subset.SUBSET_SIZE,
    ) -> None:
        self.entries: tuple[str, ...] = ()
        self._name = name
        self._subset_size = subset_size
        self._replicas = replicas
        # Those of the latest roster that names any.
        self._roster_replicas: tuple[str, ...] = ()
        self._last_request_s = float('-inf')
        self._last_roster_s = float('-inf')
        self._roster = messages.RosterUpdate({}, {})
        self._request_count = 0

    def add_replicas(self, names: tuple[str, ...]) -> None:
        """Add replicas of changed settings to request the roster from."""
        self._replicas = tuple(dict.fromkeys((*self._replicas, *names)))

    def tick(self, now_s: float) -> effects.Effects:
        """Request the roster when the interval has elapsed."""
        is_fresh = (
            self.entries and now_s - self._last_roster_s < ROSTER_MAX_AGE_S
        )
        interval_s = ROSTER_INTERVAL_S if is_fresh else SEARCH_INTERVAL_S
        if now_s - self._last_request_s < interval_s:
            return []
        self._last_request_s = now_s
        self._request_count += 1
        peers = self.entries if is_fresh else self._list_all()
        if not peers:
            return []
        peer = peers[self._request_count % len(peers)]
        return [effects.Send(peer, messages.RosterRequest())]

    def _list_all(self) -> tuple[str, ...]:
        """Return the replicas of the settings and roster, and the entries."""
        replicas = dict.fromkeys((*self._replicas, *self._roster_replicas))
        return (*replicas, *self.entries)

    def handle_roster(
        self, roster: messages.RosterUpdate, now_s: float
    ) -> DiscoveryResult:
        """Apply a roster.

        An empty one is ignored: it comes from a process that has just
        started and has no roster yet.
        """
        if not roster.entries:
            return DiscoveryResult(self.entries, [])
        self._last_roster_s = now_s
        if roster == self._roster:
            return DiscoveryResult(self.entries, [])
        self._roster = roster
        previous = self.entries
        self.entries = subset.choose_peers(
            self._name, tuple(roster.entries), self._subset_size
        )
        if roster.replicas:
            self._roster_replicas = tuple(roster.replicas)
        result: effects.Effects = [
            # Replicas are asked only while no entry is known.
            effects.Connect(name, address, persistent=False)
            for name, address in roster.replicas.items()
        ]
        result += [
            effects.Connect(name, roster.entries[name])
            for name in self.entries
        ]
        result += [
            effects.Disconnect(name)
            for name in previous
            if name not in self.entries
        ]
        return DiscoveryResult(self.entries, result)
