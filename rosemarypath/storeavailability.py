"""
rosemarypath.storeavailability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

For how long the store has been reachable, by the answers that any daemon had.

The load answered here: entries of back ends lapse while the store is away for all, and
are written again after its return. A store that turns some machines away, or whose
connections break, is not away: what it removes meanwhile is gone.
"""

__all__ = ["ENTRY_RECOVERY_SECONDS", "StoreAvailability"]

ENTRY_RECOVERY_SECONDS = (
    2.0  # after the store's return lapsed entries are back; users' page
)


class StoreAvailability:
    """
    When the store answered some daemon, and since when without an outage.

    `outage_threshold` is the time in seconds between two answers beyond which the store
    counts as away. ``on_outage_end(gap)`` is called with the length of each outage.
    """

    def __init__(self, outage_threshold, on_outage_end=None):
        self._on_outage_end = on_outage_end or (lambda gap: None)
        self._answered_at = float("-inf")
        self._since = float("inf")
        self.outage_threshold = outage_threshold

    def answer_age(self, now):
        """Return the seconds since the newest answer, infinite where none is known."""
        return now - self._answered_at

    def reachable_seconds(self, now):
        """Return for how long no outage is known of; 0.0 while the store is away."""
        if self.answer_age(now) > self.outage_threshold:
            return 0.0
        return max(0.0, now - self._since)

    def note_answer(self, at, since=None):
        """
        Record that the store answered a daemon at the time `at`.

        `since` is from when on that daemon knows of no outage. A daemon that never had
        an answer tells an infinite past.
        """
        if at == float("-inf"):
            return
        since = at if since is None else min(at, since)
        if self._answered_at == float("-inf"):
            self._answered_at, self._since = at, since
            return
        if at < self._since - self.outage_threshold:
            return
        gap = since - self._answered_at
        if gap > self.outage_threshold:
            self._answered_at, self._since = at, since
            self._on_outage_end(gap)
            return
        self._answered_at = max(self._answered_at, at)
        self._since = min(self._since, since)

    def is_stable(self, now):
        """Return whether entries that lapsed in the last outage had time to return."""
        return self.reachable_seconds(now) >= ENTRY_RECOVERY_SECONDS
