"""
tests.test_enginecontroller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A controller with an engine in memory that crashes when it is overfilled.
"""

import asyncio
import random
from types import SimpleNamespace

import pytest

from rosemarypath.backend import ENGINE, BackEnd, BackEndEntry, LoadedModel
from rosemarypath.backendstate import BackEndState
from rosemarypath.enginecontroller import EngineController
from rosemarypath.platform.engine import OrderResult
from rosemarypath.routing import EnginePlan
from rosemarypath.scheduling.reservations import Reservations

PLACES = 3
LOAD_SECONDS = 0.05
RESERVATION_SECONDS = 0.4


class OverfullError(Exception):
    """The engine was ordered to load more adapters than it has places for."""


class MemoryEngine:
    """
    An engine in memory with few places.

    `runs` counts the requests by adapter; the old version of an adapter keeps its
    place until they end. Some orders get no answer and are carried out late.
    """

    def __init__(self, lost_share=0.0, seed=1):
        self._rng = random.Random(seed)
        self._lost_share = lost_share
        self.orders = 0
        self.held = {}
        self.coming = {}
        self.runs = {}
        self.newest = {}
        self.problem = None

    def lose(self, share):
        """Leave `share` of the orders unanswered from now on."""
        self._lost_share = share

    async def load(self, back_end, model, adapter, version, fence, expected):
        wanted = version or self.newest.get(adapter, 1)
        return await self._order(self._load, adapter, expected, wanted)

    async def unload(self, back_end, model, adapter, fence, expected):
        return await self._order(self._unload, adapter, expected)

    async def report(self, back_end):
        held = LoadedModel("m", 1, dict(self.held))
        coming = {f"m/{name}": version for name, version in self.coming.items()}
        return SimpleNamespace(
            order_count=self.orders, models=[held], loading_adapters=coming
        )

    async def _order(self, carry_out, *order):
        await asyncio.sleep(0.001)
        if self._rng.random() < self._lost_share:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(0.2, 1.2), self._late, carry_out, *order)
            return OrderResult(0)
        return OrderResult(carry_out(*order))

    def _late(self, carry_out, *order):
        try:
            carry_out(*order)
        except OverfullError as error:
            self.problem = error

    def _load(self, adapter, expected, wanted):
        if expected != self.orders:
            return 409
        if self.held.get(adapter) == wanted:
            return 200
        if adapter in self.coming:
            return 202
        is_old_kept = adapter in self.held and self.runs.get(adapter)
        if not is_old_kept:
            self.held.pop(adapter, None)
        self.orders += 1
        self.coming[adapter] = wanted
        if len(self.held) + len(self.coming) > PLACES:
            raise OverfullError(f"{sorted(self.held)} and {sorted(self.coming)}")
        asyncio.get_running_loop().call_later(LOAD_SECONDS, self._arrive, adapter)
        return 202

    def _arrive(self, adapter):
        if self.runs.get(adapter):
            asyncio.get_running_loop().call_later(LOAD_SECONDS, self._arrive, adapter)
            return
        self.held[adapter] = self.coming.pop(adapter)

    def _unload(self, adapter, expected):
        if expected != self.orders:
            return 409
        if adapter not in self.held:
            return 200
        self.orders += 1
        if self.runs.get(adapter):
            self._leave(adapter)
            return 202
        del self.held[adapter]
        return 200

    def _leave(self, adapter):
        """Drop an adapter once no request uses it."""
        if self.runs.get(adapter):
            loop = asyncio.get_running_loop()
            loop.call_later(LOAD_SECONDS, self._leave, adapter)
            return
        self.held.pop(adapter, None)


class AlwaysLeased:
    """Stands in for the `EngineLeases` of the only daemon, until the lease lapses."""

    def __init__(self):
        self.has_lapsed = False

    async def confirm(self, lease_now):
        return not self.has_lapsed

    def fencing_token(self, engine, lease_now):
        return 0 if self.has_lapsed else 7


def controller_of(engine, leases):
    back_end = BackEnd(
        name="e", address="h:1", zone="z", kind=ENGINE, serves="s", capacity=8
    )
    state = BackEndState(BackEndEntry(back_end=back_end), 0.0)
    plan = EnginePlan(models={"m": 1.0}, adapter_places=PLACES)
    log = SimpleNamespace(write=lambda *args, **fields: None)
    return EngineController(
        state,
        engine,
        leases,
        lambda: plan,
        lambda name: engine.newest.get(name.partition("/")[2], 1),
        log,
        float("-inf"),
        Reservations(RESERVATION_SECONDS),
    )


def run_with(engine, scenario, leases=None):
    """Run ``scenario(controller)`` beside the controller's task."""

    async def run():
        controller = controller_of(engine, leases or AlwaysLeased())
        task = asyncio.create_task(controller.run())
        try:
            return await scenario(controller)
        finally:
            task.cancel()
            results = await asyncio.gather(task, return_exceptions=True)
            if isinstance(results[0], OverfullError):
                raise results[0]
            if engine.problem is not None:
                raise engine.problem

    return asyncio.run(run())


def test_a_full_engine_loads_a_new_version_beside_one_in_use_only_into_a_free_place():
    engine = MemoryEngine()
    engine.held = {"a": 1, "b": 1, "c": 1}
    engine.newest = {"a": 2}
    engine.runs = {"a": 1}

    async def scenario(controller):
        await controller.ensure_loaded("m", "a", 1.0)
        await asyncio.sleep(0.7)
        engine.runs = {}
        await asyncio.sleep(0.7)
        return await controller.ensure_loaded("m", "a", 1.0)

    assert run_with(engine, scenario).is_loaded
    assert engine.held["a"] == 2


def test_asking_whether_a_load_is_complete_does_not_begin_another():
    """A newer version is announced while an adapter loads at a full engine."""
    engine = MemoryEngine()
    engine.held = {"a": 1, "b": 1}

    async def scenario(controller):
        asking = asyncio.create_task(controller.ensure_loaded("m", "c", 2.0))
        while "c" not in engine.coming:
            await asyncio.sleep(0.001)
        while "c" not in engine.held:
            await asyncio.sleep(0.001)
        # The engine knows the newer version, and requests use the loaded one.
        engine.newest = {"c": 2}
        engine.runs = {"c": 1}
        return await asking

    assert run_with(engine, scenario).is_loaded


def test_outdated_adapters_are_updated_without_overfilling():
    engine = MemoryEngine()
    engine.held = {"a": 1, "b": 1, "c": 1}

    async def scenario(controller):
        await controller.ensure_loaded("m", "a", 1.0)
        for name in "abc":
            controller.state.last_used[f"m/{name}"] = asyncio.get_running_loop().time()
        engine.newest = {"a": 2, "b": 2}
        engine.runs = {"b": 1}
        await asyncio.sleep(2.0)

    run_with(engine, scenario)
    assert engine.held.get("a") == 2


@pytest.mark.parametrize("seed", range(6))
def test_no_order_overfills_an_engine_whose_answers_are_lost(seed):
    rng = random.Random(seed)
    engine = MemoryEngine(lost_share=0.3, seed=seed)

    async def scenario(controller):
        end = asyncio.get_running_loop().time() + 4.0
        asking = set()
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
            if rng.random() < 0.1:
                engine.newest[rng.choice("abcdefgh")] = rng.randint(1, 4)
            if rng.random() < 0.2:
                engine.runs = {rng.choice("abcdefgh"): 1 for _ in range(2)}
            name = rng.choice("abcdefgh")
            asking.add(asyncio.create_task(controller.ensure_loaded("m", name, 1.0)))
        engine.runs = {}
        outcomes = await asyncio.gather(*asking)
        return sum(outcome.is_loaded for outcome in outcomes)

    assert run_with(engine, scenario) > 0


def test_no_request_waits_for_an_engine_that_answers_no_order():
    """The lease holder cannot reach the engine; others could load the adapter."""
    engine = MemoryEngine(lost_share=1.0)

    async def scenario(controller):
        loop = asyncio.get_running_loop()
        asking = [
            asyncio.create_task(controller.ensure_loaded("m", name, 2.4))
            for name in "abcd"
        ]
        outcomes = await asyncio.gather(*asking)
        started = loop.time()
        late = await controller.ensure_loaded("m", "e", 2.4)
        return outcomes, late, loop.time() - started

    outcomes, late, waited = run_with(engine, scenario)
    assert not any(outcome.is_loaded for outcome in outcomes)
    assert late.reason == "engine_silent"
    assert waited < 0.05


def test_an_engine_that_answers_again_is_used_at_once():
    engine = MemoryEngine(lost_share=1.0)

    async def scenario(controller):
        await controller.ensure_loaded("m", "a", 2.4)
        await controller.ensure_loaded("m", "b", 2.4)
        engine.lose(0.0)
        await asyncio.sleep(1.2)
        return await controller.ensure_loaded("m", "c", 1.5)

    assert run_with(engine, scenario).is_loaded


async def load_beside_full_places(controller, is_remote):
    """Load "c" while "a" and "b" are in use, then ask for "d"; return both outcomes."""
    await controller.ensure_loaded("m", "a", 1.0)
    await controller.ensure_loaded("m", "b", 1.0)
    for name in ("m/a", "m/b"):
        controller.state.own.adapters[name] = 1
    if not is_remote:
        controller.state.begin_wait("m/c")
    loaded = await controller.ensure_loaded("m", "c", 1.0, is_remote=is_remote)
    return loaded, await controller.ensure_loaded("m", "d", 0.2, is_remote=is_remote)


@pytest.mark.parametrize("is_remote", [False, True])
def test_a_loaded_adapter_is_kept_for_the_requests_that_waited_for_it(is_remote):
    """Without other idle adapters the new one is the only candidate for eviction."""
    engine = MemoryEngine()

    async def scenario(controller):
        loaded, other = await load_beside_full_places(controller, is_remote)
        assert loaded.is_loaded
        assert not other.is_loaded
        assert engine.held.keys() == {"a", "b", "c"}

    run_with(engine, scenario)


def test_the_place_is_given_on_once_the_waiting_requests_have_gone():
    engine = MemoryEngine()

    async def scenario(controller):
        await load_beside_full_places(controller, is_remote=True)
        await load_beside_full_places(controller, is_remote=False)
        controller.state.end_wait("m/c")
        await asyncio.sleep(RESERVATION_SECONDS)
        return await controller.ensure_loaded("m", "d", 1.0)

    assert run_with(engine, scenario).is_loaded
    assert engine.held.keys() == {"a", "b", "d"}


def test_a_request_that_another_daemon_reports_as_waiting_keeps_its_adapter():
    engine = MemoryEngine()

    async def scenario(controller):
        await load_beside_full_places(controller, is_remote=True)
        await asyncio.sleep(RESERVATION_SECONDS)
        at = asyncio.get_running_loop().time()
        load = (0, 0, 0)
        controller.state.record_peer_load("n", load, {}, at, {"m/c": 1})
        kept = await controller.ensure_loaded("m", "d", 0.1)
        controller.state.record_peer_load("n", load, {}, at, {})
        return kept, await controller.ensure_loaded("m", "d", 1.0)

    kept, given = run_with(engine, scenario)
    assert not kept.is_loaded
    assert given.is_loaded


def test_loads_go_on_while_a_third_of_the_orders_gets_no_answer():
    """Workers leave orders unanswered and carry them out late."""
    engine = MemoryEngine()
    engine.held = {"a": 1}

    async def scenario(controller):
        await controller.ensure_loaded("m", "a", 1.0)
        engine.lose(0.3)
        loaded = 0
        for number in range(12):
            adapter = f"b{number}"
            outcome = await controller.ensure_loaded("m", adapter, 1.5)
            loaded += outcome.is_loaded
        return loaded

    assert run_with(engine, scenario) >= 9


def test_no_order_is_sent_after_the_lease_lapsed_during_another_order():
    """The daemon is paused, or the engine slow, for longer than the lease lasts."""
    engine = MemoryEngine()
    engine.held = {"a": 1, "b": 1, "c": 1}
    leases = AlwaysLeased()

    class SlowToUnload:
        """Passes orders on; the lease lapses while an unload is carried out."""

        load, report = engine.load, engine.report

        async def unload(self, *order):
            result = await engine.unload(*order)
            leases.has_lapsed = True
            return result

    async def scenario(controller):
        controller._client = SlowToUnload()
        return await controller.ensure_loaded("m", "d", 0.5)

    outcome = run_with(engine, scenario, leases)
    assert outcome.reason == "not_confirmed"
    assert engine.orders == 1
    assert not engine.coming


def test_no_order_is_sent_without_the_count_of_orders():
    """A request finds an adapter missing during an order for another one."""
    engine = MemoryEngine()
    engine.held = {"a": 1, "b": 1, "c": 1}
    counts = []

    class Recording:
        """Passes orders on and records the counts that they carry."""

        report = engine.report

        async def load(self, *order):
            counts.append(order[-1])
            return await engine.load(*order)

        async def unload(self, *order):
            counts.append(order[-1])
            result = await engine.unload(*order)
            controllers[0].record_missing("m/b")
            return result

    controllers = []

    async def scenario(controller):
        controllers.append(controller)
        controller._client = Recording()
        return await controller.ensure_loaded("m", "d", 2.0)

    assert run_with(engine, scenario).is_loaded
    assert counts and None not in counts


def test_a_new_version_takes_the_place_of_the_outdated_one_that_is_awaited():
    engine = MemoryEngine()
    engine.held = {"a": 1, "b": 1, "c": 1}
    engine.newest = {"c": 2}

    async def scenario(controller):
        for name in ("m/a", "m/b"):
            controller.state.own.adapters[name] = 1
        controller.state.begin_wait("m/c")
        return await controller.ensure_loaded("m", "c", 1.0)

    assert run_with(engine, scenario).is_loaded
    assert engine.held == {"a": 1, "b": 1, "c": 2}


def test_an_adapter_whose_unload_met_a_lapsed_lease_is_used_again():
    """Review: it stayed marked as unloading, and requests waited for it in vain."""
    engine = MemoryEngine(lost_share=1.0)
    engine.held = {"a": 1, "b": 1, "c": 1}
    leases = AlwaysLeased()

    async def scenario(controller):
        assert (await controller.ensure_loaded("m", "a", 1.0)).is_loaded
        waiting = asyncio.create_task(controller.ensure_loaded("m", "d", 1.0))
        while not controller._adapters.unloading:
            await asyncio.sleep(0.001)
        [name] = controller._adapters.unloading
        leases.has_lapsed = True
        await waiting
        leases.has_lapsed = False
        engine.lose(0.0)
        adapter = name.partition("/")[2]
        engine.held.setdefault(adapter, 1)
        outcome = await controller.ensure_loaded("m", adapter, 2.0)
        return outcome.is_loaded and name in controller.state.adapters

    assert run_with(engine, scenario, leases)
