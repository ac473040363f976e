"""
rosemarypath.budget
~~~~~~~~~~~~~~~~~~~

Customers' token budgets: an exact token bucket and the reservations made from it.
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

    It is the burst less the tokens that flow in during the lifetime of a grant, so that
    rate and burst bound the requests at the times they are admitted, which is later
    than the times of the grants.
    """
    return max(
        0.0,
        customer.burst
        - customer.rate * (GRANT_LIFETIME_SECONDS + GRANT_LIFETIME_MARGIN_SECONDS),
    )


class TokenBucket:
    """
    A token bucket whose deductions can be reduced afterwards.

    Options:

    `rate`
        Refill rate in tokens per second.
    `capacity`
        Maximum level in tokens.
    `now`
        Time of the initial level.
    `level`
        Initial level in tokens (default 0).

    After a refund the level is the one that results from deducting the reduced amount
    in the first place: tokens that would have overflowed meanwhile are not refunded.
    For this the bucket keeps the peaks of the level, each of them just before a
    deduction and higher than all later ones.
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
        """Return the maximum level in tokens."""
        return self._capacity

    def set_limits(self, rate, capacity, now):
        """Apply a new rate and capacity."""
        self._refill(now)
        self._rate = rate
        self._capacity = capacity
        self._level = min(self._level, capacity)

    def level(self, now):
        """Return the level in tokens at `now`."""
        self._refill(now)
        return self._level

    def wait_for(self, tokens, now):
        """Return the seconds until `tokens` are available; infinity if never."""
        if tokens > self._capacity:
            return float("inf")
        self._refill(now)
        return max(0.0, (tokens - self._level) / self._rate)

    def deduct(self, tokens, now):
        """
        Deduct `tokens`; return the number of the deduction.

        Raises `ValueError` if the level is too low.
        """
        self._refill(now)
        if tokens > self._level + 1e-9:
            raise ValueError(f"cannot deduct {tokens} tokens from {self._level}")
        self._deduction_count += 1
        while self._peak_levels and self._peak_levels[-1] <= self._level:
            self._peak_levels.pop()
            self._peak_numbers.pop()
        self._peak_numbers.append(self._deduction_count)
        self._peak_levels.append(self._level)
        self._level -= tokens
        return self._deduction_count

    def refund(self, number, tokens, now):
        """Reduce deduction `number` by `tokens`; return the tokens put back."""
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
        """Drop the peaks that only refunds of deductions before `number` need."""
        first = bisect_right(self._peak_numbers, number)
        del self._peak_numbers[:first]
        del self._peak_levels[:first]

    def _drop_dominated(self, first):
        """Drop the peaks before index `first` that are no higher than the one there."""
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
    """Tokens deducted for one request; `number` is that of the deduction."""

    number: int
    tokens: int
    made_at: float


class CustomerBudget:
    """
    One customer's budget, kept by its owner.

    `customer` is the `Customer` with rate and burst. A new budget starts with no
    tokens, so that a change of owner never grants tokens twice.
    """

    def __init__(self, customer, now):
        self._customer = customer
        self._bucket = TokenBucket(customer.rate, bucket_capacity(customer), now)
        self._reservations = {}

    @property
    def reservation_count(self):
        """Return the number of reservations that are not settled."""
        return len(self._reservations)

    def update_customer(self, customer, now):
        """Apply a changed rate or burst."""
        if customer != self._customer:
            self._customer = customer
            capacity = bucket_capacity(customer)
            self._bucket.set_limits(customer.rate, capacity, now)

    def reserve(self, reservation, tokens, now):
        """
        Try to reserve `tokens`; return 0.0 if granted, else the seconds to wait.

        It is idempotent, as a request is repeated if its reply was lost.
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
        """
        End a reservation and refund the tokens beyond `used`.

        Unknown reservations are ignored.
        """
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
