"""
rosemarypath.ranking
~~~~~~~~~~~~~~~~~~~~

Ranks back ends for a request by expected wait, adapter homes and loaded adapters.
"""

import random
from dataclasses import dataclass

from rosemarypath.hashing import zone_interleaved_order

__all__ = ["BackEndRanker", "RandomRanker", "SeatWaitHint"]

HINT_LIFETIME_SECONDS = 2.0
RESIDENCY_LIFETIME_SECONDS = 30.0
LOAD_COST_SECONDS = 0.8
POSITION_COST_SECONDS = 1.0  # per position behind the home
CROSS_ZONE_COST_SECONDS = 0.01


@dataclass(frozen=True)
class SeatWaitHint:
    """Expected wait for a seat in seconds, from the last `SeatReply` of an owner."""

    seat_wait: float
    received_at: float


class BackEndRanker:
    """
    Orders back ends for a request by cost in seconds, the lowest first.

    Each adapter has a home, the first back end in its rendezvous order; the next ones
    are in other zones. A request leaves the home only if the wait for a seat there is
    longer than the cost of a load elsewhere. The wait for a load at the home does not
    count: all back ends load from the same weight store, and a second copy would occupy
    a slot of another adapter.

    `zone` is this daemon's zone.
    """

    def __init__(self, zone):
        self._zone = zone
        self._hints = {}
        self._loaded_at = {}

    def rank(self, adapter, back_ends, now):
        """
        Return `back_ends` in the order in which to ask for a seat.

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
        """Record the wait and the loaded adapter from an owner's `SeatReply`."""
        self._hints[back_end] = SeatWaitHint(reply.seat_wait, now)
        if reply.has_adapter:
            self._loaded_at[(back_end, adapter)] = now
        else:
            self._loaded_at.pop((back_end, adapter), None)

    def drop_expired(self, now):
        """Drop expired records of loaded adapters."""
        self._loaded_at = {
            pair: received_at
            for pair, received_at in self._loaded_at.items()
            if now - received_at < RESIDENCY_LIFETIME_SECONDS
        }

    def _cost(self, adapter, back_end, position, now):
        """
        Return the estimated cost of a request at `back_end`, in seconds.

        `position` is that of `back_end` in the rendezvous order of the adapter.
        """
        hint = self._hints.get(back_end.name)
        if hint is None or now - hint.received_at > HINT_LIFETIME_SECONDS:
            hint = SeatWaitHint(0.0, now)
        cost = hint.seat_wait
        if back_end.zone != self._zone:
            cost += CROSS_ZONE_COST_SECONDS
        received_at = self._loaded_at.get((back_end.name, adapter))
        if adapter and (
            received_at is None or now - received_at > RESIDENCY_LIFETIME_SECONDS
        ):
            cost += LOAD_COST_SECONDS + POSITION_COST_SECONDS * position
        return cost


class RandomRanker(BackEndRanker):
    """Orders back ends at random, those without a known wait for a seat first."""

    def _cost(self, adapter, back_end, position, now):
        hint = self._hints.get(back_end.name)
        is_full = hint is not None and hint.seat_wait > 0.0
        return (
            is_full and now - hint.received_at < HINT_LIFETIME_SECONDS
        ) + random.random()
