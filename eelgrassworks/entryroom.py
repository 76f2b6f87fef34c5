"""Room that one entry shares with others: its requests and what it is told.

The entry asks targets for room by messages, and knows from the reports of
agents which room the whole service has.  With ``Off`` it sends nothing and
knows nothing.
"""

import collections
from collections.abc import Callable

import msgspec

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks.contracts import queues
from eelgrassworks.links import messages
from eelgrassworks.machines import placement
from eelgrassworks.machines import roomrequests
from eelgrassworks.machines import serviceview


class EntryRoom:
    """Requests for room, digests of waiting work, and the reported room."""

    def __init__(
        self,
        feature: features.Off | features.SharedRoom,
        queue: queues.FairQueue,
        counters: collections.Counter[str],
    ) -> None:
        self.feature = feature
        # Empty unless the agents share room.
        self.service = serviceview.ServiceView()
        self._queue = queue
        self._counters = counters
        self._requests = roomrequests.RoomRequests()
        # Since when work has waited for the targets of each service.
        self._waiting_since_s: dict[str, float] = {}

    def record_report(
        self,
        view: machines.TargetView,
        state: contracts.SharedState | msgspec.UnsetType,
        now_s: float,
    ) -> None:
        """Take note of what an agent reported of all entries."""
        if not isinstance(state, msgspec.UnsetType):
            self.service.record(view, state, now_s)

    def record_offer(self, target: str) -> None:
        """Take note of an answer of a target."""
        self._requests.record_answer(target)

    def record_busy(self, target: str) -> None:
        """Take note of a start that was declined for lack of room."""
        self.service.record_full(target)

    def record_start(self) -> None:
        """Take note of a start that was sent."""
        self._requests.record_start()

    def record_arrival(self) -> None:
        """Take note of work that is about to be queued."""
        if not self._queue.length:
            self._waiting_since_s = {}

    def record_placed(self, asked: set[str]) -> None:
        """Take note that work waits only for the targets of some services."""
        if self._waiting_since_s:
            self._waiting_since_s = {
                service: since_s
                for service, since_s in self._waiting_since_s.items()
                if service in asked
            }

    def request(
        self,
        usable: list[machines.TargetView],
        queued: queues.QueuedJob,
        share: int,
        asked: set[str],
        now_s: float,
    ) -> effects.Effects:
        """Ask targets for room for the first work that waits for them.

        ``share`` is the number of waiting tasks to tell each of them.
        ``asked`` has the services whose targets more urgent work has asked.
        """
        match self.feature:
            case features.Off():
                return []
            case features.SharedRoom():
                pass
        services = {view.target.service for view in usable}
        if not services.isdisjoint(asked):
            return []
        asked |= services
        for service in services:
            self._waiting_since_s.setdefault(service, now_s)
        chosen = self._requests.choose(usable, self._queue.length, now_s)
        self._requests.waiting = self._queue.length
        self._counters['room_requests'] += len(chosen)
        return [
            effects.Send(
                view.target.name,
                messages.SlotsRequest(
                    share,
                    self.make_demand(
                        queued.kind,
                        queued.priority,
                        queued.due_s,
                        queued.demand,
                        now_s,
                    ),
                ),
            )
            for view in chosen
        ]

    def make_demand(
        self,
        kind: str,
        priority: int,
        due_s: float,
        room: contracts.Room,
        now_s: float,
    ) -> contracts.Demand | msgspec.UnsetType:
        """Return the next digest; unset if the decision is off."""
        match self.feature:
            case features.Off():
                return msgspec.UNSET
            case features.SharedRoom():
                return self._requests.make_demand(
                    kind, priority, due_s, room, self._queue.length, now_s
                )

    def count_startable(
        self,
        serving: list[machines.TargetView],
        job: queues.QueuedJob,
        now_s: float,
    ) -> int:
        """Return how many tasks of a job's size have room in the service."""
        match self.feature:
            case features.Off():
                return 0
            case features.SharedRoom():
                usable = placement.list_fast_enough(
                    serving, job.due_s - now_s, job.estimate_s
                )
                return self.service.count_startable(
                    usable, job.demand, self._waiting_since_s, now_s
                )

    def list_without_room(
        self,
        overdue: list[queues.QueuedJob],
        list_serving: Callable[[str], list[machines.TargetView]],
        now_s: float,
    ) -> list[str]:
        """Return the overdue jobs for which the service has no room.

        The others wait for a grant, and take the place of no job in time.
        """
        match self.feature:
            case features.Off():
                return [job.submission for job in overdue]
            case features.SharedRoom():
                pass
        ended: list[str] = []
        used = 0
        # By kind and demand, since an overload may have many jobs.
        known: dict[tuple[str, contracts.Room], int] = {}
        for job in overdue:
            key = job.kind, job.demand
            if key not in known:
                serving = list_serving(job.kind)
                known[key] = self.count_startable(serving, job, now_s)
            if known[key] <= used:
                ended.append(job.submission)
            else:
                used += len(job.indices)
        return ended
