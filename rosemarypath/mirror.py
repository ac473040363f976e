"""
rosemarypath.mirror
~~~~~~~~~~~~~~~~~~~

Copies of the store's kinds, kept by watches and by what peers have seen.
"""

import asyncio
import time

from rosemarypath.clock import lease_now
from rosemarypath.errors import (
    NotFoundError,
    StoreUnavailableError,
    VersionGoneError,
)

__all__ = [
    "PROBE_SECONDS",
    "WATCH_SECONDS",
    "Mirror",
    "StoreHealth",
    "WatchRole",
    "Watcher",
]

WATCH_SECONDS = 20.0  # a waiting watch is priced as one call, however long
PROBE_SECONDS = 0.5  # the same for the kind whose watch shows that the store speaks
IMMEDIATE_WATCH_SECONDS = (
    0.001  # the same for a watch that shows at once whether it speaks
)
EVENT_BATCH_SECONDS = 0.25  # pause between two watches that collects a burst of events
RETRY_MIN_SECONDS = 0.1  # seconds before the first new try after a failure
RETRY_MAX_SECONDS = 1.0  # seconds between tries while the store stays away


class Mirror:
    """
    The objects of one kind as known here.

    `on_change` is called with the sets of changed and of removed names. `revision` is
    the store's revision up to which it is known, `changed` that of its last change.
    `read_at` is the lease clock at the sending of the last own call to the store that
    was answered: no newer change was missed then.
    """

    def __init__(self, kind, on_change):
        self._on_change = on_change
        self._own_revision = 0
        self.kind = kind
        self.revision = 0
        self.changed_revision = 0
        self.read_at = float("-inf")
        self.objects = {}
        self.is_known = False

    def is_current(self, revision):
        """Return whether it is known up to `revision`."""
        return self.is_known and self.revision >= revision

    def replace(self, objects, revision):
        """Take over a list of all objects, unless a newer state is known."""
        if self.is_current(revision):
            return
        fresh = {stored.name: stored for stored in objects}
        for name, stored in self.objects.items():
            if stored.version > revision:
                fresh[name] = stored
        changed = {
            name
            for name, stored in fresh.items()
            if name not in self.objects or self.objects[name].version != stored.version
        }
        removed = self.objects.keys() - fresh.keys()
        is_first = not self.is_known
        self.objects = fresh
        self.revision = revision
        self.is_known = True
        if changed or removed or is_first:
            self.changed_revision = max(self.changed_revision, revision)
            self._on_change(changed, removed)

    def apply(self, events, revision):
        """Take over the events of a watch that reaches up to `revision`."""
        if revision <= self.revision:
            return
        changed = set()
        removed = set()
        for stored, is_removed in events:
            known = self.objects.get(stored.name)
            if known is not None and known.version > max(stored.version, revision):
                continue
            if is_removed:
                if self.objects.pop(stored.name, None) is not None:
                    removed.add(stored.name)
                changed.discard(stored.name)
            else:
                self.objects[stored.name] = stored
                changed.add(stored.name)
                removed.discard(stored.name)
        self.revision = revision
        if changed or removed:
            self.changed_revision = max(self.changed_revision, revision)
            self._on_change(changed, removed)

    def record_own_write(self, stored):
        """Take over an object that this daemon has just written."""
        self._own_revision = max(self._own_revision, stored.version)
        self.changed_revision = max(self.changed_revision, stored.version)
        known = self.objects.get(stored.name)
        if known is None or known.version < stored.version:
            self.objects[stored.name] = stored
            self._on_change({stored.name}, set())

    @property
    def newest_revision(self):
        """Return the newest revision known, that of own writes included."""
        return max(self.revision, self._own_revision)


class StoreHealth:
    """When the store last answered this daemon, and when it last failed."""

    def __init__(self, on_change=None):
        self._on_change = on_change or (lambda is_up, reason: None)
        self.answered_at = float("-inf")
        self.failed_at = float("-inf")
        self.is_up = False

    def answer_age(self, now):
        """Return the seconds since the store's last answer, infinite before one."""
        return now - self.answered_at

    def note_answer(self, now):
        """Record an answer that was no failure."""
        self.answered_at = now
        if not self.is_up:
            self.is_up = True
            self._on_change(True, "")

    def note_failure(self, now, reason):
        """Record a call without a usable answer."""
        self.failed_at = now
        if self.is_up:
            self.is_up = False
            self._on_change(False, reason)


class WatchRole:
    """
    Whether this daemon watches the store, or learns from those that do.

    The load answered here: each waiting watch is a priced call, and every daemon of a
    large fleet that watches everything would use up what the store allows.
    """

    def __init__(self):
        self._is_on = asyncio.Event()
        self._is_on.set()

    @property
    def is_on(self):
        """Return whether this daemon watches."""
        return self._is_on.is_set()

    def set(self, is_on):
        """Put a new role in force."""
        if is_on:
            self._is_on.set()
        else:
            self._is_on.clear()

    async def wait_until_on(self):
        """Return when this daemon is to watch."""
        await self._is_on.wait()


class Watcher:
    """
    Keeps a `Mirror` by listing its kind and, in the role, watching it.

    `health` and `availability` are the `StoreHealth` and the `StoreAvailability`.
    ``on_events(mirror, since, events)`` is called for what a watch brought,
    ``watch_seconds(kind)`` tells how long one watch waits.
    """

    def __init__(
        self,
        store,
        mirror,
        health,
        availability,
        role,
        on_events,
        batch_seconds=EVENT_BATCH_SECONDS,
        watch_seconds=lambda kind: WATCH_SECONDS,
    ):
        self._watch_seconds = watch_seconds
        self._store = store
        self._mirror = mirror
        self._health = health
        self._availability = availability
        self._role = role
        self._on_events = on_events
        self._batch_seconds = batch_seconds
        self._needs_list = True

    async def run(self):
        """Watch until cancelled."""
        pause = RETRY_MIN_SECONDS
        is_check = False
        while True:
            if not self._needs_list and not self._role.is_on:
                await self._role.wait_until_on()
                is_check = True
            try:
                await self._step(is_check)
                pause = RETRY_MIN_SECONDS
                is_check = False
            except VersionGoneError:
                self._note_answer()
                self._needs_list = True
            except (StoreUnavailableError, NotFoundError) as error:
                self._health.note_failure(time.monotonic(), error.message)
                await asyncio.sleep(pause)
                is_check = True
                pause = min(RETRY_MAX_SECONDS, pause * 2)

    async def _step(self, is_check):
        """List or watch once; a look asks for news without waiting for some."""
        mirror = self._mirror
        asked_at = lease_now()
        if self._needs_list:
            objects, revision = await self._store.list(mirror.kind)
            self._note_answer()
            mirror.replace(objects, revision)
            mirror.read_at = asked_at
            self._needs_list = False
            return
        since = mirror.changed_revision
        seconds = (
            IMMEDIATE_WATCH_SECONDS if is_check else self._watch_seconds(mirror.kind)
        )
        events, revision = await self._store.watch(
            mirror.kind, mirror.revision, seconds
        )
        self._note_answer()
        if revision > mirror.revision:
            mirror.apply(events, revision)
        mirror.read_at = asked_at
        if events:
            self._on_events(mirror, since, events)
            await asyncio.sleep(self._batch_seconds)

    def _note_answer(self):
        at = time.monotonic()
        self._health.note_answer(at)
        self._availability.note_answer(at)
