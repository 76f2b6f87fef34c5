"""Operators' configuration changes that an entry forwards to control.

A change is answered when it is in force at every node that can start work,
when it is refused, or at its deadline.
"""

import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks.links import session

CHANGE_TIMEOUT_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeDecided:
    """Response to a change on which control has decided.

    ``in_force`` is True if the change is in force at every node that can
    start work.
    """

    verdict: contracts.ChangeVerdict
    in_force: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUndecided:
    """No verdict was received; a retry with the same change id is safe."""


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A request for a change that has not been answered yet."""

    change_id: str
    deadline_s: float
    verdict: contracts.ChangeVerdict | None = None


class Changes:
    """The pending changes of one entry."""

    def __init__(self, control: session.Session) -> None:
        self._session = control
        # By request: an operator may send a change again before its answer.
        self._pending: dict[int, PendingChange] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def forward(
        self, request: int, change: contracts.ChangeRequest, now_s: float
    ) -> effects.Effects:
        """Forward a change to control."""
        self._pending[request] = PendingChange(
            change.id, now_s + CHANGE_TIMEOUT_S
        )
        return self._session.change(change, now_s)

    def handle_verdict(self, verdict: contracts.ChangeVerdict) -> None:
        """Record control's verdict on a change."""
        for pending in self._pending.values():
            if pending.change_id == verdict.id:
                pending.verdict = verdict

    def answer_finished(self, now_s: float) -> effects.Effects:
        """Answer changes that are in force, refused or past their deadline."""
        result: effects.Effects = []
        for request, pending in list(self._pending.items()):
            response = self._respond(pending, now_s)
            if response is None:
                continue
            del self._pending[request]
            if not self._is_pending(pending.change_id):
                self._session.abandon(pending.change_id)
            result.append(effects.Reply(request, response))
        return result

    def _is_pending(self, change_id: str) -> bool:
        return any(
            each.change_id == change_id for each in self._pending.values()
        )

    def _respond(
        self, pending: PendingChange, now_s: float
    ) -> ChangeDecided | ChangeUndecided | None:
        expired = now_s >= pending.deadline_s
        match pending.verdict:
            case None:
                return ChangeUndecided() if expired else None
            case contracts.ChangeAccepted(_, revision) as verdict:
                in_force = self._session.in_force_revision >= revision
                if in_force or expired:
                    return ChangeDecided(verdict, in_force)
                return None
            case verdict:
                return ChangeDecided(verdict, False)
