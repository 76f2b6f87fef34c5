"""Room and backlog of the whole service, as one entry sees them.

Agents that share room report what room is left at their targets and what the
entries last reported to them.  The state is one record for each target, and
one for each of at most ``MAX_ENTRIES`` entries.  A lost report leaves an older
one in place until it expires; of two reports on an entry the newer one counts.
What the entry itself observes bounds the room that it takes to be free.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks.machines import view as views

# Two renewals of an agent to an idle entry, and their delay.
REPORT_TTL_S: Final = 2.0
MAX_ENTRIES: Final = 256


@dataclasses.dataclass(frozen=True, slots=True)
class RoomReport:
    """What an agent reported of its target.

    ``starts_seen`` is the number of starts of this entry that it had received.
    ``is_refuted`` is set once the target has declined a start as busy.
    """

    failure_domain: str
    room: contracts.Room
    free_room: contracts.Room
    starts_seen: int
    received_s: float
    is_refuted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DomainRoom:
    """Room of the targets of a failure domain."""

    room: contracts.Room = contracts.NO_ROOM
    free_room: contracts.Room = contracts.NO_ROOM

    def add(self, report: RoomReport) -> 'DomainRoom':
        """Return the sum with the room of a target."""
        return DomainRoom(
            self.room.add(report.room), self.free_room.add(report.free_room)
        )


class ServiceView:
    """Sums what the agents report."""

    def __init__(self) -> None:
        self._rooms: dict[str, RoomReport] = {}
        # By entry, with the time at which the entry reported to an agent.
        self._backlogs: dict[str, tuple[float, contracts.Backlog]] = {}

    def record(
        self,
        view: views.TargetView,
        state: contracts.SharedState,
        now_s: float,
    ) -> None:
        """Take note of a report."""
        target = view.target
        self._rooms[target.name] = RoomReport(
            target.failure_domain,
            target.room,
            state.free_room,
            view.starts_seen,
            now_s,
        )
        for backlog in state.backlogs:
            reported_s = now_s - max(0, backlog.age_ms) / 1000
            known = self._backlogs.get(backlog.entry)
            if known is None and len(self._backlogs) >= MAX_ENTRIES:
                self._drop_expired(now_s)
                if len(self._backlogs) >= MAX_ENTRIES:
                    continue
            if known is None or known[0] <= reported_s:
                self._backlogs[backlog.entry] = (reported_s, backlog)

    def forget(self, target: str) -> None:
        """Drop the report of a target that has left."""
        self._rooms.pop(target, None)

    def record_full(self, target: str) -> None:
        """Take note that a target has declined a start for lack of room."""
        report = self._rooms.get(target)
        if report is not None:
            self._rooms[target] = dataclasses.replace(report, is_refuted=True)

    def count_startable(
        self,
        candidates: Iterable[views.TargetView],
        demand: contracts.Room,
        waiting_since_s: Mapping[str, float],
        now_s: float,
    ) -> int:
        """Return for how many tasks targets have room, whoever holds it.

        The room of a report counts until the entry has used it or the target
        has declined a start for lack of it.  Work that waits longer than a
        request holds after the report has asked for that room in vain; work
        waits for each service since ``waiting_since_s``.
        """
        count = 0
        for view in candidates:
            target = view.target
            report = self._rooms.get(target.name)
            if report is None or report.is_refuted:
                continue
            if now_s - report.received_s >= REPORT_TTL_S:
                continue
            waiting_s = waiting_since_s.get(target.service, now_s)
            known_s = max(report.received_s, waiting_s)
            if now_s - known_s >= contracts.DIGEST_TTL_S:
                continue
            if not report.free_room.covers(demand):
                continue
            free = report.free_room
            if view.starts_sent > report.starts_seen:
                free = free.subtract(
                    view.measure_sent_since(report.starts_seen)
                )
            allowed = max(0, view.allowance - len(view.outstanding))
            count += min(allowed, free.count(demand))
        return count

    def measure_room(self, now_s: float) -> dict[str, DomainRoom]:
        """Return the room of the service by failure domain."""
        result: dict[str, DomainRoom] = collections.defaultdict(DomainRoom)
        for report in self._rooms.values():
            if now_s - report.received_s < REPORT_TTL_S:
                domain = report.failure_domain
                result[domain] = result[domain].add(report)
        return dict(result)

    def count_backlog(self, now_s: float) -> dict[str, int]:
        """Return the waiting tasks of all entries by their first kind.

        An entry counts with all its waiting tasks under the kind of the
        first, since its digest has no others.
        """
        result: collections.Counter[str] = collections.Counter()
        for reported_s, backlog in self._backlogs.values():
            if now_s - reported_s < REPORT_TTL_S:
                result[backlog.kind] += backlog.queued
        return dict(result)

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            'room': {
                domain: {
                    'cpu_millis': each.room.cpu_millis,
                    'free_cpu_millis': each.free_room.cpu_millis,
                }
                for domain, each in self.measure_room(now_s).items()
            },
            'backlog': self.count_backlog(now_s),
        }

    def _drop_expired(self, now_s: float) -> None:
        self._backlogs = {
            entry: known
            for entry, known in self._backlogs.items()
            if now_s - known[0] < REPORT_TTL_S
        }
