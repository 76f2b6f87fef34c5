"""Requests of this entry that wait for transient jobs of other entries.

The caller of such a job has submitted it here as well.  The owner answers
once its job ends.  Meanwhile this entry goes on to claim the id, since the
owner may end or give the job up.
"""

import dataclasses

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks.contracts import jobs
from eelgrassworks.links import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Attachment:
    """A job of this entry that waits for the job of another one."""

    job: str
    owner: str
    owner_job: str
    request: int


class Attachments:
    """The attachments of one entry, by its own job."""

    def __init__(self) -> None:
        self._by_job: dict[str, Attachment] = {}
        self._request = 0

    def __len__(self) -> int:
        return len(self._by_job)

    def attach(
        self, job: jobs.Job, owner: str, owner_job: str, now_s: float
    ) -> effects.Effects:
        """Request the answer of a job from its owner, or request it again."""
        submission = job.submission
        result: effects.Effects = []
        current = self._by_job.get(submission.id)
        if current is None or current.owner_job != owner_job:
            result = self.detach(submission.id)
            self._request += 1
            current = Attachment(
                submission.id, owner, owner_job, self._request
            )
            self._by_job[submission.id] = current
        request = messages.AttachRequest(
            current.request,
            owner_job,
            submission.digest,
            submission.team,
            int((now_s - job.arrived_s) * 1000),
        )
        return [*result, effects.Send(owner, request)]

    def detach(self, job: str) -> effects.Effects:
        """Stop waiting for the owner, if a job waits for one."""
        current = self._by_job.pop(job, None)
        if current is None:
            return []
        withdrawal = messages.AttachWithdrawal(
            current.request, current.owner_job
        )
        return [effects.Send(current.owner, withdrawal)]

    def find_job(
        self, peer: str, response: messages.AttachResponse
    ) -> str | None:
        """Return the job of this entry that a response is for, if any."""
        for each in self._by_job.values():
            if (each.owner, each.owner_job, each.request) == (
                peer,
                response.submission,
                response.request,
            ):
                return each.job
        return None


def is_final(answer: contracts.Answer) -> bool:
    """Tell whether the answer of an owner is that of the job.

    Any other one says that the owner has given the job up or has ended it
    earlier; the job may run again.
    """
    match answer:
        case contracts.Complete():
            return True
        case contracts.Failed(refusal):
            return refusal.code == errors.Code.TASK_FAILED
        case contracts.NotRun(refusal):
            return refusal.code == errors.Code.ID_CONFLICT
