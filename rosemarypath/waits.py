"""
rosemarypath.waits
~~~~~~~~~~~~~~~~~~

How long requests may expect to wait at one back end, from those that waited.
"""

__all__ = ["Waits"]

NEW_SHARE = 0.2
FIRST_LOAD_SECONDS = 0.3


class Waits:
    """
    Moving averages of the waits at one back end, in seconds.

    `parallel_loads` is how many adapters it loads at once.
    """

    def __init__(self, parallel_loads):
        self._parallel_loads = parallel_loads
        self._seat = 0.0
        self._load = FIRST_LOAD_SECONDS

    def note_seat(self, seconds):
        """Record that a request of a loaded adapter was seated after `seconds`."""
        self._seat += NEW_SHARE * (seconds - self._seat)

    def note_load(self, seconds):
        """Record that a load took `seconds`, waiting for its permit included."""
        self._load += NEW_SHARE * (seconds - self._load)

    def seat_wait(self, has_queue):
        """Return the wait for a seat; none unless others wait or all are taken."""
        return self._seat if has_queue else 0.0

    def load_wait(self, loading):
        """Return the wait for a load behind `loading` other adapters."""
        turns = 1 + loading // self._parallel_loads
        return self._load * turns
