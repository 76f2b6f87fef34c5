"""What a dispatcher writes about its targets: log lines, fences, a dump."""

from collections.abc import Mapping
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import machines
from eelgrassworks.links import messages
from eelgrassworks.machines import health

# A start or the end of a transient task is lost with a connection that is
# reset or silent.  The agent is asked once a task takes longer than the
# slowest healthy target needs, and some queueing and message delays.
EXPECTED_RUN_FACTOR: Final = 2.0
EXPECTED_DELAY_S: Final = 0.3


def expect_answer(
    submission: contracts.Submission, view: machines.TargetView
) -> float:
    """Return the time within which a task should be answered, in seconds."""
    if not submission.transient or not submission.estimate_s:
        return float('inf')
    slowness = max(1.0, view.slowness)
    run_s = EXPECTED_RUN_FACTOR * slowness * submission.estimate_s
    return run_s + EXPECTED_DELAY_S


def make_fence(
    view: machines.TargetView,
    key: contracts.TaskKey,
    start: machines.Outstanding,
) -> messages.TaskFence:
    """Return the fence for an outstanding start."""
    return messages.TaskFence(
        key.submission,
        key.index,
        start.attempt,
        view.incarnation,
        start.stamp_ms,
    )


def log_unanswered(
    view: machines.TargetView, ages_s: dict[contracts.TaskKey, float]
) -> effects.Log:
    """Return the log line for cancellations that are sent again."""
    ids = dict.fromkeys(key.submission for key in ages_s)
    return effects.Log(
        'cancel_repeated',
        {
            'ids': ','.join(ids),
            'target': view.target.name,
            'tasks': len(ages_s),
            'age_s': round(max(ages_s.values()), 3),
        },
    )


def log_restart(
    view: machines.TargetView, key: contracts.TaskKey, reason: str
) -> effects.Log:
    """Return the log line for a task that starts again."""
    return effects.Log(
        'task_restarted',
        {
            'id': key.submission,
            'index': key.index,
            'target': view.target.name,
            'reason': reason,
            'slowness': round(view.slowness, 2),
        },
    )


def log_lost(view: machines.TargetView, no_contact_s: float) -> effects.Log:
    """Return the log line for an agent that is lost."""
    return effects.Log(
        'target_lost',
        {
            'target': view.target.name,
            'silent_s': round(no_contact_s, 2),
            'unshown': len(view.list_unshown()),
            'ids': ','.join(key.submission for key in view.outstanding),
        },
    )


def describe_target(
    view: machines.TargetView,
    reason: str,
    breakers: Mapping[str, health.Breaker],
    now_s: float,
) -> dict[str, object]:
    """Return the state of a target for a dump."""
    return {
        'worker': view.target.worker,
        'failure_domain': view.target.failure_domain,
        'slots': view.target.slots,
        'free': view.free,
        'outstanding': len(view.outstanding),
        'accepting': view.accepting,
        'reason': reason,
        'suspect': view.suspect,
        'slowness': round(view.slowness, 3),
        'silent_s': round(now_s - view.last_contact_s, 3),
        'breakers': {
            kind: type(breaker.state).__name__.lower()
            for kind, breaker in breakers.items()
        },
    }
