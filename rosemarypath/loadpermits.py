"""
rosemarypath.loadpermits
~~~~~~~~~~~~~~~~~~~~~~~~

Load permits, which keep the loads of all engines within the weight store's limits.
"""

import msgspec

__all__ = ["LoadPermits", "WeightStoreLimits"]


MAX_WAIT_SECONDS = 1.0
POLL_GRACE_SECONDS = 3.0


class WeightStoreLimits(msgspec.Struct, frozen=True, kw_only=True):
    """
    Limits of the weight store for the loads of the whole fleet.

    `loads_per_second` limits their rate, `in_flight` the number of concurrent loads.
    """

    name: str
    loads_per_second: float = 4.0
    in_flight: int = 8


class LoadPermits:
    """
    Grants permits for loads; kept by the weight store's owner.

    Permits are granted in the order of the first request for each. A permit is held
    until it is released or its `lifetime` in seconds ends. A new instance starts
    without credit, so a change of owner never doubles the rate.
    """

    def __init__(self, limits, now, lifetime=15.0):
        self._limits = limits
        self._lifetime = lifetime
        self._credit = 0.0
        self._refilled_at = now
        self._held = {}
        self._waiting = {}

    @property
    def in_flight(self):
        """Return the number of permits that are held."""
        return len(self._held)

    def set_limits(self, limits):
        """Apply new limits."""
        self._limits = limits

    def acquire(self, permit, now):
        """
        Try to acquire `permit`; return 0.0 if granted, else the seconds to wait.

        A permit that is not requested again within three seconds after that wait loses
        its position in the queue.
        """
        self._refill(now)
        if permit in self._held:
            return 0.0
        position = self._queue_position(permit)
        free = self._limits.in_flight - len(self._held)
        if position < free and position + 1 <= self._credit + 1e-9:
            self._credit -= 1.0
            self._held[permit] = now + self._lifetime
            self._waiting.pop(permit, None)
            return 0.0
        wait = (position + 1 - self._credit) / self._limits.loads_per_second
        wait = min(max(wait, 0.01), MAX_WAIT_SECONDS)
        self._waiting[permit] = now + wait + POLL_GRACE_SECONDS
        return wait

    def release(self, permit):
        """Release `permit`; unknown permits are ignored."""
        self._held.pop(permit, None)

    def _queue_position(self, permit):
        """Return the number of waiting permits ahead of `permit`."""
        for position, waiting in enumerate(self._waiting):
            if waiting == permit:
                return position
        return len(self._waiting)

    def _refill(self, now):
        elapsed = now - self._refilled_at
        self._refilled_at = now
        gained = elapsed * self._limits.loads_per_second
        self._credit = min(1.0, self._credit + gained)
        self._held = {p: end for p, end in self._held.items() if end > now}
        self._waiting = {p: end for p, end in self._waiting.items() if end > now}
