"""
rosemarypath.ownership
~~~~~~~~~~~~~~~~~~~~~~

Ownership of resources: each is owned by the first daemon in its order of succession
that is not fenced.
"""

from rosemarypath.hashing import rendezvous_score
from rosemarypath.roster import Roster

__all__ = ["FENCES_PER_REVISION", "Ownership"]

FENCES_PER_REVISION = 1024


class Ownership:
    """
    Ownership of resources from the view of one daemon.

    Options:

    `identity`
        This daemon's ``name/incarnation``.
    `fencing`
        The `Fencing` with the incarnations that can never act again.

    The new owner of a resource that moved may act only after the barrier has reached
    the roster revision, that is when every member has adopted it or is proven fenced.
    The owner of a resource that did not move continues without a pause, with its
    previous fencing token until the barrier: a successor that has not yet adopted the
    new revision would otherwise get a lower token.

    The first candidate of each resource is cached and updated when the roster changes,
    so that an added member costs one hash per resource.
    """

    def __init__(self, identity, fencing):
        self._identity = identity
        self._fencing = fencing
        self._roster = Roster()
        self._barrier = 0
        self._held = {}
        self._candidates = {}
        self._first_candidates = {}

    @property
    def barrier(self):
        """Return the highest roster revision known to be adopted by every member."""
        return self._barrier

    @property
    def held_resources(self):
        """Return the resources that this daemon owns and may act on."""
        return frozenset(self._held)

    def adopt(self, roster):
        """Apply `roster`; return the held resources that another daemon owns now."""
        previous = set(self._candidates)
        self._roster = roster
        self._candidates = {c.partition("/")[0]: c for c in roster.candidates}
        self._update_first_candidates(previous)
        released = {r for r in self._held if self.owner_of(r) != self._identity}
        for resource in released:
            del self._held[resource]
        return released

    def _update_first_candidates(self, previous):
        """Update the cached first candidates after a roster change."""
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
        """Record that every member has adopted roster `revision` or is fenced."""
        self._barrier = max(self._barrier, revision)

    def owner_of(self, resource):
        """
        Return the identity of the owner of `resource`, or ``None``.

        A new owner is returned also before the barrier allows it to act.
        """
        first = self._find_first_candidate(resource)
        if first is None or not self._fencing.is_fenced(first):
            return first
        for identity in self._roster.rank_owners(resource):
            if not self._fencing.is_fenced(identity):
                return identity
        return None

    def fence_of(self, resource):
        """
        Return this daemon's fencing token for `resource`, or ``None``.

        It is ``None`` if another daemon is the owner, or if the resource moved here and
        the barrier is not reached. Tokens grow with the newest roster revision that
        every member has adopted, then with the position in the order of succession.
        """
        if self.owner_of(resource) != self._identity:
            self._held.pop(resource, None)
            return None
        if self._barrier >= self._roster.revision:
            self._held[resource] = self._compute_fence(resource)
        return self._held.get(resource)

    def _compute_fence(self, resource):
        """Return this owner's fencing token under the current roster."""
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
