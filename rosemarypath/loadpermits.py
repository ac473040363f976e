"""
rosemarypath.loadpermits
~~~~~~~~~~~~~~~~~~~~~~~~

The weight store's limits and the permits that keep all loads within them.
"""

import msgspec

__all__ = ["LoadPermits", "WeightStoreLimits"]


LONGEST_WAIT = 1.0
FORGET_SECONDS = 3.0


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

    Those that ask are served in the order in which they first asked. A permit is held
    until it is given back or its `lifetime` in seconds ends. A fresh instance starts
    without credit, so a successor never doubles the rate.
    """

    def __init__(self, limits, now, lifetime=15.0):
        self._limits = limits
        self._lifetime = lifetime
        self._credit = 0.0
        self._filled_at = now
        self._held = {}
        self._asking = {}

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

        Who does not ask again within three seconds more than told loses its turn.
        """
        self._refill(now)
        if permit in self._held:
            return 0.0
        rank = self._rank(permit)
        free = self._limits.in_flight - len(self._held)
        if rank < free and rank + 1 <= self._credit + 1e-9:
            self._credit -= 1.0
            self._held[permit] = now + self._lifetime
            self._asking.pop(permit, None)
            return 0.0
        wait = (rank + 1 - self._credit) / self._limits.loads_per_second
        wait = min(max(wait, 0.01), LONGEST_WAIT)
        self._asking[permit] = now + wait + FORGET_SECONDS
        return wait

    def give_back(self, permit):
        """End `permit`; unknown permits are ignored."""
        self._held.pop(permit, None)

    def _rank(self, permit):
        """Return how many others asked before `permit`."""
        for rank, asking in enumerate(self._asking):
            if asking == permit:
                return rank
        return len(self._asking)

    def _refill(self, now):
        elapsed = now - self._filled_at
        self._filled_at = now
        gained = elapsed * self._limits.loads_per_second
        self._credit = min(1.0, self._credit + gained)
        self._held = {p: end for p, end in self._held.items() if end > now}
        self._asking = {p: end for p, end in self._asking.items() if end > now}
