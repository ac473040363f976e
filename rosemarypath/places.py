"""
rosemarypath.places
~~~~~~~~~~~~~~~~~~~

What one engine holds and is about to hold, and which adapter makes way.

The load answered here: loads of rare adapters that arrive faster than places become
free, orders whose answer was lost, and streams that still use an adapter.
"""

from dataclasses import dataclass

__all__ = ["Coming", "Places"]

MOST_COMING = 4  # adapters that may be on their way to one engine at once


@dataclass
class Coming:
    """
    A load on its way: the version that was ordered, when, and when to ask for it next.
    """

    version: int
    ordered_at: float
    check_at: float


class Places:
    """
    The adapter places of one engine; `limit` is how many there are.

    `held` maps names to versions, `coming` maps names to their `Coming`, `leaving`
    holds names whose unload waits for their last request. `replacing` holds names on
    their way whose older version keeps its place until its requests end. An order
    without an answer needs no place: the next one that is accepted raises the count of
    orders, which makes it void, and a conflict shows that it was carried out.
    """

    def __init__(self, limit):
        self.limit = limit
        self.held = {}
        self.coming = {}
        self.leaving = set()
        self.replacing = set()

    @property
    def taken(self):
        """Return how many places are or may become taken."""
        names = self.held.keys() | self.coming.keys() | self.leaving
        return len(names) + len(self.replacing)

    def start(self, name, coming):
        """Record that a load of `name` was accepted; return whether it replaces one."""
        self.coming[name] = coming
        if self.held.pop(name, None) is None and name not in self.leaving:
            return False
        self.replacing.add(name)
        return True

    def end(self, name):
        """Record that the load of `name` is over."""
        self.coming.pop(name, None)
        self.replacing.discard(name)

    def forget_orders(self):
        """Drop what is on its way, as the engine started afresh or changed hands."""
        self.coming.clear()
        self.leaving.clear()
        self.replacing.clear()

    @property
    def can_order(self):
        """Return whether another load may be ordered now."""
        return len(self.coming) < MOST_COMING

    @property
    def has_room(self):
        """Return whether a place is free."""
        return self.taken < self.limit

    def victim(self, is_in_use, last_used, wanted_version):
        """
        Return the held adapter that makes way, or ``None``.

        `is_in_use` tells whether requests use an adapter, `last_used` maps names to
        times, `wanted_version` returns the newest version of a name. Outdated ones
        go first, then the one that was used the longest time ago.
        """
        free = [
            name
            for name in self.held
            if name not in self.coming
            and name not in self.leaving
            and not is_in_use(name)
        ]
        if not free:
            return None
        return min(
            free,
            key=lambda name: (
                self.held[name] >= wanted_version(name),
                last_used.get(name, float("-inf")),
            ),
        )

    def note_report(self, held):
        """Take over what the engine says that it holds."""
        self.held = dict(held)
        self.leaving &= self.held.keys()
