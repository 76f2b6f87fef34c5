"""One agent process at a simulated target, without sockets and clock.

``HeldAgent`` joins the agent and ``HeldTarget`` as
``heldagentprocess.HeldAgentProcess`` does.  Its calls are effects, and their
outcomes are events.
"""

import dataclasses
from typing import Any
from typing import Final

from eelgrassworks import agent
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import heldagentprocess
from eelgrassworks import machines
from eelgrassworks.links import messages
from eelgrassworks.machines import heldtarget
from eelgrassworks.machines import holds
from tests import simulatedtarget
from tests import worlds

# Each incarnation of a target has its own agent; a process has fewer.
MAX_INCARNATIONS: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """A report of the target reached the agent process."""

    report: holds.TargetReport


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to the target, for ``owner`` if it starts a task."""

    held: heldtarget.HeldTarget
    request: simulatedtarget.Call
    owner: contracts.TaskKey | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A call got a response, or failed; the first outcome counts."""

    call: Call
    response: holds.HeldEvent


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """The next hold is due after a pause."""

    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HoldDue:
    """The pause between two holds is over."""


class HeldAgent:
    """One agent process: the agent, ``HeldTarget`` and the calls of both.

    It follows ``heldagentprocess.HeldAgentProcess`` without its sockets, but
    does not tell ``HeldTarget`` of pauses (``holds.Resumed``), and takes a
    refused connection of a start for a call without a response.
    """

    def __init__(self, target: machines.Target, incarnation: int) -> None:
        self.incarnation = incarnation
        self.agent: agent.Agent | None = None
        self.held: heldtarget.HeldTarget | None = None
        self._target = target
        self._began_ms = -1
        self._candidate: holds.TargetReport | None = None
        self._candidate_hold = 0
        self._confirmed_born_ms = -1
        self._holding = False
        self._pending: set[int] = set()
        self._owner: contracts.TaskKey | None = None
        self._result: list[Any] = []
        self._now_s = 0.0

    def handle(self, event: object, now_s: float) -> list[Any]:
        """Process one event and return the resulting effects in order."""
        self._result = []
        self._now_s = now_s
        match event:
            case Reported(report):
                self._handle_report(report)
            case Answered(call, response):
                self._handle_answer(call, response)
            case HoldDue():
                self._holding = False
            case agent.Ticked():
                self._dispatch_held(holds.Ticked())
                self._dispatch(event)
            case agent.Received(message=messages.AgentLease(stamp_ms=stamp)):
                if stamp > self._began_ms:
                    self._dispatch(event)
            case _:
                self._dispatch(event)
        self._begin_hold()
        return self._result

    def _dispatch(self, event: Any) -> None:
        if self.agent is None:
            return
        for effect in self.agent.handle(event, self._now_s):
            match effect:
                case effects.StartTask(key=key):
                    self._owner = key
                    self._dispatch_held(
                        holds.StartRequested(
                            key,
                            effect.attempt,
                            effect.payload,
                            effect.estimate_s,
                        )
                    )
                case effects.StopTask(key):
                    self._dispatch_held(holds.StopRequested(key))
                case _:
                    self._result.append(effect)

    def _dispatch_held(self, event: holds.HeldEvent) -> None:
        held = self.held
        if held is None:
            return
        for effect in held.handle(event, self._now_s):
            match effect:
                case holds.StartCall():
                    self._call(held, effect, self._owner)
                case holds.StopCall():
                    self._call(held, effect)
                case holds.RunStarted(key):
                    self._dispatch(agent.TaskStarted(key))
                case holds.RunEnded(key, succeeded, stopped, reason):
                    body = b'' if succeeded else reason.encode()
                    self._dispatch(
                        agent.TaskEnded(key, succeeded, body, stopped)
                    )
                case holds.RunRejected(key, reason):
                    self._dispatch(agent.TaskRejected(key, reason))
                case holds.HealthChanged(healthy):
                    self._dispatch(agent.TargetChecked(healthy))

    def _call(
        self,
        held: heldtarget.HeldTarget,
        request: simulatedtarget.Call,
        owner: contracts.TaskKey | None = None,
    ) -> None:
        call = Call(held, request, owner)
        self._pending.add(id(request))
        self._result.append(call)

    def _begin_hold(self) -> None:
        held = self.held
        if held is None or self._holding:
            return
        if not (held.needs_hold or self._candidate):
            return
        self._holding = True
        self._dispatch(agent.Ticked())
        self._call(held, held.begin_hold(self._now_s))

    def _handle_answer(self, call: Call, response: holds.HeldEvent) -> None:
        if id(call.request) not in self._pending:
            return
        self._pending.remove(id(call.request))
        is_hold = isinstance(call.request, holds.HoldCall)
        if call.held is not self.held:
            self._holding = self._holding and not is_hold
            return
        self._dispatch_held(response)
        if not is_hold:
            return
        match response:
            case holds.HoldResponse() | holds.HoldMisdirected():
                self._choose_incarnation(call.held, response)
        if isinstance(response, holds.HoldMisdirected):
            self._holding = False
            return
        self._result.append(Pause(heldagentprocess.REFUSED_PAUSE_S))

    def _handle_report(self, report: holds.TargetReport) -> None:
        held = self.held
        if held is not None and report.incarnation == held.incarnation:
            return
        if report.incarnation.born_ms <= self._confirmed_born_ms:
            return
        if held is not None and held.confirmed and not held.ended:
            self._candidate = report
            self._candidate_hold = held.hold_number
            return
        self._start_incarnation(report)

    def _choose_incarnation(
        self,
        held: heldtarget.HeldTarget,
        response: holds.HoldResponse | holds.HoldMisdirected,
    ) -> None:
        if held.confirmed:
            self._confirmed_born_ms = held.incarnation.born_ms
        candidate = self._candidate
        if candidate is None:
            return
        if held.ended:
            self._candidate = None
            self._start_incarnation(candidate)
        elif (
            isinstance(response, holds.HoldResponse)
            and response.incarnation.born_ms == held.incarnation.born_ms
            and response.number > self._candidate_hold
        ):
            self._candidate = None

    def _start_incarnation(self, report: holds.TargetReport) -> None:
        last_fence = 0
        if self.held is not None:
            last_fence = self.held.fence
            self._dispatch_held(holds.TargetDeparted())
        self.held = heldtarget.HeldTarget(
            report.incarnation, report.clock_ms, self._now_s, last_fence
        )
        self.incarnation += 1
        self.agent = agent.Agent(
            agent.AgentOptions(
                self._target,
                self.incarnation,
                worlds.ENTRIES,
                heldagentprocess.QUEUE_LIMIT,
                heldagentprocess.ENTRY_TTL_S,
                heldagentprocess.RENEWAL_INTERVAL_S,
            )
        )
        self.agent.healthy = False
        self.agent.announced = False
        self._began_ms = int(self._now_s * 1000)


def make_failure(
    request: simulatedtarget.Call, refused: bool
) -> holds.HeldEvent:
    """Return the event of a call without a response."""
    match request:
        case holds.HoldCall():
            return holds.HoldUnanswered(refused)
        case holds.StartCall(name=name, attempt=attempt):
            return holds.CallUnanswered(name, attempt)
        case holds.StopCall(name=name, attempt=attempt):
            return holds.CallUnanswered(name, attempt, True)


def make_misdirection(request: simulatedtarget.Call) -> holds.HeldEvent:
    """Return the refusal of a target with another name."""
    match request:
        case holds.HoldCall():
            return holds.HoldMisdirected()
        case holds.StartCall(name=name, attempt=attempt):
            return holds.StartResponse(name, attempt, False, 'status-421')
        case holds.StopCall():
            return make_failure(request, False)
