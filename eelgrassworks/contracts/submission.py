"""Submissions and their answers.

A submission is one job of 1 to MAX_TASKS tasks of one kind.  Its answer is
whole: every result, or a statement that nothing ran, or a failure after
which some task may have run.
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
    """A job as accepted at the border.

    ``claimed`` is False for a request without a caller's id: no resubmission
    can name it, so no claim is needed.  Payloads and results are JSON texts.

    A ``transient`` job lives as long as a caller waits for it.  It is not
    stored, its tasks may start again once no earlier run is left, and never
    two runs of a task exist at a time.  Each of its tasks needs ``demand``;
    ``estimate_s`` is the caller's rough estimate of one task's run time.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Every task ran once and succeeded; results stand in task order."""

    results: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No task of the submission was started, nor will one be."""

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The job failed; some of its tasks may have run."""

    refusal: errors.Refusal


Answer = Complete | NotRun | Failed
