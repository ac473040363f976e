"""
rosemarypath.ramp
~~~~~~~~~~~~~~~~~

How much a back end may carry: little when fresh, more as it proves itself.
"""

__all__ = ["Ramp"]

COMPLETIONS_PER_SEAT = 2
SLOW_FACTOR = 2.0


class Ramp:
    """
    The number of seats of one back end.

    Options:

    `cold`
        Seats of a fresh back end.
    `warm`
        Seats of a proven one.

    Each step up needs twice as many completions as there are seats, at no more than
    twice the best time a token; a failure goes back to `cold`.
    """

    def __init__(self, cold, warm):
        self._cold = min(cold, warm)
        self._warm = warm
        self._limit = self._cold
        self._completed = 0
        self._best = float("inf")

    @property
    def limit(self):
        """Return how many requests it may run at once."""
        return self._limit

    def resize(self, cold, warm):
        """Put changed capacities in force."""
        self._cold = min(cold, warm)
        self._warm = warm
        self._limit = min(self._limit, warm)

    def start_from(self, running):
        """Start from `running` requests, which it was found to carry."""
        self._limit = max(self._cold, min(running, self._warm))

    def record_completion(self, seconds, tokens):
        """Record a request that ran whole."""
        per_token = seconds / max(1, tokens)
        self._best = min(self._best, per_token)
        if per_token > SLOW_FACTOR * self._best:
            return
        self._completed += 1
        if self._completed >= COMPLETIONS_PER_SEAT * self._limit:
            self._completed = 0
            self._limit = min(self._warm, self._limit + 1)

    def reset(self):
        """Go back to the cold capacity, after a failure or an empty restart."""
        self._limit = self._cold
        self._completed = 0
        self._best = float("inf")
