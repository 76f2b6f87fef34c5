"""What an entry tells an agent about its waiting work."""

import dataclasses

from eelgrassworks.contracts import room


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Digest of the first waiting work of an entry.

    ``number`` rises with every digest of one run of the entry.  ``due_ms`` is
    the time left until the latest start that meets the objective; ``room`` is
    that of one task.  ``count`` tasks are wanted at the receiver, and
    ``queued`` wait at the entry in total.  With a start, the priority and the
    due time are those of the job that it belongs to.
    """

    number: int
    kind: str
    priority: int
    due_ms: int
    room: room.Room
    count: int
    queued: int
