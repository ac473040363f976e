"""
tests.test_budget
~~~~~~~~~~~~~~~~~

Token bucket and customer's budget; the bucket bounds the tokens used in every time
window, also after refunds.
"""

import pytest
from hypothesis import given, strategies as st

from proofs.rules import largest_excess
from rosemarypath.budget import CustomerBudget, TokenBucket, bucket_capacity
from rosemarypath.customer import Customer

STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 5.0), st.integers(1, 50), st.integers(0, 50), st.booleans()
    ),
    max_size=60,
)


@given(steps=STEPS, rate=st.floats(0.5, 20.0), capacity=st.floats(10.0, 100.0))
def test_used_tokens_stay_within_rate_and_burst(steps, rate, capacity):
    bucket = TokenBucket(rate, capacity, 0.0, level=capacity)
    now = 0.0
    deductions = []
    used = []
    for pause, tokens, unused, settles in steps:
        now += pause
        if bucket.wait_for(tokens, now) == 0.0:
            number = bucket.deduct(tokens, now)
            deductions.append((number, min(unused, tokens)))
            used.append([now, tokens])
        if settles and deductions:
            number, amount = deductions.pop(0)
            bucket.refund(number, amount, now)
            used[number - 1][1] -= amount
    settled = [tuple(entry) for entry in used]
    assert largest_excess(settled, rate) <= capacity + 1e-6


@given(steps=STEPS, rate=st.floats(0.5, 20.0), capacity=st.floats(10.0, 100.0))
def test_refund_has_the_effect_of_a_smaller_deduction(steps, rate, capacity):
    """A bucket that deducts the used amounts in the first place has the same level."""
    bucket = TokenBucket(rate, capacity, 0.0, level=capacity)
    reference = TokenBucket(rate, capacity, 0.0, level=capacity)
    now = 0.0
    refunds = []
    for pause, tokens, unused, _ in steps:
        now += pause
        if bucket.wait_for(tokens, now) > 0.0:
            continue
        unused = min(unused, tokens)
        refunds.append((bucket.deduct(tokens, now), unused))
        reference.deduct(tokens - unused, now)
    for number, unused in refunds:
        bucket.refund(number, unused, now)
    assert bucket.level(now) == pytest.approx(reference.level(now), abs=1e-6)


def test_wait_is_infinite_beyond_the_capacity():
    bucket = TokenBucket(1.0, 10.0, 0.0)
    assert bucket.wait_for(11, 0.0) == float("inf")
    assert bucket.wait_for(5, 0.0) == 5.0


def test_deducting_more_than_the_level_fails():
    with pytest.raises(ValueError):
        TokenBucket(1.0, 10.0, 0.0).deduct(1, 0.0)


@pytest.fixture
def customer():
    return Customer(name="c", rate=100.0, burst=1000.0)


def test_new_budget_is_empty_and_fills_at_the_rate(customer):
    budget = CustomerBudget(customer, 0.0)
    assert budget.reserve("a", 50, 0.0) == pytest.approx(0.5)
    assert budget.reserve("a", 50, 0.5) == 0.0


def test_same_reservation_is_charged_once(customer):
    budget = CustomerBudget(customer, 0.0)
    assert budget.reserve("a", 100, 1.0) == 0.0
    assert budget.reserve("a", 100, 1.0) == 0.0
    assert budget.reservation_count == 1
    budget.settle_reservation("a", 0, 1.0)
    budget.settle_reservation("a", 0, 1.0)
    assert budget.reserve("b", 100, 1.0) == 0.0


def test_capacity_leaves_room_for_the_lifetime_of_grants(customer):
    assert bucket_capacity(customer) == pytest.approx(970.0)


def test_changed_rate_and_burst_are_applied(customer):
    budget = CustomerBudget(customer, 0.0)
    budget.update_customer(Customer(name="c", rate=10.0, burst=20.0), 0.0)
    assert budget.reserve("a", 18, 100.0) == float("inf")
    assert budget.reserve("a", 17, 100.0) == 0.0
