"""
rosemarypath.scheduling.reservations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reserves a loaded adapter for the requests that waited for it.

On an engine with few places all other adapters are often in use when a load completes,
so that the new adapter would be the only candidate for eviction. The requests that
waited for it at other daemons arrive some milliseconds later, and the heartbeat that
reports them later still.
"""

__all__ = ["Reservations"]


class Reservations:
    """
    The reserved adapters of one engine.

    A reservation lasts for `seconds`, until the heartbeats of all daemons have reported
    whether a request still waits for the adapter or uses it.
    """

    def __init__(self, seconds):
        self._until = {}
        self.seconds = seconds

    def reserve(self, name, now):
        """Reserve the adapter `name`, which was loaded at `now`."""
        self._until = {n: until for n, until in self._until.items() if now < until}
        self._until[name] = now + self.seconds

    def is_reserved(self, name, now):
        """Return whether the adapter `name` is reserved."""
        return now < self._until.get(name, float("-inf"))

    def clear(self):
        """Drop all reservations, after a restart of the engine."""
        self._until.clear()
