"""
rosemarypath.ownership
~~~~~~~~~~~~~~~~~~~~~~

Who owns a resource: the first daemon in its succession that is not fenced.
"""

from rosemarypath.roster import Roster

__all__ = ["FENCE_POSITIONS", "Ownership"]

FENCE_POSITIONS = 1024


class Ownership:
    """
    Ownership as one daemon sees it.

    Options:

    `identity`
        This daemon's ``name/incarnation``.
    `fencing`
        The `Fencing` that knows which incarnations can never act again.

    A resource that moved has a new owner only after the barrier: every member has
    adopted the roster or is proven fenced. One that stays is held without a pause.
    """

    def __init__(self, identity, fencing):
        self._identity = identity
        self._fencing = fencing
        self._roster = Roster()
        self._barrier = 0
        self._held = set()
        self._successions = {}

    @property
    def barrier(self):
        """Return the highest roster revision known to be adopted by every member."""
        return self._barrier

    @property
    def held(self):
        """Return the resources this daemon holds."""
        return frozenset(self._held)

    def adopt(self, roster):
        """Put `roster` in force; return the resources released by that."""
        self._roster = roster
        self._successions.clear()
        released = {r for r in self._held if self.owner_of(r) != self._identity}
        self._held -= released
        return released

    def raise_barrier(self, revision):
        """Record that every member adopted `revision` or is fenced."""
        self._barrier = max(self._barrier, revision)

    def owner_of(self, resource):
        """Return the identity that owns `resource` or will own it; ``None`` if none."""
        for identity in self._succession(resource):
            if not self._fencing.is_fenced(identity):
                return identity
        return None

    def fence_of(self, resource):
        """Return this daemon's fencing number for `resource`, or ``None``."""
        succession = self._succession(resource)
        for position, identity in enumerate(succession):
            if identity == self._identity:
                return self._take(resource, position)
            if not self._fencing.is_fenced(identity):
                break
        self._held.discard(resource)
        return None

    def _take(self, resource, position):
        if resource not in self._held:
            if self._barrier < self._roster.revision:
                return None
            self._held.add(resource)
        return self._roster.revision * FENCE_POSITIONS + position

    def _succession(self, resource):
        succession = self._successions.get(resource)
        if succession is None:
            succession = self._roster.succession(resource)
            self._successions[resource] = succession
        return succession
