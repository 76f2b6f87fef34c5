"""Entry process: runs the decision logic of an entry over its links.

Front ends deliver the requests of callers; the built-in one is
``fronts.entryapi``.
"""

import asyncio
import dataclasses
from typing import Any

from eelgrassworks import admission
from eelgrassworks import clock
from eelgrassworks import effects
from eelgrassworks import entry
from eelgrassworks import links
from eelgrassworks import logs
from eelgrassworks import metrics
from eelgrassworks import process
from eelgrassworks import rebalancing
from eelgrassworks import settings
from eelgrassworks.links import session
from eelgrassworks.links import transport
from eelgrassworks.machines import placement


class EntryProcess(process.Process):
    """Process of one entry.

    ``claims_transient`` is set for a front end that submits transient jobs.
    """

    def __init__(
        self,
        model: settings.EntrySettings,
        link: transport.Transport,
        claims_transient: bool = False,
    ) -> None:
        exporter = metrics.Metrics(
            model.statsd.host, model.statsd.port, f'entry.{model.name}'
        )
        super().__init__('entry', settings.make_vm(model.vm), link, exporter)
        self.model = model
        optional = settings.make_features(model.features)
        self.rebalancing = rebalancing.Rebalancing(
            optional.rebalancing, model.stop_linger_s
        )
        self.entry = entry.Entry(
            entry.EntryOptions(
                session.SessionOptions(
                    model.name,
                    model.listen,
                    link.sender.incarnation,
                    tuple(model.replicas),
                    model.vm.failure_domain,
                ),
                placement.make_policy(model.policy, model.learnt_speeds),
                model.max_wait_s,
                model.stop_linger_s,
                claims_transient=claims_transient,
                optional=optional,
            )
        )

    async def start(self) -> None:
        """Connect to control and start serving."""
        await super().start()
        for name, address in self.model.replicas.items():
            self.link.connect(name, address)

    def add_replicas(self, replicas: dict[str, str]) -> None:
        """Add control replicas that new settings name."""
        super().add_replicas(replicas)
        self.entry.session.add_replicas(tuple(replicas))

    async def await_configuration(self) -> bool:
        """Wait for the first configuration; return whether there is one."""
        for _ in range(
            round(admission.SETTLING_PERIOD_S / self.tick_interval_s)
        ):
            if self.entry.session.configuration.revision:
                return True
            await asyncio.sleep(self.tick_interval_s)
        return bool(self.entry.session.configuration.revision)

    def decide(self, event: Any, now_s: float) -> effects.Effects:
        """Pass an event to the decision logic."""
        return self.entry.handle(event, now_s)

    def perform(self, effect: effects.Effect) -> None:
        """Raise TypeError, since an entry has no effects of its own."""
        raise TypeError(f'unexpected effect {effect}')

    def make_disconnected(self, request: int) -> object:
        """Return the event for a caller that disconnected."""
        return entry.CallerDisconnected(request)

    def make_tick(self) -> object:
        """Record new response times and return the timer event.

        Once a stopping entry accepts no jobs, the next request of a caller
        must reach another entry instead of being refused here.
        """
        if self.entry.is_linger_over(clock.read_now()):
            self.close_idle_connections()
        while self.entry.latencies:
            self.exposition.record_latency(*self.entry.latencies.popleft())
        return entry.Ticked()

    def make_stop(self) -> object:
        """Return the event that starts a planned stop."""
        return entry.StopRequested()

    def make_received(self, frame: links.Frame) -> list[object]:
        """Return one event for a frame, so that tasks are placed only once."""
        sender = frame.sender
        is_local = sender.shares_host(self.link.sender)
        return [
            entry.Received(
                sender.name, sender.incarnation, frame.messages, is_local
            )
        ]

    def is_ready(self) -> bool:
        """Tell whether load balancers may send new jobs."""
        return self.rebalancing.is_ready() and self.entry.is_ready(
            clock.read_now()
        )

    def closes_connection(self) -> bool:
        """Tell whether a response is the last one of its connection.

        A new connection of the caller leads to another entry.
        """
        return self.rebalancing.closes_connection(clock.read_now())

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Learn how late the event loop is, and log a change of the load."""
        if not self.rebalancing.record_delay(delay_s, now_s):
            return
        fields = {'delay_s': round(self.rebalancing.delay_s, 3)}
        match self.rebalancing.state:
            case rebalancing.Calm():
                logs.log('entry_calm', **fields)
            case rebalancing.Away():
                logs.log('entry_busy', away=True, **fields)
            case rebalancing.Overdrawn():
                logs.log('entry_busy', away=False, **fields)

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            **self.entry.describe(clock.read_now()),
            'ready': self.is_ready(),
            'rebalancing': dataclasses.asdict(self.rebalancing.state)
            | {
                'state': type(self.rebalancing.state).__name__,
                'delay_s': round(self.rebalancing.delay_s, 4),
                'budget_s': round(self.rebalancing.budget_s, 3),
            },
        }

    def count(self) -> dict[str, int]:
        """Return the counters."""
        counters = dict(self.entry.counters)
        counters.update(self.entry.dispatcher.counters)
        counters.update(self.entry.ownership.counters)
        counters['connections_rebalanced'] = (
            self.rebalancing.connections_closed
        )
        return counters

    def gauge(self) -> dict[str, float]:
        """Return the gauges."""
        return {
            'tasks_queued': self.entry.dispatcher.queue.length,
            'jobs_open': len(self.entry.table.list_open()),
            'targets': len(self.entry.dispatcher.views),
        }
