"""
rosemarypath.budget
~~~~~~~~~~~~~~~~~~~

Customers' token budgets: an exact bucket, and its owner's reservations.
"""

from bisect import bisect_right
from dataclasses import dataclass

__all__ = ["GRANT_LIFETIME_SECONDS", "CustomerBudget", "Reservation", "TokenBucket"]

GRANT_LIFETIME_SECONDS = 0.25
GRANT_LIFETIME_MARGIN_SECONDS = 0.05
RESERVATION_LIFETIME_SECONDS = 600.0


def bucket_capacity(customer):
    """
    Return the bucket size for `customer`, in tokens.

    It is smaller than the burst by what flows in while a grant is on its way, so
    that the bound holds for the times of admission and not only of granting.
    """
    return max(
        0.0,
        customer.burst
        - customer.rate * (GRANT_LIFETIME_SECONDS + GRANT_LIFETIME_MARGIN_SECONDS),
    )


class TokenBucket:
    """
    A token bucket in which a deduction can be lowered afterwards.

    Options:

    `rate`
        Tokens per second that flow in.
    `capacity`
        The most it holds, in tokens.
    `now`
        The time at which it begins, with `level` tokens (default 0).

    A refund leaves the level that there would be, had the lower amount been taken
    from the start: tokens that would have overflowed meanwhile are not given back.
    """

    def __init__(self, rate, capacity, now, level=0.0):
        self._rate = rate
        self._capacity = capacity
        self._refilled_at = now
        self._level = min(level, capacity)
        self._deduction_count = 0
        self._peak_numbers = []
        self._peak_levels = []

    @property
    def capacity(self):
        """Return the most it holds, in tokens."""
        return self._capacity

    def set_limits(self, rate, capacity, now):
        """Put a new rate and capacity in force."""
        self._refill(now)
        self._rate = rate
        self._capacity = capacity
        self._level = min(self._level, capacity)

    def level(self, now):
        """Return the tokens held at `now`."""
        self._refill(now)
        return self._level

    def wait_for(self, tokens, now):
        """Return the seconds until `tokens` are there; infinity if they never are."""
        if tokens > self._capacity:
            return float("inf")
        self._refill(now)
        return max(0.0, (tokens - self._level) / self._rate)

    def deduct(self, tokens, now):
        """Deduct `tokens`, which must be there; return the deduction's number."""
        self._refill(now)
        if tokens > self._level + 1e-9:
            raise ValueError(f"{tokens} tokens asked, {self._level} held")
        self._deduction_count += 1
        while self._peak_levels and self._peak_levels[-1] <= self._level:
            self._peak_levels.pop()
            self._peak_numbers.pop()
        self._peak_numbers.append(self._deduction_count)
        self._peak_levels.append(self._level)
        self._level -= tokens
        return self._deduction_count

    def refund(self, number, tokens, now):
        """Lower deduction `number` by `tokens`; return what was put back."""
        self._refill(now)
        first = bisect_right(self._peak_numbers, number)
        highest = max([self._level, *self._peak_levels[first : first + 1]])
        added = max(0.0, min(tokens, self._capacity - highest))
        self._level += added
        for index in range(first, len(self._peak_levels)):
            self._peak_levels[index] += added
        self._drop_dominated(first)
        return added

    def drop_peaks_before(self, number):
        """Drop what only refunds of deductions before `number` would need."""
        first = bisect_right(self._peak_numbers, number)
        del self._peak_numbers[:first]
        del self._peak_levels[:first]

    def _drop_dominated(self, first):
        """Drop the peaks before `first` that a later peak is as high as."""
        if first >= len(self._peak_levels):
            return
        while first > 0 and self._peak_levels[first - 1] <= self._peak_levels[first]:
            first -= 1
            del self._peak_levels[first]
            del self._peak_numbers[first]

    def _refill(self, now):
        gained = max(0.0, now - self._refilled_at) * self._rate
        self._level = min(self._capacity, self._level + gained)
        self._refilled_at = max(self._refilled_at, now)


@dataclass(frozen=True)
class Reservation:
    """Tokens taken for one request: the bucket's number, the amount and the time."""

    number: int
    tokens: int
    made_at: float


class CustomerBudget:
    """
    The owner's side of one customer's budget; a fresh one begins empty.

    `customer` gives rate and burst.
    """

    def __init__(self, customer, now):
        self._customer = customer
        self._bucket = TokenBucket(customer.rate, bucket_capacity(customer), now)
        self._reservations = {}

    @property
    def reservation_count(self):
        """Return how many reservations are not settled."""
        return len(self._reservations)

    def update_customer(self, customer, now):
        """Put a changed contract in force."""
        if customer != self._customer:
            self._customer = customer
            capacity = bucket_capacity(customer)
            self._bucket.set_limits(customer.rate, capacity, now)

    def reserve(self, reservation, tokens, now):
        """
        Try to take `tokens`; return 0.0 when granted, else the seconds to wait.

        The same reservation may be asked for again, when an answer was lost.
        """
        if reservation in self._reservations:
            return 0.0
        wait = self._bucket.wait_for(tokens, now)
        if wait > 0.0:
            return wait
        number = self._bucket.deduct(tokens, now)
        self._reservations[reservation] = Reservation(number, tokens, now)
        return 0.0

    def settle_reservation(self, reservation, used, now):
        """End a reservation that used `used` tokens; unknown ones are ignored."""
        reserved = self._reservations.pop(reservation, None)
        if reserved is None:
            return
        self._bucket.refund(reserved.number, max(0, reserved.tokens - used), now)
        self._drop_expired(now)

    def _drop_expired(self, now):
        while self._reservations:
            oldest = next(iter(self._reservations))
            reserved = self._reservations[oldest]
            if now - reserved.made_at < RESERVATION_LIFETIME_SECONDS:
                self._bucket.drop_peaks_before(reserved.number)
                return
            del self._reservations[oldest]
        self._bucket.drop_peaks_before(float("inf"))
