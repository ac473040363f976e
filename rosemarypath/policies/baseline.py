"""
rosemarypath.policies.baseline
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

First come, first served, with loads on demand; the baseline of comparisons.
"""

from rosemarypath.policies import SeatPolicy, policy

__all__ = ["BaselinePolicy"]


@policy("baseline")
class BaselinePolicy(SeatPolicy):
    """
    Runs and loads in the order of arrival, evicts the least recently used adapter.

    Back ends are chosen at random among those with a free seat, and every daemon has a
    fixed share of each customer's rate.
    """

    has_homes = False
    has_budget_owners = False

    def choose_request(self, waiting, is_ready, now):
        if waiting and is_ready(waiting[0].adapter):
            return waiting[0]
        return None

    def choose_load(self, waiting, is_ready, now):
        if waiting and not is_ready(waiting[0].adapter):
            return waiting[0]
        return None

    def choose_victim(self, slots, waiting, now):
        wanted = {request.adapter for request in waiting}
        idle = [s for s in slots if s.request_count == 0 and s.adapter not in wanted]
        return min(idle, key=lambda slot: slot.last_used_at, default=None)
