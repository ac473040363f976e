"""
rosemarypath.placement
~~~~~~~~~~~~~~~~~~~~~~

Which back end to ask for a seat: adapter homes, residency hints and load hints.
"""

from dataclasses import dataclass

from rosemarypath.hashing import spread_order

__all__ = ["Hint", "Placement"]

HOMES = 2
HINT_SECONDS = 3.0
RESIDENT_SECONDS = 30.0
LOAD_COST = 0.5
QUEUE_COST = 0.25
FOREIGN_COST = 1.0
DISTANCE_COST = 0.01


@dataclass(frozen=True)
class Hint:
    """What an owner last said of its back end, at time `at`."""

    free: int
    queued: int
    at: float


class Placement:
    """
    Orders back ends for a request, cheapest first.

    Each adapter has two homes in different zones, by rendezvous hashing. A request
    goes elsewhere when the homes are crowded; what owners answer is remembered for a
    few seconds. `zone` is the zone of this daemon.
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
        ordered = spread_order(
            adapter or self._zone, back_ends, lambda b: b.name, lambda b: b.zone
        )
        costs = {
            back_end.name: self._cost(adapter, back_end, position, now)
            for position, back_end in enumerate(ordered)
        }
        return sorted(ordered, key=lambda back_end: costs[back_end.name])

    def note_reply(self, back_end, reply, now):
        """Remember what an owner's `SeatReply` says of its load."""
        self._hints[back_end] = Hint(reply.free, reply.queued, now)

    def note_resident(self, back_end, adapter, now):
        """Remember that `adapter` ran on `back_end`."""
        if adapter:
            self._resident[(back_end, adapter)] = now

    def note_absent(self, back_end, adapter):
        """Forget that `adapter` was on `back_end`."""
        self._resident.pop((back_end, adapter), None)

    def forget_old(self, now):
        """Drop the residency hints that ran out."""
        self._resident = {
            pair: at for pair, at in self._resident.items() if self._is_fresh(at, now)
        }

    @staticmethod
    def _is_fresh(at, now):
        return now - at < RESIDENT_SECONDS

    def _cost(self, adapter, back_end, position, now):
        """Return roughly the seconds a request would wait at `back_end`."""
        cost = 0.0
        if back_end.zone != self._zone:
            cost += DISTANCE_COST
        resident_at = self._resident.get((back_end.name, adapter), -RESIDENT_SECONDS)
        if adapter and not self._is_fresh(resident_at, now):
            cost += LOAD_COST
            if position >= HOMES:
                cost += FOREIGN_COST
        hint = self._hints.get(back_end.name)
        if hint is not None and now - hint.at < HINT_SECONDS:
            waiting = hint.queued + max(0, 1 - hint.free)
            cost += QUEUE_COST * waiting
        return cost
