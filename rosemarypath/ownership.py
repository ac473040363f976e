"""
rosemarypath.ownership
~~~~~~~~~~~~~~~~~~~~~~

Who owns a resource: the first daemon in its succession that is not fenced.
"""

from rosemarypath.hashing import rendezvous_score
from rosemarypath.roster import Roster

__all__ = ["FENCES_PER_REVISION", "Ownership"]

FENCES_PER_REVISION = 1024


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
    The first candidate of each resource is remembered, and corrected when the roster
    changes, so that a change costs one hash a resource.
    """

    def __init__(self, identity, fencing):
        self._identity = identity
        self._fencing = fencing
        self._roster = Roster()
        self._barrier = 0
        self._held = set()
        self._candidates = {}
        self._first_candidates = {}

    @property
    def barrier(self):
        """Return the highest roster revision known to be adopted by every member."""
        return self._barrier

    @property
    def held_resources(self):
        """Return the resources this daemon holds."""
        return frozenset(self._held)

    def adopt(self, roster):
        """Put `roster` in force; return the resources released by that."""
        previous = set(self._candidates)
        self._roster = roster
        self._candidates = {c.partition("/")[0]: c for c in roster.candidates}
        self._update_first_candidates(previous)
        released = {r for r in self._held if self.owner_of(r) != self._identity}
        self._held -= released
        return released

    def _update_first_candidates(self, previous):
        """Correct the first candidate of each known resource for a changed roster."""
        added = self._candidates.keys() - previous
        removed = previous - self._candidates.keys()
        for resource, (highest, name) in list(self._first_candidates.items()):
            if name in removed:
                del self._first_candidates[resource]
                continue
            for other in added:
                number = rendezvous_score(resource, other)
                if number > highest:
                    highest, name = number, other
            self._first_candidates[resource] = (highest, name)

    def raise_barrier(self, revision):
        """Record that every member adopted `revision` or is fenced."""
        self._barrier = max(self._barrier, revision)

    def owner_of(self, resource):
        """Return the identity that owns `resource` or will own it; ``None`` if none."""
        first = self._find_first_candidate(resource)
        if first is None or not self._fencing.is_fenced(first):
            return first
        for identity in self._roster.rank_owners(resource):
            if not self._fencing.is_fenced(identity):
                return identity
        return None

    def fence_of(self, resource):
        """Return this daemon's fencing number for `resource`, or ``None``."""
        if self.owner_of(resource) != self._identity:
            self._held.discard(resource)
            return None
        if resource not in self._held:
            if self._barrier < self._roster.revision:
                return None
            self._held.add(resource)
        position = 0
        if self._find_first_candidate(resource) != self._identity:
            position = self._roster.rank_owners(resource).index(self._identity)
        return self._roster.revision * FENCES_PER_REVISION + position

    def _find_first_candidate(self, resource):
        """Return the first candidate for `resource`, fenced or not."""
        if resource not in self._first_candidates:
            if not self._candidates:
                return None
            self._first_candidates[resource] = max(
                (rendezvous_score(resource, name), name) for name in self._candidates
            )
        return self._candidates[self._first_candidates[resource][1]]
