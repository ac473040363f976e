"""
rosemarypath.edgemetrics
~~~~~~~~~~~~~~~~~~~~~~~~

Prometheus metrics of one daemon: counters and latency histograms.
"""

import time
from bisect import bisect_left
from collections import Counter

from rosemarypath.levels import objective_events

__all__ = ["LEVEL_EVENTS", "MACHINE_INFO", "SCRAPED_AT", "STARTED_AT", "EdgeMetrics"]

LEVEL_EVENTS = "rosemarypath_level_events"
HELD = "rosemarypath_held"
MACHINE_INFO = "rosemarypath_machine"
SCRAPED_AT = "rosemarypath_scrape_time_seconds"
STARTED_AT = "rosemarypath_start_time_seconds"

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)  # seconds


class EdgeMetrics:
    """
    Counters by name, and histograms of seconds by event and kind of route.

    `machine` and `zone` tell where the daemon runs. `now` is the wall clock at its
    start, in Unix seconds.
    """

    def __init__(self, machine="", zone="", now=0.0):
        self._machine = machine
        self._zone = zone
        self._started_at = now
        self._counts = Counter()
        self._levels = Counter()
        self._histograms = {}
        self._held = {}

    def count(self, name, amount=1):
        """Add `amount` to the counter `name`."""
        self._counts[name] += amount

    def add_level(self, name, read):
        """Show what ``read()`` returns at each scrape as the level `name`."""
        self._held[name] = read

    def observe(self, event, kind, seconds):
        """Record a duration of `seconds` in the histogram of `event` and `kind`."""
        # One count for each bucket and one above the last; then the sum of seconds.
        counts = self._histograms.get((event, kind))
        if counts is None:
            counts = self._histograms[(event, kind)] = [0] * (len(BUCKETS) + 1) + [0.0]
        counts[bisect_left(BUCKETS, seconds)] += 1
        counts[-1] += seconds

    def record_request(self, context, failure=""):
        """
        Count the service-level objectives that a request met or missed.

        `context` is its `RequestContext`; `failure` is the code of the reason why it
        got no answer, empty if it got one.
        """
        customer = context.customer.name if context.customer else ""
        for objective, cause in objective_events(context, failure):
            self._levels[(objective, customer, cause)] += 1

    def exposition(self, store_calls):
        """
        Return headers and body of the answer to a scrape, in the text format.

        `store_calls` maps (kind, verb) to the number of calls. The Prometheus library
        is imported at the first scrape only.
        """
        from prometheus_client import CollectorRegistry
        from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

        registry = CollectorRegistry()
        registry.register(self._collector(store_calls))
        headers = [(b"Content-Type", CONTENT_TYPE_LATEST.encode())]
        return headers, generate_latest(registry)

    def _collector(self, store_calls):
        location = {"machine": self._machine, "zone": self._zone}
        times = (self._started_at, time.time())
        return _Collector(
            self._counts,
            self._histograms,
            store_calls,
            self._levels,
            location,
            times,
            {name: read() for name, read in self._held.items()},
        )


class _Collector:
    """Converts the counts into metric families of the Prometheus library."""

    def __init__(self, counts, histograms, store_calls, levels, location, times, held):
        self._counts = counts
        self._histograms = histograms
        self._store_calls = store_calls
        self._levels = levels
        self._location = location
        self._times = times
        self._held = held

    def collect(self):
        yield from self._daemon()
        yield from self._events()
        yield self._sends()

    def _daemon(self):
        from prometheus_client.core import GaugeMetricFamily, InfoMetricFamily

        yield InfoMetricFamily(MACHINE_INFO, "The daemon's place.", self._location)
        started_at, scraped_at = self._times
        yield GaugeMetricFamily(STARTED_AT, "Unix time of the start.", started_at)
        yield GaugeMetricFamily(SCRAPED_AT, "Unix time of this scrape.", scraped_at)
        held = GaugeMetricFamily(HELD, "What is held for callers.", labels=["name"])
        for name, value in self._held.items():
            held.add_metric([name], value)
        yield held

    def _events(self):
        from prometheus_client.core import CounterMetricFamily

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
        levels = CounterMetricFamily(
            LEVEL_EVENTS,
            "Objectives met (no cause) and missed.",
            labels=["objective", "customer", "cause"],
        )
        for labels, count in self._levels.items():
            levels.add_metric(list(labels), count)
        yield levels

    def _sends(self):
        from prometheus_client.core import HistogramMetricFamily

        sends = HistogramMetricFamily(
            "rosemarypath_send_seconds",
            "Sends to back ends by their end.",
            labels=["event", "kind"],
        )
        for labels, counts in self._histograms.items():
            sends.add_metric(list(labels), _cumulative(counts), counts[-1])
        return sends


def _cumulative(counts):
    """Return pairs of bucket bound and cumulative count, as an exposition has them."""
    total = 0
    pairs = []
    for bound, count in zip([*map(str, BUCKETS), "+Inf"], counts):
        total += count
        pairs.append((bound, total))
    return pairs
