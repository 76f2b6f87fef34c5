"""What an agent and a target that holds tasks say to each other.

Calls to the target, its answers and reports, the wishes of the agent, and
what the agent hears in the end.  How a call is written down is the matter of
the front end that speaks to the target.
"""

import dataclasses

from eelgrassworks import contracts


@dataclasses.dataclass(frozen=True, slots=True)
class Life:
    """One life of a target, from its start to its end."""

    name: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """What a target calls a task: the caller's job and the task's index."""

    job: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says about itself.

    ``sequence`` grows with each report of one life; ``clock_ms`` is the
    target's own steady clock.
    """

    life: Life
    sequence: int
    service: str
    failure_domain: str
    room: contracts.Room
    labels: tuple[str, ...]
    clock_ms: int
    draining: bool


# Calls.


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Start an attempt unless ``deadline_ms`` of the target has passed."""

    name: TaskName
    attempt: int
    payload: bytes
    deadline_ms: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopCall:
    """Stop an attempt, or keep it from ever starting."""

    name: TaskName
    attempt: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldCall:
    """Renew the lease and ask what runs and what has ended.

    Without ``deadline_ms`` the lease stays as it is.  ``seen`` is the number
    of the last end that was taken.
    """

    number: int
    deadline_ms: int | None
    fence: int
    seen: int
    wait_s: float


# Answers.


@dataclasses.dataclass(frozen=True, slots=True)
class StartTold:
    """The target took the start, or refused it for a reason."""

    name: TaskName
    attempt: int
    accepted: bool
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StopTold:
    """The target took the stop."""

    name: TaskName
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """A start or stop got no answer; it may still be carried out."""

    name: TaskName
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """End number ``number``: an attempt is over.

    ``failed`` is set when the run failed by itself, ``succeeded`` when it
    is done; otherwise it was stopped or its lease ended.
    """

    number: int
    name: TaskName
    attempt: int
    succeeded: bool
    failed: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An attempt that runs, and how much of its work is done."""

    name: TaskName
    attempt: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldTold:
    """What runs and what has ended, as of one hold."""

    number: int
    life: Life
    clock_ms: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldFenced:
    """Another agent process has used a higher fence."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldUnanswered:
    """A hold got no answer; ``refused`` when nobody listens there."""

    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDeparted:
    """The target said that it ends now."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequested:
    """The agent wants a task to start; it has room for it."""

    key: contracts.TaskKey
    attempt: int
    payload: bytes
    estimate_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The agent wants a task to end."""

    key: contracts.TaskKey


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


HeldEvent = (
    StartRequested
    | StopRequested
    | StartTold
    | StopTold
    | OrderUnanswered
    | HoldTold
    | HoldFenced
    | HoldUnanswered
    | TargetDeparted
    | Ticked
)

# What the agent hears.


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """An attempt has ended and holds no room any more."""

    key: contracts.TaskKey
    succeeded: bool
    stopped: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunRejected:
    """An attempt never started and never will."""

    key: contracts.TaskKey
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChanged:
    """The target answers again, or no longer does."""

    healthy: bool


HeldEffect = StartCall | StopCall | RunEnded | RunRejected | HealthChanged
