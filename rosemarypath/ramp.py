"""
rosemarypath.ramp
~~~~~~~~~~~~~~~~~

Slow start: the concurrency limit of a back end, raised as it completes requests.
"""

__all__ = ["Ramp"]

COMPLETIONS_PER_REQUEST_SLOT = 2
MAX_SLOWDOWN = 2.0


class Ramp:
    """
    Concurrency limit of one back end.

    Options:

    `cold`
        Limit of a back end that has just started.
    `warm`
        Limit of a warm one.

    Each step of one request needs twice as many completions as the limit, each within
    twice the best time per token; a failure resets the limit to `cold`.
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
        """Apply changed capacities."""
        self._cold = min(cold, warm)
        self._warm = warm
        self._limit = min(self._limit, warm)

    def start_from(self, running):
        """Start from `running` requests, which the back end was found to run."""
        self._limit = max(self._cold, min(running, self._warm))

    def record_completion(self, seconds, tokens):
        """Record a completed request, its duration in seconds and its tokens."""
        per_token = seconds / max(1, tokens)
        self._best = min(self._best, per_token)
        if per_token > MAX_SLOWDOWN * self._best:
            return
        self._completed += 1
        if self._completed >= COMPLETIONS_PER_REQUEST_SLOT * self._limit:
            self._completed = 0
            self._limit = min(self._warm, self._limit + 1)

    def reset(self):
        """Reset the limit, after a failure or a restart without running requests."""
        self._limit = self._cold
        self._completed = 0
        self._best = float("inf")
