"""Jobs that an entry owns, and the answers it keeps.

A job gathers one outcome for each task and is answered once, whole.
"""

import collections
import dataclasses
import enum
from typing import Final

from eelgrassworks import contracts

ANSWER_RETENTION_S: Final = 900.0
MAX_RETAINED_ANSWERS_BYTES: Final = 64 * 1024 * 1024


class JobState(enum.Enum):
    """Stage of a job."""

    CLAIMING = 'claiming'
    ACTIVE = 'active'
    ENDED = 'ended'


class TaskState(enum.IntEnum):
    """Stage of a task within its job."""

    WAITING = 0
    SENT = 1
    DONE = 2


@dataclasses.dataclass(slots=True)
class Job:
    """A job and the outcomes gathered so far.

    ``waiters`` are the local requests and ``remote`` the attached requests
    of other entries that receive the answer.  ``attempts`` counts the fenced
    starts of a task, ``objections`` those that were not for want of a slot,
    ``failures`` the runs that failed by themselves.  ``due_s`` is the latest
    start that still meets the objective, ``priority`` the urgency of the
    kind, 0 first; an answer after ``useless_s`` is of
    no use.  ``has_run`` stays set once any run of a task has ended.
    """

    submission: contracts.Submission
    arrived_s: float
    deadline_s: float
    state: JobState = JobState.CLAIMING
    answer: contracts.Answer | None = None
    waiters: list[int] = dataclasses.field(default_factory=list)
    remote_waiters: list[tuple[str, int]] = dataclasses.field(
        default_factory=list
    )
    tasks: bytearray = dataclasses.field(default_factory=bytearray)
    attempts: dict[int, int] = dataclasses.field(default_factory=dict)
    objections: dict[int, int] = dataclasses.field(default_factory=dict)
    results: list[bytes] = dataclasses.field(default_factory=list)
    places: dict[int, str] = dataclasses.field(default_factory=dict)
    remaining: int = 0
    ended_s: float = 0.0
    due_s: float = 0.0
    priority: int = 0
    latest_end_s: float = float('inf')
    failures: dict[int, int] = dataclasses.field(default_factory=dict)
    has_run: bool = False

    def activate(self) -> None:
        """Begin to gather outcomes."""
        count = len(self.submission.payloads)
        self.state = JobState.ACTIVE
        self.tasks = bytearray(count)
        self.results = [b''] * count
        self.remaining = count

    def note_sent(self, index: int, target: str) -> None:
        """Record that a start was sent to a target."""
        self.tasks[index] = TaskState.SENT
        self.places[index] = target

    def note_restart(self, index: int) -> None:
        """Record that a run has ended without a result."""
        self.has_run = True
        self.note_unsent(index)

    def note_unsent(self, index: int) -> None:
        """Record that the sent start was fenced and did not happen."""
        self.tasks[index] = TaskState.WAITING
        self.places.pop(index, None)

    def record_result(self, index: int, result: bytes) -> bool:
        """Take a result; return whether it was the last one."""
        if self.tasks[index] == TaskState.DONE:
            return False
        self.tasks[index] = TaskState.DONE
        self.places.pop(index, None)
        self.results[index] = result
        self.remaining -= 1
        return self.remaining == 0

    def has_waiting_tasks(self) -> bool:
        """Tell whether any task is neither sent nor done."""
        return TaskState.WAITING in self.tasks

    def may_have_run(self) -> bool:
        """Tell whether any task was sent and not fenced, or has run."""
        return self.has_run or any(
            state != TaskState.WAITING for state in self.tasks
        )

    def end(self, answer: contracts.Answer, now_s: float) -> None:
        """Fix the answer and drop what only gathering needed."""
        self.state = JobState.ENDED
        self.answer = answer
        self.ended_s = now_s
        self.results = []
        self.attempts = {}
        self.objections = {}
        self.places = {}
        self.submission = dataclasses.replace(self.submission, payloads=())


def measure_answer(answer: contracts.Answer | None) -> int:
    """Return the approximate size of an answer in bytes."""
    match answer:
        case contracts.Complete(results):
            return sum(map(len, results))
        case _:
            return 0


class JobTable:
    """Jobs by submission id, with a bound on ended ones."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self._ended: collections.deque[tuple[float, str, int]] = (
            collections.deque()
        )
        self._retained_bytes = 0

    def find(self, submission: str) -> Job | None:
        """Return the job of an id, if it is known here."""
        return self.jobs.get(submission)

    def add(self, job: Job) -> None:
        """Take a new job."""
        self.jobs[job.submission.id] = job

    def drop(self, submission: str) -> None:
        """Forget a job of which no task was ever sent."""
        self.jobs.pop(submission, None)

    def end(self, job: Job, answer: contracts.Answer, now_s: float) -> None:
        """Keep the answer of a job for resubmissions."""
        job.end(answer, now_s)
        if not job.submission.claimed:
            del self.jobs[job.submission.id]
            return
        size = measure_answer(answer)
        self._ended.append((now_s, job.submission.id, size))
        self._retained_bytes += size

    def expire(self, now_s: float) -> None:
        """Forget answers beyond the bounds on age and bytes."""
        while self._ended:
            ended_s, submission, size = self._ended[0]
            is_expired = now_s - ended_s > ANSWER_RETENTION_S
            if (
                not is_expired
                and self._retained_bytes <= MAX_RETAINED_ANSWERS_BYTES
            ):
                return
            self._ended.popleft()
            self._retained_bytes -= size
            self.jobs.pop(submission, None)

    def list_open(self) -> list[Job]:
        """Return the jobs without an answer."""
        return [
            job for job in self.jobs.values() if job.state != JobState.ENDED
        ]


class TransientIds:
    """Ids of transient jobs, which no other owner uses.

    A caller's id may be submitted again, here or elsewhere, once its job has
    ended or its caller has left; while the job is open here it stays one
    job.  ``run`` tells this run of the entry from any other.
    """

    def __init__(self, run_id: int) -> None:
        self._run_id = run_id
        self._count = 0
        self._open: dict[str, str] = {}

    def assign_job_id(
        self, submission: contracts.Submission
    ) -> contracts.Submission:
        """Return the submission under the id of its open job, or a new one."""
        job_id = self._open.get(submission.id)
        if job_id is None:
            self._count += 1
            job_id = f'{submission.id}/{self._run_id:x}-{self._count}'
        return dataclasses.replace(submission, id=job_id)

    def open(self, submission: contracts.Submission) -> None:
        """Record that the job of a scoped submission is open."""
        self._open[submission.caller_id] = submission.id

    def close(self, submission: contracts.Submission) -> None:
        """Record that a job has ended, if it is a transient one."""
        if submission.transient:
            self._open.pop(submission.caller_id, None)
