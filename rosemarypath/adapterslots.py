"""
rosemarypath.adapterslots
~~~~~~~~~~~~~~~~~~~~~~~~~

Adapter slots of one engine: tracks their use, loads and evicts adapters.
"""

import asyncio
import time

from rosemarypath.backendclient import COMMAND_TIMEOUT_SECONDS
from rosemarypath.policies import AdapterSlot
from rosemarypath.popularity import Popularity

__all__ = ["AdapterSlots"]

LOADER_COUNT = 2
FAILED_LOAD_PAUSE_SECONDS = 0.5


class AdapterSlots:
    """
    Tracks the adapter slots of one engine and loads the adapters that are waited for.

    Loader tasks load one adapter each at a time, evicting an idle one if all slots are
    occupied.

    Options:

    `back_end`
        The `BackEnd`; its ``slots`` limit the number of loaded adapters.
    `client`
        The `BackEndClient` for it.
    `policy`
        The `SeatPolicy` that chooses the adapters to load and to evict.
    `get_fence`
        Function that returns the current fencing token, or ``None`` while this daemon
        may not act as the owner.
    `acquire_permit`
        Asynchronous function that acquires a load permit and returns a function that
        releases it.
    `get_waiting`
        Function that returns the `SeatRequest` objects that wait for a seat.
    `on_change`
        Function that is called after each change of the set of loaded adapters.
    """

    def __init__(
        self,
        back_end,
        client,
        policy,
        get_fence,
        acquire_permit,
        get_waiting,
        on_change,
    ):
        self._client = client
        self._policy = policy
        self._get_fence = get_fence
        self._acquire_permit = acquire_permit
        self._get_waiting = get_waiting
        self._on_change = on_change
        self._slots = {}
        self._loading = set()
        self._popularity = Popularity()
        self._load_wanted = asyncio.Event()
        self._tasks = []
        self.back_end = back_end

    @property
    def loaded(self):
        """Return the engine names of the loaded adapters, sorted."""
        return sorted(s.adapter for s in self._slots.values() if s.is_loaded)

    @property
    def loading(self):
        """Return the engine names of the adapters that are being loaded."""
        return set(self._loading)

    def is_ready(self, adapter):
        """Return whether `adapter` is loaded; true for the empty name (no adapter)."""
        slot = self._slots.get(adapter)
        return not adapter or (slot is not None and slot.is_loaded)

    def start(self):
        """Start the loader tasks."""
        self._tasks = [
            asyncio.create_task(self._load_forever(number))
            for number in range(LOADER_COUNT)
        ]

    def stop(self):
        """Cancel the loader tasks."""
        for task in self._tasks:
            task.cancel()

    def wake_loaders(self):
        """Make the loaders check for adapters to load."""
        self._load_wanted.set()

    def begin_use(self, adapter, now):
        """Record that a request with `adapter` starts at `now`."""
        if not adapter:
            return
        slot = self._slots.setdefault(adapter, AdapterSlot(adapter))
        slot.request_count += 1
        slot.last_used_at = now
        self._popularity.record(adapter, now)

    def end_use(self, adapter, now):
        """Record that a request with `adapter` ended at `now`."""
        slot = self._slots.get(adapter)
        if slot is not None and slot.request_count > 0:
            slot.request_count -= 1
            slot.last_used_at = now
            if slot.request_count == 0 and not slot.is_loaded:
                del self._slots[adapter]

    def mark_unloaded(self, adapter):
        """Record that the engine reported `adapter` as not loaded."""
        slot = self._slots.get(adapter)
        if slot is not None:
            slot.is_loaded = False
            if slot.request_count == 0:
                del self._slots[adapter]

    async def refresh_loaded(self):
        """Read the loaded adapters from the engine; none if it does not answer."""
        loaded = await self._client.loaded_adapters()
        for adapter in loaded or ():
            self._slots.setdefault(adapter, AdapterSlot(adapter))
        for adapter, slot in list(self._slots.items()):
            slot.is_loaded = loaded is not None and adapter in loaded
            if not slot.is_loaded and slot.request_count == 0:
                del self._slots[adapter]
        self._on_change()

    async def _load_forever(self, number):
        permit = f"{self.back_end.name}/{number}"
        while True:
            if self._next_load(time.monotonic()) is None:
                self._load_wanted.clear()
                await self._load_wanted.wait()
                continue
            release_permit = await self._acquire_permit(permit)
            try:
                can_continue = await self._load_next()
            finally:
                release_permit()
            if not can_continue:
                await asyncio.sleep(FAILED_LOAD_PAUSE_SECONDS)

    async def _load_next(self):
        """
        Load the adapter that the policy chooses, evicting another if necessary.

        Returns false if the load failed and a pause is needed before the next.
        """
        request = self._next_load(time.monotonic())
        if request is None:
            return True
        self._policy.record_load(request, time.monotonic())
        adapter = request.adapter
        self._loading.add(adapter)
        try:
            if not await self._make_room() or self._get_fence() is None:
                return False
            if not await self._client.load(adapter, self._get_fence()):
                return False
        finally:
            self._loading.discard(adapter)
        slot = self._slots.setdefault(adapter, AdapterSlot(adapter))
        slot.is_loaded = True
        slot.last_used_at = time.monotonic()
        self._on_change()
        return True

    def _next_load(self, now):
        """Return the `SeatRequest` whose adapter to load next, or ``None``."""
        waiting = [r for r in self._get_waiting() if r.adapter not in self._loading]
        request = self._policy.choose_load(waiting, self.is_ready, now)
        if request is None or not self._is_full():
            return request
        return request if self._choose_victim(now) is not None else None

    def _is_full(self):
        """Return whether another load requires an eviction."""
        reserved = self._loading - set(self._slots)
        return len(self._slots) + len(reserved) >= self.back_end.slots

    def _choose_victim(self, now):
        idle = [s for s in self._slots.values() if s.is_loaded and s.request_count == 0]
        for slot in idle:
            slot.popularity = self._popularity.count_of(slot.adapter, now)
        return self._policy.choose_victim(idle, self._get_waiting(), now)

    async def _make_room(self):
        """Evict an adapter if all slots are occupied; return whether one is free."""
        reserved = self._loading - set(self._slots)
        if len(self._slots) + len(reserved) <= self.back_end.slots:
            return True
        victim = self._choose_victim(time.monotonic())
        if victim is None:
            return False
        victim.is_loaded = False
        if not await self._evict(victim):
            self._on_change()
            return False
        return True

    async def _evict(self, victim):
        report = await self._client.get_report()
        is_idle = report is not None and victim.adapter not in report.running_adapters
        fence = self._get_fence()
        if fence is None or victim.request_count or not is_idle:
            victim.is_loaded = True
            return False
        if not await self._client.unload(victim.adapter, fence):
            # The unanswered command may still be executed within its time-out, so the
            # adapter stays marked as not loaded until then.
            await asyncio.sleep(COMMAND_TIMEOUT_SECONDS)
            loaded = await self._client.loaded_adapters()
            if loaded is None or victim.adapter in loaded:
                victim.is_loaded = loaded is not None
                return False
        self._slots.pop(victim.adapter, None)
        return True
