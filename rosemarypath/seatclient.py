"""
rosemarypath.seatclient
~~~~~~~~~~~~~~~~~~~~~~~

The entry daemon's side of seats: asks owners, holds seats, gives them back.
"""

import asyncio
import itertools
import time
from dataclasses import dataclass

from rosemarypath.messages import (
    HeldSeat,
    SeatAsk,
    SeatRelease,
    SeatsHeld,
    SeatsHeldAsk,
)
from rosemarypath.outcome import NotRun
from rosemarypath.ownedresources import back_end_resource
from rosemarypath.seatbroker import BUSY, OUT_OF_SERVICE

__all__ = ["Seat", "SeatClient"]

ASK_MARGIN = 0.3
ASK_SLICE = 0.5
AVOID_SECONDS = 0.3
RETRY_SECONDS = 0.05
NO_ANSWER = "no_answer"
RELEASE_TRIES = 10
RELEASE_TIMEOUT = 0.5


@dataclass(frozen=True)
class Seat:
    """A seat on `back_end`, with the `fence` that the request carries."""

    back_end: object
    request: str
    fence: int
    attempt: int
    waited_for_load: float


class SeatClient:
    """
    Seats held by this daemon.

    `membership`, `mesh` and `ranker` are the daemon's parts.
    """

    def __init__(self, membership, mesh, ranker):
        self._membership = membership
        self._mesh = mesh
        self._ranker = ranker
        self._held = {}
        self._fences = {}
        self._attempts = itertools.count(1)
        self._tasks = set()
        mesh.on(SeatsHeldAsk, self._on_held_ask)

    @property
    def held_count(self):
        """Return how many seats are held."""
        return len(self._held)

    async def acquire(self, request, customer, adapter, tokens, back_ends, until):
        """
        Return a `Seat` on one of `back_ends`, or a `NotRun` after the time `until`.

        `back_ends` is a function that returns the ones to try now, best first.
        """
        started = time.monotonic()
        refused = {}
        while True:
            now = time.monotonic()
            if now >= until:
                return NotRun(503, "overloaded", "no seat became free in time", 1.0)
            usable = back_ends(now)
            if not usable:
                return NotRun(503, "no_back_end", "no back end is in service", 1.0)
            ranked = [b for b in usable if refused.get(b.name, 0.0) <= now]
            if not ranked:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            back_end = ranked[0]
            ask = SeatAsk(
                back_end.name,
                request,
                customer,
                adapter,
                tokens,
                min(until - now, ASK_SLICE),
                now - started,
                next(self._attempts),
            )
            seat = await self._ask(back_end, ask)
            if isinstance(seat, Seat):
                return seat
            if seat != BUSY:
                refused[back_end.name] = time.monotonic() + AVOID_SECONDS

    def release(self, seat, outcome, tokens=0, seconds=0.0):
        """Give `seat` back; `outcome` is as in `SeatRelease`."""
        self._held.pop(seat.request, None)
        message = SeatRelease(
            seat.back_end.name, seat.request, outcome, tokens, seconds, seat.attempt
        )
        self._release(message)

    async def _ask(self, back_end, ask):
        """Ask the owner of `back_end`; return a `Seat` or the reason for none."""
        owner = self._membership.ownership.owner_of(back_end_resource(back_end.name))
        if owner is None:
            return OUT_OF_SERVICE
        held = HeldSeat(ask.request, ask.customer, ask.adapter, ask.tokens, ask.attempt)
        answered = False
        try:
            reply = await self._mesh.ask(owner, ask, ask.max_wait + ASK_MARGIN)
            answered = reply is not None
        finally:
            if not answered:
                self._withdraw(ask)
        if reply is None:
            return NO_ANSWER
        now = time.monotonic()
        self._ranker.record_reply(back_end.name, ask.adapter, reply, now)
        if not reply.granted:
            return reply.reason
        if reply.fence < self._fences.get(back_end.name, 0):
            self._withdraw(ask)
            return BUSY
        self._held[ask.request] = (back_end.name, held)
        return Seat(
            back_end, ask.request, reply.fence, ask.attempt, reply.waited_for_load
        )

    def _withdraw(self, ask):
        """Give back what `ask` may have been granted."""
        self._release(
            SeatRelease(ask.back_end, ask.request, "not_run", 0, 0.0, ask.attempt)
        )

    def _release(self, message):
        task = asyncio.create_task(self._deliver(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, message):
        """Repeat a release until the present owner has it."""
        for _ in range(RELEASE_TRIES):
            resource = back_end_resource(message.back_end)
            owner = self._membership.ownership.owner_of(resource)
            if owner is not None:
                if await self._mesh.ask(owner, message, RELEASE_TIMEOUT) is not None:
                    return
            await asyncio.sleep(RETRY_SECONDS)

    def _on_held_ask(self, sender, message):
        known = self._fences.get(message.back_end, 0)
        self._fences[message.back_end] = max(known, message.fence)
        return SeatsHeld(
            tuple(
                held for name, held in self._held.values() if name == message.back_end
            )
        )
