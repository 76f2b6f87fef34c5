"""How an agent finds the entries when its settings name none.

It asks one process at a time for the roster of live entries: an entry that
it knows, or a control replica while it knows none, so that the load of a
large deployment stays off the control replicas.
"""

import dataclasses
from typing import Final

from eelgrassworks import effects
from eelgrassworks.links import messages

# New entries take callers within this time; the answer is a small message.
ROSTER_INTERVAL_S: Final = 1.0
# While no entry is known nothing can start, so the replicas are asked often.
SEARCH_INTERVAL_S: Final = 0.15
# Longer than a replica needs to be asked three times.
ROSTER_MAX_AGE_S: Final = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The live entries, and the connections that reach them."""

    entries: tuple[str, ...]
    effects: effects.Effects


class Discovery:
    """Keeps an agent's list of live entries."""

    def __init__(self, replicas: tuple[str, ...]) -> None:
        self.entries: tuple[str, ...] = ()
        self._replicas = replicas
        self._last_request_s = float('-inf')
        self._last_roster_s = float('-inf')
        self._request_count = 0

    def learn_replicas(self, names: tuple[str, ...]) -> None:
        """Ask these replicas as well while no entry is known."""
        self._replicas = tuple(dict.fromkeys((*self._replicas, *names)))

    def tick(self, now_s: float) -> effects.Effects:
        """Ask for the roster when it is time."""
        is_fresh = (
            self.entries and now_s - self._last_roster_s < ROSTER_MAX_AGE_S
        )
        interval_s = ROSTER_INTERVAL_S if is_fresh else SEARCH_INTERVAL_S
        if now_s - self._last_request_s < interval_s:
            return []
        self._last_request_s = now_s
        self._request_count += 1
        peers = self.entries if is_fresh else (*self._replicas, *self.entries)
        if not peers:
            return []
        peer = peers[self._request_count % len(peers)]
        return [effects.Send(peer, messages.RosterAsked())]

    def take(self, roster: messages.RosterTold, now_s: float) -> Found:
        """Take a roster; an empty one comes from a process that just began."""
        if not roster.entries:
            return Found(self.entries, [])
        self._last_roster_s = now_s
        self.entries = tuple(sorted(roster.entries))
        if roster.replicas:
            self.learn_replicas(tuple(roster.replicas))
        addresses = {**roster.replicas, **roster.entries}
        return Found(
            self.entries,
            [
                effects.Connect(name, address)
                for name, address in addresses.items()
            ],
        )
