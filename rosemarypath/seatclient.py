"""
rosemarypath.seatclient
~~~~~~~~~~~~~~~~~~~~~~~

Client of the seat brokers: acquires, holds and releases seats for an entry daemon.
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

ASK_MARGIN_SECONDS = 0.3
MAX_ASK_SECONDS = 0.5
REFUSAL_BACKOFF_SECONDS = 0.3
RETRY_INTERVAL_SECONDS = 0.05
NO_ANSWER = "no_answer"
RELEASE_ATTEMPTS = 10
RELEASE_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True)
class Seat:
    """
    A seat on the `BackEnd` `back_end` for one request.

    `fence` is the owner's fencing token, which is sent along with the request;
    `waited_for_load` the seconds spent waiting for its adapter.
    """

    back_end: object
    request_id: str
    fence: int
    attempt: int
    waited_for_load: float


class SeatClient:
    """
    Acquires seats from the owners of back ends and tracks those that are held.

    Options:

    `membership`
        The `Membership`, which knows the owners.
    `mesh`
        The `Mesh` that carries messages between daemons.
    `ranker`
        The `BackEndRanker`, which is updated with each `SeatReply`.
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
        """Return the number of seats held by this daemon."""
        return len(self._held)

    async def acquire(self, request_id, customer, adapter, tokens, back_ends, deadline):
        """
        Return a `Seat` on one of `back_ends`, or a `NotRun` if none is free in time.

        `back_ends` is a function that maps a time to the candidates, best first.
        `deadline` is a time of the monotonic clock.
        """
        started = time.monotonic()
        backoff_until = {}
        while True:
            now = time.monotonic()
            if now >= deadline:
                return NotRun(503, "overloaded", "no seat became free in time", 1.0)
            usable = back_ends(now)
            if not usable:
                return NotRun(503, "no_back_end", "no back end is in service", 1.0)
            candidates = [b for b in usable if backoff_until.get(b.name, 0.0) <= now]
            if not candidates:
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                continue
            back_end = candidates[0]
            ask = SeatAsk(
                back_end.name,
                request_id,
                customer,
                adapter,
                tokens,
                min(deadline - now, MAX_ASK_SECONDS),
                now - started,
                next(self._attempts),
            )
            seat = await self._request_seat(back_end, ask)
            if isinstance(seat, Seat):
                return seat
            if seat != BUSY:
                backoff_until[back_end.name] = (
                    time.monotonic() + REFUSAL_BACKOFF_SECONDS
                )

    def release(self, seat, outcome, tokens=0, seconds=0.0):
        """
        Release `seat`.

        `outcome` is one of those of `SeatRelease`, `tokens` the number generated and
        `seconds` the duration of the request.
        """
        self._held.pop(seat.request_id, None)
        message = SeatRelease(
            seat.back_end.name, seat.request_id, outcome, tokens, seconds, seat.attempt
        )
        self._spawn_release(message)

    async def _request_seat(self, back_end, ask):
        """Ask the owner of `back_end`; return a `Seat` or the reason of the refusal."""
        owner = self._membership.ownership.owner_of(back_end_resource(back_end.name))
        if owner is None:
            return OUT_OF_SERVICE
        held = HeldSeat(ask.request, ask.customer, ask.adapter, ask.tokens, ask.attempt)
        is_answered = False
        try:
            reply = await self._mesh.ask(owner, ask, ask.max_wait + ASK_MARGIN_SECONDS)
            is_answered = reply is not None
        finally:
            if not is_answered:
                self._withdraw_ask(ask)
        if reply is None:
            return NO_ANSWER
        now = time.monotonic()
        self._ranker.record_reply(back_end.name, ask.adapter, reply, now)
        if not reply.granted:
            return reply.reason
        if reply.fence < self._fences.get(back_end.name, 0):
            self._withdraw_ask(ask)
            return BUSY
        self._held[ask.request] = (back_end.name, held)
        return Seat(
            back_end, ask.request, reply.fence, ask.attempt, reply.waited_for_load
        )

    def _withdraw_ask(self, ask):
        """Release the seat that `ask` may have been granted."""
        self._spawn_release(
            SeatRelease(ask.back_end, ask.request, "not_run", 0, 0.0, ask.attempt)
        )

    def _spawn_release(self, message):
        task = asyncio.create_task(self._deliver_release(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver_release(self, message):
        """Send a release until the current owner acknowledges it."""
        for _ in range(RELEASE_ATTEMPTS):
            resource = back_end_resource(message.back_end)
            owner = self._membership.ownership.owner_of(resource)
            if owner is not None:
                if (
                    await self._mesh.ask(owner, message, RELEASE_TIMEOUT_SECONDS)
                    is not None
                ):
                    return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    def _on_held_ask(self, sender, message):
        # Grants of earlier owners are refused from now on.
        known_fence = self._fences.get(message.back_end, 0)
        self._fences[message.back_end] = max(known_fence, message.fence)
        return SeatsHeld(
            tuple(
                held for name, held in self._held.values() if name == message.back_end
            )
        )
