"""
tests.test_tokenbuckets
~~~~~~~~~~~~~~~~~~~~~~~

Token buckets of several daemons that learn of each other's grants late or never.
"""

import random

import pytest
from hypothesis import given, settings, strategies as st

from rosemarypath.routing import Budget, Contract
from rosemarypath.tokenbuckets import BudgetBuckets, RetryBuckets

CUSTOMER = Contract(
    name="c", budget=Budget(rate=1000.0, burst=1000.0, counts_tokens=True)
)


def grants(
    daemons,
    lag,
    seconds,
    offered,
    rng,
    parts=None,
    customer=CUSTOMER,
    tokens=100,
    part_at_first=0.0,
):
    """
    Simulate daemons that report every `lag` seconds; return (time, tokens).

    The first daemon gets the part `part_at_first` of the requests, all daemons get an
    equal share of the rest.
    """
    chance = random.Random(0).random
    budgets = [BudgetBuckets(chance) for _ in range(daemons)]
    for budget in budgets:
        budget.add_customers([customer], 1.0, -20.0)
    parts = parts or [list(range(daemons))]
    part_of = {d: part for part in parts for d in part}
    granted = []
    reported_at = 0.0
    now = 0.0
    while now < seconds:
        now += rng.expovariate(offered / tokens)
        if now - reported_at >= lag:
            reported_at = now
            for sender in range(daemons):
                for receiver in part_of[sender]:
                    if receiver != sender:
                        spent = budgets[sender].spent
                        budgets[receiver].record_peer(f"d{sender}", spent, now)
        daemon = rng.randrange(daemons)
        if part_at_first and rng.random() < part_at_first:
            daemon = 0
        share = len(part_of[daemon]) / daemons
        if budgets[daemon].take(customer, tokens, share, now) == 0.0:
            granted.append((now, tokens))
    return granted


def worst_window(granted, window):
    return max(
        sum(tokens for at, tokens in granted if start <= at < start + window)
        for start, _ in granted
    )


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 2**32))
def test_a_customer_that_sends_four_times_its_rate_gets_its_rate(seed):
    granted = grants(8, 0.2, 20.0, 4000.0, random.Random(seed))
    # The users' limit: a tenth above the rate, and 17,000 tokens on top.
    assert worst_window(granted, 8.0) <= (8 * 1000 + 1000) * 1.1 + 17000
    total = sum(tokens for _, tokens in granted)
    assert 0.9 * 20 * 1000 <= total <= 1.15 * 20 * 1000 + 1000


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 2**32))
def test_daemons_that_are_cut_apart_stay_within_the_rate_together(seed):
    parts = [[0, 1, 2], [3, 4, 5, 6, 7]]
    granted = grants(8, 0.2, 20.0, 4000.0, random.Random(seed), parts)
    total = sum(tokens for _, tokens in granted)
    assert total <= 1.15 * 20 * 1000 + 2000


def test_a_request_within_the_rate_is_not_refused():
    granted = grants(8, 0.2, 20.0, 500.0, random.Random(1))
    refused = grants(8, 0.2, 20.0, 500.0, random.Random(1))
    assert len(granted) == len(refused) > 80


def test_the_returned_wait_is_how_long_the_tokens_take():
    budgets = BudgetBuckets()
    budgets.add_customers([CUSTOMER], 1.0, 0.0)
    assert budgets.take(CUSTOMER, 1000, 1.0, 100.0) == 0.0
    assert abs(budgets.take(CUSTOMER, 500, 1.0, 100.0) - 0.5) < 1e-6
    assert budgets.take(CUSTOMER, 500, 1.0, 100.51) == 0.0


def test_a_request_that_did_not_run_is_refunded():
    budgets = BudgetBuckets()
    budgets.add_customers([CUSTOMER], 1.0, 0.0)
    assert budgets.take(CUSTOMER, 1000, 1.0, 100.0) == 0.0
    budgets.refund(CUSTOMER, 1000)
    assert budgets.take(CUSTOMER, 1000, 1.0, 100.0) == 0.0


def test_retries_stay_within_the_limit_over_all_daemons():
    daemons = [RetryBuckets(0.2, 56.0, 10.0) for _ in range(8)]
    spent = [0] * 200
    requests = 0
    for tick in range(200):
        now = tick * 0.1
        for daemon in daemons:
            requests += 1
            daemon.deposit("s")
            while daemon.try_withdraw("s", 8, now):
                spent[tick] += 1
    worst = max(sum(spent[start : start + 100]) for start in range(100))
    assert worst <= 0.2 * requests / 2 + 56


def test_the_grants_of_a_silent_peer_are_not_taken_at_its_return():
    """A group lead that was frozen repeats what its successor has reported."""
    budget = BudgetBuckets()
    budget.add_customers([CUSTOMER], 1.0, 0.0)
    budget.record_peer("others by a/1", {"c": 100}, 10.0)
    budget.record_peer("others by a/1", {"c": 9000}, 16.0)
    assert budget.take(CUSTOMER, 900, 1.0, 16.0) == 0.0


def test_the_grants_of_a_peer_in_contact_are_taken():
    budget = BudgetBuckets()
    budget.add_customers([CUSTOMER], 1.0, 0.0)
    budget.record_peer("d1/1", {"c": 100}, 10.0)
    budget.record_peer("d1/1", {"c": 1500}, 10.2)
    assert budget.take(CUSTOMER, 900, 1.0, 10.2) > 0.0


LARGE_CUSTOMER = Contract(
    name="c", budget=Budget(rate=123_000.0, burst=123_000.0, counts_tokens=True)
)


def test_a_customer_far_above_its_rate_in_a_large_fleet_stays_within_the_limit():
    budget = Budget(rate=123_000.0, burst=123_000.0, counts_tokens=True)
    customer = Contract(name="c", budget=budget)
    granted = grants(
        61, 0.6, 20.0, 900_000.0, random.Random(1), customer=customer, tokens=2400
    )
    limit = (8 * budget.rate + budget.burst) * 1.1 + 17_000
    assert worst_window(granted, 8.0) <= limit


@pytest.mark.parametrize("daemons, lag", [(9, 0.2), (61, 0.6)])
@pytest.mark.parametrize("times", [2, 5, 10])
@pytest.mark.parametrize("part_at_first", [0.0, 0.6])
def test_a_customer_above_its_rate_gets_its_rate_without_pulses(
    daemons, lag, times, part_at_first
):
    rate = LARGE_CUSTOMER.budget.rate
    granted = grants(
        daemons,
        lag,
        24.0,
        times * rate,
        random.Random(1),
        customer=LARGE_CUSTOMER,
        tokens=2400,
        part_at_first=part_at_first,
    )
    settled = [(at, tokens) for at, tokens in granted if at >= 8.0]
    assert worst_window(settled, 8.0) <= 8 * rate * 1.1 + 17_000
    assert worst_window(settled, 2.0) <= 2 * 1.3 * rate
    assert sum(tokens for _, tokens in settled) >= 0.95 * 16 * rate


@pytest.mark.parametrize("daemons, lag", [(9, 0.2), (61, 0.6)])
@pytest.mark.parametrize("part_at_first", [0.0, 0.6, 1.0])
def test_a_customer_within_its_rate_is_served_wherever_its_requests_arrive(
    daemons, lag, part_at_first
):
    customer = LARGE_CUSTOMER
    rate = customer.budget.rate
    arguments = daemons, lag, 30.0, 0.9 * rate, random.Random(1)
    options = {"tokens": 2400, "part_at_first": part_at_first}
    granted = grants(*arguments, customer=customer, **options)
    unlimited = Contract(
        name="c", budget=Budget(rate=0.0, burst=0.0, counts_tokens=True)
    )
    arguments = *arguments[:-1], random.Random(1)
    offered = grants(*arguments, customer=unlimited, **options)
    assert len(granted) > 0.99 * len(offered)
