"""Log lines of an agent about the runs of tasks."""

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks.links import messages


def log_started(
    key: contracts.TaskKey,
    entry: str,
    entry_run: str,
    attempt: int,
    confirmed_age_s: float,
) -> effects.Log:
    """Return the log line for a task that starts."""
    return effects.Log(
        'task_started',
        {
            'id': key.submission,
            'index': key.index,
            'attempt': attempt,
            'entry': entry,
            'entry_run': entry_run,
            'confirmed_age_s': round(confirmed_age_s, 3),
        },
    )


def log_ended(
    finished: messages.TaskFinished, entry: str, entry_run: str
) -> effects.Log:
    """Return the log line for a task that has ended."""
    return effects.Log(
        'task_ended',
        {
            'id': finished.submission,
            'index': finished.index,
            'attempt': finished.attempt,
            'entry': entry,
            'entry_run': entry_run,
            'succeeded': finished.succeeded,
            'stopped': finished.stopped,
        },
    )


def log_late_start(
    peer: str, entry_run: str, start: messages.TaskStart, now_s: float
) -> effects.Log:
    """Return the log line for a start whose lease has ended."""
    return effects.Log(
        'start_late',
        {
            'id': start.submission,
            'index': start.index,
            'attempt': start.attempt,
            'entry': peer,
            'entry_run': entry_run,
            'stamp_age_s': round(now_s - start.stamp_ms / 1000, 3),
        },
    )
