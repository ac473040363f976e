"""
rosemarypath.policies.fair
~~~~~~~~~~~~~~~~~~~~~~~~~~

Weighted fair sharing by tokens, with loads grouped by adapter.
"""

from rosemarypath.policies import SeatPolicy, policy

__all__ = ["FairPolicy"]


@policy("fair")
class FairPolicy(SeatPolicy):
    """
    Serves the customer that has had the fewest tokens for its weight.

    A customer that was idle starts at the level of those that were not, so that it
    cannot save up a claim.
    """

    def __init__(self):
        self._served = {}
        self._floor = 0.0

    def choose(self, waiting, is_ready, now):
        return self._first([w for w in waiting if is_ready(w.adapter)])

    def choose_load(self, waiting, is_ready, now):
        return self._first([w for w in waiting if not is_ready(w.adapter)])

    def choose_victim(self, slots, waiting, now):
        wanted = {waiter.adapter for waiter in waiting}
        idle = [s for s in slots if s.in_use == 0 and s.adapter not in wanted]
        return min(idle, key=lambda s: (s.popularity, s.used_at), default=None)

    def charge(self, waiter, now):
        start = max(self._served.get(waiter.customer, 0.0), self._floor)
        self._floor = start
        self._served[waiter.customer] = start + waiter.cost / waiter.weight

    def _first(self, waiters):
        def level(waiter):
            served = max(self._served.get(waiter.customer, 0.0), self._floor)
            return served, waiter.since

        return min(waiters, key=level, default=None)
