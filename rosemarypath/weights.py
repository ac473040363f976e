"""
rosemarypath.weights
~~~~~~~~~~~~~~~~~~~~

The weight store's limits and the permits that keep all loads within them.
"""

import msgspec

__all__ = ["LoadPermits", "WeightStoreLimits"]


class WeightStoreLimits(msgspec.Struct, frozen=True, kw_only=True):
    """
    What the weight store carries.

    `loads_per_second` and `in_flight` bound the loads of the whole fleet.
    """

    name: str
    loads_per_second: float = 4.0
    in_flight: int = 8


class LoadPermits:
    """
    Permits for loads, kept by the weight store's owner.

    A permit is held until it is given back or its `lifetime` in seconds ends.
    A fresh instance starts without credit, so a successor never doubles the rate.
    """

    def __init__(self, limits, now, lifetime=15.0):
        self._limits = limits
        self._lifetime = lifetime
        self._credit = 0.0
        self._filled_at = now
        self._held = {}

    @property
    def in_flight(self):
        """Return the number of permits held."""
        return len(self._held)

    def set_limits(self, limits):
        """Put new limits in force."""
        self._limits = limits

    def acquire(self, permit, now):
        """
        Try to take `permit`; return the seconds to wait, 0.0 when it is granted.
        """
        if permit in self._held:
            return 0.0
        self._refill(now)
        if len(self._held) >= self._limits.in_flight:
            return 1.0 / self._limits.loads_per_second
        if self._credit < 1.0:
            return (1.0 - self._credit) / self._limits.loads_per_second
        self._credit -= 1.0
        self._held[permit] = now + self._lifetime
        return 0.0

    def give_back(self, permit):
        """End `permit`; unknown permits are ignored."""
        self._held.pop(permit, None)

    def _refill(self, now):
        elapsed = now - self._filled_at
        self._filled_at = now
        gained = elapsed * self._limits.loads_per_second
        self._credit = min(1.0, self._credit + gained)
        for permit in [p for p, end in self._held.items() if end <= now]:
            del self._held[permit]
