"""Jobs that an entry owns, and the answers it retains.

A job collects one outcome for each task and is answered once, for all tasks.
"""

import collections
import dataclasses
import enum
from typing import Final

from eelgrassworks import contracts

ANSWER_RETENTION_S: Final = 900.0
MAX_RETAINED_ANSWERS_BYTES: Final = 64 * 1024 * 1024
# A target words some of the reasons.
MAX_REASON_CHARS: Final = 64


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


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """Why an attempt is taken to have ended, and its target."""

    reason: str = ''
    target: str = ''


@dataclasses.dataclass(slots=True)
class Job:
    """A job and the outcomes collected so far.

    ``waiters`` are the local requests that receive the answer, and
    ``remote_waiters`` the attached requests of other entries.
    ``targets_by_index`` maps the index of a sent task to its target.  By task
    index, ``attempts`` counts fenced starts, ``rejections`` the starts that a
    target rejected for another reason than a lack of slots, and ``failures``
    the runs that failed; ``previous`` has the latest attempt that ended
    without a result.

    ``due_s`` is the latest start that still meets the objective, and
    ``priority`` the urgency of the kind, with 0 first.  An answer after
    ``latest_end_s`` is of no use.  ``has_run`` stays set once a run of any
    task has ended, here or at another entry that owned the job.  Since
    ``granted_s`` this entry owns a transient job.
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
    rejections: dict[int, int] = dataclasses.field(default_factory=dict)
    results: list[bytes] = dataclasses.field(default_factory=list)
    targets_by_index: dict[int, str] = dataclasses.field(default_factory=dict)
    remaining: int = 0
    ended_s: float = 0.0
    due_s: float = 0.0
    priority: int = 0
    latest_end_s: float = float('inf')
    failures: dict[int, int] = dataclasses.field(default_factory=dict)
    has_run: bool = False
    granted_s: float = float('inf')
    previous: dict[int, EndedAttempt] = dataclasses.field(default_factory=dict)

    def activate(self) -> None:
        """Start to collect outcomes."""
        count = len(self.submission.payloads)
        self.state = JobState.ACTIVE
        self.tasks = bytearray(count)
        self.results = [b''] * count
        self.remaining = count

    def record_sent(self, index: int, target: str) -> None:
        """Record that a start was sent to a target."""
        self.tasks[index] = TaskState.SENT
        self.targets_by_index[index] = target

    def record_restart(self, index: int, reason: str) -> None:
        """Record that a run has ended without a result."""
        self.has_run = True
        self.record_fenced(index, reason)

    def record_fenced(self, index: int, reason: str) -> None:
        """Record that the sent start was fenced and did not take place."""
        self.tasks[index] = TaskState.WAITING
        target = self.targets_by_index.pop(index, '')
        self.previous[index] = EndedAttempt(reason[:MAX_REASON_CHARS], target)

    def record_result(self, index: int, result: bytes) -> bool:
        """Record a result; return whether it was the last one."""
        if self.tasks[index] == TaskState.DONE:
            return False
        self.tasks[index] = TaskState.DONE
        self.targets_by_index.pop(index, None)
        self.results[index] = result
        self.remaining -= 1
        return self.remaining == 0

    def has_waiting_tasks(self) -> bool:
        """Tell whether any task is neither sent nor done."""
        return TaskState.WAITING in self.tasks

    def may_have_run(self) -> bool:
        """Tell whether any task was sent without being fenced, or has run."""
        return self.has_run or any(
            state != TaskState.WAITING for state in self.tasks
        )

    def end(self, answer: contracts.Answer, now_s: float) -> None:
        """Set the answer and release what is not needed after the end."""
        self.state = JobState.ENDED
        self.answer = answer
        self.ended_s = now_s
        self.results = []
        self.attempts = {}
        self.rejections = {}
        self.targets_by_index = {}
        self.previous = {}
        self.submission = dataclasses.replace(self.submission, payloads=())


def measure_answer(answer: contracts.Answer | None) -> int:
    """Return the approximate size of an answer in bytes."""
    match answer:
        case contracts.Complete(results):
            return sum(map(len, results))
        case _:
            return 0


class JobTable:
    """Jobs by submission id, with bounds on the answers of ended ones."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self._ended: collections.deque[tuple[float, str, int]] = (
            collections.deque()
        )
        self._retained_bytes = 0

    def find(self, submission: str) -> Job | None:
        """Return the job of an id, or None."""
        return self.jobs.get(submission)

    def add(self, job: Job) -> None:
        """Add a new job."""
        self.jobs[job.submission.id] = job

    def drop(self, submission: str) -> None:
        """Remove a job of which no task was sent."""
        self.jobs.pop(submission, None)

    def end(self, job: Job, answer: contracts.Answer, now_s: float) -> None:
        """End a job and retain its answer for resubmissions.

        A job that was never claimed is removed, since no resubmission can
        refer to it.
        """
        job.end(answer, now_s)
        if not job.submission.claimed:
            del self.jobs[job.submission.id]
            return
        size = measure_answer(answer)
        self._ended.append((now_s, job.submission.id, size))
        self._retained_bytes += size

    def expire(self, now_s: float) -> None:
        """Remove the oldest answers beyond the bounds on age and bytes."""
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
    """Ids of transient jobs, unique across entries and their incarnations.

    A caller may submit its id again, here or at another entry, once its job
    has ended or it has disconnected.  While the job is open here, the id
    refers to that job.  ``run_id`` identifies this incarnation of the entry.
    """

    def __init__(self, run_id: int) -> None:
        self._run_id = run_id
        self._count = 0
        self._open: dict[str, str] = {}

    def assign_job_id(
        self, submission: contracts.Submission
    ) -> contracts.Submission:
        """Return the submission with the id of its open job, or a new id."""
        job_id = self._open.get(submission.id)
        if job_id is None:
            self._count += 1
            job_id = f'{submission.id}/{self._run_id:x}-{self._count}'
        return dataclasses.replace(submission, id=job_id)

    def open(self, submission: contracts.Submission) -> None:
        """Record that the job of a submission with an assigned id is open."""
        self._open[submission.caller_id] = submission.id

    def close(self, submission: contracts.Submission) -> None:
        """Record that a job has ended, if it is transient."""
        if submission.transient:
            self._open.pop(submission.caller_id, None)
