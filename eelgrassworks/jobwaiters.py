"""Requests that wait for a job of this entry, and the answers they get.

They come from callers of this entry, and from other entries at which a caller
has requested the same job.  ``attachments`` has the requests that this entry
sends to others.
"""

from eelgrassworks import answers
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import joblog
from eelgrassworks.contracts import jobs
from eelgrassworks.links import codec
from eelgrassworks.links import messages


def attach_caller(
    job: jobs.Job, request: int, digest: str, now_s: float
) -> effects.Effects:
    """Let a caller's request wait for a job, unless it is answered at once."""
    submission = job.submission
    if digest != submission.digest:
        conflict = answers.refuse_conflict(submission.id)
        return [effects.Reply(request, conflict)]
    if job.answer is not None:
        return [effects.Reply(request, job.answer)]
    job.waiters.append(request)
    return [joblog.log_attachment(job, request, now_s)]


def find_answer(
    job: jobs.Job, request: messages.AttachRequest
) -> contracts.Answer | None:
    """Return the answer to another entry; None if it must wait for the job."""
    if request.team != job.submission.team:
        return answers.refuse_foreign_team()
    if request.digest not in ('', job.submission.digest):
        return answers.refuse_conflict(request.submission)
    return job.answer


def attach_entry(job: jobs.Job, peer: str, request: int) -> None:
    """Let another entry's request wait for a job; it may be sent again."""
    waiter = (peer, request)
    if waiter not in job.remote_waiters:
        job.remote_waiters.append(waiter)


def answer_entry(
    peer: str, request: messages.AttachRequest, answer: contracts.Answer
) -> effects.Send:
    """Answer a request of another entry."""
    return _send_answer(peer, request.request, request.submission, answer)


def answer_all(job: jobs.Job, answer: contracts.Answer) -> effects.Effects:
    """Send an answer to every request that waits for the job."""
    local_replies: effects.Effects = [
        effects.Reply(request, answer) for request in job.waiters
    ]
    remote_replies = [
        _send_answer(peer, request, job.submission.id, answer)
        for peer, request in job.remote_waiters
    ]
    job.waiters = []
    job.remote_waiters = []
    return local_replies + remote_replies


def _send_answer(
    peer: str, request: int, submission: str, answer: contracts.Answer
) -> effects.Send:
    return effects.Send(
        peer,
        messages.AttachResponse(request, codec.pack(answer), submission),
    )
