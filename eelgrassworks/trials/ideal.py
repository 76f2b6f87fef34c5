"""Ideal response times, with which measured ones are compared.

The ideal response time of a job assumes that the state of all slots is known
without delay and that messages take one round trip in total.  Tasks are
scheduled in order of arrival on the fastest idle slot or, if none is idle, on
the slot that becomes free first.
"""

import dataclasses
import heapq


@dataclasses.dataclass(frozen=True, slots=True)
class IdealTask:
    """A task: its arrival and its run time on a slot of slowness 1."""

    job: int
    arrived_s: float
    work_s: float


def compute_responses(
    tasks: list[IdealTask], slownesses: list[float], round_trip_s: float
) -> dict[int, float]:
    """Return the ideal response time of each job in seconds.

    ``slownesses`` has the factor on run times for each slot.  Tasks must be
    sorted by arrival.
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
