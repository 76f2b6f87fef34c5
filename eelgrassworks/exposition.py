"""Counters, gauges and latency histograms as text over HTTP.

Decision classes use plain integer counters, which are read only when the text
is requested.  The library that formats the text is imported by the first
request: most processes are never asked, and each import delays the return of
a process and adds to its memory.
"""

import bisect
from collections.abc import Callable
import dataclasses
from typing import Final

from aiohttp import web

# From the time of a single short task to the longest that callers wait.
BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)

Counts = Callable[[], dict[str, int]]
Gauges = Callable[[], dict[str, float]]


@dataclasses.dataclass(slots=True)
class LatencyHistogram:
    """Numbers of durations by bucket, the last one without an upper bound."""

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKETS_S) + 1)
    )
    sum_s: float = 0.0

    def record(self, duration_s: float) -> None:
        """Count one duration, in seconds."""
        self.counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        self.sum_s += duration_s


class Exposition:
    """The metrics of one process in the Prometheus text format."""

    def __init__(self, count: Counts, gauge: Gauges) -> None:
        self._count = count
        self._gauge = gauge
        self._latencies: dict[str, LatencyHistogram] = {}

    def record_latency(self, kind: str, duration_s: float) -> None:
        """Record the response time of one job, in seconds."""
        histogram = self._latencies.get(kind)
        if histogram is None:
            histogram = self._latencies[kind] = LatencyHistogram()
        histogram.record(duration_s)

    def add_routes(self, application: web.Application) -> None:
        """Add the metrics route to an application."""
        application.router.add_get('/metrics', self._show)

    def render(self) -> bytes:
        """Return the current values as text."""
        from eelgrassworks import metricstext

        return metricstext.render(
            self._count(), self._gauge(), self._latencies
        )

    async def _show(self, _: web.Request) -> web.Response:
        from eelgrassworks import metricstext

        return web.Response(
            body=self.render(),
            headers={'Content-Type': metricstext.CONTENT_TYPE},
        )
