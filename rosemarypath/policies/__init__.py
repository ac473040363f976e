"""
rosemarypath.policies
~~~~~~~~~~~~~~~~~~~~~

Seat policies: they choose the request to run next, the adapter to load next and the
adapter to evict.
"""

from dataclasses import dataclass

from rosemarypath.registry import Registry

__all__ = ["AdapterSlot", "SeatPolicy", "SeatRequest", "get_policy_by_name", "policy"]

policy = Registry()


def get_policy_by_name(name):
    """
    Return the policy class called `name`; raises `KeyError` when there is none.

    >>> get_policy_by_name("fair").name
    'fair'
    """
    from rosemarypath.policies import baseline, fair  # noqa: F401

    return policy[name]


@dataclass(frozen=True)
class SeatRequest:
    """
    A request that waits for a seat or has one.

    `cost` is in tokens, `weight` the customer's share and `queued_at` a time of the
    monotonic clock. `attempt` grows with each `SeatAsk` of the entry daemon.
    """

    request_id: str
    customer: str
    adapter: str
    cost: int
    weight: float
    queued_at: float
    attempt: int = 0


@dataclass
class AdapterSlot:
    """
    The slot of one adapter in an engine.

    `request_count` is the number of running requests that use it; `popularity` is set
    before each choice of a slot to evict.
    """

    adapter: str
    request_count: int = 0
    last_used_at: float = 0.0
    popularity: float = 0.0
    is_loaded: bool = True


class SeatPolicy:
    """
    Base class of seat policies; each back end has an instance of its own.

    `waiting` are `SeatRequest` objects in the order of arrival, `is_ready` is a
    function that returns whether an adapter is loaded, `now` a time of the monotonic
    clock.

    Options:

    `has_homes`
        Whether requests prefer the home of their adapter, the back end that rendezvous
        hashing puts first; otherwise they go to a random one (default true).
    `has_budget_owners`
        Whether each budget has an owner; otherwise every daemon has a fixed share of
        it (default true).
    """

    name = ""
    has_homes = True
    has_budget_owners = True

    def choose_request(self, waiting, is_ready, now):
        """Return the request to grant a seat next, or ``None``."""
        raise NotImplementedError

    def choose_load(self, waiting, is_ready, now):
        """Return the request whose adapter to load next, or ``None``."""
        raise NotImplementedError

    def choose_victim(self, slots, waiting, now):
        """Return the idle slot to evict, or ``None`` to evict none."""
        raise NotImplementedError

    def record_grant(self, request, now):
        """Record that `request` was granted a seat."""

    def record_load(self, request, now):
        """Record that a load of the adapter of `request` was started."""
