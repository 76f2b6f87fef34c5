"""Validated models of the platform's messages and settings file.

Class fields have the platform's names, which are the keys of the encoded
messages.  A comment explains a field whose name is misleading.
"""

from typing import Annotated
from typing import Any
from typing import Final
from typing import TypeVar

import msgspec

T = TypeVar('T')
# Integers up to this limit fit into each encoding that they pass through.
MAX_COUNT: Final = 2**53
# A job has at most 1,200 tasks; each task costs memory.
MAX_TASKS: Final = 10_000
MAX_ESTIMATE_MS: Final = 86_400_000
# Unix time in the year 2109.  A sum of two times stays a valid count.
MAX_TIME_MS: Final = 2**42
# Offsets from the start of the port range that is reserved for this system.
ENTRY_PORT: Final = 0
CONTROL_PORT: Final = 1
AGENT_PORT: Final = 2
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
TimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Tasks = Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
Progress = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
EstimateMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_ESTIMATE_MS)]
Text = Annotated[str, msgspec.Meta(min_length=1)]


class Listen(msgspec.Struct):
    """Listen addresses of a process; None for those of other roles."""

    front: str | None = None
    ready: str | None = None
    control: str | None = None


class NodeFile(msgspec.Struct, rename='camel'):
    """The settings file of a process; fields without a use are left out."""

    node: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: Listen
    port_range: tuple[int, int]
    seeds: list[Any]
    first_start: bool = False
    data_dir: str | None = None
    # Address of the agent's target.
    app: str | None = None
    fault_tolerance: dict[str, int] = {}
    bounds: dict[str, Any] = {}


class Route(msgspec.Struct, rename='camel'):
    """A queue in a manifest; becomes a kind of request."""

    name: Text
    host: str
    path_prefix: str
    service: str
    timeout_ms: Positive
    # The part of the response objective that does not grow with the work.
    slo_ms: float = 0
    priority: Number = 0
    # Maximum number of failed runs of a task.
    attempts: Positive = 1
    stretch: float = 1.0


class Service(msgspec.Struct, rename='camel'):
    """A pool of targets in a manifest."""

    name: Text


class Manifest(msgspec.Struct, rename='camel'):
    """A complete configuration."""

    version: Count
    routes: list[Route]
    services: list[Service]
    limits: dict[str, Any] = {}


class Step(msgspec.Struct, rename='camel'):
    """One step of a job; ingress rejects unsupported features."""

    count: Tasks
    cpu: Count = 0
    mem_mb: Count = 0
    estimate_ms: EstimateMs = 0
    gpu: Count = 0
    depends_on: list[int] = []
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    anti_affinity: Count = 0
    saves_progress: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    fills: bool = False
    target_ms: float = 0
    miss_budget: Count = 0


class Job(msgspec.Struct, rename='camel'):
    """A job in the body of a caller's request."""

    spec: str
    # Steps of the job.
    phases: list[Step]
    # The job is not stored, and the caller waits for the outcome.
    best_effort: bool = False
    repeats: Count = 0


class Capacity(msgspec.Struct, rename='camel'):
    """Capacity of a target: thousandths of a core, MiB, accelerators."""

    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class Heartbeat(msgspec.Struct, rename='camel'):
    """A periodic report of a target about its own state."""

    service: Text
    zone: Text
    state: str
    # Number of the report; only its type matters, since a drain is final.
    seq: Count
    capacity: Capacity
    labels: list[str] = []
    clock_ms: TimeMs = 0
    # Start time of the target process: Unix time in milliseconds.
    born: TimeMs = 0


class Departure(msgspec.Struct, rename='camel'):
    """A target's announcement that it ends."""

    # Start time of the target process: Unix time in milliseconds.
    born: TimeMs = 0


class RunningRow(msgspec.Struct, array_like=True):
    """A running task; further entries of the row are left out."""

    task: str
    run: Count
    checkpoint: Any
    percent: Progress


class FinishedRow(msgspec.Struct, array_like=True):
    """An ended run; further entries of the row are left out."""

    number: Count
    task: str
    run: Count
    outcome: str


class TargetResponse(msgspec.Struct, rename='camel'):
    """Response of a target to a hold, a start or a stop.

    Only a response to a hold has the lists.
    """

    clock_ms: TimeMs = 0
    born: TimeMs = 0
    reason: str = ''
    running: list[RunningRow] | None = None
    finished_runs: list[FinishedRow] | None = None


class BodyInvalid(Exception):
    """A body cannot be decoded; the message says why."""


def decode(decoder: msgspec.json.Decoder[T], body: bytes) -> T:
    """Decode a body; raises BodyInvalid, whatever the body contains."""
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BodyInvalid(str(error)) from error
