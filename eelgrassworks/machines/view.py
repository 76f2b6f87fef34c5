"""A target as an entry sees it: an estimate that is always a little late.

The agent reports free slots together with the number of starts that it has
seen, so starts that are still on their way are counted exactly.
"""

import collections
import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks.machines import target

SPEED_SMOOTHING: Final = 0.1
MIN_SPEED_SAMPLES: Final = 5
# A target that does next to nothing is as good as none.
MAX_SLOWNESS: Final = 100.0
# Tasks that a target may hold at first; each success, and each step of time,
# since tasks may be long, doubles the number.
INITIAL_ALLOWANCE: Final = 2
RAMP_STEP_S: Final = 0.25
# Below any queue that a policy may fill.
FULL: Final = -1_000_000
# Starts on their way to one target whose demands are remembered.
MAX_IN_FLIGHT: Final = 256


@dataclasses.dataclass(slots=True)
class SpeedEstimate:
    """Smoothed run time of one target relative to all targets."""

    ratio: float = 1.0
    samples: int = 0

    def note(self, ratio: float) -> None:
        """Take one more observed ratio."""
        self.samples += 1
        weight = max(SPEED_SMOOTHING, 1.0 / self.samples)
        self.ratio += weight * (ratio - self.ratio)


@dataclasses.dataclass(slots=True)
class Outstanding:
    """A start that was sent and not answered.

    ``attempt`` and ``stamp_ms`` are what the start carried; ``probed_s`` is
    when its fate was last asked for.
    """

    team: str
    kind: str
    attempt: int
    stamp_ms: int
    limit_s: float
    sent_s: float
    fence_sent_s: float
    demand: contracts.Room = contracts.NO_ROOM


@dataclasses.dataclass(slots=True)
class TargetView:
    """One incarnation of a target and its agent.

    ``free`` estimates the free slots: what the agent reported, less the
    starts still on their way; a negative number is the length of the queue
    at the target.  ``suspect`` is set while the agent is silent;
    ``allowance`` bounds the outstanding tasks of a target that has just come
    or returned; ``sent_cpu_millis`` is the processor of outstanding tasks.
    """

    target: target.Target
    incarnation: int
    stamp_ms: int = 0
    last_contact_s: float = 0.0
    accepting: bool = False
    reported_free: int = 0
    free: int = 0
    reported_room: contracts.Room = contracts.NO_ROOM
    free_room: contracts.Room = contracts.NO_ROOM
    starts_sent: int = 0
    starts_seen: int = 0
    outstanding: dict[contracts.TaskKey, Outstanding] = dataclasses.field(
        default_factory=dict
    )
    suspect: bool = False
    allowance: int = INITIAL_ALLOWANCE
    last_ramp_s: float = float('-inf')
    reported_speed: float = 0.0
    outstanding_cpu_millis: int = 0
    speed: SpeedEstimate = dataclasses.field(default_factory=SpeedEstimate)
    # Demands of the latest starts, the newest last.
    _demands: collections.deque[contracts.Room] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_IN_FLIGHT)
    )

    @property
    def slowness(self) -> float:
        """Return the run time relative to the mean; 1.0 while unknown.

        Where the agent measures it, relative to what jobs declare.
        """
        if self.reported_speed > 0:
            return min(MAX_SLOWNESS, 1.0 / self.reported_speed)
        if self.speed.samples < MIN_SPEED_SAMPLES:
            return 1.0
        return self.speed.ratio

    @property
    def throughput(self) -> float:
        """Return the declared work that outstanding tasks do a second.

        In processor-seconds a second.
        """
        return self.outstanding_cpu_millis / 1000 / self.slowness

    def covers(self, demand: contracts.Room) -> bool:
        """Tell whether a task would start at once, as far as is known."""
        if not self.target.has_room:
            return self.free > 0
        return self.free > 0 and self.free_room.covers(demand)

    def report(
        self,
        free: int,
        starts_seen: int,
        room: contracts.Room = contracts.NO_ROOM,
    ) -> None:
        """Take the counts of a message of the agent."""
        self.reported_free = free
        self.reported_room = room
        self.starts_seen = starts_seen
        if not self.outstanding:
            self.starts_sent = starts_seen
        self._estimate_free()

    @property
    def is_at_allowance(self) -> bool:
        """Tell whether the target may not take one more task yet."""
        return len(self.outstanding) >= self.allowance

    def begin_ramp(self) -> None:
        """Give a returning target a few tasks first."""
        self.allowance = INITIAL_ALLOWANCE
        self.last_ramp_s = float('-inf')

    def ramp(self) -> None:
        """Allow a target twice as many tasks, up to what it can use."""
        if self.allowance <= self._count_capacity() * 2:
            self.allowance *= 2

    def ramp_by_time(self, now_s: float) -> None:
        """Allow a target more after each step of time."""
        if self.last_ramp_s == float('-inf'):
            self.last_ramp_s = now_s
        elif now_s - self.last_ramp_s >= RAMP_STEP_S:
            self.last_ramp_s = now_s
            self.ramp()

    def _count_capacity(self) -> int:
        """Return how many tasks the target can hold, at most."""
        if self.target.has_room:
            return MAX_IN_FLIGHT
        return self.target.slots

    def block(self) -> None:
        """Take the target for full until it reports again."""
        self.reported_free = FULL
        self._estimate_free()

    def send(self, key: contracts.TaskKey, start: Outstanding) -> None:
        """Record that a start was sent."""
        self.outstanding[key] = start
        self.outstanding_cpu_millis += start.demand.cpu_millis
        self.starts_sent += 1
        self._demands.append(start.demand)
        self._estimate_free()

    def settle(self, key: contracts.TaskKey) -> Outstanding | None:
        """Forget an outstanding key; None when it was not outstanding."""
        start = self.outstanding.pop(key, None)
        if start is not None:
            self.outstanding_cpu_millis -= start.demand.cpu_millis
        self._estimate_free()
        return start

    def _estimate_free(self) -> None:
        in_flight = self.starts_sent - self.starts_seen
        in_flight = min(max(0, in_flight), len(self.outstanding))
        if not self.target.has_room:
            self.free = self.reported_free - in_flight
            return
        self.free = self.reported_free
        self.free_room = self.reported_room
        for position in range(min(in_flight, len(self._demands))):
            self.free_room = self.free_room.subtract(
                self._demands[-1 - position]
            )
