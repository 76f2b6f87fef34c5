"""Metrics by statsd.

Decision classes use plain integer counters.  Once a second the differences
and the gauges are sent in one batch of datagrams.
"""

import collections
from typing import Any
from typing import Final

import statsd

FLUSH_INTERVAL_S: Final = 1.0


class Metrics:
    """Sends counters, gauges and timings of one process."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        self._client: Any = None
        if host:
            self._client = statsd.StatsClient(host, port, prefix=prefix)
        self._sent_totals: collections.Counter[str] = collections.Counter()
        self._timings_ms: list[tuple[str, float]] = []

    def time(self, name: str, duration_s: float) -> None:
        """Record one duration."""
        if self._client is not None:
            self._timings_ms.append((name, duration_s * 1000))

    def flush(
        self, counters: dict[str, int], gauges: dict[str, float]
    ) -> None:
        """Send what changed since the last flush."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, total in counters.items():
                difference = total - self._sent_totals[name]
                if difference:
                    pipe.incr(name, difference)
                    self._sent_totals[name] = total
            for name, value in gauges.items():
                pipe.gauge(name, value)
            for name, duration_ms in self._timings_ms:
                pipe.timing(name, duration_ms)
        self._timings_ms = []
