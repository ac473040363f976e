"""
rosemarypath.metrics
~~~~~~~~~~~~~~~~~~~~

Counters and timings that are sent to statsd; the counters are also kept in memory.
"""

from collections import Counter

from statsd import StatsClient

__all__ = ["Metrics"]

PREFIX = "rosemarypath"


class Metrics:
    """
    Metrics of one daemon.

    `address` is the ``host:port`` of the statsd server, empty for none. `counts` maps
    the names of counters to their values since the start.
    """

    def __init__(self, address=""):
        self._client = None
        self.counts = Counter()
        if address:
            host, port = address.rsplit(":", 1)
            self._client = StatsClient(host, int(port), prefix=PREFIX)

    def count(self, name, amount=1):
        """Add `amount` to the counter `name`."""
        self.counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name, seconds):
        """Record a duration in seconds; statsd gets it in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def gauge(self, name, value):
        """Record the current `value` of the gauge `name`."""
        if self._client is not None:
            self._client.gauge(name, value)
