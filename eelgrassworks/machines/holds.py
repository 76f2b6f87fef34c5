"""Events and effects of ``heldtarget``.

They are the calls to the target, its responses and reports, the requests of
the agent, and the outcomes reported to the agent.  The front end that talks
to the target encodes them.
"""

import dataclasses

from eelgrassworks import contracts


@dataclasses.dataclass(frozen=True, slots=True)
class TargetIncarnation:
    """One incarnation of a target, from its start to its end."""

    name: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """A target's name for a task: the caller's job id and the task's index."""

    job: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's report about itself.

    ``clock_ms`` is the target's monotonic clock.
    """

    incarnation: TargetIncarnation
    service: str
    failure_domain: str
    room: contracts.Room
    labels: tuple[str, ...]
    clock_ms: int
    draining: bool


# Calls.  Each names the incarnation of the target that it is meant for; one
# with another name refuses it.  A target may keep its name when it restarts.


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Start an attempt, unless the target's clock is past ``deadline_ms``."""

    target: str
    name: TaskName
    attempt: int
    payload: bytes
    deadline_ms: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopCall:
    """Stop an attempt, or prevent it from starting."""

    target: str
    name: TaskName
    attempt: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldCall:
    """Renew the lease and request the running and ended attempts.

    Without ``deadline_ms`` the lease is not changed.  The ends up to number
    ``acknowledged_end`` are acknowledged.  The target may delay its response
    for ``wait_s``.
    """

    target: str
    number: int
    deadline_ms: int | None
    fence: int
    acknowledged_end: int
    wait_s: float


# Responses of the target.


@dataclasses.dataclass(frozen=True, slots=True)
class StartResponse:
    """The target accepted a start, or refused it for ``reason``.

    It does not say which incarnation of the target has answered.
    """

    name: TaskName
    attempt: int
    accepted: bool
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StopResponse:
    """The target accepted a stop."""

    name: TaskName
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallUnanswered:
    """A start or stop got no response, or one that does not tell its outcome.

    It may have been carried out, and may still be carried out.
    """

    name: TaskName
    attempt: int
    is_stop: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StartNotSent:
    """The connection for a start was refused, so that it never left."""

    name: TaskName
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The end of an attempt; ``number`` counts the ends of a target.

    ``succeeded`` is set when the run is complete, ``failed`` when it failed
    itself; otherwise it was stopped or its lease expired.
    """

    number: int
    name: TaskName
    attempt: int
    succeeded: bool
    failed: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A running attempt and its progress."""

    name: TaskName
    attempt: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldResponse:
    """The response to a hold: the running and the ended attempts."""

    number: int
    incarnation: TargetIncarnation
    clock_ms: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldFenced:
    """Another agent process has used a higher fence."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldMisdirected:
    """A target with another name refused the hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class HoldUnanswered:
    """A hold got no response; ``refused`` if the connection was refused."""

    refused: bool


StartResult = StartResponse | StartNotSent | CallUnanswered
HoldResult = HoldResponse | HoldFenced | HoldMisdirected | HoldUnanswered


@dataclasses.dataclass(frozen=True, slots=True)
class DepartureAnnounced:
    """The target, or an earlier incarnation of it, said that it will end."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDeparted:
    """The target announced that it is stopping."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequested:
    """The agent starts a task, for which it has reserved room."""

    key: contracts.TaskKey
    attempt: int
    payload: bytes
    estimate_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The agent stops a task."""

    key: contracts.TaskKey


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resumed:
    """The process handled nothing for up to ``paused_s``.

    A call that it had prepared may be sent only now.
    """

    paused_s: float


HeldEvent = (
    StartRequested
    | StopRequested
    | StartResponse
    | StopResponse
    | CallUnanswered
    | StartNotSent
    | HoldResponse
    | HoldFenced
    | HoldMisdirected
    | HoldUnanswered
    | DepartureAnnounced
    | TargetDeparted
    | Ticked
    | Resumed
)

# Outcomes reported to the agent.


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What the target had shown of an attempt when it was settled, for logs.

    ``confirmed`` is set if the target had shown that the attempt started, and
    ``located`` if its current incarnation had.  The start was sent at
    ``sent_s`` with the fence ``start_fence``.
    """

    attempt: int
    confirmed: bool
    located: bool
    sent_s: float
    start_fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunStarted:
    """The target has shown that an attempt runs; its lease now bounds it."""

    key: contracts.TaskKey


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """An attempt has ended and its room is free."""

    key: contracts.TaskKey
    succeeded: bool
    stopped: bool
    reason: str
    evidence: Evidence | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class RunRejected:
    """An attempt was not started and never will be."""

    key: contracts.TaskKey
    reason: str
    evidence: Evidence | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChanged:
    """The target became healthy, or stopped being healthy."""

    healthy: bool


HeldEffect = (
    StartCall | StopCall | RunStarted | RunEnded | RunRejected | HealthChanged
)
