"""Steps of an agent that holds one run, shared by specifications.

A state that these steps apply to has the fields ``now``, ``running``,
``hold_until``, ``confirmed_until`` and ``agent``.
"""

from collections.abc import Iterator
from typing import Any

from models import runs
from models import state


def hold_run(
    shape: state.Shape, before: state.State, **changes: Any
) -> state.State:
    """Return the state with a run at the target that is held from now."""
    hold_until = shape.read(before)['now'] + runs.HOLD_TICKS
    return shape.replace(
        before, running=True, hold_until=hold_until, **changes
    )


def stop_run(
    shape: state.Shape, before: state.State, **changes: Any
) -> state.State:
    """Return the state without a run at the target."""
    return shape.replace(
        before, running=False, hold_until=runs.NEVER, **changes
    )


def is_confirmed(s: dict[str, Any]) -> bool:
    """Return whether a confirmation of the entry is valid."""
    return bool(s['now'] < s['confirmed_until'])


def pass_time(
    shape: state.Shape, before: state.State, s: dict[str, Any]
) -> Iterator[state.Step]:
    """Yield the next tick, at which an agent or a target may end the run."""
    now = s['now'] + 1
    unconfirmed = now >= s['confirmed_until'] and s['agent'] == 'awake'
    after = shape.replace(before, now=now)
    if now >= s['hold_until'] or unconfirmed:
        after = stop_run(shape, after)
    yield 'pass time', after


def renew_hold(
    shape: state.Shape, before: state.State, s: dict[str, Any]
) -> Iterator[state.Step]:
    """Yield the renewal of the agent's hold on a confirmed run."""
    if s['running'] and s['agent'] == 'awake' and is_confirmed(s):
        yield 'agent renews its hold', hold_run(shape, before)


def freeze(
    shape: state.Shape, before: state.State, s: dict[str, Any]
) -> Iterator[state.Step]:
    """Yield the begin or the end of a freeze.

    On waking up, the agent first stops a run that is not confirmed any more.
    """
    if s['agent'] == 'awake':
        yield 'agent freezes', shape.replace(before, agent='frozen')
        return
    awake = shape.replace(before, agent='awake')
    yield 'agent wakes', awake if is_confirmed(s) else stop_run(shape, awake)
