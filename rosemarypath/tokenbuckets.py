"""
rosemarypath.tokenbuckets
~~~~~~~~~~~~~~~~~~~~~~~~~

Token buckets for customers' budgets and for retries, kept by all daemons together.

No daemon owns a budget: each one counts the grants of all. A customer that sends
several times its rate must not get more than its rate, although daemons learn of each
other's grants some tenths of a second late or not at all.
"""

import random
from dataclasses import dataclass
from math import exp

__all__ = ["BudgetBuckets", "RetryBuckets"]

# Seconds of tokens in a bucket at a daemon's start. A restart takes longer than that,
# and buckets go on filling meanwhile.
START_SECONDS = 1.0
AVERAGE_SECONDS = 2.0  # over which the demand is averaged
# For which the tokens of a bucket have to last at a demand above the rate; longer than
# grants of other daemons take to be reported in a large fleet.
RESERVE_SECONDS = 0.7
MIN_PART = 1e-4  # to be granted, above zero to divide by it
RESERVE_PART = 0.7  # of the burst, which the reserve does not exceed
PEER_SILENCE_SECONDS = 1.2  # after which a peer's grants are not counted; see `Peers`
RETRY_MARGIN = 0.85  # used part of the limit on retries
SPARED_SHARE = 0.5  # of a bucket of retries, left to requests that failed
RETRY_BURST = 0.5  # part of the slack to spend at once; the rest is added over time


@dataclass
class _Bucket:
    """
    A bucket with `tokens` at the time `at`, and the tokens `spent` at this daemon.

    It is refilled at the part `share` of the rate of `budget`. `own_rate` and
    `peers_rate` are the tokens per second granted lately at this daemon and at the
    others, `granted_part` the part of the requests that was to be granted meanwhile;
    from these follows the demand.
    """

    tokens: float
    at: float
    budget: object
    share: float
    spent: int = 0
    own_rate: float = 0.0
    peers_rate: float = 0.0
    granted_part: float = 1.0

    @property
    def rate(self):
        """Return the tokens per second that flow in."""
        return self.budget.rate * self.share

    @property
    def most(self):
        """Return the tokens of the full bucket."""
        return self.budget.burst * self.share

    def refill(self, now):
        """Add the tokens gained since the last refill."""
        seconds = max(0.0, now - self.at)
        self.tokens = min(self.most, self.tokens + seconds * self.rate)
        kept = exp(-seconds / AVERAGE_SECONDS)
        self.own_rate *= kept
        self.peers_rate *= kept
        part = self.part_to_grant()
        self.granted_part = part + (self.granted_part - part) * kept
        self.at = now

    def part_to_grant(self):
        """
        Return which part of the requests to grant, so that the tokens last.

        It is below one only if the demand is above the rate and a part of it arrives at
        other daemons, whose grants are reported late.
        """
        if min(self.budget.rate, self.budget.burst) <= 0.0:
            return 1.0
        peers_demand = self.peers_rate / self.granted_part
        demand = peers_demand + self.own_rate / self.granted_part
        excess = min(demand - self.rate, peers_demand)
        if excess <= 0.0:
            return 1.0
        seconds = min(
            RESERVE_SECONDS, RESERVE_PART * self.budget.burst / self.budget.rate
        )
        return min(1.0, max(MIN_PART, self.tokens / (seconds * excess)))

    def take_own(self, tokens):
        """Take tokens granted here; negative ones are put back."""
        self.tokens -= tokens
        self.spent += tokens
        self.own_rate += tokens / AVERAGE_SECONDS

    def take_peers(self, tokens):
        """Take tokens granted by another daemon."""
        self.tokens -= tokens
        self.peers_rate += tokens / AVERAGE_SECONDS


class BudgetBuckets:
    """
    Token buckets of the customers that count the grants of all daemons.

    Each daemon reports the tokens that it granted since its start. Each keeps a bucket
    with the full rate, from which it takes its own grants and, once reported, those of
    the others. A daemon that is in contact with only a part of the fleet refills its
    buckets with that part of the rate.

    A bucket alone would let all daemons spend the same tokens until they hear of each
    other. So above the rate, requests are granted by chance, the fewer the lower the
    bucket is. ``chance()`` returns a random number from 0 up to 1.
    """

    def __init__(self, chance=random.random):
        self._chance = chance
        self._buckets = {}
        self._peer_spent = {}

    @property
    def spent(self):
        """Return the tokens granted here since the start, by customer."""
        return {
            name: bucket.spent for name, bucket in self._buckets.items() if bucket.spent
        }

    def add_customers(self, customers, share, now):
        """Create the buckets of `customers`, which refill before the first request."""
        for customer in customers:
            self._refilled_bucket(customer, share, now)

    def take(self, customer, tokens, share, now):
        """
        Take `tokens`; return 0.0 when granted, else the seconds to wait.

        `customer` is a `Contract`, `share` the part of all daemons in contact.
        """
        bucket = self._refilled_bucket(customer, share, now)
        if customer.budget.rate <= 0.0:
            bucket.spent += tokens
            return 0.0
        # A request larger than the burst is granted from a full bucket.
        needed = min(tokens, customer.budget.burst * share)
        if bucket.tokens < needed:
            return (needed - bucket.tokens) / max(1.0, bucket.rate)
        part = bucket.part_to_grant()
        if part < 1.0 and self._chance() >= part:
            return RESERVE_SECONDS
        bucket.take_own(tokens)
        return 0.0

    def refund(self, customer, tokens):
        """Add back the tokens of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.take_own(-tokens)

    def record_peer(self, identity, spent, now):
        """
        Take the tokens newly granted by the peer ``name/incarnation``.

        `spent` maps customers to the tokens granted since the peer's start. Grants of a
        peer that was silent are not taken: it granted them from its own part of the
        rate, or another daemon reported them meanwhile.
        """
        name, _, incarnation = identity.partition("/")
        known_incarnation, known, at = self._peer_spent.get(name, ("", {}, now))
        self._peer_spent[name] = (incarnation, spent, now)
        if known_incarnation != incarnation or now - at > PEER_SILENCE_SECONDS:
            return
        for name, tokens in spent.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                # Refill first: what was gained before must not offset these grants.
                bucket.refill(now)
                bucket.take_peers(tokens - known.get(name, 0))

    def _refilled_bucket(self, customer, share, now):
        budget = customer.budget
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            start = min(budget.burst, budget.rate * START_SECONDS)
            bucket = _Bucket(start * share, now, budget, share)
            self._buckets[customer.name] = bucket
        bucket.budget = budget
        bucket.share = share
        bucket.refill(now)
        return bucket


class RetryBuckets:
    """
    This daemon's part of the limit on retries to each service.

    Over all daemons, the retries in a window of `window` seconds are limited to the
    part `ratio` of the requests plus `slack`.
    """

    def __init__(self, ratio, slack, window):
        self._buckets = {}
        self.set_limit(ratio, slack, window)

    def set_limit(self, ratio, slack, window):
        """Change the limit; what was used up stays so."""
        self._ratio = ratio * RETRY_MARGIN
        self._slack = slack * RETRY_MARGIN
        self._window = window

    def deposit(self, service):
        """Deposit the share of one request for `service`."""
        if service in self._buckets:
            self._buckets[service][0] += self._ratio

    def try_withdraw(self, service, machines, now):
        """Take one retry, of the limit for `machines` daemons; return success."""
        bucket, _ = self._refilled_bucket(service, machines, now)
        if bucket[0] < 1.0:
            return False
        bucket[0] -= 1.0
        return True

    def has_spare(self, service, machines, now):
        """Return whether a retry can be taken that leaves half of the others."""
        bucket, most = self._refilled_bucket(service, machines, now)
        return bucket[0] >= 1.0 + (most - 1.0) * SPARED_SHARE

    def _refilled_bucket(self, service, machines, now):
        """Return the bucket of a service, a list of retries and time, and its size."""
        part = self._slack / machines
        most = max(1.0, part * RETRY_BURST)
        bucket = self._buckets.setdefault(service, [most, now])
        refill = (now - bucket[1]) * part * (1.0 - RETRY_BURST) / self._window
        bucket[0] = min(most, bucket[0] + refill)
        bucket[1] = now
        return bucket, most
