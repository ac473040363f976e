"""
rosemarypath.metrics
~~~~~~~~~~~~~~~~~~~~

Counters and timings sent to statsd, and kept for the operators' report.
"""

from collections import Counter

from statsd import StatsClient

__all__ = ["Metrics"]

PREFIX = "rosemarypath"


class Metrics:
    """
    Counters of one daemon.

    `address` is the statsd server's ``host:port``; empty for none.
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
        """Record a duration in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def gauge(self, name, value):
        """Record the present `value` of `name`."""
        if self._client is not None:
            self._client.gauge(name, value)
