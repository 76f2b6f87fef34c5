"""Counters, gauges and latency histograms as text over HTTP.

Decision classes use plain integer counters, which are read only when the text
is requested.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

from aiohttp import web
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

PREFIX: Final = 'eelgrassworks'
# From the time of a single short task to the longest that callers wait.
BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)

Counts = Callable[[], dict[str, int]]
Gauges = Callable[[], dict[str, float]]


class CountersCollector(registry.Collector):
    """Reads the counters and gauges of a process."""

    def __init__(self, count: Counts, gauge: Gauges) -> None:
        self._count = count
        self._gauge = gauge

    def collect(self) -> Iterator[core.Metric]:
        """Return the current values."""
        counters = core.CounterMetricFamily(
            f'{PREFIX}_events', 'Events by name.', labels=['event']
        )
        for name, value in self._count().items():
            counters.add_metric([name], value)
        yield counters
        gauges = core.GaugeMetricFamily(
            f'{PREFIX}_state', 'State by name.', labels=['name']
        )
        for name, number in self._gauge().items():
            gauges.add_metric([name], number)
        yield gauges


class Exposition:
    """The metrics of one process in the Prometheus text format."""

    def __init__(self, count: Counts, gauge: Gauges) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(CountersCollector(count, gauge))
        self._latency = prometheus_client.Histogram(
            f'{PREFIX}_job_seconds',
            'Response time of complete jobs by kind.',
            ['kind'],
            buckets=BUCKETS_S,
            registry=self._registry,
        )

    def record_latency(self, kind: str, duration_s: float) -> None:
        """Record the response time of one job, in seconds."""
        self._latency.labels(kind).observe(duration_s)

    def add_routes(self, application: web.Application) -> None:
        """Add the metrics route to an application."""
        application.router.add_get('/metrics', self._show)

    def render(self) -> bytes:
        """Return the current values as text."""
        return prometheus_client.generate_latest(self._registry)

    async def _show(self, _: web.Request) -> web.Response:
        return web.Response(
            body=self.render(),
            headers={'Content-Type': prometheus_client.CONTENT_TYPE_LATEST},
        )
