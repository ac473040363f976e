"""
tests.test_loadqueue
~~~~~~~~~~~~~~~~~~~~

Requests that wait for adapters at one engine, and reservations for them.
"""

import pytest
from hypothesis import given, settings, strategies as st

from rosemarypath.scheduling.loadqueue import LoadQueue, Waiter
from rosemarypath.scheduling.patience import (
    MAX_PATIENCE_SECONDS,
    load_patience,
    spread_retry,
)
from rosemarypath.scheduling.reservations import Reservations


@pytest.fixture
def queue():
    return LoadQueue()


def test_the_requests_for_one_adapter_wait_together(queue):
    first, second = Waiter(0.0), Waiter(0.5)
    assert queue.add("m", "a", first) is queue.add("m", "a", second)
    assert queue.names == ["m/a"]
    assert queue.pop("m/a") == [first, second]
    assert queue.pop("m/a") == []


def test_a_group_goes_with_its_last_waiter(queue):
    waiters = [Waiter(0.0), Waiter(0.0)]
    group = queue.add("m", "a", waiters[0])
    queue.add("m", "a", waiters[1])
    queue.discard(group, waiters[0])
    assert "m/a" in queue
    queue.discard(group, waiters[1])
    assert len(queue) == 0


def test_a_waiter_that_gives_up_late_does_not_remove_a_newer_group(queue):
    early, late = Waiter(0.0), Waiter(1.0)
    group = queue.add("m", "a", early)
    queue.pop("m/a")
    queue.add("m", "a", late)
    queue.discard(group, early)
    assert queue.pop("m/a") == [late]


def test_many_requests_go_first_but_none_waits_for_ever(queue):
    queue.add("m", "rare", Waiter(0.0))
    for _ in range(3):
        queue.add("m", "popular", Waiter(0.3))
    assert queue.ordered(0.4)[0].adapter == "popular"
    queue.pop("m/popular")
    for _ in range(3):
        queue.add("m", "popular", Waiter(1.2))
    assert queue.ordered(1.3)[0].adapter == "rare"


@settings(max_examples=200, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from("abcde"), st.floats(0.0, 10.0)),
        min_size=1,
        max_size=30,
    )
)
def test_each_waiting_request_is_in_exactly_one_group(arrivals):
    queue = LoadQueue()
    waiters = [(adapter, Waiter(since)) for adapter, since in arrivals]
    for adapter, waiter in waiters:
        queue.add("m", adapter, waiter)
    ordered = queue.ordered(10.0)
    assert sorted(g.name for g in ordered) == sorted({f"m/{a}" for a, _ in waiters})
    popped = [waiter for group in ordered for waiter in queue.pop(group.name)]
    assert len(popped) == len(waiters)
    assert {id(waiter) for waiter in popped} == {id(w) for _, w in waiters}


def test_a_reservation_ends():
    reservations = Reservations(0.25)
    reservations.reserve("m/a", 1.0)
    assert reservations.is_reserved("m/a", 1.2)
    assert not reservations.is_reserved("m/b", 1.2)
    assert not reservations.is_reserved("m/a", 1.25)
    reservations.reserve("m/a", 2.0)
    reservations.clear()
    assert not reservations.is_reserved("m/a", 2.0)


@given(st.floats(0.01, 60.0))
def test_a_request_keeps_half_of_its_time_for_its_run(seconds):
    assert load_patience(seconds) <= min(seconds / 2, MAX_PATIENCE_SECONDS)


def test_refused_callers_do_not_return_together():
    times = [spread_retry(0.4) for _ in range(50)]
    assert min(times) >= 0.4
    assert max(times) - min(times) > 0.1
