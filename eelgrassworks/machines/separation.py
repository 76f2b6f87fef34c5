"""Decision which targets a task avoids, since kinds there interfere."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from eelgrassworks import contracts
from eelgrassworks import machines
from eelgrassworks.machines import interferencebeliefs
from eelgrassworks.machines import placement


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """Targets where a kind would interfere, and by how much.

    ``hosts`` are other targets, where a kind runs that slows others down.
    """

    costs: Mapping[str, float]
    hosts: frozenset[str]


class Separation:
    """Prefers targets without interference, while they have room."""

    def __init__(
        self,
        beliefs: interferencebeliefs.InterferenceBeliefs,
        counters: collections.Counter[str],
    ) -> None:
        self._beliefs = beliefs
        self._counters = counters

    def survey(
        self, kind: str, views: Iterable[machines.TargetView]
    ) -> Surroundings:
        """Return where a kind would interfere, and where it runs already.

        The cost at a target is the larger of the slowdown that the task would
        suffer and of that which it would cause.  It causes none where its
        kind runs already.
        """
        slows_others = self._beliefs.slows_others(kind)
        costs: dict[str, float] = {}
        hosts: set[str] = set()
        # Few different sets of kinds run at many targets.
        known: dict[frozenset[str], float] = {}
        for view in views:
            name = view.target.name
            kinds = self._beliefs.list_running(name)
            if view.outstanding:
                kinds = kinds.union(
                    [start.kind for start in view.outstanding.values()]
                )
            cost = known.get(kinds)
            if cost is None:
                cost = known[kinds] = self._beliefs.find_cost(kind, kinds)
            if cost > 1:
                costs[name] = cost
            elif slows_others and kind in kinds:
                hosts.add(name)
        return Surroundings(costs, frozenset(hosts))

    def choose(
        self,
        policy: placement.Policy,
        views: list[machines.TargetView],
        kind: str,
        key: contracts.TaskKey,
        demand: contracts.Room,
    ) -> machines.TargetView | None:
        """Return the target for a task, or None if the task has to wait."""
        chosen = placement.choose(policy, views, key, demand)
        if chosen is None:
            return None
        if not self._beliefs.is_involved(kind):
            return chosen
        here = self.survey(kind, [chosen])
        if not here.costs and (
            here.hosts or not self._beliefs.slows_others(kind)
        ):
            return chosen
        # Only what is cheap is asked of every target; a choice asks the rest.
        candidates = [view for view in views if view.free > 0]
        surroundings = self.survey(kind, candidates)
        limit = chosen.slowness * here.costs.get(chosen.target.name, 1.0)
        apart = choose_apart(
            policy, candidates, key, demand, surroundings, limit
        )
        if apart is None:
            apart = chosen
        if apart is not chosen:
            self._counters['starts_apart'] += 1
        elif here.costs:
            self._counters['starts_beside'] += 1
        return apart


def choose_apart(
    policy: placement.Policy,
    views: list[machines.TargetView],
    key: contracts.TaskKey,
    demand: contracts.Room,
    surroundings: Surroundings,
    max_slowness: float,
) -> machines.TargetView | None:
    """Return the best target without interference that has room, if any.

    A kind that slows others down stays together, so that more targets are
    free of it.
    """
    match policy:
        case placement.LateBinding():
            pass
        case _:
            return None
    others = [
        view for view in views if view.target.name not in surroundings.costs
    ]
    joined = [
        view for view in others if view.target.name in surroundings.hosts
    ]
    for candidates in (joined, others):
        found = placement.choose(policy, candidates, key, demand)
        if found is not None and found.slowness <= max_slowness:
            return found
    return None
