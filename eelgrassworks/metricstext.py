"""The Prometheus text format of metrics, for ``exposition``."""

from collections.abc import Iterator
from collections.abc import Mapping
import itertools
from typing import Final

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from eelgrassworks import exposition

PREFIX: Final = 'eelgrassworks'
CONTENT_TYPE: Final = prometheus_client.CONTENT_TYPE_LATEST


class MetricsCollector(registry.Collector):
    """Returns given counters, gauges and latencies as metric families."""

    def __init__(
        self,
        counters: Mapping[str, int],
        gauges: Mapping[str, float],
        latencies: Mapping[str, exposition.LatencyHistogram],
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._latencies = latencies

    def collect(self) -> Iterator[core.Metric]:
        """Return the metric families."""
        counters = core.CounterMetricFamily(
            f'{PREFIX}_events', 'Events by name.', labels=['event']
        )
        for name, value in self._counters.items():
            counters.add_metric([name], value)
        yield counters
        gauges = core.GaugeMetricFamily(
            f'{PREFIX}_state', 'State by name.', labels=['name']
        )
        for name, number in self._gauges.items():
            gauges.add_metric([name], number)
        yield gauges
        latencies = core.HistogramMetricFamily(
            f'{PREFIX}_job_seconds',
            'Response time of complete jobs by kind.',
            labels=['kind'],
        )
        for kind, histogram in self._latencies.items():
            latencies.add_metric(
                [kind], _list_buckets(histogram), histogram.sum_s
            )
        yield latencies


def render(
    counters: Mapping[str, int],
    gauges: Mapping[str, float],
    latencies: Mapping[str, exposition.LatencyHistogram],
) -> bytes:
    """Return metrics as text."""
    families = prometheus_client.CollectorRegistry()
    families.register(MetricsCollector(counters, gauges, latencies))
    return prometheus_client.generate_latest(families)


def _list_buckets(
    histogram: exposition.LatencyHistogram,
) -> list[tuple[str, float]]:
    """Return the cumulative counts with their upper bounds, in seconds."""
    bounds = [str(bound) for bound in exposition.BUCKETS_S] + ['+Inf']
    totals = itertools.accumulate(histogram.counts)
    return list(zip(bounds, map(float, totals), strict=True))
