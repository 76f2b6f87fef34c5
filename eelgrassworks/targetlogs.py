"""Log lines of an entry about targets."""

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import machines


def log_lost(view: machines.TargetView, no_contact_s: float) -> effects.Log:
    """Return the log line for a target whose agent is unresponsive."""
    return effects.Log(
        'target_lost',
        {
            'target': view.target.name,
            'silent_s': round(no_contact_s, 2),
            'unshown': len(view.list_unshown()),
            'ids': ','.join(key.submission for key in view.outstanding),
        },
    )


def log_unanswered_cancels(
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
