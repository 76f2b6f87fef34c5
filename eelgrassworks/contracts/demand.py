"""What an entry tells an agent about its waiting work."""

import dataclasses
from typing import Final

from eelgrassworks.contracts import room

# A digest older than this is forgotten, and the entry asks another target if
# it still waits.  In the trial with objectives (9 entries, 16 targets) 1 s and
# 0.25 s left room with entries that no longer needed it.
DIGEST_TTL_S: Final = 0.03


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


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """What an entry last reported to an agent, ``age_ms`` ago.

    ``queued`` tasks waited there, the first of them of ``kind``.
    """

    entry: str
    kind: str
    queued: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SharedState:
    """What an agent that shares room reports of its target.

    ``free_room`` is all that is left, whichever entry it is granted to.
    """

    free_room: room.Room
    backlogs: tuple[Backlog, ...]
