"""
rosemarypath.enginecontroller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Loads and evicts the adapters of one engine.

An order asks the engine to load or unload a model or an adapter. Only the daemon that
holds the engine's lease sends orders. Each carries the lease's fencing token and the
number of orders that the engine accepted before; the engine answers with a conflict if
that number is not its own.
"""

import asyncio
from dataclasses import dataclass

from rosemarypath.backend import LoadedModel
from rosemarypath.clock import lease_now, now
from rosemarypath.errors import RosemarypathError
from rosemarypath.scheduling.engineadapters import EngineAdapters, PendingLoad
from rosemarypath.scheduling.loadqueue import LoadQueue, Waiter

__all__ = ["EngineController", "LoadOutcome"]

MIN_PAUSE_SECONDS = 0.002  # between two passes of the control loop
CHECK_SECONDS = 0.03  # between two checks whether a load is complete
FIRST_CHECK_SECONDS = 0.04  # a recently loaded adapter takes a tenth of a full load
LATE_CHECK_SECONDS = 0.24  # a load from the weight store takes as long
LOAD_TIMEOUT_SECONDS = 3.0  # a load that takes longer is looked up in a report
PLACE_CHECK_SECONDS = 0.03  # between two checks for a free place while requests wait
HOUSEKEEPING_SECONDS = 0.5  # between two checks of versions and missing models
REPORT_DELAY_SECONDS = 0.4  # after an order; reports lag by half as much
MAX_UNANSWERED_ORDERS = 4  # in a row, until the engine counts as unresponsive
UNRESPONSIVE_SECONDS = 1.0  # since the last of them; an answered check ends it sooner
NEWEST = 0  # asks for the newest version of a model
FIRST_VERSION = 1  # of an adapter for which no version was announced
RECENT_USE_SECONDS = 8.0  # an adapter used since then is updated to its newest version


class LeaseLapsedError(RosemarypathError):
    """The lease of an engine no longer allows orders from this daemon."""


class StaleCountError(RosemarypathError):
    """The engine's count of orders is not known any more."""


@dataclass(frozen=True)
class LoadOutcome:
    """Whether an adapter is loaded now; `reason` is the code of why it is not."""

    is_loaded: bool
    reason: str = ""


class EngineController:
    """
    Control loop that loads the adapters which requests ask one engine for.

    Options:

    `state`
        The engine's `BackEndState`.
    `client`
        Client that sends orders and fetches reports.
    `leases`
        The `EngineLeases`, which provide the fencing token of each order.
    `plan_of`
        Function that returns the `EnginePlan` of the engine's service.
    `version_of`
        Function that returns the newest version of ``model/adapter``, 0 where unknown.
    `log`
        The `DecisionLog`.
    `ordered_at`
        The latest time at which this machine may have sent orders before.
    `reservations`
        The `Reservations` of loaded adapters for requests at other daemons.
    """

    def __init__(
        self,
        state,
        client,
        leases,
        plan_of,
        version_of,
        log,
        ordered_at,
        reservations,
    ):
        self._client = client
        self._leases = leases
        self._plan_of = plan_of
        self._version_of = version_of
        self._log = log
        self._reservations = reservations
        self._queue = LoadQueue()
        self._is_blocked = False
        self._wake_up = asyncio.Event()
        self._order_count = None
        self._expected = None
        self._adapters = EngineAdapters(0)
        self._models = {}
        self._model_ordered_at = float("-inf")
        self._unanswered = 0
        self._unanswered_at = float("-inf")
        self._ordered_at = ordered_at
        self._started_at_ms = state.entry.started_at_ms
        self.state = state

    @property
    def loaded_models(self):
        """Return tuples of model, version and adapter versions, for heartbeats."""
        loaded = {model: {} for model in self._models}
        for name, version in self._adapters.loaded.items():
            model, _, adapter = name.partition("/")
            if name not in self._adapters.unloading and model in loaded:
                loaded[model][adapter] = version
        return [(model, self._models[model], loaded[model]) for model in loaded]

    @property
    def has_report(self):
        """Return whether a report was read since this daemon acquired the lease."""
        return self._order_count is not None

    def is_unresponsive(self, now):
        """Return whether orders stay unanswered, so that no request should wait."""
        is_recent = now - self._unanswered_at < UNRESPONSIVE_SECONDS
        return self._unanswered >= MAX_UNANSWERED_ORDERS and is_recent

    def open_places(self, now):
        """
        Return how many further adapters could be loaded without waiting for a place.

        It is zero or negative if as many or more adapters are waited for as places are
        free, or used by adapters that no request needs.
        """
        idle = sum(
            not self._is_needed(name, now)
            for name in self._adapters.loaded
            if name not in self._adapters.unloading
        )
        free = self._adapters.capacity - self._adapters.used_places
        waiting = sum(name not in self._adapters.loading for name in self._queue.names)
        return free + idle - waiting

    async def ensure_loaded(self, model, adapter, seconds, waited=0.0, is_remote=False):
        """
        Wait up to `seconds` until the adapter is loaded; return a `LoadOutcome`.

        `waited` are the seconds that the request has already waited in this queue.
        `is_remote` tells that it waits at another daemon, whose heartbeats report later
        that it uses the adapter.
        """
        name = f"{model}/{adapter}"
        if self._is_current(name):
            if is_remote:
                self._reservations.reserve(name, now())
            return LoadOutcome(True)
        if self.is_unresponsive(now()):
            return LoadOutcome(False, "engine_silent")
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(now() - waited, is_remote, future)
        group = self._queue.add(model, adapter, waiter)
        self._wake_up.set()
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError:
            reason = "awaiting_place" if group.is_blocked else "load_timeout"
            return LoadOutcome(False, reason)
        finally:
            self._queue.discard(group, waiter)

    async def run(self):
        """Run the control loop until cancelled."""
        while True:
            try:
                async with asyncio.timeout(self._pause_seconds()):
                    await self._wake_up.wait()
            except TimeoutError:
                pass
            self._wake_up.clear()
            await self._run_pass()

    def invalidate(self):
        """Discard the known state: the engine restarted or the lease was elsewhere."""
        self._order_count = None
        self._adapters.clear_pending()
        self._reservations.clear()
        self.state.release_models()

    def record_missing(self, name):
        """Record that the engine answered that `name` is not loaded."""
        if self._adapters.loaded.pop(name, None) is not None:
            self._order_count = None
            self._publish_state()

    def _pause_seconds(self):
        pause = PLACE_CHECK_SECONDS if self._is_blocked else HOUSEKEEPING_SECONDS
        pending = self._adapters.loading.values()
        if pending:
            next_check = min(one.check_at for one in pending) - now()
            return max(MIN_PAUSE_SECONDS, min(pause, next_check))
        return pause

    def _is_current(self, name):
        version = self._adapters.loaded.get(name)
        if version is None or name in self._adapters.unloading:
            return False
        return self.has_report and version >= self._version_of(name)

    async def _run_pass(self):
        plan = self._plan_of()
        if plan is None:
            return
        self._adapters.capacity = plan.adapter_places
        if self.state.entry.started_at_ms != self._started_at_ms:
            self._started_at_ms = self.state.entry.started_at_ms
            self.invalidate()
        fence = await self._fencing_token()
        if not fence:
            self._fail_all("not_confirmed")
            return
        if self._order_count is None and not await self._read_report():
            self._fail_all("no_report")
            return
        try:
            await self._run_steps(plan, fence)
        except LeaseLapsedError:
            self._log.write("orders", "lapsed", engine=self.state.name)
            self._fail_all("not_confirmed")
        except StaleCountError:
            # A request found that the known state is wrong; a report comes first.
            self._log.write("orders", "stale", engine=self.state.name)
            self._wake_up.set()

    async def _run_steps(self, plan, fence):
        """
        Send the orders of one pass.

        Raises `LeaseLapsedError` or `StaleCountError`.
        """
        if not await self._ensure_model(plan, fence):
            return
        for step in (
            self._check_pending_loads,
            self._load_wanted,
            self._update_versions,
        ):
            await step(fence)
            if self._order_count is None:
                self._wake_up.set()
                return

    async def _fencing_token(self):
        started = lease_now()
        if not await self._leases.confirm(started):
            return 0
        return self._leases.fencing_token(self.state.name, lease_now())

    async def _read_report(self):
        """Read a report that is newer than the last order; return whether one came."""
        if now() - self._ordered_at < REPORT_DELAY_SECONDS:
            await asyncio.sleep(self._ordered_at + REPORT_DELAY_SECONDS - now())
        report = await self._client.report(self.state.back_end)
        if report is None:
            return False
        self._order_count = report.order_count
        self._models = {model.name: model.version for model in report.models}
        loaded = {
            f"{model.name}/{adapter}": version
            for model in report.models
            for adapter, version in model.adapters.items()
        }
        self._adapters.set_loaded(loaded)
        pending = report.loading_adapters
        for name in self._adapters.loading.keys() - pending.keys():
            self._adapters.end_load(name)
        self._adapters.replacing = pending.keys() & loaded.keys()
        for name, version in pending.items():
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
            held=len(loaded),
            coming=len(pending),
        )
        return True

    async def _ensure_model(self, plan, fence):
        """Order the model if none is loaded; return whether one is loaded."""
        if self._models:
            return True
        if not plan.models:
            return False
        if now() - self._model_ordered_at < HOUSEKEEPING_SECONDS:
            return False
        self._model_ordered_at = now()
        model = next(iter(plan.models))
        back_end = self.state.back_end
        await self._send_until_answered(
            "load_model",
            model,
            fence,
            lambda count: self._client.load(back_end, model, "", NEWEST, fence, count),
        )
        await self._read_report()
        return bool(self._models)

    async def _order_load(self, verb, name, version, fence):
        """Order a load; a repeated order asks whether the load is complete."""
        # The order names the version: otherwise it would start another load once a
        # newer version is announced, for which a full engine has no place.
        model, _, adapter = name.partition("/")
        back_end = self.state.back_end
        return await self._send_until_answered(
            verb,
            name,
            fence,
            lambda count: self._client.load(
                back_end, model, adapter, version, fence, count
            ),
        )

    async def _send_until_answered(self, verb, name, fence, send):
        """
        Send an order again while it gets no answer; return the last `OrderResult`.

        All copies carry the same count of accepted orders, so that the engine carries
        out at most one of them, however late; a conflict shows that it did. Raises
        `LeaseLapsedError` once the lease no longer allows the order, and
        `StaleCountError` if the count was discarded.
        """
        count = self._order_count
        while True:
            if self._order_count is None:
                raise StaleCountError(
                    f"the count of orders of {self.state.name} is unknown",
                    "read a report",
                )
            # Earlier orders, or a pause of the process, may have outlasted the lease.
            if self._leases.fencing_token(self.state.name, lease_now()) != fence:
                raise LeaseLapsedError(
                    f"the lease of {self.state.name} lapsed", "confirm it again"
                )
            result = await send(count)
            self._record_order(verb, name, result)
            if result.is_answered or self.is_unresponsive(now()):
                return result

    async def _check_pending_loads(self, fence):
        """Repeat the orders of pending loads to learn which are complete."""
        for name, pending in list(self._adapters.loading.items()):
            if now() < pending.check_at:
                continue
            result = await self._order_load("check", name, pending.version, fence)
            if result.is_already_done:
                self._finish_load(name, pending.version)
            elif result.is_conflict:
                self._order_count = None
                return
            elif now() - pending.ordered_at > LOAD_TIMEOUT_SECONDS:
                self._adapters.end_load(name)
                self._order_count = None
            else:
                # A load takes either the full time or, for a recent adapter, a tenth.
                late = pending.ordered_at + LATE_CHECK_SECONDS
                pending.check_at = max(now() + CHECK_SECONDS, late)

    def _finish_load(self, name, version):
        self._adapters.end_load(name)
        self._adapters.loaded[name] = version
        self.state.last_used[name] = now()
        self._publish_state()
        self._resolve(name, LoadOutcome(True))

    async def _load_wanted(self, fence):
        self._is_blocked = False
        for group in self._queue.ordered(now()):
            name = group.name
            if self._order_count is None:
                return
            if self._is_current(name):
                self._resolve(name, LoadOutcome(True))
                continue
            if name in self._adapters.loading or name not in self._queue:
                continue
            if not self._adapters.can_start_load:
                return
            has_place = self._adapters.has_free_place
            if not has_place and not self._is_blocked:
                has_place = await self._evict(fence)
            group.is_blocked = not has_place
            # A place is kept for the first group; later ones may be loaded already.
            self._is_blocked = self._is_blocked or not has_place
            if has_place:
                await self._load(name, fence)

    async def _load(self, name, fence):
        version = max(FIRST_VERSION, self._version_of(name))
        result = await self._order_load("load", name, version, fence)
        if result.is_already_done:
            self._finish_load(name, version)
        elif result.is_accepted:
            at = now()
            pending = PendingLoad(version, at, at + FIRST_CHECK_SECONDS)
            if self._adapters.start_load(name, pending):
                self._publish_state()
        elif result.is_conflict:
            # The engine accepted another order; the load is retried after a report.
            self._order_count = None
        else:
            self._resolve(name, LoadOutcome(False, f"order_{result.status}"))
            self._order_count = None

    async def _evict(self, fence):
        """Unload the least recently used adapter; return whether a place is free."""
        at = now()
        name = self._adapters.choose_victim(
            lambda n: self._is_needed(n, at),
            self.state.last_used,
            self._version_of,
        )
        return name is not None and await self._unload(name, fence)

    def _is_needed(self, name, at):
        """Return whether requests use an adapter, or are about to."""
        if self.state.is_adapter_in_use(name, at):
            return True
        if self._adapters.loaded.get(name, 0) < self._version_of(name):
            # Those that wait need the newer version, which may take its place.
            return False
        is_awaited = self.state.is_adapter_awaited(name, at)
        return is_awaited or self._reservations.is_reserved(name, at)

    async def _unload(self, name, fence):
        """Unload an adapter; return whether its place is already free."""
        model, _, adapter = name.partition("/")
        self._adapters.unloading.add(name)
        self._publish_state()
        back_end = self.state.back_end
        try:
            result = await self._send_until_answered(
                "unload",
                name,
                fence,
                lambda count: self._client.unload(
                    back_end, model, adapter, fence, count
                ),
            )
        except RosemarypathError:
            # The order was not sent again, so a report has to tell what became of it.
            self._adapters.unloading.discard(name)
            self._order_count = None
            raise
        if result.is_already_done:
            self._adapters.unloading.discard(name)
            self._adapters.loaded.pop(name, None)
            return True
        if not result.is_accepted:
            self._order_count = None
            self._adapters.unloading.discard(name)
        return False

    async def _update_versions(self, fence):
        """Load the newest version of recently used adapters that are not in use now."""
        at = now()
        for name, version in list(self._adapters.loaded.items()):
            if version >= self._version_of(name) or name in self._adapters.unloading:
                continue
            is_recent = at - self.state.last_used.get(name, -1e9) < RECENT_USE_SECONDS
            if not is_recent or self.state.is_adapter_in_use(name, at):
                continue
            if not self._adapters.can_start_load or name in self._adapters.loading:
                continue
            # The old version keeps its place until its last request has ended.
            if not self._adapters.has_free_place and not await self._unload(
                name, fence
            ):
                return
            await self._load(name, fence)

    def _count_unanswered(self, is_answered):
        """Count unanswered orders; fail all waiters once the engine is unresponsive."""
        if is_answered:
            self._unanswered = 0
            return
        self._unanswered += 1
        self._unanswered_at = now()
        if self.is_unresponsive(now()):
            self._fail_all("engine_silent")

    def _record_order(self, verb, name, result):
        self._ordered_at = now()
        self._count_unanswered(result.is_answered)
        is_counted = result.is_accepted and verb in ("load", "unload")
        is_counted = is_counted or (verb == "unload" and result.is_already_done)
        if is_counted and self._order_count is not None:
            self._order_count += 1
        self._log.write(
            "orders",
            verb,
            engine=self.state.name,
            adapter=name,
            status=result.status,
            orders=self._order_count,
        )

    def _resolve(self, name, outcome):
        waiters = self._queue.pop(name)
        if outcome.is_loaded and any(waiter.is_remote for waiter in waiters):
            self._reservations.reserve(name, now())
        for waiter in waiters:
            if not waiter.ticket.done():
                waiter.ticket.set_result(outcome)

    def _fail_all(self, reason):
        for name in self._queue.names:
            self._resolve(name, LoadOutcome(False, reason))

    def _publish_state(self):
        """Copy the loaded adapters to the `BackEndState`, for this daemon's choices."""
        models = tuple(LoadedModel(*entry) for entry in self.loaded_models)
        self.state.record_controlled_models(models, self._order_count, now())
