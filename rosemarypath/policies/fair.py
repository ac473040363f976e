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
        ready = [waiter for waiter in waiting if is_ready(waiter.adapter)]
        return min(
            ready, key=lambda w: (self._tokens.level(w.customer), w.since), default=None
        )

    def choose_load(self, waiting, is_ready, now):
        waited = {}
        for waiter in waiting:
            if not is_ready(waiter.adapter):
                seconds = now - waiter.since + EACH_WAITER_SECONDS
                waited[waiter.adapter] = waited.get(waiter.adapter, 0.0) + seconds
        absent = [waiter for waiter in waiting if waiter.adapter in waited]
        return min(
            absent,
            key=lambda w: (self._loads.level(w.customer), -waited[w.adapter]),
            default=None,
        )

    def choose_victim(self, slots, waiting, now):
        wanted = {waiter.adapter for waiter in waiting}
        idle = [s for s in slots if s.in_use == 0 and s.adapter not in wanted]
        return min(idle, key=lambda s: (s.popularity, s.used_at), default=None)

    def charge(self, waiter, now):
        self._tokens.charge(waiter.customer, waiter.cost / waiter.weight)

    def charge_load(self, waiter, now):
        self._loads.charge(waiter.customer, 1.0 / waiter.weight)


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
