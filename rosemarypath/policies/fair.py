"""
rosemarypath.policies.fair
~~~~~~~~~~~~~~~~~~~~~~~~~~

Weighted fair sharing of tokens and of loads.
"""

from rosemarypath.policies import SeatPolicy, policy

__all__ = ["FairPolicy"]

EACH_WAITER_SECONDS = 0.1


@policy("fair")
class FairPolicy(SeatPolicy):
    """
    Serves the customer that has had the fewest tokens for its weight.

    A customer that was idle starts at the level of those that were not, so that it
    cannot save up a claim. Loads are shared in the same manner, by their number, since
    a customer may use many tokens of few adapters; of its adapters the one is loaded
    whose requests have waited longest in all.
    """

    def __init__(self):
        self._tokens = _Shares()
        self._loads = _Shares()

    def choose(self, waiting, is_ready, now):
        ready = [request for request in waiting if is_ready(request.adapter)]
        return min(
            ready,
            key=lambda w: (self._tokens.level(w.customer), w.queued_at),
            default=None,
        )

    def choose_load(self, waiting, is_ready, now):
        waited = {}
        for request in waiting:
            if not is_ready(request.adapter):
                seconds = now - request.queued_at + EACH_WAITER_SECONDS
                waited[request.adapter] = waited.get(request.adapter, 0.0) + seconds
        absent = [request for request in waiting if request.adapter in waited]
        return min(
            absent,
            key=lambda w: (self._loads.level(w.customer), -waited[w.adapter]),
            default=None,
        )

    def choose_victim(self, slots, waiting, now):
        wanted = {request.adapter for request in waiting}
        idle = [s for s in slots if s.in_use == 0 and s.adapter not in wanted]
        return min(idle, key=lambda s: (s.popularity, s.used_at), default=None)

    def charge(self, request, now):
        self._tokens.charge(request.customer, request.cost / request.weight)

    def charge_load(self, request, now):
        self._loads.charge(request.customer, 1.0 / request.weight)


class _Shares:
    """What each customer has had, for its weight."""

    def __init__(self):
        self._had = {}
        self._floor = 0.0

    def level(self, customer):
        """Return what `customer` has had, at least what the last one served had."""
        return max(self._had.get(customer, 0.0), self._floor)

    def charge(self, customer, amount):
        """Add `amount` to what `customer` has had."""
        self._floor = self.level(customer)
        self._had[customer] = self._floor + amount
