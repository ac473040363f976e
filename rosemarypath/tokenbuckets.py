"""
rosemarypath.tokenbuckets
~~~~~~~~~~~~~~~~~~~~~~~~~

Customers' budgets and the retry budget, kept over all daemons without an owner.

The load answered here is a customer that asks for several times its rate at daemons
that learn of each other's grants some tenths of a second late, or not at all.
"""

from dataclasses import dataclass

__all__ = ["BudgetBuckets", "RetryBuckets"]

START_SECONDS = 1.0  # a restart takes longer, and its customers' buckets fill meanwhile
NEWS_SECONDS = 1.2  # a peer that is silent for longer is not heard; see `Peers`
RETRY_MARGIN = 0.85  # part of the retry bound that is used
RETRY_BURST = 0.5  # part of the slack that may be spent at once; the rest flows in


@dataclass
class _Bucket:
    """
    A bucket of tokens as of a time, and what was granted here.

    It fills with the part `share` of the rate of `budget`.
    """

    tokens: float
    at: float
    budget: object
    share: float
    spent: int = 0

    def refill(self, now):
        """Add what flowed in since the last time."""
        gained = max(0.0, now - self.at) * self.budget.rate * self.share
        most = self.budget.burst * self.share
        self.tokens = min(most, self.tokens + gained)
        self.at = now


class BudgetBuckets:
    """
    Token buckets that count what all daemons granted.

    Each daemon tells how much it granted since its start, and each keeps a bucket of
    the whole rate from which it takes its own grants and those of the others as it
    learns of them. A daemon that hears only a part of the others fills its buckets
    with that part of the rate.
    """

    def __init__(self):
        self._buckets = {}
        self._peer_spent = {}

    @property
    def spent(self):
        """Return the tokens granted here since the start, by customer."""
        return {
            name: bucket.spent for name, bucket in self._buckets.items() if bucket.spent
        }

    def add_customers(self, customers, share, now):
        """Begin to fill the buckets of `customers`, before their first request."""
        for customer in customers:
            self._refilled_bucket(customer, share, now)

    def take(self, customer, tokens, share, now):
        """
        Take `tokens`; return 0.0 when granted, else the seconds to wait.

        `customer` is a `Contract`, `share` the part of all daemons that are heard.
        """
        bucket = self._refilled_bucket(customer, share, now)
        if customer.budget.rate <= 0.0:
            bucket.spent += tokens
            return 0.0
        # A request larger than the burst passes on a full bucket.
        needed = min(tokens, customer.budget.burst * share)
        if bucket.tokens < needed:
            return (needed - bucket.tokens) / max(1.0, customer.budget.rate * share)
        bucket.tokens -= tokens
        bucket.spent += tokens
        return 0.0

    def refund(self, customer, tokens):
        """Return tokens of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.tokens += tokens
            bucket.spent -= tokens

    def note_peer(self, identity, spent, now):
        """
        Take what the peer ``name/incarnation`` granted since its start.

        What it granted while it was not heard came from its own part of the rate, or
        was told by another, and is not taken again.
        """
        name, _, incarnation = identity.partition("/")
        known_incarnation, known, at = self._peer_spent.get(name, ("", {}, now))
        self._peer_spent[name] = (incarnation, spent, now)
        if known_incarnation != incarnation or now - at > NEWS_SECONDS:
            return
        for name, tokens in spent.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                # What flowed in before must not make up for what was taken just now.
                bucket.refill(now)
                bucket.tokens -= tokens - known.get(name, 0)

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
    This daemon's part of the bound on repeated sends to each service.

    `ratio` and `slack` are the bound over all daemons, per window of `window` seconds.
    """

    def __init__(self, ratio, slack, window):
        self._ratio = ratio * RETRY_MARGIN
        self._slack = slack * RETRY_MARGIN
        self._window = window
        self._buckets = {}

    def deposit(self, service):
        """Record a request for `service`."""
        if service in self._buckets:
            self._buckets[service][0] += self._ratio

    def try_withdraw(self, service, machines, now):
        """Take one repeated send of the bound of `machines` daemons; return success."""
        part = self._slack / machines
        most = max(1.0, part * RETRY_BURST)
        bucket = self._buckets.setdefault(service, [most, now])
        refill = (now - bucket[1]) * part * (1.0 - RETRY_BURST) / self._window
        bucket[0] = min(most, bucket[0] + refill)
        bucket[1] = now
        if bucket[0] < 1.0:
            return False
        bucket[0] -= 1.0
        return True
