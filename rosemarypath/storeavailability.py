"""
rosemarypath.storeavailability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks for how long the store has been available to at least one daemon.

While the store is unavailable to all daemons, back ends cannot renew their entries, so
entries lapse and are written again after the outage. A missing entry then doesn't mean
that its back end is gone. A store that refuses some daemons or breaks connections is
still available: entries that it removes during that time are gone.
"""

__all__ = ["ENTRY_RECOVERY_SECONDS", "StoreAvailability"]

# After an outage, back ends write their lapsed entries again within this time.
ENTRY_RECOVERY_SECONDS = 2.0


class StoreAvailability:
    """
    The newest answer of the store to any daemon, and the time since the last outage.

    A gap of more than `outage_threshold` seconds between two answers counts as an
    outage. ``on_outage_end(gap)`` is called with the length of each outage in seconds.
    Times are those of `rosemarypath.clock.now`.
    """

    def __init__(self, outage_threshold, on_outage_end=None):
        self._on_outage_end = on_outage_end or (lambda gap: None)
        self._answered_at = float("-inf")
        self._reachable_since = float("inf")
        self.outage_threshold = outage_threshold

    def answer_age(self, now):
        """Return the seconds since the newest answer; infinite if none is known."""
        return now - self._answered_at

    def reachable_seconds(self, now):
        """Return the seconds since the last known outage; 0.0 during an outage."""
        if self.answer_age(now) > self.outage_threshold:
            return 0.0
        return max(0.0, now - self._reachable_since)

    def note_answer(self, at, since=None):
        """
        Record that the store answered a daemon at the time `at`.

        `since` is the time from which on that daemon knows of no outage. `at` is minus
        infinity if that daemon has never received an answer.
        """
        if at == float("-inf"):
            return
        since = at if since is None else min(at, since)
        if self._answered_at == float("-inf"):
            self._answered_at, self._reachable_since = at, since
            return
        if at < self._reachable_since - self.outage_threshold:
            return
        gap = since - self._answered_at
        if gap > self.outage_threshold:
            self._answered_at, self._reachable_since = at, since
            self._on_outage_end(gap)
            return
        self._answered_at = max(self._answered_at, at)
        self._reachable_since = min(self._reachable_since, since)

    def is_stable(self, now):
        """Return whether back ends had time to rewrite entries that lapsed."""
        return self.reachable_seconds(now) >= ENTRY_RECOVERY_SECONDS
