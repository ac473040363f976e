"""
rosemarypath.edgemetrics
~~~~~~~~~~~~~~~~~~~~~~~~

Counters and latency histograms of one daemon, in the text exposition format.
"""

from bisect import bisect_left
from collections import Counter

__all__ = ["EdgeMetrics"]

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)  # seconds


class EdgeMetrics:
    """Counters by name, and histograms of seconds by event and kind of route."""

    def __init__(self):
        self._counts = Counter()
        self._histograms = {}

    def count(self, name, amount=1):
        """Add `amount` to the counter `name`."""
        self._counts[name] += amount

    def observe(self, event, kind, seconds):
        """Record a duration of `seconds`."""
        counts = self._histograms.get((event, kind))
        if counts is None:
            counts = self._histograms[(event, kind)] = [0] * (len(BUCKETS) + 1) + [0.0]
        counts[bisect_left(BUCKETS, seconds)] += 1
        counts[-1] += seconds

    def exposition(self, store_calls):
        """Return headers and body of a scrape; the library loads at the first one."""
        from prometheus_client import CollectorRegistry
        from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self._counts, self._histograms, store_calls))
        headers = [(b"Content-Type", CONTENT_TYPE_LATEST.encode())]
        return headers, generate_latest(registry)


class _Collector:
    """Turns the counts into the library's families."""

    def __init__(self, counts, histograms, store_calls):
        self._counts = counts
        self._histograms = histograms
        self._store_calls = store_calls

    def collect(self):
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        events = CounterMetricFamily(
            "rosemarypath_events", "Decisions by name.", labels=["name"]
        )
        for name, count in self._counts.items():
            events.add_metric([name], count)
        yield events
        calls = CounterMetricFamily(
            "rosemarypath_store_calls",
            "Calls to the platform's store.",
            labels=["kind", "verb"],
        )
        for (kind, verb), count in self._store_calls.items():
            calls.add_metric([kind, verb], count)
        yield calls
        sends = HistogramMetricFamily(
            "rosemarypath_send_seconds",
            "Sends to back ends by their end.",
            labels=["event", "kind"],
        )
        for labels, counts in self._histograms.items():
            sends.add_metric(list(labels), _cumulative(counts), counts[-1])
        yield sends


def _cumulative(counts):
    total = 0
    pairs = []
    for bound, count in zip([*map(str, BUCKETS), "+Inf"], counts):
        total += count
        pairs.append((bound, total))
    return pairs
