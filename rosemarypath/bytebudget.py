"""
rosemarypath.bytebudget
~~~~~~~~~~~~~~~~~~~~~~~

Bound on the bytes that a process holds on all connections of one kind together.

Load: faulty back ends send bytes without end, in heads or bodies, to dozens of
requests at once, while sound ones send small answers. Callers send many bodies at once
and leave them unfinished, while others send small requests.
"""

from math import inf

__all__ = ["ByteBudget"]

# Fewer bytes of one connection are not counted, which saves the work for each event.
UNCOUNTED_BYTES = 16 * 1024


class ByteBudget:
    """
    Counts bytes by their holder; `capacity` bounds their sum.

    A holder has a method ``reject_held(message)``, by which the one with the most
    bytes gives them up when the sum is too large, and ``is_protected``, whether others
    do so first. Of a holder with `uncounted` bytes or fewer nothing is counted. State
    is bounded by the number of connections, as each holder is one.
    """

    _subject = "answers"

    def __init__(self, capacity=inf, uncounted=UNCOUNTED_BYTES):
        self._held = {}
        self._uncounted = uncounted
        self.capacity = capacity
        self.total = 0

    def set_held(self, holder, count):
        """Record that `holder` has `count` bytes."""
        known = self._held.get(holder)
        if count <= self._uncounted:
            if known is not None:
                self.total -= self._held.pop(holder)
            return
        self.total += count - (known or 0)
        self._held[holder] = count
        self._enforce_capacity()

    def _enforce_capacity(self):
        while self.total > self.capacity and self._held:
            self._reject_largest()

    def _reject_largest(self):
        largest = max(
            self._held, key=lambda holder: (not holder.is_protected, self._held[holder])
        )
        count = self._held.pop(largest)
        self.total -= count
        largest.reject_held(
            f"{self._subject} hold over {self.capacity:.0f} bytes, this one {count}"
        )
