"""The process of an agent: its decisions, its target and its links."""

import asyncio
from typing import Any
from typing import Final

from aiohttp import web

from eelgrassworks import agent
from eelgrassworks import clock
from eelgrassworks import effects
from eelgrassworks import links
from eelgrassworks import metrics
from eelgrassworks import process
from eelgrassworks import settings
from eelgrassworks import targetclient
from eelgrassworks.fronts import admin
from eelgrassworks.links import transport

HEALTH_INTERVAL_S: Final = 1.0
HEALTH_FAILURES: Final = 2
# Only renewals, expiry and the end of a planned stop depend on ticks.
TICK_INTERVAL_S: Final = 0.1


class AgentProcess(process.Process):
    """One agent."""

    def __init__(
        self, model: settings.AgentSettings, link: transport.Transport
    ) -> None:
        agent_metrics = metrics.Metrics(
            model.statsd.host, model.statsd.port, f'agent.{model.name}'
        )
        super().__init__(
            'agent', settings.make_worker(model.worker), link, agent_metrics
        )
        self.model = model
        self.agent = agent.Agent(
            agent.AgentOptions(
                settings.make_target(model),
                link.sender.incarnation,
                tuple(model.entries),
                model.queue_limit,
                optional=settings.make_features(model.features),
            )
        )
        self.port = 0
        self.tick_interval_s = TICK_INTERVAL_S
        self._client = targetclient.TargetClient(
            model.target.url, model.target.slots
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Connect to the entries, serve HTTP and start the health checks."""
        await super().start()
        for name, address in self.model.entries.items():
            self.link.connect(name, address)
        application = web.Application()
        admin.Admin(self, self.model.tokens.operators).add_routes(application)
        http = self.model.http
        self.port = await self.serve(application, http.host, http.port)
        self._spawn(self._check_health())

    def decide(self, event: Any, now_s: float) -> effects.Effects:
        """Pass an event to the agent."""
        return self.agent.handle(event, now_s)

    def perform(self, effect: effects.Effect) -> None:
        """Start or stop a task at the target."""
        match effect:
            case effects.StartTask():
                self._spawn(self._run_task(effect))
            case effects.StopTask(key):
                self._spawn(self._client.stop(key))
            case _:
                raise TypeError(f'unexpected effect {effect}')

    def make_tick(self) -> object:
        """Return the event for the passing of time."""
        return agent.Ticked()

    def make_stop(self) -> object:
        """Return the event for the start of a planned stop."""
        return agent.StopRequested()

    def make_received(self, frame: links.Frame) -> list[object]:
        """Return the events for a frame."""
        sender = frame.sender
        return [
            agent.Received(sender.name, sender.incarnation, message)
            for message in frame.messages
        ]

    def is_ready(self) -> bool:
        """Tell whether tasks may start."""
        decisions = self.agent
        return (
            decisions.healthy
            and not decisions.stopping
            and decisions.lease.is_valid(clock.read_now())
        )

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        return self.agent.describe(clock.read_now())

    def count(self) -> dict[str, int]:
        """Return the counters."""
        return dict(self.agent.counters)

    def gauge(self) -> dict[str, float]:
        """Return the gauges."""
        return {
            'slots_free': self.agent.slots.free,
            'records': len(self.agent.records),
        }

    async def close(self) -> None:
        """Cancel the running calls and close the client."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_task(self, start: effects.StartTask) -> None:
        succeeded, body = await self._client.run(
            start.key, start.kind, start.payload, start.limit_s
        )
        self.dispatch(agent.TaskEnded(start.key, succeeded, body))

    async def _check_health(self) -> None:
        failures = 0
        while not self.ended.is_set():
            healthy = await self._client.check()
            failures = 0 if healthy else failures + 1
            if healthy or failures >= HEALTH_FAILURES:
                self.dispatch(agent.TargetChecked(healthy))
            await asyncio.sleep(HEALTH_INTERVAL_S)
