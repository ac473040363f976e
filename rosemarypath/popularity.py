"""
rosemarypath.popularity
~~~~~~~~~~~~~~~~~~~~~~~

How often adapters are asked for, counted with an exponential decay.
"""

__all__ = ["Popularity"]

HALF_LIFE = 120.0
KEPT = 4096


class Popularity:
    """
    Decayed counts by adapter; the least popular are dropped beyond `most`.

    Options:

    `half_life`
        Seconds after which a count is worth half (default 120).
    `most`
        Adapters that are remembered (default 4096).
    """

    def __init__(self, half_life=HALF_LIFE, most=KEPT):
        self._half_life = half_life
        self._most = most
        self._counts = {}

    def count(self, adapter, now):
        """Count a request of `adapter` at `now`."""
        self._counts[adapter] = (self.of(adapter, now) + 1.0, now)
        if len(self._counts) > self._most:
            rarest = min(self._counts, key=lambda name: self.of(name, now))
            del self._counts[rarest]

    def of(self, adapter, now):
        """
        Return the decayed count of `adapter`.

        >>> popularity = Popularity(half_life=10.0)
        >>> popularity.count("a", 0.0)
        >>> popularity.of("a", 10.0)
        0.5
        """
        count, at = self._counts.get(adapter, (0.0, now))
        return count * 0.5 ** ((now - at) / self._half_life)
