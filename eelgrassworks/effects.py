"""Effects that decision classes return for their process to carry out.

A decision class uses no socket, clock or disk.  It returns these values in
the order in which the process must carry them out.
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
    """Keep a connection to a named process at ``address``.

    A connection that is not ``persistent`` is opened by the first message and
    closed when it is idle.
    """

    peer: str
    address: str
    persistent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """Let the connection to a named process close when it is idle."""

    peer: str


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
    """Answer a caller's or operator's request."""

    request: int
    response: object


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """End the process after a planned stop has completed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Halt:
    """End the process at once, for the reason in ``refusal``."""

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Write one event to the log."""

    event: str
    fields: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Append to the journal: term and vote, then the entries after ``keep``.

    Entries above ``keep`` that were written earlier become void.  The process
    reports ``sequence`` back once the write is synced.
    """

    sequence: int
    term: int
    vote: str
    keep: int
    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replace the snapshot and drop the journal up to ``last_index``.

    The journal is rewritten with the term, the vote and ``entries``, which
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
    | Disconnect
    | StartTask
    | StopTask
    | Reply
    | Exit
    | Halt
    | Log
    | Write
    | SaveSnapshot
)
Effects = list[Effect]
