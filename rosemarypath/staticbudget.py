"""
rosemarypath.staticbudget
~~~~~~~~~~~~~~~~~~~~~~~~~

Budgets with a fixed share of each customer's rate on each machine, without owners;
used by the baseline policy, with which others are compared.
"""

import asyncio
import time

from rosemarypath.budget import TokenBucket
from rosemarypath.outcome import NotRun

__all__ = ["StaticBudgets"]

MAX_WAIT_SECONDS = 2.0


class StaticBudgets:
    """
    Token buckets of this daemon alone.

    `membership` is the `Membership` with the number of machines that share the rates,
    `config_replica` has the customers' rates and bursts.
    """

    def __init__(self, membership, config_replica):
        self._membership = membership
        self._config_replica = config_replica
        self._buckets = {}
        self._reservations = {}

    async def reserve(self, customer, request_id, tokens, deadline):
        """
        Return the name of the reservation, or a `NotRun` with the time to retry after.

        Waits for at most two seconds and not beyond `deadline`, a time of the monotonic
        clock.
        """
        deadline = min(deadline, time.monotonic() + MAX_WAIT_SECONDS)
        while True:
            now = time.monotonic()
            bucket = self._bucket(customer, now)
            wait = bucket.wait_for(tokens, now)
            if wait == 0.0:
                self._reservations[request_id] = (bucket.deduct(tokens, now), tokens)
                return request_id
            if now + wait > deadline:
                return NotRun(429, "rate_limited", "over this machine's share", wait)
            await asyncio.sleep(wait)

    def settle_reservation(self, customer, reservation, used):
        """Refund the tokens of `reservation` beyond `used`."""
        now = time.monotonic()
        number, tokens = self._reservations.pop(reservation)
        self._bucket(customer, now).refund(number, max(0, tokens - used), now)

    def _bucket(self, customer, now):
        limits = self._config_replica.current.customers[customer]
        count = max(1, len(self._membership.roster.machines))
        rate, capacity = limits.rate / count, limits.burst / count
        if customer not in self._buckets:
            self._buckets[customer] = TokenBucket(rate, capacity, now)
        self._buckets[customer].set_limits(rate, capacity, now)
        return self._buckets[customer]
