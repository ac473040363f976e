"""
tests.test_scheduling
~~~~~~~~~~~~~~~~~~~~~

Classes for scheduling: ramp, load permits, ranking, popularity, seat wait, policies.
"""

import pytest

from rosemarypath.backend import BackEnd
from rosemarypath.hashing import rendezvous_order
from rosemarypath.loadpermits import LoadPermits, WeightStoreLimits
from rosemarypath.messages import SeatReply
from rosemarypath.policies import AdapterSlot, SeatRequest, get_policy_by_name
from rosemarypath.popularity import Popularity
from rosemarypath.ramp import Ramp
from rosemarypath.ranking import BackEndRanker
from rosemarypath.seatwait import SeatWaitAverage


def engine(name, zone):
    return BackEnd(name=name, address="h:1", zone=zone, kind="engine", serves="m")


def seat_request(
    request_id, customer="c", adapter="a", queued_at=0.0, weight=1.0, cost=10
):
    return SeatRequest(request_id, customer, adapter, cost, weight, queued_at)


def test_ramp_grows_with_completions_and_resets_on_failure():
    ramp = Ramp(2, 4)
    for _ in range(4):
        ramp.record_completion(1.0, 10)
    assert ramp.limit == 3
    for _ in range(20):
        ramp.record_completion(1.0, 10)
    assert ramp.limit == 4
    ramp.reset()
    assert ramp.limit == 2


def test_ramp_does_not_grow_while_requests_are_slow():
    ramp = Ramp(2, 8)
    ramp.record_completion(1.0, 10)
    for _ in range(20):
        ramp.record_completion(5.0, 10)
    assert ramp.limit == 2


@pytest.fixture
def permits():
    return LoadPermits(WeightStoreLimits(name="w"), 0.0)


def test_permits_start_without_credit_and_are_granted_in_order(permits):
    assert permits.acquire("first", 0.0) == pytest.approx(0.25)
    assert permits.acquire("second", 0.0) == pytest.approx(0.5)
    assert permits.acquire("second", 0.25) > 0.0
    assert permits.acquire("first", 0.25) == 0.0
    assert permits.acquire("second", 0.5) == 0.0


def test_permits_limit_the_loads_in_flight(permits):
    for number in range(8):
        assert permits.acquire(str(number), 1.0 + number) == 0.0
    assert permits.acquire("late", 10.0) > 0.0
    permits.release("0")
    assert permits.acquire("late", 10.5) == 0.0


def test_lost_permits_expire(permits):
    permits.acquire("lost", 1.0)
    assert permits.in_flight == 1
    permits.acquire("other", 30.0)
    assert permits.in_flight == 1


def test_ranking_starts_with_the_home_of_the_adapter_in_all_zones():
    back_ends = [engine(f"e{n}", f"z{n % 3}") for n in range(6)]
    homes = {
        BackEndRanker(f"z{n}").rank("a@1", back_ends, 0.0)[0].name for n in range(3)
    }
    assert len(homes) == 1


def test_ranking_avoids_an_overloaded_home_until_the_hint_expires():
    back_ends = [engine(f"e{n}", f"z{n % 3}") for n in range(6)]
    ranker = BackEndRanker("z0")
    home = ranker.rank("a@1", back_ends, 0.0)[0].name
    overloaded = SeatReply(False, "busy", 0, 5.0, True)
    ranker.record_reply(home, "a@1", overloaded, 0.0)
    assert ranker.rank("a@1", back_ends, 0.0)[0].name != home
    assert ranker.rank("a@1", back_ends, 10.0)[0].name == home


def test_popularity_of_an_adapter_outlasts_many_rare_ones():
    popularity = Popularity(max_adapters=10)
    for _ in range(5):
        popularity.record("hot", 0.0)
    for number in range(50):
        popularity.record(f"rare{number}", 1.0)
    assert popularity.count_of("hot", 1.0) > 4.0
    assert popularity.count_of("unknown", 1.0) == 0.0


def test_seat_waits_are_averaged():
    seat_wait = SeatWaitAverage()
    seat_wait.add(1.0)
    assert seat_wait.expected_wait(False) == 0.0
    assert seat_wait.expected_wait(True) == pytest.approx(0.2)


def test_fair_policy_shares_tokens_by_weight():
    policy = get_policy_by_name("fair")()
    served = {"heavy": 0, "light": 0}
    for number in range(300):
        waiting = [
            seat_request("h", "heavy", weight=2.0, queued_at=number),
            seat_request("l", "light", weight=1.0, queued_at=number),
        ]
        chosen = policy.choose_request(waiting, lambda adapter: True, 0.0)
        policy.record_grant(chosen, 0.0)
        served[chosen.customer] += 1
    assert served["heavy"] == pytest.approx(200, abs=2)


def test_fair_policy_gives_no_credit_for_idle_time():
    policy = get_policy_by_name("fair")()
    for _ in range(100):
        policy.record_grant(seat_request("r", "busy"), 0.0)
    waiting = [
        seat_request("i", "idle", queued_at=1.0),
        seat_request("b", "busy", queued_at=0.0),
    ]
    turns = [policy.choose_request(waiting, lambda a: True, 0.0).customer]
    policy.record_grant(waiting[0], 0.0)
    turns.append(policy.choose_request(waiting, lambda a: True, 0.0).customer)
    assert turns == ["idle", "busy"]


def test_fair_policy_skips_requests_whose_adapter_is_not_loaded():
    policy = get_policy_by_name("fair")()
    waiting = [
        seat_request("1", adapter="cold"),
        seat_request("2", adapter="warm", queued_at=1.0),
    ]
    is_ready = {"warm"}.__contains__
    assert policy.choose_request(waiting, is_ready, 0.0).request_id == "2"
    assert policy.choose_load(waiting, is_ready, 0.0).request_id == "1"


@pytest.mark.parametrize("name", ["fair", "baseline"])
def test_evicted_adapters_are_idle_and_not_waited_for(name):
    policy = get_policy_by_name(name)()
    slots = [
        AdapterSlot("used", request_count=1),
        AdapterSlot("wanted"),
        AdapterSlot("idle", last_used_at=5.0),
    ]
    victim = policy.choose_victim(slots, [seat_request("1", adapter="wanted")], 10.0)
    assert victim.adapter == "idle"
    assert (
        policy.choose_victim(slots[:2], [seat_request("1", adapter="wanted")], 10)
        is None
    )


def test_baseline_serves_in_order_of_arrival():
    policy = get_policy_by_name("baseline")()
    waiting = [seat_request("1", adapter="cold"), seat_request("2", adapter="warm")]
    assert policy.choose_request(waiting, {"warm"}.__contains__, 0.0) is None
    assert policy.choose_load(waiting, {"warm"}.__contains__, 0.0).request_id == "1"


def test_rendezvous_order_moves_few_resources():
    names = [f"n{n}" for n in range(9)]
    resources = [f"r{n}" for n in range(500)]
    moved = sum(
        rendezvous_order(r, names)[0] != rendezvous_order(r, names[:-1])[0]
        for r in resources
    )
    assert 20 < moved < 110
