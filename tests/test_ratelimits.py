"""
tests.test_ratelimits
~~~~~~~~~~~~~~~~~~~~~

Limits that back ends in need set for the requests of all daemons together.
"""

import asyncio
import random
from math import inf, nan

import pytest
from hypothesis import given, settings, strategies as st

from rosemarypath.scheduling.ratelimits import (
    ENDED_SECONDS,
    MAX_LIMITS,
    RateLimiter,
    RateLimits,
)
from standins.simulatedfleet import BEAT, Play
from tests.edgefleet import running_fleet

WINDOW_SECONDS = 4.0
STABLE_SECONDS = 3.0  # after which a limit that was named has to hold
LIMIT = 2.0


def allowed(limit):
    """Return how many requests a back end may get in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def busiest_window(arrivals, start):
    """Return the most arrivals in one window that ends at `start` or later."""
    return max(
        (
            sum(1 for other in arrivals if end - WINDOW_SECONDS < other <= end)
            for end in arrivals
            if end >= start
        ),
        default=0,
    )


@pytest.mark.parametrize("kind", ["engine", "service"])
def test_a_back_end_in_need_gets_no_more_requests_than_it_named(kind):
    async def scenario(fleet):
        clock = asyncio.get_running_loop().time
        options, replicas = fleet.requests_for(kind)
        await fleet.call_often(2.0, **options)
        limited = max(replicas, key=lambda replica: len(replica.requests))
        limited.faults.rate_limit = str(LIMIT)
        named_at = clock()
        replies = await fleet.call_often(9.0, **options)
        arrivals = [request.received_at for request in limited.requests]
        stable = named_at + STABLE_SECONDS
        assert busiest_window(arrivals, stable) <= allowed(LIMIT)
        statuses = [reply.status for reply in replies]
        assert statuses.count(200) >= 0.98 * len(statuses)

    async def run():
        async with running_fleet(3) as fleet:
            await scenario(fleet)

    asyncio.run(run())


STEP_SECONDS = 0.05
GROUPED_STABLE_SECONDS = 5.0
ENGINE = "engine/1"


class LimitedBackEnd:
    """
    A back end in simulated time that names `rate` from the time `named_at` on.

    Each daemon of `play` sends it `demand` requests a second, as far as it may.
    """

    def __init__(self, play, rate, demand, seed=1):
        self._play = play
        self._random = random.Random(seed)
        self._chance = demand * STEP_SECONDS
        self.rate = rate
        self.named_at = inf
        self.arrivals = []

    async def run(self, seconds):
        beats = round(BEAT / STEP_SECONDS)
        for step in range(round(seconds / STEP_SECONDS)):
            self._play.now += STEP_SECONDS
            for daemon in self._play.running():
                if step % beats == 0:
                    daemon.heartbeats.send_heartbeats(False, True)
                if self._random.random() < self._chance:
                    await self._send(daemon)

    async def _send(self, daemon):
        now = self._play.now
        limits = daemon.fleet.rate_limits
        if limits.rate(ENGINE) == inf:
            limits.record_send(ENGINE, now)
        elif await daemon.grants.acquire(ENGINE):
            return
        self.arrivals.append(now)
        rate = self.rate if now >= self.named_at else inf
        limits.record_answer(ENGINE, rate, now, now)


@pytest.mark.parametrize("total, demand", [(9, 0.6), (40, 0.5), (195, 0.3)])
def test_daemons_together_keep_and_use_the_limit_also_without_their_granter(
    total, demand, monkeypatch
):
    async def run():
        play = Play(total, monkeypatch)
        play.beat(3.0)
        back_end = LimitedBackEnd(play, LIMIT, demand)
        await back_end.run(4.0)
        back_end.named_at = play.now
        await back_end.run(16.0)
        grouped = play.daemons[0].peers.is_grouped
        stable = GROUPED_STABLE_SECONDS if grouped else STABLE_SECONDS
        granter = play.daemons[0].grants._granter(ENGINE, play.now)
        used = sum(1 for at in back_end.arrivals if at > play.now - 10.0)
        assert used >= 0.8 * LIMIT * 10.0
        play.turn_off(next(d for d in play.daemons if d.machine.name == granter))
        off_at = play.now
        await back_end.run(14.0)
        used = sum(1 for at in back_end.arrivals if at > off_at + 6.0)
        # The part of a machine without contact may be in use where it is.
        alive = len(play.running()) / total
        assert used >= 0.8 * LIMIT * alive * 8.0
        busiest = busiest_window(back_end.arrivals, back_end.named_at + stable)
        assert busiest <= allowed(LIMIT)

    asyncio.run(run())


@pytest.mark.parametrize("total", [9, 40])
def test_the_end_of_a_limit_reaches_all_daemons(total, monkeypatch):
    async def run():
        play = Play(total, monkeypatch)
        play.beat(3.0)
        back_end = LimitedBackEnd(play, LIMIT, 0.5)
        back_end.named_at = play.now
        await back_end.run(6.0)
        back_end.named_at = inf
        await back_end.run(3.0)
        limits = [daemon.fleet.rate_limits.rate(ENGINE) for daemon in play.daemons]
        assert set(limits) == {inf}

    asyncio.run(run())


def test_halves_of_a_cut_fleet_keep_the_limit_together(monkeypatch):
    async def run():
        play = Play(8, monkeypatch)
        play.beat(3.0)
        back_end = LimitedBackEnd(play, LIMIT, 1.0)
        back_end.named_at = play.now
        await back_end.run(8.0)
        for daemon in play.daemons[:4]:
            far = {other.machine.identity for other in play.daemons[4:]}
            for identity in far:
                play.network.cut.add(frozenset((daemon.machine.identity, identity)))
        await back_end.run(12.0)
        start = play.now - 8.0
        assert busiest_window(back_end.arrivals, start) <= allowed(LIMIT)

    asyncio.run(run())


def test_an_answer_that_was_overtaken_does_not_end_a_limit():
    limits = RateLimits()
    assert limits.record_answer(ENGINE, 2.0, sent_at=1.0, now=1.5)
    assert not limits.record_answer(ENGINE, inf, sent_at=1.4, now=1.6)
    assert limits.rate(ENGINE) == 2.0
    assert limits.record_answer(ENGINE, inf, sent_at=1.6, now=1.7)
    assert limits.rate(ENGINE) == inf


def test_an_unreadable_limit_leaves_the_known_one():
    limits = RateLimits()
    limits.record_answer(ENGINE, 2.0, 1.0, 1.5)
    assert not limits.record_answer(ENGINE, None, 2.0, 2.5)
    assert limits.rate(ENGINE) == 2.0


def test_old_news_does_not_replace_newer_news():
    limits = RateLimits()
    limits.record_answer(ENGINE, 2.0, 1.0, 1.5)
    limits.record_answer(ENGINE, inf, 3.0, 3.1)
    limits.merge("peer", {ENGINE: (2.0, 2.0, 0)}, 3.5)
    assert limits.rate(ENGINE) == inf
    assert ENGINE in limits.report(4.0)
    assert ENGINE not in limits.report(3.1 + ENDED_SECONDS)


def test_a_limit_does_not_grow_younger_as_daemons_tell_it_to_each_other():
    first, second = RateLimits(), RateLimits()
    first.record_answer(ENGINE, 2.0, 1.0, 1.0)
    now = 1.0
    for _ in range(60):
        for sender, receiver in ((first, second), (second, first)):
            report = sender.report(now)
            now += 0.05  # on the way
            receiver.merge("peer", report, now)
    second.record_answer(ENGINE, inf, sent_at=2.0, now=now)
    first.merge("peer", second.report(now), now)
    assert first.rate(ENGINE) == second.rate(ENGINE) == inf


def test_limits_are_bounded():
    limits = RateLimits()
    for number in range(3 * MAX_LIMITS):
        limits.record_answer(f"e{number}", 2.0, float(number), float(number))
        limits.record_send(f"e{number}", float(number))
        limits.take(f"e{number}", 1.0, float(number))
        limits.report(float(number))
    assert len(limits._limits) <= MAX_LIMITS
    assert len(limits._limiters) <= MAX_LIMITS and len(limits._ungranted) <= 5


@settings(max_examples=300, deadline=None)
@given(
    st.floats(0.0, 50.0),
    st.lists(st.floats(0.0, 0.5), max_size=200),
    st.integers(0, 30),
)
def test_a_granter_stays_within_the_rate_in_each_window(rate, pauses, others):
    limiter = RateLimiter(0.0)
    now, granted = 0.0, []
    for pause in pauses:
        now += pause
        if limiter.take(rate, others if now < 4.0 else 0, now) == 0.0:
            granted.append(now)
    window = busiest_window(granted, 0.0)
    assert window <= max(1.0, rate * WINDOW_SECONDS) + 1e-6
    assert not others or sum(at < 4.0 for at in granted) + others <= max(
        others, rate * WINDOW_SECONDS
    )


@pytest.mark.parametrize("value", [nan, -1.0])
def test_a_limit_that_is_no_rate_is_not_taken_over(value):
    limits = RateLimits()
    limits.merge("peer", {ENGINE: (value, 0.0, 0)}, 1.0)
    assert limits.rate(ENGINE) == inf
