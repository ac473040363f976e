"""
rosemarypath.staticbudget
~~~~~~~~~~~~~~~~~~~~~~~~~

A fixed share of each customer's rate on each daemon: what owned budgets are
compared with.
"""

import asyncio
import time

from rosemarypath.budget import TokenBucket
from rosemarypath.outcome import NotRun

__all__ = ["StaticBudgets"]

MAX_WAIT_SECONDS = 2.0


class StaticBudgets:
    """
    Buckets of this daemon alone.

    `membership` tells how many machines share the rates, `config_replica` the
    contracts.
    """

    def __init__(self, membership, config_replica):
        self._membership = membership
        self._config_replica = config_replica
        self._buckets = {}
        self._reservations = {}

    async def reserve(self, customer, request, tokens, deadline):
        """Return the reservation's name, or a `NotRun` that says when to come back."""
        deadline = min(deadline, time.monotonic() + MAX_WAIT_SECONDS)
        while True:
            now = time.monotonic()
            bucket = self._bucket(customer, now)
            wait = bucket.wait_for(tokens, now)
            if wait == 0.0:
                self._reservations[request] = (bucket.deduct(tokens, now), tokens)
                return request
            if now + wait > deadline:
                return NotRun(429, "rate_limited", "over this machine's share", wait)
            await asyncio.sleep(wait)

    def settle_reservation(self, customer, reservation, used):
        """Give back what `reservation` did not use."""
        now = time.monotonic()
        number, tokens = self._reservations.pop(reservation)
        self._bucket(customer, now).refund(number, max(0, tokens - used), now)

    def _bucket(self, customer, now):
        contract = self._config_replica.current.customers[customer]
        count = max(1, len(self._membership.roster.machines))
        rate, capacity = contract.rate / count, contract.burst / count
        if customer not in self._buckets:
            self._buckets[customer] = TokenBucket(rate, capacity, now)
        self._buckets[customer].set_limits(rate, capacity, now)
        return self._buckets[customer]
