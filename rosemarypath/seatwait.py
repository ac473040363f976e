"""
rosemarypath.seatwait
~~~~~~~~~~~~~~~~~~~~~

How long requests may expect to wait for a seat, from those that waited.
"""

__all__ = ["SeatWaitAverage"]

SMOOTHING_FACTOR = 0.2


class SeatWaitAverage:
    """A moving average of the waits for a seat at one back end, in seconds."""

    def __init__(self):
        self._average = 0.0

    def add(self, seconds):
        """Record that a request of a loaded adapter was seated after `seconds`."""
        self._average += SMOOTHING_FACTOR * (seconds - self._average)

    def expected_wait(self, has_queue):
        """Return the wait for a seat; none unless others wait or all are taken."""
        return self._average if has_queue else 0.0
