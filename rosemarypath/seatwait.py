"""
rosemarypath.seatwait
~~~~~~~~~~~~~~~~~~~~~

Expected wait for a seat, estimated from the waits of earlier requests.
"""

__all__ = ["SeatWaitAverage"]

SMOOTHING_FACTOR = 0.2


class SeatWaitAverage:
    """Exponential moving average of the seconds that requests waited for a seat."""

    def __init__(self):
        self._average = 0.0

    def add(self, seconds):
        """Record that a request with a loaded adapter waited `seconds` for a seat."""
        self._average += SMOOTHING_FACTOR * (seconds - self._average)

    def expected_wait(self, has_queue):
        """Return the expected wait in seconds, 0 without a queue."""
        return self._average if has_queue else 0.0
