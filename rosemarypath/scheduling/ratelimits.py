"""
rosemarypath.scheduling.ratelimits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits that back ends in need set for the requests of all daemons together.

Load: a back end that got up to some ten requests per second from many daemons names a
limit of about two. The limit is told in answers, to some daemons first, and it changes
or ends while other answers are on their way. Daemons exchange the limits with their
heartbeats, and one of them grants each send to a limited back end, so that the whole
limit can be used wherever the requests are.
"""

from collections import deque
from math import inf

__all__ = ["RateLimiter", "RateLimits", "newest_limit"]

WINDOW_SECONDS = 4.0  # in which a back end counts the requests that it gets
BURST_SECONDS = 1.0  # of the rate, that may be granted at once
MIN_RATE = 0.1  # requests per second; an answer shows that the limit has ended
ENDED_SECONDS = 10.0  # for which the end of a limit is told to other daemons
PEER_REPORT_SECONDS = 1.0  # for which the count in a peer's report counts
MAX_LIMITS = 256  # back ends whose limits are kept


def newest_limit(first, second):
    """Return the newer of two pairs of rate and age; of two equal ages the lower."""
    return min(first, second, key=lambda limit: (limit[1], limit[0]))


class _Sends:
    """Times of the sends to one back end in the last `WINDOW_SECONDS`."""

    def __init__(self):
        self._times = deque()

    def add(self, now):
        self._times.append(now)

    def count(self, now):
        while self._times and now - self._times[0] > WINDOW_SECONDS:
            self._times.popleft()
        return len(self._times)


class RateLimiter:
    """Grants sends to one back end, for all daemons together, within its limit."""

    def __init__(self, now):
        # Without tokens, as another daemon may have granted sends until now.
        self._tokens = 0.0
        self._at = now
        self._granted = _Sends()

    def take(self, rate, other_sends, now):
        """
        Grant one send; return 0.0 when granted, else the seconds to wait.

        `rate` is the limit in requests per second, `other_sends` the number of requests
        that the back end got in the last `WINDOW_SECONDS` without a grant.
        """
        rate = max(rate, MIN_RATE)
        gained = max(0.0, now - self._at) * rate
        self._tokens = min(max(1.0, rate * BURST_SECONDS), self._tokens + gained)
        self._at = now
        sent = other_sends + self._granted.count(now)
        if sent and sent + 1 > rate * WINDOW_SECONDS:
            return min(1.0 / rate, WINDOW_SECONDS)
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / rate
        self._tokens -= 1.0
        self._granted.add(now)
        return 0.0


class RateLimits:
    """
    The limits of all back ends, as one daemon knows them.

    Back ends are identified by strings that change when they restart; times are in
    seconds of one clock.
    """

    def __init__(self):
        self._limits = {}
        self._ungranted = {}
        self._peer_counts = {}
        self._limiters = {}

    @property
    def is_empty(self):
        """Return whether no limit is known, nor the end of one."""
        return not self._limits

    def rate(self, back_end):
        """Return the limit in requests per second, infinite if there is none."""
        return self._limits.get(back_end, (inf, -inf))[0]

    def limit(self, back_end, now):
        """Return the limit, and the age of that knowledge in seconds."""
        rate, at = self._limits.get(back_end, (inf, -inf))
        return rate, now - at

    def record_answer(self, back_end, rate, sent_at, now):
        """
        Record an answer to a request that was sent at `sent_at`.

        `rate` is the limit in it, infinite without one, ``None`` if it is unreadable.
        An answer without a limit ends it only if the request was sent after the limit
        was last named, as answers overtake each other. Returns whether the limit is
        another than before.
        """
        if rate is None or (rate == inf and back_end not in self._limits):
            return False
        return self._set_limit(back_end, rate, sent_at if rate == inf else now)

    def record_send(self, back_end, now):
        """Record a send that was not granted, as no limit was known."""
        self._ungranted.setdefault(back_end, _Sends()).add(now)

    def report(self, now):
        """
        Return the limits for other daemons.

        A dictionary of rate (infinite: the limit ended), age of that knowledge in
        seconds, and this daemon's number of recent sends without a grant.
        """
        self._drop_expired(now)
        return {
            back_end: (rate, round(now - at, 3), self._own_sends(back_end, now))
            for back_end, (rate, at) in self._limits.items()
            if rate != inf or now - at < ENDED_SECONDS
        }

    def merge(self, source, report, now):
        """
        Add the limits and counts that `source` reported, as `report` returns them.

        Returns the back ends whose limit is another than before.
        """
        changed = []
        for back_end, (rate, age, sends) in report.items():
            if self.merge_limit(back_end, rate, age, now):
                changed.append(back_end)
            self._peer_counts.setdefault(back_end, {})[source] = sends, now
        return changed

    def merge_limit(self, back_end, rate, age, now):
        """Add a limit that another daemon reported; return whether it is another."""
        # A report that comes back would make the same limit younger by its way.
        if back_end in self._limits and rate == self.rate(back_end):
            return False
        return self._set_limit(back_end, rate, now - max(0.0, age))

    def take(self, back_end, share, now):
        """
        Grant a send for any daemon; return 0.0, or the seconds to wait.

        `share` is the part of the limit that may be granted here.
        """
        rate = self.rate(back_end) * share
        if rate == inf:
            return 0.0
        limiter = self._limiters.get(back_end)
        if limiter is None:
            limiter = self._limiters[back_end] = RateLimiter(now)
        return limiter.take(rate, self._ungranted_sends(back_end, now), now)

    def _set_limit(self, back_end, rate, at):
        known_rate, known_at = self._limits.get(back_end, (inf, -inf))
        if at <= known_at or not rate >= 0.0:
            return False
        self._limits[back_end] = rate, at
        if len(self._limits) > MAX_LIMITS:
            del self._limits[min(self._limits, key=lambda name: self._limits[name][1])]
        return rate != known_rate

    def _own_sends(self, back_end, now):
        sends = self._ungranted.get(back_end)
        return sends.count(now) if sends is not None else 0

    def _ungranted_sends(self, back_end, now):
        """Return how many sends without a grant all daemons made lately."""
        return self._own_sends(back_end, now) + sum(
            count
            for count, at in self._peer_counts.get(back_end, {}).values()
            if now - at < PEER_REPORT_SECONDS
        )

    def _drop_expired(self, now):
        """Forget back ends that got no requests lately and have no limit."""
        for back_end in [b for b in self._ungranted if not self._own_sends(b, now)]:
            del self._ungranted[back_end]
        for kept in (self._peer_counts, self._limiters):
            for back_end in kept.keys() - self._limits.keys():
                del kept[back_end]
