"""
rosemarypath.engineadapters
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What one engine holds and is about to hold, and which adapter makes way.

The load answered here: loads of rare adapters that arrive faster than places become
free, orders whose answer was lost, and streams that still use an adapter.
"""

from dataclasses import dataclass

__all__ = ["EngineAdapters", "PendingLoad"]

MAX_CONCURRENT_LOADS = 4  # adapters that may be on their way to one engine at once


@dataclass
class PendingLoad:
    """
    A load on its way: the version that was ordered, when, and when to ask for it next.
    """

    version: int
    ordered_at: float
    check_at: float


class EngineAdapters:
    """
    The adapter places of one engine; `capacity` is how many there are.

    `loaded` maps names to versions, `loading` maps names to `PendingLoad`, `unloading`
    holds names whose unload waits for their last request. `replacing` holds names on
    their way whose older version keeps its place until its requests end. An order
    without an answer needs no place: the next one that is accepted raises the count of
    orders, which makes it void, and a conflict shows that it was carried out.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.loaded = {}
        self.loading = {}
        self.unloading = set()
        self.replacing = set()

    @property
    def used_places(self):
        """Return how many places are or may become taken."""
        names = self.loaded.keys() | self.loading.keys() | self.unloading
        return len(names) + len(self.replacing)

    def start_load(self, name, load):
        """Record that a load of `name` was accepted; return whether it replaces one."""
        self.loading[name] = load
        if self.loaded.pop(name, None) is None and name not in self.unloading:
            return False
        self.replacing.add(name)
        return True

    def end_load(self, name):
        """Record that the load of `name` is over."""
        self.loading.pop(name, None)
        self.replacing.discard(name)

    def clear_pending(self):
        """Drop what is on its way, as the engine started afresh or changed hands."""
        self.loading.clear()
        self.unloading.clear()
        self.replacing.clear()

    @property
    def can_start_load(self):
        """Return whether another load may be ordered now."""
        return len(self.loading) < MAX_CONCURRENT_LOADS

    @property
    def has_free_place(self):
        """Return whether a place is free."""
        return self.used_places < self.capacity

    def choose_victim(self, is_in_use, last_used, wanted_version):
        """
        Return the held adapter that makes way, or ``None``.

        `is_in_use` tells whether requests use an adapter, `last_used` maps names to
        times, `wanted_version` returns the newest version of a name. Outdated ones
        go first, then the one that was used the longest time ago.
        """
        free = [
            name
            for name in self.loaded
            if name not in self.loading
            and name not in self.unloading
            and not is_in_use(name)
        ]
        if not free:
            return None
        return min(
            free,
            key=lambda name: (
                self.loaded[name] >= wanted_version(name),
                last_used.get(name, float("-inf")),
            ),
        )

    def set_loaded(self, loaded):
        """Take over what the engine says that it holds."""
        self.loaded = dict(loaded)
        self.unloading &= self.loaded.keys()
