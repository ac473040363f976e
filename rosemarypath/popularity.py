"""
rosemarypath.popularity
~~~~~~~~~~~~~~~~~~~~~~~

Request counts of adapters with exponential decay.
"""

__all__ = ["Popularity"]

HALF_LIFE_SECONDS = 120.0
MAX_ADAPTERS = 4096


class Popularity:
    """
    Decayed request counts by adapter; beyond `max_adapters` the lowest are dropped.

    Options:

    `half_life`
        Seconds after which a count has halved (default 120).
    `max_adapters`
        Maximum of adapters that are counted (default 4096).
    """

    def __init__(self, half_life=HALF_LIFE_SECONDS, max_adapters=MAX_ADAPTERS):
        self._half_life = half_life
        self._max_adapters = max_adapters
        self._counts = {}

    def record(self, adapter, now):
        """Count a request for `adapter` at the time `now` in seconds."""
        self._counts[adapter] = (self.count_of(adapter, now) + 1.0, now)
        if len(self._counts) > self._max_adapters:
            rarest = min(self._counts, key=lambda name: self.count_of(name, now))
            del self._counts[rarest]

    def count_of(self, adapter, now):
        """
        Return the decayed count of `adapter`.

        >>> popularity = Popularity(half_life=10.0)
        >>> popularity.record("a", 0.0)
        >>> popularity.count_of("a", 10.0)
        0.5
        """
        count, at = self._counts.get(adapter, (0.0, now))
        return count * 0.5 ** ((now - at) / self._half_life)
