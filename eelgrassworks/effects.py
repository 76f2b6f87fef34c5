"""Effects that decision classes ask of the process around them.

A decision class never touches a socket, a clock or a disk; it returns these
values in the order in which they must happen.
"""

import dataclasses

from eelgrassworks import contracts
from eelgrassworks import errors
from eelgrassworks.links import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a named process."""

    peer: str
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class Connect:
    """Keep a connection to a named process at ``address``."""

    peer: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start a task at the target, within ``limit_s`` seconds."""

    key: contracts.TaskKey
    kind: str
    payload: bytes
    limit_s: float
    attempt: int = 1
    estimate_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Ask the target to stop a running task."""

    key: contracts.TaskKey


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer a request of a caller or operator."""

    request: int
    response: object


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The planned stop is complete; the process may end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Halt:
    """The process must end at once."""

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Write one event to the log."""

    event: str
    fields: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Append to the journal: hard state, then entries after ``keep``.

    Entries with an index above ``keep`` that were written before are void.
    The process reports ``sequence`` back once the write is synced.
    """

    sequence: int
    term: int
    vote: str
    keep: int
    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replace the snapshot and drop the journal up to its index.

    The journal is written anew with the hard state and ``entries``, which
    follow the snapshot.
    """

    sequence: int
    last_index: int
    last_term: int
    data: bytes
    term: int
    vote: str
    entries: tuple[messages.LogEntry, ...]


Effect = (
    Send
    | Connect
    | StartTask
    | StopTask
    | Reply
    | Leave
    | Halt
    | Log
    | Write
    | SaveSnapshot
)
Effects = list[Effect]
