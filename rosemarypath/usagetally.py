"""
rosemarypath.usagetally
~~~~~~~~~~~~~~~~~~~~~~~

Counts the requests that began, by window of the wall clock, daemon and customer.
"""

from collections import Counter
from math import floor

__all__ = ["KEPT_WINDOWS", "UsageTally", "add_counts"]

KEPT_WINDOWS = 24  # two minutes of the usual windows, for an outage of the store
# Windows whose counts a report repeats after their end, as a message may be lost.
REPEAT_SECONDS = 1.5


def add_counts(known, counts):
    """Add cumulative counts by customer to `known`; a late or repeated one is less."""
    for customer, count in counts.items():
        known[customer] = max(count, known.get(customer, 0))


class UsageTally:
    """
    The counts of this daemon and those that it was told by others.

    Times are in Unix seconds. `identity` is the own ``name/incarnation``, `seconds` the
    length of a window, and `now` the start of this daemon. A window has the number of
    windows since the start of 1970.

    Bounded by `KEPT_WINDOWS`, the incarnations of the machines of a group in that time,
    and the customers of the configuration.
    """

    def __init__(self, identity, seconds, now):
        self._identity = identity
        self._seconds = seconds
        self._counts = {}
        self._final = {}
        self._trimmed_at = None
        self._first = self.window_at(now)
        self._reported_at = float("-inf")

    def window_at(self, now):
        """Return the number of the window at `now`."""
        return floor(now / self._seconds)

    def end_of(self, window):
        """Return when `window` ends."""
        return (window + 1) * self._seconds

    def first(self, now):
        """Return the first window of which something may be known."""
        return max(self._first, self.window_at(now) - KEPT_WINDOWS + 1)

    def record(self, customer, now):
        """Count a request of `customer` that has begun at `now`."""
        window = self.window_at(now)
        self._counts_of(window, self._identity)[customer] += 1
        self._trim(window)

    def report(self, now, interval):
        """
        Return the own counts that are to be sent now, empty if none.

        These are the counts of the window under way and of those just ended: each
        `interval` seconds, and as soon as a window has ended.
        """
        current = self.window_at(now)
        is_due = now - self._reported_at >= interval or now < self._reported_at
        if not is_due and current == self.window_at(self._reported_at):
            return {}
        self._reported_at = now
        since = max(self.window_at(now - REPEAT_SECONDS), self._first)
        return {
            window: dict(self._counts.get(window, {}).get(self._identity, {}))
            for window in range(min(since, current), current + 1)
        }

    def receive(self, identity, windows, now):
        """
        Record the counts by window that another daemon has sent.

        Those of all windows but the newest are final. A message without a window does
        not tell that its counts are: the message with the last of them may be lost.
        """
        current = self.window_at(now)
        newest = max(windows, default=current)
        for window, counts in windows.items():
            if not current - KEPT_WINDOWS < window <= current + 1:
                continue
            add_counts(self._counts_of(window, identity), counts)
            if window < newest:
                self._final.setdefault(window, set()).add(identity)
            self._first = min(self._first, window)
        self._trim(current)

    def of_window(self, window):
        """Return a dictionary that maps identities to counts by customer."""
        return self._counts.get(window, {})

    def settled(self, window, now):
        """Return the identities whose counts of `window` are final."""
        names = sorted(self._final.get(window, ()))
        return [*names, self._identity] if self.window_at(now) > window else names

    def _counts_of(self, window, identity):
        return self._counts.setdefault(window, {}).setdefault(identity, Counter())

    def _trim(self, current):
        """Drop the windows before the kept ones."""
        if current == self._trimmed_at:
            return
        self._trimmed_at = current
        last = current - KEPT_WINDOWS
        for by_window in (self._counts, self._final):
            for window in [window for window in by_window if window <= last]:
                del by_window[window]
