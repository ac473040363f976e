"""
rosemarypath.ranking
~~~~~~~~~~~~~~~~~~~~

Which back end to ask for a seat: adapter homes and what owners last said.
"""

import random
from dataclasses import dataclass

from rosemarypath.hashing import zone_interleaved_order

__all__ = ["BackEndRanker", "RandomRanker", "SeatWaitHint"]

HINT_LIFETIME_SECONDS = 2.0
RESIDENCY_LIFETIME_SECONDS = 30.0
LOAD_COST_SECONDS = 0.8
POSITION_COST_SECONDS = 1.0
CROSS_ZONE_COST_SECONDS = 0.01


@dataclass(frozen=True)
class SeatWaitHint:
    """The wait for a seat in seconds, received from a back end's owner."""

    seat_wait: float
    received_at: float


class BackEndRanker:
    """
    Orders back ends for a request, the shortest wait first.

    Each adapter has a home by rendezvous hashing, and further ones in other zones. A
    request leaves the home only when the wait for a seat there is longer than what a
    load elsewhere costs. The wait for a load does not count: the weight store serves
    all back ends, and a second copy takes a slot from another adapter. `zone` is this
    daemon's zone.
    """

    def __init__(self, zone):
        self._zone = zone
        self._hints = {}
        self._resident = {}

    def rank(self, adapter, back_ends, now):
        """
        Return `back_ends` in the order to ask them.

        `adapter` is an engine name, or empty for plain services.
        """
        ordered = zone_interleaved_order(
            adapter or self._zone, back_ends, lambda b: b.name, lambda b: b.zone
        )
        costs = {
            back_end.name: self._cost(adapter, back_end, position, now)
            for position, back_end in enumerate(ordered)
        }
        return sorted(ordered, key=lambda back_end: costs[back_end.name])

    def record_reply(self, back_end, adapter, reply, now):
        """Remember what an owner's `SeatReply` says."""
        self._hints[back_end] = SeatWaitHint(reply.seat_wait, now)
        if reply.has_adapter:
            self._resident[(back_end, adapter)] = now
        else:
            self._resident.pop((back_end, adapter), None)

    def drop_expired(self, now):
        """Drop the residency hints that ran out."""
        self._resident = {
            pair: received_at
            for pair, received_at in self._resident.items()
            if now - received_at < RESIDENCY_LIFETIME_SECONDS
        }

    def _cost(self, adapter, back_end, position, now):
        """Return about how many seconds a request would wait at `back_end`."""
        hint = self._hints.get(back_end.name)
        if hint is None or now - hint.received_at > HINT_LIFETIME_SECONDS:
            hint = SeatWaitHint(0.0, now)
        cost = hint.seat_wait
        if back_end.zone != self._zone:
            cost += CROSS_ZONE_COST_SECONDS
        received_at = self._resident.get((back_end.name, adapter))
        if adapter and (
            received_at is None or now - received_at > RESIDENCY_LIFETIME_SECONDS
        ):
            cost += LOAD_COST_SECONDS + POSITION_COST_SECONDS * position
        return cost


class RandomRanker(BackEndRanker):
    """Takes back ends at random, those with a free seat first."""

    def _cost(self, adapter, back_end, position, now):
        hint = self._hints.get(back_end.name)
        is_full = hint is not None and hint.seat_wait > 0.0
        return (
            is_full and now - hint.received_at < HINT_LIFETIME_SECONDS
        ) + random.random()
