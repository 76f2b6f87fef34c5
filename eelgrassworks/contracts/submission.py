"""Submissions and their answers.

A submission is one job of 1 to MAX_TASKS tasks of one kind.  Its answer
covers all tasks: every result, or a statement that no task ran, or a failure
after which some tasks may have run.
"""

import dataclasses
from typing import Final

from eelgrassworks import errors
from eelgrassworks.contracts import room

MAX_TASKS: Final = 1200


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """Identity of a task; at most one start may ever happen for a key."""

    submission: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A validated job.

    ``claimed`` is False for a request without an id from its caller: no
    resubmission can refer to it, so no claim is needed.  Payloads and results
    are JSON texts.

    A ``transient`` job exists only while a caller waits for it, and is not
    stored.  Its tasks may be restarted once no earlier run remains, so that
    at most one run of a task exists at a time.  Each of its tasks requires
    ``demand``; ``estimate_s`` is the caller's estimate of one task's run
    time.
    """

    id: str
    digest: str
    team: str
    kind: str
    payloads: tuple[bytes, ...]
    time_limit_s: float
    claimed: bool
    transient: bool = False
    demand: room.Room = room.NO_ROOM
    estimate_s: float = 0.0

    @property
    def caller_id(self) -> str:
        """Return the id that the caller gave to a transient job."""
        return read_caller_id(self.id)


def read_caller_id(submission: str) -> str:
    """Return the caller's part of the id of a transient job."""
    return submission.partition('/')[0]


def read_run(submission: str) -> int | None:
    """Return the run of the entry that gave a transient job its id."""
    run = submission.partition('/')[2].partition('-')[0]
    try:
        return int(run, 16)
    except ValueError:
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Every task ran once and succeeded; results are in task order."""

    results: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No task of the submission was started, nor will one be."""

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The job failed; some of its tasks may have run.

    ``may_start`` is set if a start of a task may still be under way, so that
    the job must not be submitted again.
    """

    refusal: errors.Refusal
    may_start: bool = False


Answer = Complete | NotRun | Failed
