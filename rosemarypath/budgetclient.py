"""
rosemarypath.budgetclient
~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the customers' budgets: reserves tokens before a request runs.
"""

import asyncio
import time

from rosemarypath.budget import GRANT_LIFETIME_SECONDS
from rosemarypath.messages import GrantAsk, Settle
from rosemarypath.outcome import NotRun
from rosemarypath.ownedresources import budget_resource

__all__ = ["BudgetClient"]

ASK_TIMEOUT_SECONDS = 0.3
RETRY_INTERVAL_SECONDS = 0.02
MAX_WAIT_SECONDS = 2.0
SETTLE_ATTEMPTS = 5


class BudgetClient:
    """
    Reserves tokens at the owners of the customers' budgets and settles reservations.

    Options:

    `membership`
        The `Membership`, which knows the owners.
    `mesh`
        The `Mesh` that carries messages between daemons.
    """

    def __init__(self, membership, mesh):
        self._membership = membership
        self._mesh = mesh
        self._tasks = set()
        self._number = 0

    async def reserve(self, customer, request_id, tokens, deadline):
        """
        Return the name of the reservation, or a `NotRun` with the time to retry after.

        Waits for at most two seconds and not beyond `deadline`, a time of the monotonic
        clock. A grant that took longer than `GRANT_LIFETIME_SECONDS` is settled as
        unused and requested again.
        """
        deadline = min(deadline, time.monotonic() + MAX_WAIT_SECONDS)
        while True:
            asked_at = time.monotonic()
            self._number += 1
            reservation = f"{request_id}/{self._number}"
            reply = await self._ask(GrantAsk(customer, reservation, tokens))
            now = time.monotonic()
            if reply is not None and reply.granted:
                if now - asked_at <= GRANT_LIFETIME_SECONDS:
                    return reservation
                self.settle_reservation(customer, reservation, 0)
                continue
            if reply is None:
                self.settle_reservation(customer, reservation, 0)
            wait = reply.wait if reply is not None else 0.0
            if wait == float("inf"):
                return NotRun(
                    429,
                    "larger_than_burst",
                    f"{tokens} tokens are more than the customer's burst allows",
                )
            if now + max(wait, RETRY_INTERVAL_SECONDS) > deadline:
                if reply is None or not reply.is_owner:
                    return NotRun(
                        503, "budget_unavailable", "the budget has no owner now", 1.0
                    )
                return NotRun(
                    429, "rate_limited", "the customer is over its rate", wait
                )
            await asyncio.sleep(max(wait, RETRY_INTERVAL_SECONDS))

    def settle_reservation(self, customer, reservation, used):
        """
        Refund the tokens of `reservation` beyond `used`.

        Sends the settlement in the background until the owner acknowledges it, for a
        limited number of attempts.
        """
        task = asyncio.create_task(
            self._send_settlement(Settle(customer, reservation, used))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, message):
        owner = self._membership.ownership.owner_of(budget_resource(message.customer))
        if owner is None:
            return None
        return await self._mesh.ask(owner, message, ASK_TIMEOUT_SECONDS)

    async def _send_settlement(self, message):
        for _ in range(SETTLE_ATTEMPTS):
            if await self._ask(message) is not None:
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
