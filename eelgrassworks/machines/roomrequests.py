"""Requests of one entry for room at targets where it waits for a grant."""

from typing import Final

from eelgrassworks import contracts
from eelgrassworks.machines import view as views

# Bound on a due time, whatever the objective.
MAX_DUE_S: Final = 3600.0


class RoomRequests:
    """The digests that one entry sends, and which targets it asks.

    State is one time for each target.
    """

    def __init__(self) -> None:
        self.number = 0
        # Tasks that found no room when the entry last placed some.  While it
        # places the tasks of a new job, these do not wait yet.
        self.waiting = 0
        self._asked_s: dict[str, float] = {}
        self._turn = 0

    def record_answer(self, target: str) -> None:
        """Take note of room that was granted, or of a refusal."""
        self._asked_s.pop(target, None)

    def record_start(self) -> None:
        """Take note of a start."""
        self.waiting = max(0, self.waiting - 1)

    def make_demand(
        self,
        kind: str,
        priority: int,
        due_s: float,
        room: contracts.Room,
        queued: int,
        now_s: float,
    ) -> contracts.Demand:
        """Return the next digest."""
        self.number += 1
        count = min(self.waiting, 1)
        due_ms = round(min(max(due_s - now_s, -MAX_DUE_S), MAX_DUE_S) * 1000)
        return contracts.Demand(
            self.number, kind, priority, due_ms, room, count, queued
        )

    def choose(
        self, candidates: list[views.TargetView], waiting: int, now_s: float
    ) -> list[views.TargetView]:
        """Return the targets to ask for room for ``waiting`` tasks.

        The fastest are asked first, and equal ones take turns.  Each is asked
        for room for one task, and those that may still answer an earlier
        request count.
        """
        while self._asked_s:
            name, asked_s = next(iter(self._asked_s.items()))
            if now_s - asked_s < contracts.DIGEST_TTL_S:
                break
            del self._asked_s[name]
        limit = waiting - len(self._asked_s)
        if limit <= 0 or not candidates:
            return []
        self._turn = (self._turn + 1) % len(candidates)
        order = candidates[self._turn :] + candidates[: self._turn]
        chosen: list[views.TargetView] = []
        for view in sorted(order, key=lambda each: each.slowness):
            if len(chosen) >= limit:
                break
            # More room would not help at a target that is still on trial.
            if not view.target.has_room or view.is_at_allowance:
                continue
            if view.target.name not in self._asked_s:
                chosen.append(view)
        for view in chosen:
            self._asked_s[view.target.name] = now_s
        return chosen
