"""
tests.test_leaseconfirmation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Engine leases in a large fleet, where not all daemons exchange heartbeats.

Simulated daemons acquire and confirm the lease of one engine while machines freeze or
lose their links and the store refuses some of them. A holder that relied on an outdated
confirmation could send commands at the same time as its successor.
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

DAEMON_COUNT = 16
WATCH_INTERVAL_SECONDS = 0.6  # a watch of 0.5 s and its transmission
ENGINE = "engine"


class LeaseSimulation(Play):
    """A `Play` whose daemons also compete for the lease of one engine."""

    def __init__(self, total, monkeypatch):
        super().__init__(total, monkeypatch)
        monkeypatch.setattr(leaseconfirmation, "lease_now", self.lease_now)
        monkeypatch.setattr(
            leaseconfirmation, "asyncio", SimpleNamespace(sleep=self.pause)
        )
        self._elapsed_ms = 0
        self.store = MemoryStore()
        self.commands = []
        for daemon in self.daemons:
            self._add_leases(daemon)

    def lease_now(self):
        """Return the lease clock, which each call advances by 1 ms."""
        self._elapsed_ms += 1
        return self.now + 0.001 * self._elapsed_ms

    async def pause(self, seconds):
        """Advance the lease clock in place of waiting."""
        self._elapsed_ms += round(seconds * 1000)

    def _add_leases(self, daemon):
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
        """Simulate one heartbeat interval: heartbeats, watches, takeovers, commands."""
        self._elapsed_ms = 0
        self.beat(BEAT)
        for daemon in self.running():
            daemon.store_cache.revisions = {LEASE_KIND: daemon.mirror.changed_revision}
            daemon.store_cache.watchers = daemon.peers.select_watchers(True, self.now)
            await self._watch(daemon)
            await self._send_command(daemon)

    async def _watch(self, daemon):
        """Read the store on watching machines; the others rely on heartbeats."""
        is_watcher = daemon.machine.name in daemon.store_cache.watchers
        is_new = not daemon.mirror.is_known
        if (
            not (is_watcher or is_new)
            or self.now - daemon.watched_at < WATCH_INTERVAL_SECONDS
        ):
            return
        asked_at = daemon.watched_at
        daemon.watched_at = self.now
        try:
            objects, revision = await daemon.access.list(LEASE_KIND)
        except StoreUnavailableError:
            return
        daemon.mirror.replace(objects, revision)
        daemon.mirror.read_at = asked_at

    async def _send_command(self, daemon):
        leases = daemon.leases
        if leases.should_acquire(ENGINE, self.now, self.now):
            try:
                await leases.acquire(ENGINE, self.now)
            except StoreUnavailableError:
                pass
        await leases.confirm(self.now)
        fence = leases.fencing_token(ENGINE, self.now)
        if fence:
            self.commands.append((self.now, daemon.machine.name, fence))


def inject_faults(simulation, rng, resume_times):
    """Randomly freeze, isolate or restore machines, and make the store fail."""
    names = [daemon.machine.identity for daemon in simulation.daemons]
    holder = (
        simulation.commands[-1][1] + "/1" if simulation.commands else rng.choice(names)
    )
    if rng.random() < 0.06:
        simulation.network.off.symmetric_difference_update({rng.choice(names)})
    if rng.random() < 0.03:
        simulation.network.off.symmetric_difference_update({holder})
    if rng.random() < 0.03:
        machine = rng.choice([holder, rng.choice(names)])
        simulation.network.frozen.add(machine)
        resume_times[machine] = simulation.now + rng.uniform(0.5, 9.0)
    if rng.random() < 0.04:
        refused = rng.choice([holder, rng.choice(names)]).partition("/")[0]
        simulation.store.refused.symmetric_difference_update({refused})
    if rng.random() < 0.02:
        simulation.store.is_down = not simulation.store.is_down
    for machine in [v for v, at in resume_times.items() if at <= simulation.now]:
        del resume_times[machine]
        simulation.network.thaw(machine)


def run_with_faults(seed, monkeypatch, seconds=30.0):
    """Return the commands of a simulation with faults as (time, machine, fence)."""
    rng = random.Random(seed)
    simulation = LeaseSimulation(DAEMON_COUNT, monkeypatch)
    resume_times = {}

    async def run():
        while simulation.now < seconds:
            await simulation.step()
            inject_faults(simulation, rng, resume_times)

    asyncio.run(run())
    return simulation.commands


@settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(seed=st.integers(0, 2**32))
def test_no_two_holders_of_a_large_fleet_send_commands_within_one_lease(
    seed, monkeypatch
):
    commands = run_with_faults(seed, monkeypatch)
    for (before, first, old), (after, second, new) in zip(commands, commands[1:]):
        if first != second:
            assert after - before >= LEASE
            assert new > old


@pytest.fixture
def steady_simulation(monkeypatch):
    """Return a `LeaseSimulation` in which one daemon holds the lease."""
    simulation = LeaseSimulation(DAEMON_COUNT, monkeypatch)

    async def run_until_steady():
        while not simulation.commands or simulation.now < 8.0:
            await simulation.step()

    asyncio.run(run_until_steady())
    return simulation


def command_rate(simulation, seconds):
    """Return the share of heartbeat intervals with a command, over `seconds`."""
    before = len(simulation.commands)

    async def run():
        end = simulation.now + seconds
        while simulation.now < end:
            await simulation.step()

    asyncio.run(run())
    return (len(simulation.commands) - before) / (seconds / BEAT)


def test_commands_are_sent_while_the_store_refuses_the_holder(steady_simulation):
    steady_simulation.store.refused.add(steady_simulation.commands[-1][1])
    assert command_rate(steady_simulation, 10.0) > 0.95


def test_commands_are_sent_while_the_store_is_unavailable(steady_simulation):
    steady_simulation.store.is_down = True
    assert command_rate(steady_simulation, 10.0) > 0.9


def test_an_isolated_holder_sends_no_commands_and_is_replaced(steady_simulation):
    holder = steady_simulation.commands[-1][1]
    steady_simulation.network.off.add(f"{holder}/1")
    steady_simulation.store.refused.add(holder)
    command_rate(steady_simulation, 3.0)
    cut_at = steady_simulation.now
    command_rate(steady_simulation, 12.0)
    late = {name for at, name, fence in steady_simulation.commands if at > cut_at}
    assert holder not in late
    assert late
