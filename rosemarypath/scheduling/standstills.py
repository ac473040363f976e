"""
rosemarypath.scheduling.standstills
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides since when a change in the store counts that a daemon reads after a standstill.
"""

from math import inf

__all__ = ["Standstills"]

# A shorter gap between two heartbeats is a busy daemon's; it delays what is read less
# than the margin of the graces.
STANDSTILL_SECONDS = 1.0
# A change in a standstill is read so much later at most: silent watches are found by
# then.
READ_SECONDS = 2.5


class Standstills:
    """
    The last time for which this daemon stood still, as it was frozen or suspended.

    All times are on the lease clock, which goes on in a suspension. `now` is the time
    of the daemon's start.
    """

    def __init__(self, now):
        self._ran_at = now
        self._began_at = -inf
        self._ended_at = -inf

    def note_running(self, now):
        """Note that the daemon runs; called with every heartbeat."""
        if now - self._ran_at > STANDSTILL_SECONDS:
            self._began_at, self._ended_at = self._ran_at, now
        self._ran_at = now

    def changed_at(self, now):
        """
        Return the earliest time for a change that is first read now.

        Soon after a standstill, the change may have been written at its beginning.
        """
        self.note_running(now)
        return self._began_at if now - self._ended_at <= READ_SECONDS else now
