"""
rosemarypath.scheduling.engineadapters
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The adapters that one engine has loaded, is loading or is unloading.

An engine has a fixed number of places, each of which takes one adapter, and must never
be ordered to load more. Rare adapters are wanted faster than places become free, the
answer to an order can get lost, and running streams keep an adapter in use.
"""

from dataclasses import dataclass

__all__ = ["EngineAdapters", "PendingLoad"]

MAX_CONCURRENT_LOADS = 4  # of one engine


@dataclass
class PendingLoad:
    """
    An ordered load that is not complete.

    `version` was ordered at `ordered_at`; `check_at` is the time of the next check.
    """

    version: int
    ordered_at: float
    check_at: float


class EngineAdapters:
    """
    The adapter places of one engine; `capacity` is their number.

    `loaded` maps names to versions, `loading` maps names to `PendingLoad`, `unloading`
    has names whose unload waits for their last request. `replacing` has names that are
    loading while their older version keeps its place until its requests end. An order
    without an answer needs no place: the next accepted order raises the engine's count
    of orders and so voids it, and a conflict shows that it was carried out.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.loaded = {}
        self.loading = {}
        self.unloading = set()
        self.replacing = set()

    @property
    def used_places(self):
        """Return how many places are used, or will be by pending loads."""
        names = self.loaded.keys() | self.loading.keys() | self.unloading
        return len(names) + len(self.replacing)

    def start_load(self, name, load):
        """Record an accepted load; return whether it replaces an older version."""
        self.loading[name] = load
        if self.loaded.pop(name, None) is None and name not in self.unloading:
            return False
        self.replacing.add(name)
        return True

    def end_load(self, name):
        """Record that the load of `name` completed or was lost."""
        self.loading.pop(name, None)
        self.replacing.discard(name)

    def clear_pending(self):
        """Drop pending loads and unloads, after a restart or a change of the lease."""
        self.loading.clear()
        self.unloading.clear()
        self.replacing.clear()

    @property
    def can_start_load(self):
        """Return whether fewer loads are pending than are allowed at once."""
        return len(self.loading) < MAX_CONCURRENT_LOADS

    @property
    def has_free_place(self):
        """Return whether a place is free."""
        return self.used_places < self.capacity

    def choose_victim(self, is_in_use, last_used, wanted_version):
        """
        Return the name of the loaded adapter to evict, or ``None``.

        ``is_in_use(name)`` tells whether requests use an adapter, `last_used` maps
        names to times, ``wanted_version(name)`` returns the newest version. Outdated
        adapters are evicted first, then the least recently used one.
        """
        candidates = [
            name
            for name in self.loaded
            if name not in self.loading
            and name not in self.unloading
            and not is_in_use(name)
        ]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda name: (
                self.loaded[name] >= wanted_version(name),
                last_used.get(name, float("-inf")),
            ),
        )

    def set_loaded(self, loaded):
        """Set the loaded adapters from a report of the engine."""
        self.loaded = dict(loaded)
        self.unloading &= self.loaded.keys()
