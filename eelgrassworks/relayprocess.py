"""The process of a relay, which directs operators to the leader."""

from typing import Any

from aiohttp import web

from eelgrassworks import clock
from eelgrassworks import control
from eelgrassworks import effects
from eelgrassworks import links
from eelgrassworks import metrics
from eelgrassworks import process
from eelgrassworks import relay
from eelgrassworks import settings
from eelgrassworks.fronts import admin
from eelgrassworks.links import transport


class RelayProcess(process.Process):
    """One relay."""

    def __init__(
        self, model: settings.ControlSettings, link: transport.Transport
    ) -> None:
        super().__init__(
            'control',
            settings.make_vm(model.vm),
            link,
            metrics.Metrics(
                model.statsd.host, model.statsd.port, f'control.{model.name}'
            ),
        )
        self.model = model
        self.tick_interval_s = relay.SEARCH_INTERVAL_S
        self.relay = relay.Relay(
            relay.RelayOptions(
                model.name,
                tuple(name for name in model.replicas if name != model.name),
            )
        )

    def add_replicas(self, replicas: dict[str, str]) -> None:
        """Poll the control replicas of changed settings."""
        for name, address in replicas.items():
            self.link.connect(name, address, persistent=False)
        self.relay.add_replicas(tuple(replicas))

    async def start(self) -> None:
        """Connect to the replicas and serve the admin API."""
        await super().start()
        self.add_replicas(
            {
                name: address
                for name, address in self.model.replicas.items()
                if name != self.model.name
            }
        )
        application = web.Application()
        admin.Admin(self, self.model.tokens.operators).add_routes(application)
        await self.serve(
            application, self.model.http.host, self.model.http.port
        )

    def decide(self, event: Any, now_s: float) -> effects.Effects:
        """Pass an event to the decisions and return the effects."""
        return self.relay.handle(event, now_s)

    def perform(self, effect: effects.Effect) -> None:
        """Raise TypeError: a relay has no effects of its own."""
        raise TypeError(f'unexpected effect {effect}')

    def make_tick(self) -> object:
        """Return the event of the periodic timer."""
        return control.Ticked()

    def make_stop(self) -> object:
        """Return the event that starts a planned stop."""
        return control.StopRequested()

    def make_received(self, frame: links.Frame) -> list[object]:
        """Return one event for each message of a frame."""
        sender = frame.sender
        return [
            control.Received(sender.name, sender.incarnation, message)
            for message in frame.messages
        ]

    def is_ready(self) -> bool:
        """Return whether a leader is known."""
        return bool(self.relay.find_leader(clock.read_now()))

    def describe(self) -> dict[str, object]:
        """Return the state that a dump prints."""
        return self.relay.describe(clock.read_now())

    def count(self) -> dict[str, int]:
        """Return the counters that are exported as metrics."""
        return {'redirected': self.relay.redirected}
