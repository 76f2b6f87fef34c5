"""Room of one target, as its agent grants it to entries and reports it.

With ``Off``, and at a target without room, digests are ignored, and every
entry sees all free room.
"""

import collections

import msgspec

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks.machines import roomgrants


class AgentRoom:
    """The grants of a target's free room, and the messages about it."""

    def __init__(
        self,
        feature: features.Off | features.SharedRoom,
        slots: machines.Slots,
        counters: collections.Counter[str],
    ) -> None:
        self._feature = feature
        self._slots = slots
        self._counters = counters
        self._grants = roomgrants.RoomGrants()

    def is_shared_with(self, entry: str) -> bool:
        """Tell whether an entry gets room by its digests."""
        return entry in self._grants.holders

    def read_demand(
        self, demand: contracts.Demand | msgspec.UnsetType
    ) -> contracts.Demand | None:
        """Return a digest if this agent shares room too."""
        match self._feature, demand:
            case features.SharedRoom(), contracts.Demand() if (
                self._slots.room != contracts.NO_ROOM
            ):
                return demand
            case _:
                return None

    def record_demand(
        self,
        entry: str,
        demand: contracts.Demand | msgspec.UnsetType,
        now_s: float,
    ) -> None:
        """Take note of the digest in a message of an entry."""
        known = self.read_demand(demand)
        if known is not None:
            self._grants.record_demand(entry, known, now_s)

    def forget(self, entry: str) -> None:
        """Withdraw all room from an entry whose run has ended."""
        self._grants.forget(entry)

    def allows(self, entry: str, room: contracts.Room, now_s: float) -> bool:
        """Tell whether a start leaves the reservations of others untouched."""
        return self._grants.allows(entry, room, self._slots.free_room, now_s)

    def record_start(
        self, entry: str, room: contracts.Room, running: int, now_s: float
    ) -> list[str]:
        """Take note of a start; return the entries to notify."""
        self._grants.record_start(entry, room, running)
        return self._grants.settle(self._slots.free_room, now_s)

    def grant_freed(self, owner: str, now_s: float) -> list[str]:
        """Grant the room of a task that has ended; return whom to notify."""
        return self._grants.grant_freed(owner, self._slots.free_room, now_s)

    def grant_requested(self, entry: str, now_s: float) -> list[str]:
        """Grant room to an entry that asks; return whom to notify."""
        return self._grants.grant_requested(
            entry, self._slots.free_room, now_s
        )

    def grant_unused(self, now_s: float) -> list[str]:
        """Grant unused room to those that wait; return whom to notify."""
        return self._grants.grant_unused(self._slots.free_room, now_s)

    def report(self, entry: str, now_s: float) -> contracts.Room:
        """Return the room to report to an entry."""
        return self._grants.report(entry, self._slots.free_room, now_s)

    def report_shared(
        self, now_s: float
    ) -> contracts.SharedState | msgspec.UnsetType:
        """Return the state to report to all entries; unset if it is off."""
        match self._feature:
            case features.SharedRoom() if (
                self._slots.room != contracts.NO_ROOM
            ):
                return self._grants.report_shared(self._slots.free_room, now_s)
            case _:
                return msgspec.UNSET

    def summarize(self, now_s: float) -> effects.Effects:
        """Count the grants, and log them at intervals."""
        summary = self._grants.summarize(self._slots.free_room, now_s)
        if summary is None:
            return []
        self._counters['room_granted'] = self._grants.granted
        self._counters['room_withdrawn'] = self._grants.withdrawn
        return [effects.Log('room_granted', summary)]

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        return self._grants.describe(now_s)
