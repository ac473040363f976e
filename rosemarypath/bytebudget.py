"""
rosemarypath.bytebudget
~~~~~~~~~~~~~~~~~~~~~~~

Bound on the bytes of answers that a process holds on all of its connections together.

Load: faulty back ends send bytes without end, in heads or bodies, to dozens of
requests at once, while sound ones send small answers.
"""

from math import inf

__all__ = ["ByteBudget"]

# Fewer bytes of one connection are not counted, which saves the work for each event.
UNCOUNTED_BYTES = 16 * 1024


class ByteBudget:
    """
    Counts bytes by their holder; `capacity` bounds their sum.

    A holder has a method ``reject_answer(message)``, by which the one with the most
    bytes gives them up when the sum is too large, and ``is_protected``, whether others
    do so first.
    """

    def __init__(self, capacity=inf):
        self._held = {}
        self.capacity = capacity
        self.total = 0

    def set_held(self, holder, count):
        """Record that `holder` has `count` bytes."""
        known = self._held.get(holder)
        if count <= UNCOUNTED_BYTES:
            if known is not None:
                self.total -= self._held.pop(holder)
            return
        self.total += count - (known or 0)
        self._held[holder] = count
        while self.total > self.capacity and self._held:
            self._reject_largest()

    def _reject_largest(self):
        largest = max(
            self._held, key=lambda holder: (not holder.is_protected, self._held[holder])
        )
        count = self._held.pop(largest)
        self.total -= count
        largest.reject_answer(
            f"answers hold over {self.capacity:.0f} bytes, this one {count}"
        )
