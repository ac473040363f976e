"""
rosemarypath.quorumlease
~~~~~~~~~~~~~~~~~~~~~~~~

Whether this daemon may act: most of its witnesses acknowledged it within the lease.
"""

__all__ = ["QuorumLease", "majority"]


def majority(count):
    """
    Return how many of `count` are most of them.

    >>> [majority(n) for n in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return count // 2 + 1


class QuorumLease:
    """
    The standing of one incarnation.

    Options:

    `identity`
        This daemon's ``name/incarnation``; it always counts as its own witness.
    `lease`
        Seconds that an acknowledged heartbeat counts from its sending.

    While its witness set changes a daemon needs most of the old and of the new set.
    """

    def __init__(self, identity, lease):
        self._identity = identity
        self._lease = lease
        self._sets = {}
        self._pending = []
        self._acknowledged = {}
        self._refused_by = set()

    @property
    def witnesses(self):
        """Return the identities of all other witnesses in force."""
        return {w for group in self._groups() for w in group} - {self._identity}

    def add_witness_set(self, revision, witnesses):
        """Need most of `witnesses`, in force from roster `revision` on."""
        self._sets[revision] = frozenset(witnesses)

    def add_pending_witnesses(self, witnesses):
        """Need most of `witnesses` too, from before they are written."""
        self._pending.append(frozenset(witnesses))

    def drop_pending_witnesses(self):
        """Drop pending sets, once no write of them can take effect any more."""
        self._pending.clear()

    def drop_sets_before(self, barrier):
        """Drop the sets that no member uses, now that all adopted `barrier`."""
        needed = max((r for r in self._sets if r <= barrier), default=None)
        for revision in [r for r in self._sets if needed is not None and r < needed]:
            del self._sets[revision]

    def record_ack(self, witness, sent_at):
        """Record that `witness` acknowledged the heartbeat sent at `sent_at`."""
        previous = self._acknowledged.get(witness, float("-inf"))
        self._acknowledged[witness] = max(previous, sent_at)

    def record_refusal(self, witness):
        """Record that `witness` testified against this incarnation."""
        self._refused_by.add(witness)
        self._acknowledged.pop(witness, None)

    def valid_until(self, now):
        """Return the time until which this daemon may act; the past when it may not."""
        if not self._sets:
            return float("-inf")
        return min(self._set_good_until(group, now) for group in self._groups())

    def is_valid(self, now):
        """Return whether this daemon may act at `now`."""
        return now < self.valid_until(now)

    def is_revoked(self):
        """Return whether most of a witness set refused, so that it can't recover."""
        return any(
            len(group) - len(self._refused_by & group) < majority(len(group))
            for group in self._groups()
        )

    def _groups(self):
        return [*self._sets.values(), *self._pending]

    def _set_good_until(self, group, now):
        times = [self._time_of(witness, now) for witness in group]
        times.sort(reverse=True)
        return times[majority(len(group)) - 1] + self._lease

    def _time_of(self, witness, now):
        if witness == self._identity:
            return now
        return self._acknowledged.get(witness, float("-inf"))
