"""
rosemarypath.seatwait
~~~~~~~~~~~~~~~~~~~~~

How long requests may expect to wait for a seat, from those that waited.
"""

__all__ = ["Waits"]

NEW_SHARE = 0.2


class Waits:
    """A moving average of the waits for a seat at one back end, in seconds."""

    def __init__(self):
        self._seat = 0.0

    def note_seat(self, seconds):
        """Record that a request of a loaded adapter was seated after `seconds`."""
        self._seat += NEW_SHARE * (seconds - self._seat)

    def seat_wait(self, has_queue):
        """Return the wait for a seat; none unless others wait or all are taken."""
        return self._seat if has_queue else 0.0
