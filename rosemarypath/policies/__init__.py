"""
rosemarypath.policies
~~~~~~~~~~~~~~~~~~~~~

Seat policies: whose request is next, which adapter to load and which to evict.
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
    A request that waits for a seat.

    `cost` is in tokens, `weight` the customer's share, `queued_at` the time it came,
    `attempt` the number of the entry daemon's ask.
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
    """One adapter of an engine; `popularity` is set before a victim is chosen."""

    adapter: str
    request_count: int = 0
    last_used_at: float = 0.0
    popularity: float = 0.0
    is_loaded: bool = True


class SeatPolicy:
    """
    Base of the policies of one back end.

    `waiting` are `SeatRequest` objects in the order they came, `is_ready` tells
    whether an adapter can be used at once.

    Options:

    `has_homes`
        Whether each adapter has a home, or any back end is taken (default true).
    `has_budget_owners`
        Whether budgets have owners, or each daemon a fixed share (default true).
    """

    name = ""
    has_homes = True
    has_budget_owners = True

    def choose_request(self, waiting, is_ready, now):
        """Return the waiter to seat next, or ``None``."""
        raise NotImplementedError

    def choose_load(self, waiting, is_ready, now):
        """Return the waiter whose adapter to load next, or ``None``."""
        raise NotImplementedError

    def choose_victim(self, slots, waiting, now):
        """Return the idle slot to evict, or ``None`` when none should go."""
        raise NotImplementedError

    def record_grant(self, request, now):
        """Record that `request` was seated."""

    def record_load(self, request, now):
        """Record that the adapter of `request` is being loaded."""
