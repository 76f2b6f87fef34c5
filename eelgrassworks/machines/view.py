"""A target as an entry sees it: an estimate that lags behind its agent.

The agent reports free slots together with the number of starts that it has
received, so the entry can count the starts in flight exactly.
"""

import collections
import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks.machines import target

SPEED_SMOOTHING: Final = 0.1
MIN_SPEED_SAMPLES: Final = 5
# A target that makes almost no progress is equivalent to an unusable one, so
# a larger slowness would mean nothing.
MAX_SLOWNESS: Final = 100.0
# Outstanding tasks allowed at a new or returned target.  Each success doubles
# the number, and so does each time step, since tasks may be long.
INITIAL_ALLOWANCE: Final = 2
RAMP_STEP_S: Final = 0.25
# Reported number of free slots of a blocked target, below the longest queue
# that a policy allows.
FULL: Final = -1_000_000
# Starts in flight to one target whose demands are recorded.
MAX_IN_FLIGHT: Final = 256


@dataclasses.dataclass(slots=True)
class SpeedEstimate:
    """Smoothed run time of one target relative to all targets."""

    ratio: float = 1.0
    samples: int = 0

    def record(self, ratio: float) -> None:
        """Update the estimate with an observed ratio."""
        self.samples += 1
        weight = max(SPEED_SMOOTHING, 1.0 / self.samples)
        self.ratio += weight * (ratio - self.ratio)


@dataclasses.dataclass(slots=True)
class Outstanding:
    """A start that was sent and has no final answer yet.

    ``attempt`` and ``stamp_ms`` are those of the start message;
    ``fence_sent_s`` is when its latest fence was sent, and before the first
    fence it equals ``sent_s``.
    """

    team: str
    kind: str
    attempt: int
    stamp_ms: int
    limit_s: float
    sent_s: float
    fence_sent_s: float
    demand: contracts.Room = contracts.NO_ROOM
    # An answer is expected within this time.
    expected_s: float = float('inf')
    # Set once the agent has reported that the target runs the attempt.
    is_shown: bool = False
    # Cleared once the quota of the team no longer counts the task.
    is_counted: bool = True

    def is_overdue(self, now_s: float, margin_s: float) -> bool:
        """Tell whether the answer should have arrived by now."""
        timeout_s = min(self.limit_s + margin_s, self.expected_s)
        return now_s - self.sent_s > timeout_s


@dataclasses.dataclass(slots=True)
class LostTarget:
    """Starts sent to an agent that has become unresponsive.

    Its target may still carry them out, at any later time.  They are settled
    by that incarnation of the agent, or by a renewal of a later one, which
    follows the fence at the target.  ``ended`` has the starts whose job has
    ended meanwhile, and ``ended_s`` when that was found.
    """

    stamp_ms: int
    starts: dict[contracts.TaskKey, Outstanding]
    ended: dict[contracts.TaskKey, Outstanding] = dataclasses.field(
        default_factory=dict
    )
    ended_s: float = float('-inf')


@dataclasses.dataclass(slots=True)
class TargetView:
    """One incarnation of a target and its agent.

    ``free`` estimates the free slots: the reported number less the starts in
    flight; a negative number is the length of the queue at the target.
    ``decline_reason`` is why the agent stopped accepting tasks, if it said
    so.  ``suspect`` is set while the agent is unresponsive; ``allowance``
    limits the outstanding tasks of a new or returned target;
    ``outstanding_cpu_millis`` is the processor demand of outstanding tasks.
    ``cancelled`` has the outstanding tasks whose job was aborted, and when.
    """

    target: target.Target
    incarnation: int
    stamp_ms: int = 0
    last_contact_s: float = 0.0
    accepting: bool = False
    decline_reason: str = ''
    reported_free: int = 0
    free: int = 0
    reported_room: contracts.Room = contracts.NO_ROOM
    free_room: contracts.Room = contracts.NO_ROOM
    starts_sent: int = 0
    starts_seen: int = 0
    outstanding: dict[contracts.TaskKey, Outstanding] = dataclasses.field(
        default_factory=dict
    )
    cancelled: dict[contracts.TaskKey, float] = dataclasses.field(
        default_factory=dict
    )
    suspect: bool = False
    allowance: int = INITIAL_ALLOWANCE
    last_ramp_s: float = float('-inf')
    reported_speed: float = 0.0
    outstanding_cpu_millis: int = 0
    speed: SpeedEstimate = dataclasses.field(default_factory=SpeedEstimate)
    # Demands of the latest starts, newest last.
    _demands: collections.deque[contracts.Room] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_IN_FLIGHT)
    )

    @property
    def slowness(self) -> float:
        """Return the run time relative to the mean; 1.0 while unknown.

        If the agent measures the speed, it is relative to declared run times.
        """
        if self.reported_speed > 0:
            return min(MAX_SLOWNESS, 1.0 / self.reported_speed)
        if self.speed.samples < MIN_SPEED_SAMPLES:
            return 1.0
        return self.speed.ratio

    @property
    def throughput(self) -> float:
        """Return the declared work that outstanding tasks do a second.

        The result is in processor-seconds a second.
        """
        return self.outstanding_cpu_millis / 1000 / self.slowness

    def covers(self, demand: contracts.Room) -> bool:
        """Return whether a task is expected to start at once."""
        if self.free <= 0:
            return False
        return not self.target.has_room or self.free_room.covers(demand)

    def report(
        self,
        free: int,
        starts_seen: int,
        room: contracts.Room = contracts.NO_ROOM,
    ) -> None:
        """Apply the counts of a message of the agent."""
        self.reported_free = free
        self.reported_room = room
        self.starts_seen = starts_seen
        if not self.outstanding:
            self.starts_sent = starts_seen
        self._estimate_free()

    @property
    def is_at_allowance(self) -> bool:
        """Return whether the outstanding tasks have reached the allowance."""
        return len(self.outstanding) >= self.allowance

    def begin_ramp(self) -> None:
        """Reset the allowance of a target that has returned."""
        self.allowance = INITIAL_ALLOWANCE
        self.last_ramp_s = float('-inf')

    def ramp(self) -> None:
        """Double the allowance while it is at most twice the capacity."""
        if self.allowance <= self._count_capacity() * 2:
            self.allowance *= 2

    def ramp_by_time(self, now_s: float) -> None:
        """Double the allowance after each time step."""
        if self.last_ramp_s == float('-inf'):
            self.last_ramp_s = now_s
        elif now_s - self.last_ramp_s >= RAMP_STEP_S:
            self.last_ramp_s = now_s
            self.ramp()

    def _count_capacity(self) -> int:
        """Return the largest number of tasks that the target can run."""
        if self.target.has_room:
            return MAX_IN_FLIGHT
        return self.target.slots

    def block(self) -> None:
        """Treat the target as full until its next report."""
        self.reported_free = FULL
        self._estimate_free()

    def send(self, key: contracts.TaskKey, start: Outstanding) -> None:
        """Record that a start was sent."""
        self.outstanding[key] = start
        self.outstanding_cpu_millis += start.demand.cpu_millis
        self.starts_sent += 1
        self._demands.append(start.demand)
        self._estimate_free()

    def restore(self, starts: dict[contracts.TaskKey, Outstanding]) -> None:
        """Take back starts of this incarnation of the agent."""
        for key, start in starts.items():
            self.outstanding[key] = start
            self.outstanding_cpu_millis += start.demand.cpu_millis
        self._estimate_free()

    def record_shown(self, key: contracts.TaskKey, attempt: int) -> None:
        """Record that the target runs an attempt."""
        start = self.outstanding.get(key)
        if start is not None and start.attempt == attempt:
            start.is_shown = True

    def is_unshown(self, key: contracts.TaskKey) -> bool:
        """Tell whether a start may still be under way to the target.

        An agent whose target has no room starts its tasks itself.
        """
        start = self.outstanding.get(key)
        if start is None or not self.target.has_room:
            return False
        return not start.is_shown

    def list_unshown(self) -> list[contracts.TaskKey]:
        """Return the starts that may still be under way to the target."""
        return [key for key in self.outstanding if self.is_unshown(key)]

    def cancel(self, key: contracts.TaskKey, now_s: float) -> None:
        """Record that the job of an outstanding task was aborted."""
        if key in self.outstanding:
            self.cancelled.setdefault(key, now_s)

    def settle(self, key: contracts.TaskKey) -> Outstanding | None:
        """Remove a key; return its start, or None if not outstanding."""
        start = self.outstanding.pop(key, None)
        self.cancelled.pop(key, None)
        if start is not None:
            self.outstanding_cpu_millis -= start.demand.cpu_millis
        self._estimate_free()
        return start

    def measure_sent_since(self, starts_seen: int) -> contracts.Room:
        """Return the room of the starts that a report did not include.

        ``starts_seen`` is the number of starts that the agent had received.
        """
        sent = contracts.NO_ROOM
        in_flight = self._count_in_flight(starts_seen)
        for position in range(min(in_flight, len(self._demands))):
            sent = sent.add(self._demands[-1 - position])
        return sent

    def _count_in_flight(self, starts_seen: int) -> int:
        in_flight = self.starts_sent - starts_seen
        return min(max(0, in_flight), len(self.outstanding))

    def _estimate_free(self) -> None:
        if not self.target.has_room:
            in_flight = self._count_in_flight(self.starts_seen)
            self.free = self.reported_free - in_flight
            return
        self.free = self.reported_free
        self.free_room = self.reported_room.subtract(
            self.measure_sent_since(self.starts_seen)
        )
