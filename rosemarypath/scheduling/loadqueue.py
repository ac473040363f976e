"""
rosemarypath.scheduling.loadqueue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The requests that wait until one engine has loaded their adapter.

The daemon that holds the engine's lease keeps the queue, since it sees the requests of
all daemons. On an engine with few places, more adapters are asked for than can be
loaded; a place becomes free when the last request that uses its adapter ends.
"""

from dataclasses import dataclass, field

from rosemarypath.registry import Registry

__all__ = ["LoadQueue", "Waiter", "WaitingGroup", "queue_order"]

HEAD_START_SECONDS = 0.1  # counted per request, so that new groups differ in size

queue_order = Registry()


@dataclass(eq=False)
class Waiter:
    """
    One request that waits.

    `since` is the time since which it waits, `is_remote` tells whether it waits at
    another daemon; `ticket` belongs to the owner of the queue.
    """

    since: float
    is_remote: bool = False
    ticket: object = None


@dataclass(eq=False)
class WaitingGroup:
    """
    The requests that wait for one adapter; they are sent together once it is loaded.

    `is_blocked` tells whether no place was free when its load was due.
    """

    model: str
    adapter: str
    waiters: list = field(default_factory=list)
    is_blocked: bool = False

    @property
    def name(self):
        """Return ``model/adapter``."""
        return f"{self.model}/{self.adapter}"


@queue_order("longest_wait")
def sort_by_wait(groups, now):
    """
    Sort by the time that all requests of a group have waited together.

    Large groups go first, but the time of a single request grows until it is served.
    """

    def waited(group):
        return sum(now - w.since + HEAD_START_SECONDS for w in group.waiters)

    return sorted(groups, key=waited, reverse=True)


@queue_order("most_waiters")
def sort_by_size(groups, now):
    """Baseline: the largest groups first, however long the others have waited."""
    return sorted(groups, key=lambda group: len(group.waiters), reverse=True)


class LoadQueue:
    """The `WaitingGroup` objects of one engine; `order` names the `queue_order`."""

    def __init__(self, order="longest_wait"):
        self._sort = queue_order[order]
        self._groups = {}

    def __len__(self):
        return len(self._groups)

    def __contains__(self, name):
        return name in self._groups

    @property
    def names(self):
        """Return the names of the adapters that requests wait for."""
        return list(self._groups)

    def add(self, model, adapter, waiter):
        """Add a `Waiter` to the group of its adapter; return the `WaitingGroup`."""
        name = f"{model}/{adapter}"
        group = self._groups.setdefault(name, WaitingGroup(model, adapter))
        group.waiters.append(waiter)
        return group

    def discard(self, group, waiter):
        """Remove a waiter that gave up; the group goes with its last waiter."""
        if waiter in group.waiters:
            group.waiters.remove(waiter)
        if not group.waiters and self._groups.get(group.name) is group:
            del self._groups[group.name]

    def pop(self, name):
        """Remove the group of an adapter and return its waiters."""
        group = self._groups.pop(name, None)
        if group is None:
            return []
        waiters, group.waiters = group.waiters, []
        return waiters

    def ordered(self, now):
        """Return the groups in the order in which their adapters are to be loaded."""
        return self._sort(self._groups.values(), now)
