"""
rosemarypath.scheduling.coldrights
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Divides the few requests per second that a cold engine bears among the machines.

Load: an engine that has just started bears some ten requests per second from the whole
fleet, and crashes beyond that. A machine sends whole requests, so a share between two
whole numbers counts as the next higher one. All such shares together can be twice the
limit, or many times the limit in a fleet of more machines than requests per second.
Therefore only whole shares are given, which together are no more than the limit.
"""

from rosemarypath.hashing import rendezvous_order

__all__ = ["ColdRights"]


class ColdRights:
    """
    The requests per second that the machine `own` may send to cold back ends.

    Each machine may send the same whole number of requests, and the first machines in
    the rendezvous order of the back end one more, as far as the limit allows. In a
    fleet of more machines than requests per second, the others may send none. The
    order depends only on the registered machines, so that no two machines have to
    agree while some of them are dead or cut off.
    """

    def __init__(self, own):
        self._own = own
        self._machines = frozenset()
        self._ranks = {}

    def limit(self, back_end, total, machines):
        """
        Return how many requests per second this machine may send to `back_end`.

        It is a whole number. `total` is the limit for all machines together, of which
        one request per second is always allowed, and `machines` a frozenset of the
        names of the others.
        """
        count = max(1, int(total))
        share, rest = divmod(count, len(machines) + 1)
        return share + self._is_among_first(rest, back_end, machines)

    def _is_among_first(self, count, back_end, machines):
        """Return whether this is one of the first `count` machines in the order."""
        if not count:
            return False
        if machines is not self._machines:
            self._machines = machines
            self._ranks = {}
        if back_end not in self._ranks:
            order = rendezvous_order(f"cold {back_end}", [*machines, self._own])
            self._ranks[back_end] = order.index(self._own)
        return self._ranks[back_end] < count
