"""
tests.test_leaseconfirmation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Holders of orders in a fleet so large that not all daemons hear each other.
"""

import asyncio
import random
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from rosemarypath import leaseconfirmation
from rosemarypath.engineleases import LEASE_KIND, EngineLeases
from rosemarypath.errors import StoreUnavailableError
from rosemarypath.leaseconfirmation import LeaseConfirmer
from rosemarypath.mirror import Mirror
from rosemarypath.peermessages import FreshnessAsk, FreshnessReply
from standins.simulatedfleet import BEAT, Play
from tests.test_engineleases import LEASE, MemoryStore

TOTAL = 16
WATCH_EVERY = 0.6  # seconds; a watch of half a second and its way
ENGINE = "engine"


class HolderPlay(Play):
    """A `Play` whose daemons also hold the orders of one engine."""

    def __init__(self, total, monkeypatch):
        super().__init__(total, monkeypatch)
        monkeypatch.setattr(leaseconfirmation, "lease_now", self.lease_now)
        monkeypatch.setattr(
            leaseconfirmation, "asyncio", SimpleNamespace(sleep=self.pause)
        )
        self._moments = 0
        self.store = MemoryStore()
        self.orders = []
        for daemon in self.daemons:
            self._give_holdings(daemon)

    def lease_now(self):
        """Return the time; each look at the clock takes a moment."""
        self._moments += 1
        return self.now + 0.001 * self._moments

    async def pause(self, seconds):
        """Let the rest of a wait pass at once."""
        self._moments += round(seconds * 1000)

    def _give_holdings(self, daemon):
        name = daemon.machine.name
        daemon.mirror = Mirror(LEASE_KIND, lambda changed, removed: None)
        store_cache = SimpleNamespace(watchers=[])
        daemon.store_cache.watchers = store_cache.watchers
        daemon.mesh.on(
            FreshnessAsk,
            lambda identity, ask: FreshnessReply(
                daemon.mirror.changed_revision, self.lease_now() - daemon.mirror.read_at
            ),
        )
        confirmer = LeaseConfirmer(daemon.peers, daemon.mesh, daemon.store_cache)
        access = self.store.for_machine(name)
        daemon.leases = EngineLeases(
            name, daemon.peers, access, daemon.mirror, LEASE, confirmer
        )
        daemon.access = access
        daemon.watched_at = 0.0

    async def step(self):
        """Let a beat pass: heartbeats, watches, takeovers and orders."""
        self._moments = 0
        self.beat(BEAT)
        for daemon in self.running():
            daemon.store_cache.revisions = {LEASE_KIND: daemon.mirror.changed_revision}
            daemon.store_cache.watchers = daemon.peers.select_watchers(True, self.now)
            await self._watch(daemon)
            await self._work(daemon)

    async def _watch(self, daemon):
        """Read the store as a watcher does; others learn from heartbeats."""
        is_watcher = daemon.machine.name in daemon.store_cache.watchers
        is_new = not daemon.mirror.is_known
        if not (is_watcher or is_new) or self.now - daemon.watched_at < WATCH_EVERY:
            return
        asked_at = daemon.watched_at
        daemon.watched_at = self.now
        try:
            objects, revision = await daemon.access.list(LEASE_KIND)
        except StoreUnavailableError:
            return
        daemon.mirror.replace(objects, revision)
        daemon.mirror.read_at = asked_at

    async def _work(self, daemon):
        leases = daemon.leases
        if leases.should_acquire(ENGINE, self.now, self.now):
            try:
                await leases.acquire(ENGINE)
            except StoreUnavailableError:
                pass
        await leases.confirm(self.now)
        fence = leases.fencing_token(ENGINE, self.now)
        if fence:
            self.orders.append((self.now, daemon.machine.name, fence))


def disturb(play, rng, thaws):
    """Freeze, cut off or bring back machines; the store fails now and then."""
    names = [daemon.machine.identity for daemon in play.daemons]
    holder = play.orders[-1][1] + "/1" if play.orders else rng.choice(names)
    if rng.random() < 0.06:
        play.network.off.symmetric_difference_update({rng.choice(names)})
    if rng.random() < 0.03:
        play.network.off.symmetric_difference_update({holder})
    if rng.random() < 0.03:
        victim = rng.choice([holder, rng.choice(names)])
        play.network.frozen.add(victim)
        thaws[victim] = play.now + rng.uniform(0.5, 9.0)
    if rng.random() < 0.04:
        refused = rng.choice([holder, rng.choice(names)]).partition("/")[0]
        play.store.refused.symmetric_difference_update({refused})
    if rng.random() < 0.02:
        play.store.is_down = not play.store.is_down
    for victim in [v for v, at in thaws.items() if at <= play.now]:
        del thaws[victim]
        play.network.thaw(victim)


def run_play(seed, monkeypatch, seconds=30.0):
    """Return the orders of a play with troubles as (time, machine, fence)."""
    rng = random.Random(seed)
    play = HolderPlay(TOTAL, monkeypatch)
    thaws = {}

    async def run():
        while play.now < seconds:
            await play.step()
            disturb(play, rng, thaws)

    asyncio.run(run())
    return play.orders


@settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(seed=st.integers(0, 2**32))
def test_holders_of_a_large_fleet_never_take_turns_within_a_lease(seed, monkeypatch):
    orders = run_play(seed, monkeypatch)
    for (before, first, old), (after, second, new) in zip(orders, orders[1:]):
        if first != second:
            assert after - before >= LEASE
            assert new > old


@pytest.fixture
def calm(monkeypatch):
    """Return a `HolderPlay` in which one daemon holds the orders."""
    play = HolderPlay(TOTAL, monkeypatch)

    async def settle():
        while not play.orders or play.now < 8.0:
            await play.step()

    asyncio.run(settle())
    return play


def rate_of_orders(play, seconds):
    """Return the share of beats in which an order could go, over some seconds."""
    before = len(play.orders)

    async def run():
        end = play.now + seconds
        while play.now < end:
            await play.step()

    asyncio.run(run())
    return (len(play.orders) - before) / (seconds / BEAT)


def test_orders_go_without_reads_of_the_store_by_the_holder(calm):
    calm.store.refused.add(calm.orders[-1][1])
    assert rate_of_orders(calm, 10.0) > 0.95


def test_orders_go_on_while_the_store_is_away(calm):
    calm.store.is_down = True
    assert rate_of_orders(calm, 10.0) > 0.9


def test_a_holder_that_hears_nobody_gives_no_orders(calm):
    holder = calm.orders[-1][1]
    calm.network.off.add(f"{holder}/1")
    calm.store.refused.add(holder)
    rate_of_orders(calm, 3.0)
    cut_at = calm.now
    rate_of_orders(calm, 12.0)
    late = {name for at, name, fence in calm.orders if at > cut_at}
    assert holder not in late
    assert late
