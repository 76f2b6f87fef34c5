"""The process of an agent whose target keeps tasks only while held.

The target announces itself; each of its lives gets decisions of its own, so
that nothing of an earlier life reaches a later one.  Calls to the target go
through a ``TargetLink``, which a front end provides.
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

# An entry stops counting on its tasks here after this silence; together with
# the lease at the target it ends before callers submit again.
ENTRY_TTL_S: Final = 0.6
# Three renewals fit into the time above.
RENEWAL_INTERVAL_S: Final = 0.2
# The resolution of the times above.
TICK_INTERVAL_S: Final = 0.05
# Pause before a hold that follows one which nobody took.
REFUSED_PAUSE_S: Final = 0.05
QUEUE_LIMIT: Final = 8


class TargetLink(Protocol):
    """Calls to the target; an answer that stays out is an event as well."""

    async def start(
        self, call: holds.StartCall
    ) -> holds.StartTold | holds.OrderUnanswered:
        """Ask the target to start a task."""

    async def stop(
        self, call: holds.StopCall
    ) -> holds.StopTold | holds.OrderUnanswered:
        """Ask the target to stop a task."""

    async def hold(
        self, call: holds.HoldCall
    ) -> holds.HoldTold | holds.HoldFenced | holds.HoldUnanswered:
        """Renew the lease and ask what runs and what has ended."""

    async def close(self) -> None:
        """Close the connections to the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAgentOptions:
    """Fixed facts about the agent and where to look for entries."""

    name: str
    worker: settings.WorkerModel
    replicas: dict[str, str]
    http: settings.HttpModel


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
        self.discovery = discovery.Discovery(tuple(options.replicas))
        self._target_link = target_link
        self._report_sequence = 0
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._health_reported = False
        self._stopping = False

    async def start(self) -> None:
        """Connect to the replicas and begin."""
        await super().start()
        for name, address in self.options.replicas.items():
            self.link.connect(name, address)
        application = web.Application()
        admin.Admin(self, {}).add_routes(application)
        http = self.options.http
        await self.serve(application, http.host, http.port)
        self._spawn(self._hold_target())

    def learn_replicas(self, replicas: dict[str, str]) -> None:
        """Take control replicas that new settings name."""
        super().learn_replicas(replicas)
        self.discovery.learn_replicas(tuple(replicas))

    # Reports of the target.

    def take_report(self, report: holds.TargetReport) -> None:
        """Take what the target says about itself; late reports are ignored."""
        now_s = clock.read_now()
        held = self.held
        if held is None or report.life.born_ms > held.life.born_ms:
            self._start_incarnation(report, now_s)
        elif report.life != held.life or (
            report.sequence <= self._report_sequence
        ):
            logs.log('report_outdated', target=report.life.name)
            return
        self._report_sequence = report.sequence
        if report.draining:
            self.dispatch(agent.TargetDraining())

    def take_departure(self, name: str) -> None:
        """Take the target's word that it ends now."""
        if self.held is not None and self.held.life.name == name:
            logs.log('target_left', target=name)
            self.dispatch_held(holds.TargetDeparted())

    def _start_incarnation(
        self, report: holds.TargetReport, now_s: float
    ) -> None:
        if self.held is not None and not self.held.ended:
            self.dispatch_held(holds.TargetDeparted())
        logs.log(
            'target_began',
            target=report.life.name,
            born_ms=report.life.born_ms,
            cpu_millis=report.room.cpu_millis,
            labels=','.join(report.labels),
        )
        self.held = heldtarget.HeldTarget(report.life, report.clock_ms, now_s)
        self._health_reported = False
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
            )
        )
        self.agent.healthy = False
        self._wake.set()

    # Events and effects.

    def decide(self, event: Any, now_s: float) -> effects.Effects:
        """Give an event to the agent's decisions, if the target is known."""
        if isinstance(event, agent.StopAsked):
            self._stopping = True
        if self.agent is None:
            if isinstance(event, agent.StopAsked):
                return [effects.Leave()]
            return []
        if isinstance(event, agent.Ticked) and not self._health_reported:
            # Strange runs may be left of an earlier process; the entries
            # hear of this life only once they are over.
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
        """Give an event to the target's decisions and carry out the rest."""
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
            case holds.RunEnded(key, succeeded, stopped, reason):
                body = b'' if succeeded else reason.encode()
                self.dispatch(agent.TaskEnded(key, succeeded, body, stopped))
            case holds.RunRejected(key, reason):
                self.dispatch(agent.TaskRejected(key, reason))
            case holds.HealthChanged(healthy):
                self._health_reported = True
                logs.log(
                    'target_sound' if healthy else 'target_silent',
                    target=held.life.name,
                )
                self.dispatch(agent.TargetChecked(healthy))

    async def _call_start(
        self, held: heldtarget.HeldTarget, call: holds.StartCall
    ) -> None:
        response = await self._target_link.start(call)
        if held is self.held:
            self.dispatch_held(response)

    async def _call_stop(
        self, held: heldtarget.HeldTarget, call: holds.StopCall
    ) -> None:
        response = await self._target_link.stop(call)
        if held is self.held:
            self.dispatch_held(response)

    async def _hold_target(self) -> None:
        while not self.ended.is_set():
            held = self.held
            if held is None or not held.needs_hold:
                self._wake.clear()
                await self._wake.wait()
                continue
            call = held.begin_hold(clock.read_now())
            response = await self._target_link.hold(call)
            if held is not self.held:
                continue
            self.dispatch_held(response)
            match response:
                case holds.HoldUnanswered(refused=True):
                    await asyncio.sleep(REFUSED_PAUSE_S)
                case holds.HoldTold() if call.wait_s == 0:
                    # Strange runs take a moment to end.
                    await asyncio.sleep(REFUSED_PAUSE_S)
                case _:
                    pass

    def make_tick(self) -> object:
        """Return the event for the passing of time."""
        now_s = clock.read_now()
        self.carry_out(self.discovery.tick(now_s))
        self.dispatch_held(holds.Ticked())
        if self.agent is not None and self.held is not None:
            self.agent.speed = round(self.held.meter.measure(), 3)
        return agent.Ticked()

    def make_stop(self) -> object:
        """Return the event for the begin of a planned stop."""
        return agent.StopAsked()

    def make_received(self, frame: links.Frame) -> list[object]:
        """Return the events for a frame."""
        sender = frame.sender
        events: list[object] = []
        for message in frame.messages:
            match message:
                case messages.RosterTold():
                    events += self._handle_roster(message)
                case _:
                    events.append(
                        agent.Received(
                            sender.name, sender.incarnation, message
                        )
                    )
        return events

    def _handle_roster(self, roster: messages.RosterTold) -> list[object]:
        found = self.discovery.take(roster, clock.read_now())
        self.carry_out(found.effects)
        return [agent.EntriesFound(found.entries)]

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
            'life': dataclasses.asdict(self.held.life),
            'sound': self.held.healthy,
            **self.held.counts,
            'counters': dict(self.held.counters),
        }
        return state

    def count(self) -> dict[str, int]:
        """Return the counters."""
        if self.agent is None or self.held is None:
            return {}
        return {**self.agent.counters, **self.held.counters}

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
        """Close the link once no call is under way."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._target_link.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
