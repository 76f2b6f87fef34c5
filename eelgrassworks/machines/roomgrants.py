"""Free room of one target, which its agent grants to entries.

Entries that choose targets from reports collide: a report is as old as the
last answer, and meanwhile others have used the room that it showed.  With
``SharedRoom`` an agent therefore grants its free room: the room that it
reports to an entry is granted to that entry, so that the room which all
entries hold is never more than there is.  When a task ends, the
room goes to the entry whose first waiting work is the most urgent, otherwise
to the entry of the task.  Room that an entry does not use is withdrawn as soon
as another one asks for it, and the former is notified.  Room that an entry has
not used for ``IDLE_S`` is also reported to the others, less ``IDLE_MARGIN``
tasks.
"""

import dataclasses
from typing import Final

from eelgrassworks import contracts

# Room granted to a waiting entry stays reserved for this long: longer than a
# round trip between the entry and the agent, shorter than a task.
RESERVATION_S: Final = 0.02
# Room that its holder has not used for this long is reported to all entries.
# Without this, entries used slow targets while faster ones had room that
# others held; with less, starts of several entries collide in that room.
IDLE_S: Final = 0.05
# Tasks whose room is withheld from such a report, since several entries see
# the same room and their starts collide there.
IDLE_MARGIN: Final = 2
# Entries whose waiting work an agent reports, and the age that this may have.
# Every agent reports the latest, so a few are enough for all to be seen.
MAX_BACKLOGS: Final = 2
BACKLOG_TTL_S: Final = 1.0
SUMMARY_INTERVAL_S: Final = 10.0
# Bound on the tasks for which a digest asks, whatever its value.
MAX_COUNT: Final = 64

# Waiting work in time goes first, then by priority, due time, and the number
# of tasks that the entry runs at the target.
Rank = tuple[bool, int, float, int]
MOST_URGENT: Final[Rank] = (False, -1, 0.0, 0)
NOT_WAITING: Final[Rank] = (True, 1 << 30, float('inf'), 0)


@dataclasses.dataclass(slots=True)
class Holder:
    """What an agent knows of one entry that shares room.

    ``granted`` is the room that the entry believes to be free, less the
    starts of it that have arrived.  Other entries see the room as free from
    ``idle_from_s`` on.
    """

    granted: contracts.Room = contracts.NO_ROOM
    demand: contracts.Demand | None = None
    wanted: int = 0
    due_s: float = 0.0
    received_s: float = float('-inf')
    reserved_until_s: float = float('-inf')
    reserved_rank: Rank = NOT_WAITING
    running: int = 0
    idle_from_s: float = float('-inf')

    def is_waiting(self, now_s: float) -> bool:
        """Tell whether the entry wants room, as far as is known."""
        age_s = now_s - self.received_s
        return self.wanted > 0 and age_s < contracts.DIGEST_TTL_S

    def rank(self, now_s: float) -> Rank:
        """Return the urgency of the waiting work; the least goes first."""
        if self.demand is None or not self.is_waiting(now_s):
            return NOT_WAITING
        is_late = self.due_s < now_s
        return is_late, self.demand.priority, self.due_s, self.running

    def yields_to(self, rank: Rank, now_s: float) -> bool:
        """Tell whether its room may go to work of this urgency."""
        return now_s >= self.reserved_until_s or rank < self.reserved_rank


class RoomGrants:
    """The free room of one target, divided among the entries.

    There is one holder for each entry that sends digests; other entries see
    all free room, as without the feature.
    """

    def __init__(self) -> None:
        self.holders: dict[str, Holder] = {}
        # Tasks for which room was granted, and grants that were withdrawn.
        self.granted = 0
        self.withdrawn = 0
        self._summarized = 0
        self._summary_s = float('-inf')

    def record_demand(
        self, entry: str, demand: contracts.Demand, now_s: float
    ) -> None:
        """Take note of a digest unless it is older than the last one."""
        holder = self.holders.setdefault(entry, Holder())
        if holder.demand is not None and demand.number <= holder.demand.number:
            return
        holder.demand = demand
        holder.wanted = (
            min(demand.count, MAX_COUNT)
            if max(demand.room.cpu_millis, demand.room.memory_mib) > 0
            else 0
        )
        holder.due_s = now_s + demand.due_ms / 1000
        holder.received_s = now_s

    def forget(self, entry: str) -> None:
        """Withdraw all room from an entry whose run has ended."""
        self.holders.pop(entry, None)

    def record_start(
        self, entry: str, demand: contracts.Room, running: int
    ) -> None:
        """Take note of a start that has arrived."""
        holder = self.holders.get(entry)
        if holder is not None:
            holder.granted = holder.granted.subtract(demand).clamp()
            holder.running = running

    def allows(
        self,
        entry: str,
        room: contracts.Room,
        free: contracts.Room,
        now_s: float,
    ) -> bool:
        """Tell whether a start leaves the reservations of others untouched.

        A start for which the entry has no grant takes room that is not in
        use, but not what was just granted to more urgent work.
        """
        if not self.holders:
            return True
        holder = self.holders.get(entry, Holder())
        if holder.granted.covers(room):
            return True
        rank = holder.rank(now_s)
        for name, other in self.holders.items():
            if name != entry and not other.yields_to(rank, now_s):
                free = free.subtract(other.granted)
        return free.covers(room)

    def report(
        self, entry: str, free: contracts.Room, now_s: float
    ) -> contracts.Room:
        """Return the room to report to an entry.

        It is what the entry holds or, if that is more, what no other entry
        has recently been granted, less ``IDLE_MARGIN`` tasks.
        """
        holder = self.holders.get(entry)
        if holder is None:
            return free
        if holder.demand is None:
            return holder.granted
        for name, other in self.holders.items():
            if name != entry and now_s < other.idle_from_s:
                free = free.subtract(other.granted)
        idle = free.subtract(
            holder.demand.room.clamp().scale(IDLE_MARGIN)
        ).clamp()
        return holder.granted.cover(idle)

    def settle(self, free: contracts.Room, now_s: float) -> list[str]:
        """Withdraw grants that exceed the free room; return whose."""
        if not self.holders:
            return []
        excess = contracts.NO_ROOM.subtract(self._measure_spare(free)).clamp()
        return self._withdraw('', excess, MOST_URGENT, now_s)

    def grant_freed(
        self, owner: str, free: contracts.Room, now_s: float
    ) -> list[str]:
        """Grant the room of a task of ``owner`` that has ended.

        Returns the entries, other than the owner, to notify.
        """
        if not self.holders:
            return []
        notified: list[str] = []
        waiting = [
            (holder.rank(now_s), name)
            for name, holder in self.holders.items()
            if holder.is_waiting(now_s)
        ]
        for _, name in sorted(waiting):
            if self._grant(name, self._measure_spare(free), now_s):
                notified.append(name)
        if owner in self.holders:
            holder = self.holders[owner]
            holder.granted = holder.granted.add(
                self._measure_spare(free).clamp()
            )
            holder.idle_from_s = now_s + IDLE_S
        return [name for name in notified if name != owner]

    def grant_requested(
        self, entry: str, free: contracts.Room, now_s: float
    ) -> list[str]:
        """Grant room to an entry that asks for it.

        Room that nobody uses comes first, then that of entries whose waiting
        work is less urgent.  Returns the entries to notify.
        """
        holder = self.holders[entry]
        if holder.demand is None or not holder.is_waiting(now_s):
            return []
        each = holder.demand.room
        spare = self._measure_spare(free)
        rank = holder.rank(now_s)
        others = [
            other
            for name, other in self.holders.items()
            if name != entry and other.yields_to(rank, now_s)
        ]
        available = spare.add(holder.granted)
        for other in others:
            available = available.add(other.granted)
        count = min(holder.wanted, available.count(each))
        held = holder.granted.count(each)
        if count <= held:
            return [entry] if held else []
        lacking = each.scale(count).subtract(holder.granted).subtract(spare)
        notified = self._withdraw(entry, lacking.clamp(), rank, now_s)
        self._grant(entry, self._measure_spare(free), now_s)
        return [*notified, entry]

    def grant_unused(self, free: contracts.Room, now_s: float) -> list[str]:
        """Grant room that others have not used to the entries that wait.

        Returns the entries to notify.
        """
        waiting = [
            (holder.rank(now_s), name)
            for name, holder in self.holders.items()
            if holder.is_waiting(now_s)
        ]
        notified: dict[str, None] = {}
        for _, name in sorted(waiting):
            granted = self.granted
            names = self.grant_requested(name, free, now_s)
            if self.granted > granted:
                notified.update(dict.fromkeys(names))
        return list(notified)

    def report_shared(
        self, free: contracts.Room, now_s: float
    ) -> contracts.SharedState:
        """Return the state to report to all entries.

        It lists the ``MAX_BACKLOGS`` waiting entries that reported last.
        """
        backlogs = [
            contracts.Backlog(
                name,
                holder.demand.kind,
                holder.demand.queued,
                round((now_s - holder.received_s) * 1000),
            )
            for name, holder in self.holders.items()
            if holder.demand is not None
            and holder.demand.queued > 0
            and now_s - holder.received_s < BACKLOG_TTL_S
        ]
        backlogs.sort(key=lambda each: each.age_ms)
        return contracts.SharedState(free, tuple(backlogs[:MAX_BACKLOGS]))

    def summarize(
        self, free: contracts.Room, now_s: float
    ) -> dict[str, object] | None:
        """Return what to log, at most once in ``SUMMARY_INTERVAL_S``."""
        is_early = now_s - self._summary_s < SUMMARY_INTERVAL_S
        if is_early or self.granted == self._summarized:
            return None
        self._summary_s = now_s
        self._summarized = self.granted
        return {
            'granted': self.granted,
            'withdrawn': self.withdrawn,
            'entries': len(self.holders),
            'waiting': sum(
                holder.is_waiting(now_s) for holder in self.holders.values()
            ),
            'free_cpu_millis': free.cpu_millis,
        }

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            name: {
                'granted_cpu_millis': holder.granted.cpu_millis,
                'wanted': holder.wanted if holder.is_waiting(now_s) else 0,
                'rank': holder.rank(now_s)[:3],
            }
            for name, holder in self.holders.items()
        }

    def _measure_spare(self, free: contracts.Room) -> contracts.Room:
        """Return the free room without a grant; negative if there is less."""
        for holder in self.holders.values():
            free = free.subtract(holder.granted)
        return free

    def _grant(
        self, entry: str, available: contracts.Room, now_s: float
    ) -> int:
        """Grant room for as many tasks as are wanted and available."""
        holder = self.holders[entry]
        if holder.demand is None:
            return 0
        each = holder.demand.room
        # The entry may hold a remainder that is too small for a task.
        held = holder.granted.count(each)
        fitting = available.add(holder.granted).count(each)
        count = min(holder.wanted, fitting - held)
        if count <= 0:
            return 0
        holder.reserved_rank = holder.rank(now_s)
        holder.reserved_until_s = now_s + RESERVATION_S
        holder.idle_from_s = now_s + IDLE_S
        holder.granted = holder.granted.cover(each.scale(held + count))
        holder.wanted -= count
        self.granted += count
        return count

    def _withdraw(
        self, entry: str, room: contracts.Room, rank: Rank, now_s: float
    ) -> list[str]:
        """Withdraw room from entries other than ``entry``; return whose.

        Those whose waiting work is least urgent come first.
        """
        notified: list[str] = []
        order = sorted(
            self.holders.items(),
            key=lambda item: (item[1].rank(now_s), item[1].granted.cpu_millis),
            reverse=True,
        )
        for name, holder in order:
            if room == contracts.NO_ROOM:
                break
            if name == entry or not holder.yields_to(rank, now_s):
                continue
            left = holder.granted.subtract(room).clamp()
            if left == holder.granted:
                continue
            room = room.subtract(holder.granted.subtract(left))
            holder.granted = left
            self.withdrawn += 1
            notified.append(name)
        return notified
