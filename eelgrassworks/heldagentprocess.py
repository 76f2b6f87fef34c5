"""The process of an agent whose target runs tasks under a lease.

The target announces itself.  Each of its incarnations gets new ``Agent`` and
``HeldTarget`` objects, so no state is carried over from one to the next.
Calls to the target go through a ``TargetLink``, which a front end provides.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any
from typing import Final
from typing import Protocol

from aiohttp import web

from eelgrassworks import agent
from eelgrassworks import clock
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import links
from eelgrassworks import logs
from eelgrassworks import machines
from eelgrassworks import metrics
from eelgrassworks import process
from eelgrassworks import settings
from eelgrassworks.fronts import admin
from eelgrassworks.links import discovery
from eelgrassworks.links import messages
from eelgrassworks.links import transport
from eelgrassworks.machines import heldtarget
from eelgrassworks.machines import holds

# The agent stops the tasks of an entry that has confirmed nothing for this
# long.  This time and the lease at the target together end before callers
# submit again.
ENTRY_TTL_S: Final = 0.6
# Three renewals fit into ENTRY_TTL_S.
RENEWAL_INTERVAL_S: Final = 0.2
# Resolution of ENTRY_TTL_S and RENEWAL_INTERVAL_S.
TICK_INTERVAL_S: Final = 0.05
# While nothing runs at the target, only renewals to idle entries are due.
IDLE_TICK_INTERVAL_S: Final = 0.1
# After a longer time between two ticks, a call may have been sent so late that
# RESPONSE_TIMEOUT_S does not cover it.  IDLE_TICK_INTERVAL_S and some delay.
MAX_TICK_GAP_S: Final = 0.12
# Shortest time from an unanswered hold to the next one, and the pause between
# holds that the target answers at once.
REFUSED_PAUSE_S: Final = 0.05
QUEUE_LIMIT: Final = 8


class TargetLink(Protocol):
    """Calls to the target; a missing response is returned as an event too."""

    async def start(self, call: holds.StartCall) -> holds.StartResult:
        """Ask the target to start a task."""

    async def stop(
        self, call: holds.StopCall
    ) -> holds.StopResponse | holds.CallUnanswered:
        """Ask the target to stop a task."""

    async def hold(self, call: holds.HoldCall) -> holds.HoldResult:
        """Renew the lease and request the running and ended attempts."""

    async def close(self) -> None:
        """Close the connections to the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAgentOptions:
    """Settings of the agent, and the replicas from which it learns entries.

    The target grants no lease longer than ``max_lease_s``.
    """

    name: str
    worker: settings.WorkerModel
    replicas: dict[str, str]
    http: settings.HttpModel
    max_lease_s: float = heldtarget.MAX_LEASE_S
    features: settings.FeaturesModel = dataclasses.field(
        default_factory=settings.FeaturesModel
    )


class HeldAgentProcess(process.Process):
    """One agent beside a target that announces itself."""

    def __init__(
        self,
        options: HeldAgentOptions,
        link: transport.Transport,
        target_link: TargetLink,
    ) -> None:
        super().__init__(
            'agent',
            settings.make_worker(options.worker),
            link,
            metrics.Metrics('', 0, ''),
        )
        self.options = options
        self.tick_interval_s = TICK_INTERVAL_S
        self.agent: agent.Agent | None = None
        self.held: heldtarget.HeldTarget | None = None
        self.discovery = discovery.Discovery(
            tuple(options.replicas), options.name
        )
        self._target_link = target_link
        # Report of a later incarnation, which the target has not confirmed;
        # only the response to a hold with a higher number can confirm it.
        self._candidate: holds.TargetReport | None = None
        self._candidate_hold = 0
        # Start time of the latest incarnation that the target has confirmed.
        self._confirmed_born_ms = -1
        # Monotonic time at which the current incarnation was created.
        self._began_ms = -1
        self.leases_outdated = 0
        self._ticked_s = float('inf')
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    async def start(self) -> None:
        """Connect to the replicas, serve HTTP and start the hold loop."""
        await super().start()
        for name, address in self.options.replicas.items():
            self.link.connect(name, address, persistent=False)
        application = web.Application()
        admin.Admin(self, {}).add_routes(application)
        http = self.options.http
        await self.serve(application, http.host, http.port)
        self._spawn(self._hold_target())

    def add_replicas(self, replicas: dict[str, str]) -> None:
        """Use the control replicas of changed settings."""
        for name, address in replicas.items():
            self.link.connect(name, address, persistent=False)
        self.discovery.add_replicas(tuple(replicas))

    # Reports of the target.

    def handle_report(self, report: holds.TargetReport) -> None:
        """Handle a report of the target; outdated reports are ignored.

        A report may come from another writer.  One of a later incarnation
        replaces a confirmed one only when the target's response to a hold
        shows that the confirmed one has ended.  Reports of one incarnation
        need no order: a drain is final.
        """
        held = self.held
        if held is not None and report.incarnation == held.incarnation:
            if report.draining:
                self.dispatch(agent.TargetDraining())
        elif report.incarnation.born_ms <= self._confirmed_born_ms:
            logs.log('report_outdated', target=report.incarnation.name)
        elif held is not None and held.confirmed and not held.ended:
            logs.log('report_unconfirmed', target=report.incarnation.name)
            self._candidate = report
            self._candidate_hold = held.hold_number
            self._wake.set()
        else:
            self._start_incarnation(report, clock.read_now())

    def handle_departure(self, leaving: holds.TargetIncarnation) -> None:
        """Handle the target's announcement that it is stopping.

        It may come late, from an earlier incarnation of that name, and tasks
        still run until the target has ended, which the holds show.  One
        without a start time matches by name alone.
        """
        if self.held is None or self.held.incarnation.name != leaving.name:
            return
        if leaving.born_ms not in (0, self.held.incarnation.born_ms):
            logs.log('departure_outdated', target=leaving.name)
            return
        logs.log('target_left', target=leaving.name)
        self.dispatch_held(holds.DepartureAnnounced())

    def _start_incarnation(
        self, report: holds.TargetReport, now_s: float
    ) -> None:
        last_fence = 0
        if self.held is not None:
            last_fence = self.held.fence
            self.dispatch_held(holds.TargetDeparted())
        logs.log(
            'target_began',
            target=report.incarnation.name,
            born_ms=report.incarnation.born_ms,
            cpu_millis=report.room.cpu_millis,
            labels=','.join(report.labels),
        )
        self.held = heldtarget.HeldTarget(
            report.incarnation,
            report.clock_ms,
            now_s,
            last_fence,
            self.options.max_lease_s,
        )
        # What the previous agent has queued belongs to its own incarnation.
        self.link.flush()
        incarnation = self.link.sender.incarnation + 1
        self.link.sender = dataclasses.replace(
            self.link.sender, incarnation=incarnation
        )
        self.agent = agent.Agent(
            agent.AgentOptions(
                machines.Target(
                    self.options.name,
                    self.options.worker.name,
                    report.failure_domain,
                    0,
                    frozenset(),
                    report.service,
                    report.room,
                ),
                incarnation,
                self.discovery.entries,
                QUEUE_LIMIT,
                ENTRY_TTL_S,
                RENEWAL_INTERVAL_S,
                settings.make_features(self.options.features),
            )
        )
        self.agent.healthy = False
        # Unknown runs of an earlier process may still run at the target.
        self.agent.announced = False
        self._began_ms = int(now_s * 1000)
        if report.draining:
            self.dispatch(agent.TargetDraining())
        self._wake.set()

    # Events and effects.

    def decide(self, event: Any, now_s: float) -> effects.Effects:
        """Pass an event to the agent, if the target has announced itself."""
        if isinstance(event, agent.StopRequested):
            self._stopping = True
        if self.agent is None:
            if isinstance(event, agent.StopRequested):
                return [effects.Exit()]
            return []
        return self.agent.handle(event, now_s)

    def perform(self, effect: effects.Effect) -> None:
        """Start or stop a task at the target."""
        match effect:
            case effects.StartTask():
                self.dispatch_held(
                    holds.StartRequested(
                        effect.key,
                        effect.attempt,
                        effect.payload,
                        effect.estimate_s,
                    )
                )
            case effects.StopTask(key):
                self.dispatch_held(holds.StopRequested(key))
            case _:
                raise TypeError(f'unexpected effect {effect}')

    def dispatch_held(self, event: holds.HeldEvent) -> None:
        """Pass an event to ``HeldTarget`` and carry out its effects."""
        held = self.held
        if held is None:
            return
        for effect in held.handle(event, clock.read_now()):
            self._carry_out_held(held, effect)
        if held.needs_hold:
            self._wake.set()

    def _carry_out_held(
        self, held: heldtarget.HeldTarget, effect: holds.HeldEffect
    ) -> None:
        match effect:
            case holds.StartCall():
                self._spawn(self._call_start(held, effect))
            case holds.StopCall():
                self._spawn(self._call_stop(held, effect))
            case holds.RunStarted(key):
                self.dispatch(agent.TaskStarted(key))
            case holds.RunEnded(key, succeeded, stopped, reason, evidence):
                if not succeeded:
                    _log_settled(held, key, reason, evidence)
                body = b'' if succeeded else reason.encode()
                self.dispatch(agent.TaskEnded(key, succeeded, body, stopped))
            case holds.RunRejected(key, reason, evidence):
                _log_settled(held, key, reason, evidence)
                self.dispatch(agent.TaskRejected(key, reason))
            case holds.HealthChanged(healthy):
                logs.log(
                    'target_sound' if healthy else 'target_silent',
                    target=held.incarnation.name,
                )
                self.dispatch(agent.TargetChecked(healthy))

    async def _call_start(
        self, held: heldtarget.HeldTarget, call: holds.StartCall
    ) -> None:
        response: holds.StartResult
        try:
            response = await self._target_link.start(call)
        except Exception as error:
            # Without an outcome the attempt would be pending for ever.
            self._count_failed_call(error)
            response = holds.CallUnanswered(call.name, call.attempt)
        if isinstance(response, holds.CallUnanswered):
            logs.log(
                'start_unanswered',
                job=call.name.job,
                index=call.name.index,
                attempt=call.attempt,
                target=call.target,
                fence=call.fence,
            )
        if held is self.held:
            self.dispatch_held(response)

    async def _call_stop(
        self, held: heldtarget.HeldTarget, call: holds.StopCall
    ) -> None:
        response: holds.StopResponse | holds.CallUnanswered
        try:
            response = await self._target_link.stop(call)
        except Exception as error:
            self._count_failed_call(error)
            response = holds.CallUnanswered(call.name, call.attempt, True)
        if held is self.held:
            self.dispatch_held(response)

    def _count_failed_call(self, error: Exception) -> None:
        self.events_failed += 1
        logs.log('call_failed', error=repr(error))

    async def _hold_target(self) -> None:
        while not self.ended.is_set():
            held = self.held
            if held is None or not (held.needs_hold or self._candidate):
                self._wake.clear()
                await self._wake.wait()
                continue
            try:
                await self._hold_once(held)
            except Exception as error:
                # Without holds every run of the target would end.
                self.events_failed += 1
                logs.log('hold_failed', error=repr(error))
                await asyncio.sleep(REFUSED_PAUSE_S)

    async def _hold_once(self, held: heldtarget.HeldTarget) -> None:
        # After a freeze the timer may be handled later than the response that
        # was waiting; the hold must not extend runs of a silent entry.
        self.dispatch_safely(agent.Ticked())
        started_s = clock.read_now()
        call = held.begin_hold(started_s)
        response = await self._target_link.hold(call)
        if held is not self.held:
            return
        self.dispatch_held(response)
        match response:
            case holds.HoldResponse() | holds.HoldMisdirected():
                self._choose_incarnation(held, response)
            case _:
                pass
        match response:
            case holds.HoldUnanswered() | holds.HoldFenced():
                # A reset or a refusal comes at once; each hold after it would
                # open a new connection.
                elapsed_s = clock.read_now() - started_s
                await asyncio.sleep(max(0.0, REFUSED_PAUSE_S - elapsed_s))
            case holds.HoldResponse() if call.wait_s == 0:
                # Unknown runs need some time to end.
                await asyncio.sleep(REFUSED_PAUSE_S)
            case _:
                pass

    def _choose_incarnation(
        self,
        held: heldtarget.HeldTarget,
        response: holds.HoldResponse | holds.HoldMisdirected,
    ) -> None:
        """Let the target's response decide which report is followed."""
        if held.confirmed:
            self._confirmed_born_ms = held.incarnation.born_ms
        candidate = self._candidate
        if candidate is None:
            return
        if held.ended:
            self._candidate = None
            self._start_incarnation(candidate, clock.read_now())
        elif (
            isinstance(response, holds.HoldResponse)
            and response.incarnation.born_ms == held.incarnation.born_ms
            and response.number > self._candidate_hold
        ):
            self._candidate = None
            logs.log('report_refuted', target=candidate.incarnation.name)

    def make_tick(self) -> object:
        """Return the event for the passing of time."""
        now_s = clock.read_now()
        self.carry_out(self.discovery.tick(now_s))
        if now_s - self._ticked_s > MAX_TICK_GAP_S:
            self.dispatch_held(holds.Resumed(now_s - self._ticked_s))
        self._ticked_s = now_s
        self.dispatch_held(holds.Ticked())
        busy = self.held is None or self.held.needs_hold
        self.tick_interval_s = (
            TICK_INTERVAL_S if busy else IDLE_TICK_INTERVAL_S
        )
        if self.agent is not None and self.held is not None:
            self.agent.speed = round(self.held.meter.measure(), 3)
        return agent.Ticked()

    def make_stop(self) -> object:
        """Return the event for the start of a planned stop."""
        return agent.StopRequested()

    def make_received(self, frame: links.Frame) -> list[object]:
        """Return the events for a frame."""
        sender = frame.sender
        events: list[object] = []
        for message in frame.messages:
            match message:
                case messages.RosterUpdate():
                    events += self._handle_roster(message)
                case messages.AgentLease(stamp_ms=stamp_ms) if (
                    stamp_ms <= self._began_ms
                ):
                    # Answers a renewal of the previous agent, whose target
                    # may have been in another domain.
                    self.leases_outdated += 1
                case _:
                    events.append(
                        agent.Received(
                            sender.name, sender.incarnation, message
                        )
                    )
        return events

    def _handle_roster(self, roster: messages.RosterUpdate) -> list[object]:
        result = self.discovery.handle_roster(roster, clock.read_now())
        self.carry_out(result.effects)
        return [agent.EntriesFound(result.entries)]

    # State.

    def is_ready(self) -> bool:
        """Tell whether tasks may start."""
        decisions = self.agent
        return (
            decisions is not None
            and decisions.healthy
            and not decisions.stopping
            and decisions.lease.is_valid(clock.read_now())
        )

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        if self.agent is None or self.held is None:
            return {'target': None}
        state = self.agent.describe(clock.read_now())
        state['held'] = {
            'life': dataclasses.asdict(self.held.incarnation),
            'sound': self.held.healthy,
            **self.held.counts,
            'counters': dict(self.held.counters),
        }
        return state

    def count(self) -> dict[str, int]:
        """Return the counters."""
        if self.agent is None or self.held is None:
            return {}
        return {
            **self.agent.counters,
            **self.held.counters,
            'leases_outdated': self.leases_outdated,
        }

    def gauge(self) -> dict[str, float]:
        """Return the gauges."""
        if self.agent is None or self.held is None:
            return {}
        room = self.agent.slots.free_room
        return {
            'free_cpu_millis': room.cpu_millis,
            'free_memory_mib': room.memory_mib,
            'speed': self.agent.speed,
            **self.held.counts,
        }

    async def close(self) -> None:
        """Cancel the pending calls and close the link."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._target_link.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _log_settled(
    held: heldtarget.HeldTarget,
    key: contracts.TaskKey,
    reason: str,
    evidence: holds.Evidence | None,
) -> None:
    """Log why an attempt counts as ended, or as one that never starts."""
    now_s = clock.read_now()
    shown: dict[str, Any] = {}
    if evidence is not None:
        shown = {
            'attempt': evidence.attempt,
            'confirmed': evidence.confirmed,
            'located': evidence.located,
            'start_fence': evidence.start_fence,
            'start_age_s': round(now_s - evidence.sent_s, 3),
        }
    logs.log(
        'run_settled',
        id=key.submission,
        index=key.index,
        target=held.incarnation.name,
        reason=reason,
        **shown,
        **held.describe_contact(now_s),
    )
