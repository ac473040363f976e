"""
rosemarypath.enginecontroller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Loads and evicts the adapters of one engine, on behalf of the holder of its orders.
"""

import asyncio
from dataclasses import dataclass

from rosemarypath.backend import LoadedModel
from rosemarypath.clock import lease_now, now
from rosemarypath.engineadapters import EngineAdapters, PendingLoad

__all__ = ["EngineController", "LoadOutcome"]

LEAST_PAUSE = 0.002  # seconds between two rounds of work
CHECK_SECONDS = 0.03  # between two questions whether a load is complete
FIRST_CHECK_SECONDS = 0.04  # an adapter held lately arrives in a tenth of a load
LATE_CHECK_SECONDS = 0.24  # a load from the weight store takes as long
LOAD_LOST_SECONDS = 3.0  # a load that takes longer is looked up in a report
HOUSEKEEPING_SECONDS = 0.5  # between two looks at versions and missing models
REFRESH_PAUSE = 0.4  # seconds; reports lag by half as much
SILENT_ORDERS = 2  # orders without an answer in a row, after which an engine is silent
SILENT_SECONDS = 1.0  # since the last of them; its checks go on and end it sooner
NEWEST = 0  # asks for the newest version of a model
FIRST_VERSION = 1  # what an adapter has of which no version was announced
RECENT_SECONDS = 8.0  # an adapter used since is brought to its newest version


@dataclass(frozen=True)
class LoadOutcome:
    """Whether an adapter is held now; `reason` says why not."""

    is_loaded: bool
    reason: str = ""


@dataclass
class _Wanted:
    """An adapter that requests wait for."""

    model: str
    adapter: str
    since: float
    waiters: list

    @property
    def name(self):
        return f"{self.model}/{self.adapter}"


class EngineController:
    """
    Keeps one engine supplied.

    Options:

    `state`
        The engine's `BackEndState`.
    `calls`
        Sends orders and asks for reports.
    `leases`
        The `EngineLeases`, which say whether an order may go.
    `plan_of`
        Function that returns the `EnginePlan` of the engine's service.
    `version_of`
        Function that returns the newest version of a named adapter, 0 where unknown.
    `log`
        The `DecisionLog`.
    `ordered_at`
        The latest time at which this machine may have given orders before.
    """

    def __init__(self, state, calls, leases, plan_of, version_of, log, ordered_at):
        self._calls = calls
        self._leases = leases
        self._plan_of = plan_of
        self._version_of = version_of
        self._log = log
        self._wanted = {}
        self._wakened = asyncio.Event()
        self._orders = None
        self._expected = None
        self._adapters = EngineAdapters(0)
        self._models = {}
        self._model_ordered_at = float("-inf")
        self._unanswered = 0
        self._unanswered_at = float("-inf")
        self._ordered_at = ordered_at
        self._born = state.entry.born
        self.state = state

    @property
    def loaded_models(self):
        """Return model, version and adapters with versions, for the other daemons."""
        held = {model: {} for model in self._models}
        for name, version in self._adapters.loaded.items():
            model, _, adapter = name.partition("/")
            if name not in self._adapters.unloading and model in held:
                held[model][adapter] = version
        return [(model, self._models[model], held[model]) for model in held]

    @property
    def has_report(self):
        """Return whether the engine's state was read since this daemon holds it."""
        return self._orders is not None

    def is_unresponsive(self, now):
        """Return whether the engine leaves orders unanswered, so that none may wait."""
        is_lately = now - self._unanswered_at < SILENT_SECONDS
        return self._unanswered >= SILENT_ORDERS and is_lately

    async def ensure_loaded(self, model, adapter, seconds):
        """Wait up to `seconds` until the adapter is held; return a `LoadOutcome`."""
        name = f"{model}/{adapter}"
        if self._is_current(name):
            return LoadOutcome(True)
        if self.is_unresponsive(now()):
            return LoadOutcome(False, "engine_silent")
        future = asyncio.get_running_loop().create_future()
        wanted = self._wanted.get(name)
        if wanted is None:
            wanted = self._wanted[name] = _Wanted(model, adapter, now(), [])
        wanted.waiters.append(future)
        self._wakened.set()
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError:
            return LoadOutcome(False, "load_timeout")
        finally:
            if future in wanted.waiters:
                wanted.waiters.remove(future)
            if not wanted.waiters and name not in self._adapters.loading:
                self._wanted.pop(name, None)

    async def run(self):
        """Work until cancelled."""
        while True:
            try:
                async with asyncio.timeout(self._pause()):
                    await self._wakened.wait()
            except TimeoutError:
                pass
            self._wakened.clear()
            await self._work()

    def invalidate(self):
        """Drop what is known, because the engine restarted or another held it."""
        self._orders = None
        self._adapters.clear_pending()

    def note_missing(self, name):
        """Record that the engine says it lacks `name`, which was believed held."""
        if self._adapters.loaded.pop(name, None) is not None:
            self._orders = None
            self._publish_state()

    def _pause(self):
        coming = self._adapters.loading.values()
        if coming:
            return max(LEAST_PAUSE, min(one.check_at for one in coming) - now())
        return HOUSEKEEPING_SECONDS

    def _is_current(self, name):
        version = self._adapters.loaded.get(name)
        if version is None or name in self._adapters.unloading:
            return False
        return self.has_report and version >= self._version_of(name)

    async def _work(self):
        plan = self._plan_of()
        if plan is None:
            return
        self._adapters.capacity = plan.adapter_places
        if self.state.entry.born != self._born:
            self._born = self.state.entry.born
            self.invalidate()
        fence = await self._fence()
        if not fence:
            self._fail_all("not_confirmed")
            return
        if self._orders is None and not await self._refresh():
            self._fail_all("no_report")
            return
        if not await self._keep_models(plan, fence):
            return
        for step in (self._check_coming, self._order_loads, self._renew_versions):
            await step(fence)
            if self._orders is None:
                self._wakened.set()
                return

    async def _fence(self):
        started = lease_now()
        if not await self._leases.confirm(started):
            return 0
        return self._leases.fencing_token(self.state.name, lease_now())

    async def _refresh(self):
        """Take over a report that is newer than the last order; whether one came."""
        if now() - self._ordered_at < REFRESH_PAUSE:
            await asyncio.sleep(self._ordered_at + REFRESH_PAUSE - now())
        report = await self._calls.report(self.state.back_end)
        if report is None:
            return False
        self._orders = report.order_count
        self._models = {model.name: model.version for model in report.models}
        held = {
            f"{model.name}/{adapter}": version
            for model in report.models
            for adapter, version in model.adapters.items()
        }
        self._adapters.set_loaded(held)
        coming = report.loading_adapters
        for name in self._adapters.loading.keys() - coming.keys():
            self._adapters.end_load(name)
        self._adapters.replacing = coming.keys() & held.keys()
        for name, version in coming.items():
            at = now()
            self._adapters.loading.setdefault(
                name, PendingLoad(version, at, at + CHECK_SECONDS)
            )
        self._publish_state()
        self._log.write(
            "orders",
            "report",
            engine=self.state.name,
            orders=report.order_count,
            held=len(held),
            coming=len(coming),
        )
        return True

    async def _keep_models(self, plan, fence):
        """Load a model where none is held; return whether one is there."""
        if self._models:
            return True
        if not plan.models:
            return False
        if now() - self._model_ordered_at < HOUSEKEEPING_SECONDS:
            return False
        self._model_ordered_at = now()
        model = next(iter(plan.models))
        result = await self._calls.load(
            self.state.back_end, model, "", NEWEST, fence, self._orders
        )
        self._note_order("load_model", model, result)
        await self._refresh()
        return bool(self._models)

    async def _order_load(self, verb, name, version, fence):
        """Order a load, or ask by the same order whether it is complete."""
        # Without its version the order would begin another load once a newer one is
        # announced, which a full engine has no place for.
        model, _, adapter = name.partition("/")
        result = await self._calls.load(
            self.state.back_end, model, adapter, version, fence, self._orders
        )
        self._note_order(verb, name, result)
        return result

    async def _check_coming(self, fence):
        """Ask by a repeated order which loads are complete."""
        for name, coming in list(self._adapters.loading.items()):
            if now() < coming.check_at:
                continue
            result = await self._order_load("check", name, coming.version, fence)
            if result.is_already_done:
                self._arrive(name, coming.version)
            elif result.is_conflict:
                self._orders = None
                return
            elif now() - coming.ordered_at > LOAD_LOST_SECONDS:
                self._adapters.end_load(name)
                self._orders = None
            else:
                # A load takes either a tenth or the whole time.
                late = coming.ordered_at + LATE_CHECK_SECONDS
                coming.check_at = max(now() + CHECK_SECONDS, late)

    def _arrive(self, name, version):
        self._adapters.end_load(name)
        self._adapters.loaded[name] = version
        # Those that waited for it are about to use it, so it does not make way.
        self.state.last_used[name] = now()
        self._publish_state()
        self._resolve(name, LoadOutcome(True))

    async def _order_loads(self, fence):
        order = sorted(self._wanted.values(), key=lambda w: -len(w.waiters))
        for wanted in order:
            name = wanted.name
            if self._orders is None:
                return
            if self._is_current(name):
                self._resolve(name, LoadOutcome(True))
                continue
            if name in self._adapters.loading:
                continue
            if not self._adapters.can_start_load:
                return
            if not self._adapters.has_free_place:
                if not await self._evict(fence):
                    self._resolve(name, LoadOutcome(False, "no_place"))
                    continue
            await self._load(name, fence)

    async def _load(self, name, fence):
        version = max(FIRST_VERSION, self._version_of(name))
        result = await self._order_load("load", name, version, fence)
        if result.is_already_done:
            self._arrive(name, version)
        elif result.is_accepted:
            at = now()
            coming = PendingLoad(version, at, at + FIRST_CHECK_SECONDS)
            if self._adapters.start_load(name, coming):
                self._publish_state()
        elif result.is_conflict:
            # Its count of orders moved on; those that wait are served after a report.
            self._orders = None
        else:
            self._resolve(name, LoadOutcome(False, f"order_{result.status}"))
            self._orders = None

    async def _evict(self, fence):
        """Unload the adapter that is missed least; return whether one went."""
        at = now()
        name = self._adapters.choose_victim(
            lambda n: self.state.is_adapter_in_use(n, at),
            self.state.last_used,
            self._version_of,
        )
        return name is not None and await self._unload(name, fence)

    async def _unload(self, name, fence):
        """Unload an adapter; return whether its place is free at once."""
        model, _, adapter = name.partition("/")
        self._adapters.unloading.add(name)
        self._publish_state()
        result = await self._calls.unload(
            self.state.back_end, model, adapter, fence, self._orders
        )
        self._note_order("unload", name, result)
        if result.is_already_done:
            self._adapters.unloading.discard(name)
            self._adapters.loaded.pop(name, None)
            return True
        if not result.is_accepted:
            self._orders = None
            self._adapters.unloading.discard(name)
        return False

    async def _renew_versions(self, fence):
        """Bring outdated adapters that nobody uses now, but lately, up to date."""
        at = now()
        for name, version in list(self._adapters.loaded.items()):
            if version >= self._version_of(name) or name in self._adapters.unloading:
                continue
            is_recent = at - self.state.last_used.get(name, -1e9) < RECENT_SECONDS
            if not is_recent or self.state.is_adapter_in_use(name, at):
                continue
            if not self._adapters.can_start_load or name in self._adapters.loading:
                continue
            # Beside the new version the old one keeps its place until it is unused.
            if not self._adapters.has_free_place and not await self._unload(
                name, fence
            ):
                return
            await self._load(name, fence)

    def _note_answer(self, is_known):
        """Count orders without an answer; let nobody wait for a silent engine."""
        if is_known:
            self._unanswered = 0
            return
        self._unanswered += 1
        self._unanswered_at = now()
        if self.is_unresponsive(now()):
            self._fail_all("engine_silent")

    def _note_order(self, verb, name, result):
        self._ordered_at = now()
        self._note_answer(result.is_answered)
        has_counted = result.is_accepted and verb in ("load", "unload")
        has_counted = has_counted or (verb == "unload" and result.is_already_done)
        if has_counted and self._orders is not None:
            self._orders += 1
        self._log.write(
            "orders",
            verb,
            engine=self.state.name,
            adapter=name,
            status=result.status,
            orders=self._orders,
        )

    def _resolve(self, name, outcome):
        wanted = self._wanted.pop(name, None)
        if wanted is None:
            return
        for waiter in wanted.waiters:
            if not waiter.done():
                waiter.set_result(outcome)

    def _fail_all(self, reason):
        for name in list(self._wanted):
            self._resolve(name, LoadOutcome(False, reason))

    def _publish_state(self):
        """Put what is held into the engine's state, for choices made here."""
        models = tuple(LoadedModel(*entry) for entry in self.loaded_models)
        self.state.note_controller_report(models, now())
