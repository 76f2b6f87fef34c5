"""Choice of a target for the next task.

The policies are data classes; ``choose`` branches on them.  Late binding is
the policy for production; the others are baselines that measurements compare
it with.  Random choices come from a hash of the task key, so that they can be
reproduced exactly.
"""

import dataclasses
from typing import Final

import xxhash

from eelgrassworks import contracts
from eelgrassworks import machines


@dataclasses.dataclass(frozen=True, slots=True)
class Random:
    """Any target, without regard to load."""

    learnt: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TwoChoices:
    """The less loaded of two randomly chosen targets."""

    learnt: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """The target with the fewest tasks of this entry for each slot."""

    learnt: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LateBinding:
    """A target with a free slot, or none until a slot is free.

    Up to ``prefetch`` tasks may wait at a target, so that a slot that becomes
    free can start its next task without waiting for a message.
    """

    learnt: bool = True
    prefetch: int = 3


Policy = Random | TwoChoices | LeastOutstanding | LateBinding

POLICIES: Final[dict[str, type[Policy]]] = {
    'random': Random,
    'two-choices': TwoChoices,
    'least-outstanding': LeastOutstanding,
    'late-binding': LateBinding,
}


def make_policy(name: str, learnt: bool) -> Policy:
    """Return the policy with this name; raise KeyError if it is unknown."""
    return POLICIES[name](learnt)


def choose(
    policy: Policy,
    views: list[machines.TargetView],
    key: contracts.TaskKey,
    demand: contracts.Room = contracts.NO_ROOM,
) -> machines.TargetView | None:
    """Return the target for a task, or None if the task has to wait."""
    if not views:
        return None
    match policy:
        case Random(learnt):
            return _draw_weighted(views, key, learnt)
        case TwoChoices(learnt):
            first = views[_draw(key, 0) % len(views)]
            second = views[_draw(key, 1) % len(views)]
            return min(
                first, second, key=lambda view: _measure_load(view, learnt)
            )
        case LeastOutstanding(learnt):
            return min(views, key=lambda view: _measure_load(view, learnt))
        case LateBinding(learnt, prefetch):
            return _choose_free(views, learnt, prefetch, demand)


def list_fast_enough(
    views: list[machines.TargetView], spare_s: float, estimate_s: float
) -> list[machines.TargetView]:
    """Return the targets that are fast enough to finish a job in time.

    ``spare_s`` is the time left until the job's latest start.  A job waits
    for a fast target while it can still be in time, and leaves slow targets
    to jobs that meet their objective there.  A job without an estimate, or
    past its latest start, may use every target.
    """
    if not estimate_s or spare_s <= 0:
        return views
    max_slowness = 1 + spare_s / estimate_s
    return [view for view in views if view.slowness <= max_slowness]


def _choose_free(
    views: list[machines.TargetView],
    learnt: bool,
    prefetch: int,
    demand: contracts.Room,
) -> machines.TargetView | None:
    """Return the fastest target with a free slot, or the shortest queue.

    The loop makes a single pass over the views, since it runs for every task.
    """
    fastest: machines.TargetView | None = None
    best_weight = (float('inf'), 0)
    shortest: machines.TargetView | None = None
    shortest_wait = float('inf')
    for view in views:
        free = view.free
        if free <= -prefetch or view.is_at_allowance:
            continue
        if view.covers(demand):
            slowness = view.slowness if learnt else 1.0
            weight = (slowness, -free - view.free_room.cpu_millis)
            if weight < best_weight:
                fastest, best_weight = view, weight
        elif fastest is None and not view.target.has_room:
            # Tasks for targets with room wait at the entry, which orders them
            # by due time.
            slowness = view.slowness if learnt else 1.0
            wait = (1 - free) / max(1, view.target.slots) * slowness
            if wait < shortest_wait:
                shortest, shortest_wait = view, wait
    return fastest or shortest


def _measure_load(view: machines.TargetView, learnt: bool) -> float:
    load = (len(view.outstanding) + 1) / view.target.slots
    return load * view.slowness if learnt else load


def _draw(key: contracts.TaskKey, salt: int) -> int:
    return xxhash.xxh64_intdigest(
        f'{key.submission}/{key.index}'.encode(), salt
    )


def _draw_weighted(
    views: list[machines.TargetView], key: contracts.TaskKey, learnt: bool
) -> machines.TargetView:
    draw = _draw(key, 0)
    if not learnt:
        return views[draw % len(views)]
    weights = [view.target.slots / view.slowness for view in views]
    remaining = draw / 2**64 * sum(weights)
    for view, weight in zip(views, weights, strict=True):
        remaining -= weight
        if remaining <= 0:
            return view
    return views[-1]
