"""
rosemarypath.scheduling.stopping
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which new requests a stopping daemon still accepts: those expected to end in its grace.
"""

from collections import deque
from math import ceil, inf

__all__ = ["RouteDurations", "StopWindow"]

WINDOW_SECONDS = 30.0  # for which a duration counts
MAX_DURATIONS = 200  # kept per route
MAX_ROUTES = 512  # whose durations are kept
QUANTILE = 0.95  # of the recent durations, taken as the expected one


class RouteDurations:
    """Recent durations of the requests of each route, in seconds."""

    def __init__(self):
        self._durations = {}

    def record(self, route, seconds, now):
        """Record that a request of the route named `route` ended after `seconds`."""
        durations = self._durations.pop(route, None)
        if durations is None:
            durations = deque(maxlen=MAX_DURATIONS)
        durations.append((now, seconds))
        self._durations[route] = durations
        if len(self._durations) > MAX_ROUTES:
            # The first one is the route that has been without requests for longest.
            del self._durations[next(iter(self._durations))]

    def expected(self, route, now):
        """Return how long a request is expected to take, ``None`` if unknown."""
        recent = sorted(
            seconds
            for at, seconds in self._durations.get(route, ())
            if now - at <= WINDOW_SECONDS
        )
        return recent[ceil(QUANTILE * len(recent)) - 1] if recent else None


class StopWindow:
    """
    Decides which new requests are accepted while the daemon stops.

    Times (`now`, deadlines) are in seconds of one monotonic clock. Until `begin` is
    called, all requests are accepted.
    """

    def __init__(self):
        self._closes_at = inf
        self._end = inf
        self._durations = RouteDurations()

    def begin(self, closes_at, end):
        """
        Begin to stop.

        No request is accepted from the time `closes_at` on; those under way are ended
        at the time `end`.
        """
        self._closes_at = closes_at
        self._end = end

    def record(self, route, seconds, now):
        """Record that a request of the route named `route` ended after `seconds`."""
        self._durations.record(route, seconds, now)

    def is_closed(self, now):
        """Return whether no new request is accepted."""
        return now >= self._closes_at

    def accepts(self, route, deadline, now):
        """
        Return whether a new request is accepted.

        `route` is the name of its route, `deadline` the time at which its final answer
        is due in any case.
        """
        if self.is_closed(now):
            return False
        if deadline <= self._end:
            return True
        expected = self._durations.expected(route, now)
        return expected is not None and now + expected <= self._end
