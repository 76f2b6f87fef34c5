"""The ideal response that measurements are compared with.

A job's ideal response is what it would take if the state of all slots were
known at no cost and no message took time beyond one round trip: every task
goes, in order of arrival, to the free slot that runs it soonest.
"""

import dataclasses
import heapq


@dataclasses.dataclass(frozen=True, slots=True)
class IdealTask:
    """One task: when it arrives and how long it takes at normal speed."""

    job: int
    arrived_s: float
    work_s: float


def compute_responses(
    tasks: list[IdealTask], slownesses: list[float], round_trip_s: float
) -> dict[int, float]:
    """Return the ideal response of each job in seconds.

    ``slownesses`` has one factor for each slot.  Tasks must be sorted by
    arrival.
    """
    free = [(0.0, slowness, slot) for slot, slowness in enumerate(slownesses)]
    idle: list[tuple[float, int]] = []
    busy: list[tuple[float, float, int]] = free
    heapq.heapify(busy)
    responses: dict[int, float] = {}
    for task in tasks:
        while busy and busy[0][0] <= task.arrived_s:
            _, slowness, slot = heapq.heappop(busy)
            heapq.heappush(idle, (slowness, slot))
        start_s = task.arrived_s
        if idle:
            slowness, slot = heapq.heappop(idle)
        else:
            start_s, slowness, slot = heapq.heappop(busy)
        end_s = start_s + task.work_s * slowness
        heapq.heappush(busy, (end_s, slowness, slot))
        response_s = end_s - task.arrived_s + round_trip_s
        responses[task.job] = max(responses.get(task.job, 0.0), response_s)
    return responses
