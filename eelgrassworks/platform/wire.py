"""Border models of the platform's messages.

The field names are the platform's.  Where one misleads, a comment says what
it holds.
"""

from typing import Annotated
from typing import Any

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Text = Annotated[str, msgspec.Meta(min_length=1)]


class Listen(msgspec.Struct):
    """Addresses that this process serves; absent ones are not its role's."""

    front: str | None = None
    ready: str | None = None
    control: str | None = None


class NodeFile(msgspec.Struct, rename='camel'):
    """The settings file of a process.  Other fields are not needed."""

    node: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: Listen
    port_range: tuple[int, int]
    seeds: list[str]
    first_start: bool = False
    data_dir: str | None = None
    # Address of the target beside this process.
    app: str | None = None
    fault_tolerance: dict[str, int] = {}
    bounds: dict[str, Any] = {}


class Route(msgspec.Struct, rename='camel'):
    """A queue of the manifest."""

    name: Text
    host: str
    path_prefix: str
    service: str
    timeout_ms: Positive
    # The part of the response objective that does not grow with the work.
    slo_ms: float = 0
    priority: int = 0
    # How often a task may run and fail.
    attempts: Positive = 1
    stretch: float = 1.0


class Service(msgspec.Struct, rename='camel'):
    """A pool of targets of the manifest."""

    name: Text


class Manifest(msgspec.Struct, rename='camel'):
    """A whole configuration."""

    version: Count
    routes: list[Route]
    services: list[Service]
    limits: dict[str, Any] = {}


class Step(msgspec.Struct, rename='camel'):
    """One step of a job; the names without a use here are refused."""

    count: Positive
    cpu: Count = 0
    mem_mb: Count = 0
    estimate_ms: float = 0
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
    """A job as callers send it."""

    spec: str
    # Steps of the job.
    phases: list[Step]
    # The job is not stored, and its caller waits for its end.
    best_effort: bool = False
    repeats: Count = 0


class Capacity(msgspec.Struct, rename='camel'):
    """Room of a target: thousandths of a core, mebibytes, accelerators."""

    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class Heartbeat(msgspec.Struct, rename='camel'):
    """A target's report about itself."""

    service: Text
    zone: Text
    state: str
    seq: Count
    capacity: Capacity
    labels: list[str] = []
    clock_ms: Count = 0
    # Unix time at which this life of the target began, in milliseconds.
    born: Count = 0


class TargetResponse(msgspec.Struct, rename='camel'):
    """Answer to a hold, a start or a stop."""

    clock_ms: int = 0
    born: int = 0
    reason: str = ''
    # Rows of task, run, checkpoint, percent and a rough load.
    running: list[list[Any]] = []
    # Rows of number, task, run, how it ended, checkpoint.
    finished_runs: list[list[Any]] = []
