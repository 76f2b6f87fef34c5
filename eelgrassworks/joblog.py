"""Log lines for decisions about jobs, with the inputs of each decision."""

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks.contracts import jobs


def log_refusal(
    submission: contracts.Submission,
    refusal: errors.Refusal,
    inputs: dict[str, object],
) -> effects.Log:
    """Return the log line for a refused job."""
    return effects.Log(
        'job_refused',
        {
            'id': submission.id,
            'kind': submission.kind,
            'code': refusal.code,
            'tasks': len(submission.payloads),
            **inputs,
        },
    )


def log_acceptance(
    job: jobs.Job, request: int, inputs: dict[str, object]
) -> effects.Log:
    """Return the log line for an accepted job."""
    submission = job.submission
    return effects.Log(
        'job_accepted',
        {
            'id': submission.id,
            'kind': submission.kind,
            'request': request,
            'limit_s': round(submission.time_limit_s, 3),
            **_describe_due_time(job),
            'tasks': len(submission.payloads),
            **inputs,
        },
    )


def log_attachment(job: jobs.Job, request: int, now_s: float) -> effects.Log:
    """Return the log line for a request that waits for an open job."""
    return effects.Log(
        'request_attached',
        {
            'id': job.submission.id,
            'request': request,
            'age_s': round(now_s - job.arrived_s, 3),
            'waiting': len(job.waiters),
        },
    )


def log_taken(
    job: jobs.Job, owner: str, owner_job: str, now_s: float
) -> effects.Log:
    """Return the log line for a job whose id another job owns."""
    return effects.Log(
        'job_taken',
        {
            'id': job.submission.id,
            'age_s': round(now_s - job.arrived_s, 3),
            'owner': owner,
            'owner_job': owner_job,
        },
    )


def log_disconnection(
    job: jobs.Job, request: int, now_s: float
) -> effects.Log:
    """Return the log line for a caller that left before the answer."""
    return effects.Log(
        'caller_disconnected',
        {
            'id': job.submission.id,
            'request': request,
            'age_s': round(now_s - job.arrived_s, 3),
            'waiting': len(job.waiters),
        },
    )


def log_end(
    job: jobs.Job,
    answer: contracts.Answer,
    now_s: float,
    inputs: dict[str, object],
) -> effects.Log:
    """Return the log line for an answered job."""
    outcome, code = _describe_outcome(answer)
    return effects.Log(
        'job_ended',
        {
            'id': job.submission.id,
            'kind': job.submission.kind,
            'outcome': outcome,
            'code': code,
            'age_s': round(now_s - job.arrived_s, 3),
            **_describe_due_time(job),
            **_describe_grant(job),
            'tasks': len(job.submission.payloads),
            'left': job.remaining,
            'attempts': max(job.attempts.values(), default=0),
            'failures': sum(job.failures.values()),
            **inputs,
        },
    )


def _describe_due_time(job: jobs.Job) -> dict[str, object]:
    """Return the time until a job was due; only transient jobs have one."""
    if not job.submission.transient:
        return {}
    return {'due_s': round(job.due_s - job.arrived_s, 3)}


def _describe_grant(job: jobs.Job) -> dict[str, object]:
    """Return how long a transient job waited for its homes."""
    if job.granted_s == float('inf'):
        return {}
    return {'claim_s': round(job.granted_s - job.arrived_s, 4)}


def _describe_outcome(answer: contracts.Answer) -> tuple[str, str]:
    """Return the outcome and the code of an answer."""
    match answer:
        case contracts.Complete():
            return 'complete', ''
        case contracts.NotRun(refusal):
            return 'not-run', refusal.code
        case contracts.Failed(refusal):
            return 'failed', refusal.code
