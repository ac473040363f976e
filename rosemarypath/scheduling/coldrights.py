"""
rosemarypath.scheduling.coldrights
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Divides the few requests per second that a cold engine bears among the machines.

Load: an engine that has just started bears some ten requests per second from the whole
fleet, and crashes beyond that. In a fleet of more machines than that, a share for each
machine would be less than one request per second; rounded up, all shares together
would be many times the limit.
"""

from rosemarypath.hashing import rendezvous_order

__all__ = ["ColdRights"]


class ColdRights:
    """
    The requests per second that the machine `own` may send to cold back ends.

    If there is less than one request per second for each machine, the first machines in
    the rendezvous order of the back end may send one each, and the others none. The
    order depends only on the registered machines, so that no two machines have to
    agree while some of them are dead or cut off.
    """

    def __init__(self, own):
        self._own = own
        self._machines = frozenset()
        self._holds = {}

    def limit(self, back_end, total, machines):
        """
        Return how many requests per second this machine may send to `back_end`.

        `total` is the limit for all machines together, and `machines` a frozenset of
        the names of the others.
        """
        share = total / (len(machines) + 1)
        if share >= 1.0:
            return share
        if machines is not self._machines:
            self._machines = machines
            self._holds = {}
        count = max(1, int(total))
        key = back_end, count
        if key not in self._holds:
            order = rendezvous_order(f"cold {back_end}", [*machines, self._own])
            self._holds[key] = self._own in order[:count]
        return 1.0 if self._holds[key] else 0.0
