"""
rosemarypath.policies.fair
~~~~~~~~~~~~~~~~~~~~~~~~~~

Weighted fair sharing of tokens and of loads.
"""

from rosemarypath.policies import SeatPolicy, policy

__all__ = ["FairPolicy"]

# Added to each request's waiting time, so that the number of requests counts too.
BASE_WAIT_SECONDS = 0.1


@policy("fair")
class FairPolicy(SeatPolicy):
    """
    Serves the customer that has received the fewest tokens relative to its weight.

    This is fair queueing with virtual times. A customer that was idle continues at the
    virtual time of the active ones, so that it cannot accumulate credit. Loads are
    shared separately, by their number, since a customer may use many tokens of few
    adapters; of a customer's adapters the one with the longest total waiting time is
    loaded first.
    """

    def __init__(self):
        self._tokens = _VirtualTimes()
        self._loads = _VirtualTimes()

    def choose_request(self, waiting, is_ready, now):
        ready = [request for request in waiting if is_ready(request.adapter)]
        return min(
            ready,
            key=lambda r: (self._tokens.get(r.customer), r.queued_at),
            default=None,
        )

    def choose_load(self, waiting, is_ready, now):
        waited = {}
        for request in waiting:
            if not is_ready(request.adapter):
                seconds = now - request.queued_at + BASE_WAIT_SECONDS
                waited[request.adapter] = waited.get(request.adapter, 0.0) + seconds
        absent = [request for request in waiting if request.adapter in waited]
        return min(
            absent,
            key=lambda r: (self._loads.get(r.customer), -waited[r.adapter]),
            default=None,
        )

    def choose_victim(self, slots, waiting, now):
        wanted = {request.adapter for request in waiting}
        idle = [s for s in slots if s.request_count == 0 and s.adapter not in wanted]
        return min(idle, key=lambda s: (s.popularity, s.last_used_at), default=None)

    def record_grant(self, request, now):
        self._tokens.advance(request.customer, request.cost / request.weight)

    def record_load(self, request, now):
        self._loads.advance(request.customer, 1.0 / request.weight)


class _VirtualTimes:
    """Virtual time of each customer: the service received, divided by its weight."""

    def __init__(self):
        self._times = {}
        self._minimum = 0.0

    def get(self, customer):
        """Return the time of `customer`, at least that of the last one served."""
        return max(self._times.get(customer, 0.0), self._minimum)

    def advance(self, customer, amount):
        """Advance the virtual time of `customer` by `amount`."""
        self._minimum = self.get(customer)
        self._times[customer] = self._minimum + amount
