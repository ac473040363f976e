"""
rosemarypath.quorumlease
~~~~~~~~~~~~~~~~~~~~~~~~

The lease of a daemon: valid while a majority of its witnesses acknowledge heartbeats.
"""

__all__ = ["QuorumLease", "majority"]


def majority(count):
    """
    Return the smallest number that is more than half of `count`.

    >>> [majority(n) for n in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return count // 2 + 1


class QuorumLease:
    """
    The lease of one incarnation of a daemon.

    Options:

    `identity`
        This daemon's ``name/incarnation``; it always counts as its own witness.
    `lease`
        Seconds for which an acknowledged heartbeat is valid, from when it was sent.

    While the witness set changes, the lease needs a majority of the old set and of the
    new one.
    """

    def __init__(self, identity, lease):
        self._identity = identity
        self._lease = lease
        self._witness_sets = {}
        self._pending = []
        self._acknowledged = {}
        self._refused_by = set()

    @property
    def witnesses(self):
        """Return the identities of all witnesses other than this daemon."""
        return {w for group in self._required_sets() for w in group} - {self._identity}

    def add_witness_set(self, revision, witnesses):
        """Require a majority of `witnesses`, the set since roster `revision`."""
        self._witness_sets[revision] = frozenset(witnesses)

    def add_pending_witnesses(self, witnesses):
        """Require a majority of `witnesses` too; called before they are stored."""
        self._pending.append(frozenset(witnesses))

    def drop_pending_witnesses(self):
        """Drop the pending sets, once no write of them can still take effect."""
        self._pending.clear()

    def drop_sets_before(self, barrier):
        """Drop the sets that no member uses, now that all members adopted `barrier`."""
        needed = max((r for r in self._witness_sets if r <= barrier), default=None)
        for revision in [
            r for r in self._witness_sets if needed is not None and r < needed
        ]:
            del self._witness_sets[revision]

    def record_ack(self, witness, sent_at):
        """Record that `witness` acknowledged the heartbeat sent at `sent_at`."""
        previous = self._acknowledged.get(witness, float("-inf"))
        self._acknowledged[witness] = max(previous, sent_at)

    def record_refusal(self, witness):
        """Record that `witness` has testified that this incarnation is silent."""
        self._refused_by.add(witness)
        self._acknowledged.pop(witness, None)

    def valid_until(self, now):
        """Return when the lease ends, in seconds; a past time when it has ended."""
        if not self._witness_sets:
            return float("-inf")
        return min(self._set_valid_until(group, now) for group in self._required_sets())

    def is_valid(self, now):
        """Return whether this daemon may act at `now`."""
        return now < self.valid_until(now)

    def is_revoked(self):
        """Return whether refusals leave a witness set without a majority, for good."""
        return any(
            len(group) - len(self._refused_by & group) < majority(len(group))
            for group in self._required_sets()
        )

    def _required_sets(self):
        return [*self._witness_sets.values(), *self._pending]

    def _set_valid_until(self, group, now):
        times = [self._last_ack(witness, now) for witness in group]
        times.sort(reverse=True)
        return times[majority(len(group)) - 1] + self._lease

    def _last_ack(self, witness, now):
        if witness == self._identity:
            return now
        return self._acknowledged.get(witness, float("-inf"))
