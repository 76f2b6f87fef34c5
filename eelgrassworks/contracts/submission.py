"""Submissions and their answers.

A submission is one job of 1 to MAX_TASKS tasks of one kind.  Its answer is
whole: every result, or a statement that nothing ran, or a failure after
which some task may have run.
"""

import dataclasses
from typing import Final

from eelgrassworks import errors

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
    """

    id: str
    digest: str
    team: str
    kind: str
    payloads: tuple[bytes, ...]
    time_limit_s: float
    claimed: bool


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
