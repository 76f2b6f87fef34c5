"""Requests to an entry about job ids that the entry does not own.

The entry looks each id up in control's claim table.  If another entry owns
the id, the request is attached to the job there until the owner answers, the
owner ends, or the deadline passes.
"""

import dataclasses
from typing import Final

from eelgrassworks import answers
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks.links import messages
from eelgrassworks.links import session

CLAIM_TIMEOUT_S: Final = 3.0
ATTACH_RESEND_S: Final = 1.0
ATTACH_TIMEOUT_S: Final = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class CancelResponse:
    """Response to a cancellation.

    ``is_owner_found`` is False if no live owner of the id was found.
    """

    is_owner_found: bool


@dataclasses.dataclass(slots=True)
class Inquiry:
    """A request about an id that this entry does not own.

    ``refusal`` is the answer to a submission if nobody has claimed its id; it
    is None for a request about an existing job.  ``is_cancellation`` marks a
    request to cancel the job.  ``owner`` is the entry that owns the job, once
    the request is attached there.
    """

    request: int
    submission: str
    digest: str
    team: str
    refusal: errors.Refusal | None
    deadline_s: float
    is_cancellation: bool = False
    owner: str = ''
    last_sent_s: float = 0.0


class Inquiries:
    """The open inquiries of one entry."""

    def __init__(self, control: session.Session) -> None:
        self._session = control
        self._open: dict[int, Inquiry] = {}

    def __len__(self) -> int:
        return len(self._open)

    def look_up(self, inquiry: Inquiry, now_s: float) -> effects.Effects:
        """Add an inquiry and look its id up at control."""
        self.add(inquiry, now_s)
        return self._session.look_up((inquiry.submission,), now_s)

    def add(self, inquiry: Inquiry, now_s: float) -> None:
        """Add an inquiry without a lookup.

        The caller has the verdict on its id already, or requests it.
        """
        inquiry.last_sent_s = now_s
        self._open[inquiry.request] = inquiry

    def remove(self, request: int) -> None:
        """Remove an inquiry whose caller disconnected."""
        self._open.pop(request, None)

    def handle_verdict(
        self, verdict: contracts.ClaimVerdict, now_s: float
    ) -> effects.Effects:
        """Apply the verdict on an id to every inquiry about it."""
        result: effects.Effects = []
        for inquiry in list(self._open.values()):
            if inquiry.submission == verdict.submission:
                result += self._apply_verdict(inquiry, verdict, now_s)
        return result

    def handle_answer(
        self,
        peer: str,
        request: int,
        submission: str,
        answer: contracts.Answer,
    ) -> effects.Effects | None:
        """Pass on the answer of an owner; return None if it is unexpected.

        It may answer a request of an earlier run of this entry.
        """
        inquiry = self._open.get(request)
        if inquiry is None or inquiry.owner != peer:
            return None
        if inquiry.submission != submission:
            return None
        return self._finish(inquiry, answer)

    def tick(self, now_s: float) -> effects.Effects:
        """Resend requests to owners and end inquiries at their deadline."""
        result: effects.Effects = []
        for inquiry in list(self._open.values()):
            if now_s >= inquiry.deadline_s:
                result += self._finish(inquiry, _refuse_at_deadline(inquiry))
            elif inquiry.owner and (
                now_s - inquiry.last_sent_s >= ATTACH_RESEND_S
            ):
                inquiry.last_sent_s = now_s
                result.append(_make_attach_request(inquiry))
                result += self._session.look_up((inquiry.submission,), now_s)
        return result

    def _apply_verdict(
        self,
        inquiry: Inquiry,
        verdict: contracts.ClaimVerdict,
        now_s: float,
    ) -> effects.Effects:
        """Attach or answer one inquiry, depending on the verdict."""
        submission = verdict.submission
        match verdict:
            case contracts.ClaimTaken(_, owner, _, address) if address:
                if owner != self._session.options.name:
                    return self._attach(inquiry, owner, address, now_s)
                answer: contracts.Answer = answers.refuse_expired(submission)
            case contracts.ClaimTaken(_, owner, _, _):
                answer = answers.refuse_owner_lost(owner, submission)
            case contracts.ClaimFree() if inquiry.refusal is not None:
                answer = contracts.NotRun(inquiry.refusal)
            case contracts.ClaimFree():
                answer = answers.refuse_unknown(submission)
            case _:
                answer = answers.refuse_claim(verdict)
        return self._finish(inquiry, answer)

    def _attach(
        self, inquiry: Inquiry, owner: str, address: str, now_s: float
    ) -> effects.Effects:
        """Attach an inquiry to the job at its owner.

        A cancellation is forwarded to the owner and answered at once.
        """
        inquiry.last_sent_s = now_s
        if not inquiry.owner:
            inquiry.deadline_s = max(
                inquiry.deadline_s, now_s + ATTACH_TIMEOUT_S
            )
        inquiry.owner = owner
        connect = effects.Connect(owner, address)
        if not inquiry.is_cancellation:
            return [connect, _make_attach_request(inquiry)]
        del self._open[inquiry.request]
        cancel = messages.CancelRequest(inquiry.submission, inquiry.team)
        return [
            connect,
            effects.Send(owner, cancel),
            effects.Reply(inquiry.request, CancelResponse(True)),
        ]

    def _finish(
        self, inquiry: Inquiry, answer: contracts.Answer
    ) -> effects.Effects:
        del self._open[inquiry.request]
        if inquiry.is_cancellation:
            return [effects.Reply(inquiry.request, CancelResponse(False))]
        return [effects.Reply(inquiry.request, answer)]


def _make_attach_request(inquiry: Inquiry) -> effects.Send:
    return effects.Send(
        inquiry.owner,
        messages.AttachRequest(
            inquiry.request,
            inquiry.submission,
            inquiry.digest,
            inquiry.team,
        ),
    )


def _refuse_at_deadline(inquiry: Inquiry) -> contracts.Failed:
    if not inquiry.owner:
        return answers.refuse_unavailable(CLAIM_TIMEOUT_S)
    return answers.refuse_owner_unreachable(inquiry.owner, inquiry.submission)
