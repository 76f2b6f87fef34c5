"""A target as its own agent sees it.

The agent is the only process that starts tasks, so the occupation of slots
is exact here.
"""

import dataclasses

from eelgrassworks import contracts


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end that runs tasks on one worker.

    ``kinds`` is empty when the target serves every kind that its failure
    domain may serve.
    """

    name: str
    worker: str
    failure_domain: str
    slots: int
    kinds: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Occupant:
    """A task that occupies a slot, since ``started_s`` (monotonic)."""

    entry: str
    started_s: float


class Slots:
    """The slots of a target; each holds one running task or none."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.occupants: dict[contracts.TaskKey, Occupant] = {}

    @property
    def free(self) -> int:
        """Return the number of slots without a task."""
        return self.count - len(self.occupants)

    def occupy(self, key: contracts.TaskKey, entry: str, now_s: float) -> None:
        """Put a task into a free slot."""
        if self.free <= 0:
            raise ValueError(f'no free slot for task {key}')
        if key in self.occupants:
            raise ValueError(f'task {key} occupies a slot already')
        self.occupants[key] = Occupant(entry, now_s)

    def release(self, key: contracts.TaskKey) -> Occupant | None:
        """Free the slot of a task; None when it holds no slot."""
        return self.occupants.pop(key, None)
