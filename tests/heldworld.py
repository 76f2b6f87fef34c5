"""A virtual world whose agents run tasks at simulated targets.

The entries, control replicas, agents and ``HeldTarget`` are the decision
classes of the product.  The calls of an agent reach its target over a faulty
path, and callers submit their jobs again.
"""

import dataclasses
import functools
from typing import Any
from typing import Final

from eelgrassworks import agent
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import entry
from eelgrassworks import errors
from eelgrassworks import machines
from eelgrassworks.machines import heldtarget
from eelgrassworks.machines import holds
from eelgrassworks.trials import virtual
from tests import heldagent
from tests import simulatedtarget
from tests import test_transient
from tests import worlds

TASK_S: Final = simulatedtarget.TASK_S
# The platform repeats the report of a target at this interval.
REPORT_INTERVAL_S: Final = 0.5
LONGEST_REPORT_DELAY_S: Final = 0.3
MAX_SUBMISSIONS: Final = 3
LIMIT_S: Final = 12.0
TASKS: Final = 2
# Delay of a call that is carried out late: while another run of its task would
# be at work.
LATE_S: Final = (2.0, 5.0)


@dataclasses.dataclass(slots=True)
class Site:
    """The target of an agent, and the path to it."""

    target: simulatedtarget.Incarnation | None
    faults: tuple[simulatedtarget.Fault, ...] = ()
    names: int = 1


@dataclasses.dataclass(slots=True)
class Request:
    """One submission of a job by its caller."""

    job: str
    entry: str
    sent_s: float
    submissions: int
    owner: str = ''
    # Set when the caller does not wait any longer.
    is_left: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """The begin of a run at a target."""

    at_s: float
    owner: contracts.TaskKey
    site: str


class HeldWorld(virtual.World):
    """A world with held agents, their targets, and callers.

    ``twice`` has each begin of a run beside another one of its task.
    """

    def __init__(self, seed: int, agents: int) -> None:
        super().__init__(seed)
        self.sites: dict[str, Site] = {}
        self.requests: dict[int, Request] = {}
        self.begun: list[Begun] = []
        self.twice: list[tuple[float, holds.TaskName, list[str]]] = []
        self.claims_transient = True
        self.add_control(worlds.CONTROLS, voters=len(worlds.CONTROLS))
        for name in worlds.ENTRIES:
            self.add_entry(name, worlds.CONTROLS)
        for position in range(agents):
            self._add_held_agent(position)
        worlds.change(
            self,
            'entry-1',
            contracts.ReplaceSheet(1, test_transient.SHEET, b'document'),
            contracts.ANY_REVISION,
            'sheet-1',
        )
        self.run(3.0)

    def _add_held_agent(self, position: int) -> None:
        target = dataclasses.replace(
            worlds.make_target(position, 0),
            service='cover-check',
            room=test_transient.ROOM,
        )
        born = simulatedtarget.Incarnation(
            self.now_s - 1.0, 1.0, name=f'{target.name}-1'
        )
        self.sites[target.name] = Site(born)

        def make(node: virtual.Node) -> heldagent.HeldAgent:
            first = (
                virtual.World._make_run(self, node)
                * heldagent.MAX_INCARNATIONS
            )
            return heldagent.HeldAgent(target, first)

        node = virtual.Node(target.name, 'agent', seeds=worlds.ENTRIES)
        self._add(node, make)
        self._report(node, target)

    def _make_run(self, node: virtual.Node) -> int:
        match node.core:
            case heldagent.HeldAgent(incarnation=incarnation):
                return incarnation
            case _:
                return super()._make_run(node)

    # Processes.

    def kill(self, name: str) -> None:
        """Stop a process; callers that lose their entry submit again."""
        super().kill(name)
        for request in self._list_open(name):
            self._submit_again(request)

    def freeze(self, name: str) -> None:
        """Suspend a process; callers do not wait long for their entry."""
        super().freeze(name)
        for request in self._list_open(name):
            self.at(
                test_transient.RESUBMIT_S,
                functools.partial(self._leave, request),
            )

    def thaw(self, name: str) -> None:
        """Resume a process; what waits of several sources has no order."""
        node = self.nodes[name]
        if not node.frozen:
            return
        if not isinstance(node.core, heldagent.HeldAgent):
            super().thaw(name)
            return
        node.frozen = False
        held, node.held = [*node.held, agent.Ticked()], []
        order: dict[object, float] = {}
        for event in held:
            order.setdefault(_find_source(event), self.random.random())
        held.sort(key=lambda event: order[_find_source(event)])
        run = node.run
        for event in held:
            self._handle_event(node, run, event)
        self.at(virtual.TICK_S, lambda: self._tick(node, run))

    # Callers.

    def submit(self, entry_name: str, job: str, submissions: int = 1) -> int:
        """Submit a job; its caller may submit it again later."""
        submission = contracts.Submission(
            job,
            'digest',
            'callers',
            'read',
            (b'spec',) * TASKS,
            LIMIT_S,
            False,
            transient=True,
            demand=test_transient.DEMAND,
            estimate_s=TASK_S,
        )

        def make(number: int) -> entry.SubmitRequested:
            self.requests[number] = Request(
                job, entry_name, self.now_s, submissions
            )
            return entry.SubmitRequested(number, submission)

        number = self.ask(entry_name, make)
        if self.nodes[entry_name].core is None:
            self._submit_again(number)
        return number

    def _list_open(self, entry_name: str) -> list[int]:
        return [
            number
            for number, request in self.requests.items()
            if request.entry == entry_name
            and number not in self.replies
            and not request.is_left
        ]

    def _leave(self, number: int) -> None:
        request = self.requests[number]
        if number in self.replies or request.is_left:
            return
        if not self.nodes[request.entry].frozen:
            return
        self.give(request.entry, entry.CallerDisconnected(number))
        self._submit_again(number, 0.0)

    def _submit_again(
        self, number: int, delay_s: float = test_transient.RESUBMIT_S
    ) -> None:
        """Let a caller submit its job again, at another entry if one is up."""
        request = self.requests[number]
        request.is_left = True
        if request.submissions >= MAX_SUBMISSIONS:
            return

        def submit() -> None:
            others = [
                name
                for name in worlds.ENTRIES
                if self.nodes[name].core is not None
                and not self.nodes[name].frozen
            ]
            others.sort(key=lambda name: name == request.entry)
            if others:
                self.submit(others[0], request.job, request.submissions + 1)

        self.at(delay_s, submit)

    def _handle_reply(self, number: int, answer: object) -> None:
        request = self.requests.get(number)
        if request is None or request.is_left:
            return
        match answer:
            case contracts.Failed(refusal, may_start) if (
                not may_start and refusal.code != errors.Code.TASK_FAILED
            ):
                self._submit_again(number)
            case contracts.NotRun():
                self._submit_again(number)

    # Targets.

    def crash(self, name: str, down_s: float, renamed: bool) -> None:
        """End a target; its next incarnation begins after ``down_s``."""
        site = self.sites[name]
        if site.target is None:
            return
        site.target = None
        site.names += renamed

        def restart() -> None:
            site.target = simulatedtarget.Incarnation(
                self.now_s, 1.0, name=f'{name}-{site.names}'
            )

        self.at(down_s, restart)

    def _report(self, node: virtual.Node, target: machines.Target) -> None:
        incarnation = self.sites[node.name].target
        if incarnation is not None:
            clock_s = incarnation.read_clock(self.now_s)
            event = heldagent.Reported(
                holds.TargetReport(
                    incarnation.identity,
                    target.service,
                    target.failure_domain,
                    target.room,
                    (),
                    int(clock_s * 1000),
                    False,
                )
            )
            self.at(
                self.random.random() * LONGEST_REPORT_DELAY_S,
                lambda: self._handle_event(node, node.run, event),
            )
        self.at(REPORT_INTERVAL_S, lambda: self._report(node, target))

    # Effects.

    def _execute_effects(
        self, node: virtual.Node, result: effects.Effects
    ) -> None:
        others: effects.Effects = []
        run = node.run
        effect: Any
        for effect in result:
            match effect:
                case heldagent.Call():
                    self._call(node, effect)
                case heldagent.Pause(length_s):
                    self.at(
                        length_s,
                        lambda: self._handle_event(
                            node, run, heldagent.HoldDue()
                        ),
                    )
                case _:
                    others.append(effect)
        super()._execute_effects(node, others)
        for effect in others:
            match effect:
                case effects.Log('job_accepted', fields):
                    request = self.requests[int(str(fields['request']))]
                    request.owner = str(fields['id'])
                case effects.Reply(number, answer):
                    self._handle_reply(number, answer)

    # The path to a target.

    def disturb(
        self,
        name: str,
        length_s: float,
        kinds: tuple[str, ...],
        share: float = 1.0,
        calls: tuple[type, ...] = (),
    ) -> None:
        """Let calls to a target fail from now on, for ``length_s``."""
        site = self.sites[name]
        fault = simulatedtarget.Fault(
            self.now_s, self.now_s + length_s, kinds, share, calls
        )
        site.faults = (*site.faults, fault)

    def _call(self, node: virtual.Node, call: heldagent.Call) -> None:
        site = self.sites[node.name]
        run = node.run
        request = call.request
        kind = self._choose_fault(site, request)
        receiver = site.target
        if kind in ('late', 'granted_late') and receiver is None:
            kind = 'lost'
        delay_s = simulatedtarget.TRIP_S
        wait_s = heldtarget.RESPONSE_TIMEOUT_S
        if isinstance(request, holds.HoldCall):
            wait_s += request.wait_s

        def fail(after_s: float, refused: bool = False) -> None:
            failed = heldagent.Answered(
                call, heldagent.make_failure(request, refused)
            )
            self.at(after_s, lambda: self._handle_event(node, run, failed))

        match kind:
            case 'refused' | 'reset':
                fail(delay_s, kind == 'refused')
                return
            case 'late' | 'granted_late' | 'late_anyone':
                delay_s = self.random.uniform(*LATE_S)
            case 'slow':
                delay_s = self.random.uniform(0, wait_s)
        arriving = request
        if kind == 'granted_late':
            arriving = simulatedtarget.postpone_deadline(request, delay_s)
        is_bound = kind in ('late', 'granted_late')

        def arrive() -> None:
            if is_bound and site.target is not receiver:
                return
            if site.target is None:
                response = heldagent.make_failure(request, True)
            else:
                response = self._carry_out(node.name, arriving, call.owner)
            if kind:
                return
            self.at(
                simulatedtarget.TRIP_S,
                lambda: self._handle_event(
                    node, run, heldagent.Answered(call, response)
                ),
            )

        if kind != 'lost':
            self.at(delay_s, arrive)
        fail(wait_s)

    def _choose_fault(self, site: Site, request: simulatedtarget.Call) -> str:
        for fault in site.faults:
            if not fault.begin_s <= self.now_s < fault.end_s:
                continue
            if fault.calls and not isinstance(request, fault.calls):
                continue
            if self.random.random() < fault.share:
                return self.random.choice(fault.kinds)
        return ''

    def _carry_out(
        self,
        name: str,
        request: simulatedtarget.Call,
        owner: contracts.TaskKey | None,
    ) -> holds.HeldEvent:
        target = self.sites[name].target
        if target is None or request.target != target.name:
            return heldagent.make_misdirection(request)
        match request:
            case holds.StartCall():
                target.end_runs(self.now_s)
                attempt = request.name, request.attempt
                is_new = attempt not in target.running
                response = target.start(request, self.now_s)
                if owner and is_new and attempt in target.running:
                    self.begun.append(Begun(self.now_s, owner, name))
                    self._check_runs(request.name)
                return response
            case holds.StopCall():
                return target.stop(request, self.now_s)
            case holds.HoldCall():
                return target.hold(request, self.now_s)

    def _check_runs(self, task: holds.TaskName) -> None:
        found: list[str] = []
        for name, site in self.sites.items():
            if site.target is None:
                continue
            site.target.end_runs(self.now_s)
            found += [
                f'{name}#{attempt}'
                for each, attempt in site.target.running
                if each == task
            ]
        if len(found) > 1:
            self.twice.append((self.now_s, task, found))

    # Checks.

    def list_unanswered(self, margin_s: float) -> list[Request]:
        """Return the requests without an answer in time."""
        return [
            request
            for number, request in self.requests.items()
            if not request.is_left
            and self.replies.get(number, (float('inf'), None))[0]
            > request.sent_s + LIMIT_S + margin_s
        ]

    def list_untrue(self) -> list[tuple[Request, Begun]]:
        """Return the runs of submissions that were answered as not run."""
        owners = {
            request.owner: request
            for number, request in self.requests.items()
            if isinstance(
                self.replies.get(number, (0.0, None))[1], contracts.NotRun
            )
        }
        return [
            (owners[each.owner.submission], each)
            for each in self.begun
            if each.owner.submission in owners
        ]


def _find_source(event: object) -> object:
    match event:
        case agent.Received(peer=peer):
            return peer
        case heldagent.Answered():
            return id(event)
        case _:
            return type(event)
