"""A target and its slots, as its agent tracks them.

The agent is the only process that starts tasks at its target, so it has the
exact number of occupied slots.
"""

import dataclasses

from eelgrassworks import contracts


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end that runs tasks on one worker.

    ``kinds`` is empty when the target serves every kind that its failure
    domain may serve.  ``service`` is the pool that it belongs to.  With a
    ``room``, processor and memory limit its tasks instead of slots.
    """

    name: str
    worker: str
    failure_domain: str
    slots: int
    kinds: frozenset[str]
    service: str = ''
    room: contracts.Room = contracts.NO_ROOM

    @property
    def has_room(self) -> bool:
        """Return whether room, and not slots, limits the tasks."""
        # Read for every target and task; comparing data classes is slow.
        room = self.room
        return room.cpu_millis != 0 or room.memory_mib != 0

    @property
    def capacity(self) -> float:
        """Return the processor room in millicores, or the slots."""
        return self.room.cpu_millis if self.has_room else self.slots


@dataclasses.dataclass(slots=True)
class Occupant:
    """A task that occupies a slot, since ``started_s`` (monotonic).

    ``is_shown`` is set once the target has shown that the attempt runs, and
    ``reported_s`` is the time of the first renewal that said so.
    ``must_end`` is set once its entry has become unresponsive.
    """

    entry: str
    started_s: float
    demand: contracts.Room = contracts.NO_ROOM
    attempt: int = 0
    is_shown: bool = False
    reported_s: float = float('inf')
    must_end: bool = False


class Slots:
    """The slots of a target; each holds one running task or none.

    If the target has room, the demands of its tasks limit their number, and
    ``count`` does not.
    """

    def __init__(
        self, count: int, room: contracts.Room = contracts.NO_ROOM
    ) -> None:
        self.count = count
        self.room = room
        self.free_room = room
        self.occupants: dict[contracts.TaskKey, Occupant] = {}

    @property
    def free(self) -> int:
        """Return the number of slots without a task.

        If the target has room, 1 while processor is left, otherwise 0.
        """
        if self.room != contracts.NO_ROOM:
            return 1 if self.free_room.cpu_millis > 0 else 0
        return self.count - len(self.occupants)

    def fits(self, demand: contracts.Room) -> bool:
        """Return whether one more task with this demand may start."""
        if self.room != contracts.NO_ROOM:
            return self.free_room.covers(demand)
        return self.free > 0

    def occupy(
        self,
        key: contracts.TaskKey,
        entry: str,
        now_s: float,
        demand: contracts.Room = contracts.NO_ROOM,
        attempt: int = 0,
    ) -> None:
        """Put a task into a free slot.

        Raise ValueError if the task does not fit or occupies a slot already.
        """
        if not self.fits(demand):
            raise ValueError(f'no free slot for task {key}')
        if key in self.occupants:
            raise ValueError(f'task {key} occupies a slot already')
        self.occupants[key] = Occupant(entry, now_s, demand, attempt)
        self.free_room = self.free_room.subtract(demand)

    def release(self, key: contracts.TaskKey) -> Occupant | None:
        """Free the slot of a task; return None if it occupies no slot."""
        occupant = self.occupants.pop(key, None)
        if occupant is not None:
            self.free_room = self.free_room.add(occupant.demand)
        return occupant
