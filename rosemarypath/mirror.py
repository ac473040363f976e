"""
rosemarypath.mirror
~~~~~~~~~~~~~~~~~~~

Local copies of the store's objects, updated by watches and by peers.

Objects have a kind, and each kind is listed and watched separately.
"""

import asyncio
import time

from rosemarypath.clock import lease_now
from rosemarypath.errors import (
    NotFoundError,
    StoreUnavailableError,
    VersionGoneError,
)
from rosemarypath.stored import era_of

__all__ = [
    "PROBE_SECONDS",
    "WATCH_SECONDS",
    "Mirror",
    "StoreHealth",
    "WatchRole",
    "Watcher",
]

WATCH_SECONDS = 20.0  # long, as a watch is metered as one call however long it waits
PROBE_SECONDS = 0.5  # for a watch that also detects when the store stops answering
IMMEDIATE_WATCH_SECONDS = 0.001  # for only checking whether the store answers
EVENT_BATCH_SECONDS = 0.25  # pause after events, so that one watch collects a burst
SETTLE_SECONDS = 5.0  # after which writers have written again what a store has lost
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0


class Mirror:
    """
    Local copy of the objects of one kind.

    ``on_change(changed, removed)`` is called with the sets of changed and of removed
    names.

    A store that comes back from an older copy lacks what was written since, until its
    writers write it again. Where ``outranks(former, restored)`` is true of an object
    before and after, ``None`` where there is none, it stays as it was until it is
    written or `SETTLE_SECONDS` have passed.

    Attributes:

    `revision`
        The store's position up to which the copy is complete.
    `changed_revision`
        The position at which the copy last changed.
    `read_at`
        Lease clock in seconds at which this daemon's last answered call was sent to the
        store; the copy was complete at that time.
    `objects`
        Maps names to the `StoredObject` that is in force.
    `stored`
        The same for the objects that the store has.
    `is_known`
        Whether the kind was ever read.
    """

    def __init__(self, kind, on_change, outranks=None):
        self._on_change = on_change
        self._outranks = outranks
        self._own_revision = 0
        self._former = {}
        self._settles_at = None
        self.kind = kind
        self.revision = 0
        self.changed_revision = 0
        self.read_at = float("-inf")
        self.stored = {}
        self.objects = {}
        self.is_known = False

    def is_current(self, revision):
        """Return whether the copy is complete up to `revision`."""
        return self.is_known and self.revision >= revision

    def replace(self, objects, revision):
        """Replace the copy by a list of all objects, unless the copy is newer."""
        if self.is_current(revision):
            return
        fresh = {stored.name: stored for stored in objects}
        for name, stored in self.stored.items():
            if stored.version > revision:
                fresh[name] = stored
        is_first = not self.is_known
        begins_era = not is_first and era_of(revision) != era_of(self.revision)
        if begins_era and self._outranks is not None:
            self._keep_former(fresh)
        else:
            self._former = {
                name: (former, version)
                for name, (former, version) in self._former.items()
                if _version(fresh.get(name)) == version
            }
        self.stored = fresh
        self.revision = revision
        self.is_known = True
        changed, removed = self._update_objects()
        # A new era is news for other daemons even if nothing else changed.
        if changed or removed or is_first or begins_era:
            self.changed_revision = max(self.changed_revision, revision)
            self._on_change(changed, removed)

    def settle(self, now):
        """
        Follow the store entirely once `SETTLE_SECONDS` of an era have passed.

        Called about once a second.
        """
        if self._settles_at is None or now < self._settles_at:
            return
        if self._settles_at == float("-inf"):
            self._settles_at = now + SETTLE_SECONDS
            return
        self._settles_at = None
        self._former = {}
        changed, removed = self._update_objects()
        if changed or removed:
            self._on_change(changed, removed)

    def apply(self, events, revision):
        """Apply the events of a watch that reaches up to `revision`."""
        if revision <= self.revision:
            return
        for stored, is_removed in events:
            known = self.stored.get(stored.name)
            if known is not None and known.version > max(stored.version, revision):
                continue
            self._former.pop(stored.name, None)
            if is_removed:
                self.stored.pop(stored.name, None)
            else:
                self.stored[stored.name] = stored
        self.revision = revision
        changed, removed = self._update_objects()
        if changed or removed:
            self.changed_revision = max(self.changed_revision, revision)
            self._on_change(changed, removed)

    def record_own_write(self, stored):
        """Add an object that this daemon has just written."""
        self._own_revision = max(self._own_revision, stored.version)
        self.changed_revision = max(self.changed_revision, stored.version)
        if _version(self.stored.get(stored.name)) < stored.version:
            self._former.pop(stored.name, None)
            self.stored[stored.name] = stored
            self._on_change(*self._update_objects())

    def _keep_former(self, fresh):
        """Keep in force what an older copy, which a new era begins with, changed."""
        self._former = {}
        for name in self.objects.keys() | fresh.keys():
            former, restored = self.objects.get(name), fresh.get(name)
            if former is not restored and self._outranks(former, restored):
                self._former[name] = former, _version(restored)
        self._settles_at = float("-inf")

    def _update_objects(self):
        """Update the objects in force; return the changed and the removed names."""
        before = self.objects
        after = dict(self.stored)
        for name, (former, _) in self._former.items():
            if former is not None:
                after[name] = former
            else:
                after.pop(name, None)
        self.objects = after
        changed = {
            name
            for name, stored in after.items()
            if _version(before.get(name)) != stored.version
        }
        return changed, before.keys() - after.keys()

    @property
    def newest_revision(self):
        """Return the newest known revision, including those of own writes."""
        return max(self.revision, self._own_revision)


def _version(stored):
    """Return the version of an object, 0 where there is none."""
    return 0 if stored is None else stored.version


class StoreHealth:
    """
    Whether the store answers this daemon.

    ``on_change(is_up, reason)`` is called when that changes. `answered_at` and
    `failed_at` are the times of the last answer and of the last failed call, on the
    clock for timeouts.
    """

    def __init__(self, on_change=None):
        self._on_change = on_change or (lambda is_up, reason: None)
        self.answered_at = float("-inf")
        self.failed_at = float("-inf")
        self.is_up = False

    def answer_age(self, now):
        """Return the seconds since the last answer; infinite before the first."""
        return now - self.answered_at

    def note_answer(self, now):
        """Record a usable answer."""
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
    Whether this daemon watches the store, or gets changes from daemons that do.

    Each watch is metered as a call: if every daemon of a large fleet watched all kinds,
    the fleet would exceed the calls that the store allows.
    """

    def __init__(self):
        self._is_on = asyncio.Event()
        self._is_on.set()

    @property
    def is_on(self):
        """Return whether this daemon is to watch."""
        return self._is_on.is_set()

    def set(self, is_on):
        """Set whether this daemon is to watch."""
        if is_on:
            self._is_on.set()
        else:
            self._is_on.clear()

    async def wait_until_on(self):
        """Wait until this daemon is to watch."""
        await self._is_on.wait()


class Watcher:
    """
    Keeps a `Mirror` up to date: lists its kind once, then watches it.

    Options:

    `store`
        Client of the store.
    `mirror`
        The `Mirror`.
    `health`, `availability`
        The `StoreHealth` and the `StoreAvailability`, told of each answer.
    `role`
        The `WatchRole`; the watcher pauses while it is off.
    ``on_events(mirror, since, revision, events)``
        Called with the events of a watch that began at the revision `since` and reaches
        up to `revision`. The copy may be newer than that.
    `batch_seconds`
        Pause after a watch that returned events.
    ``watch_seconds(kind)``
        Returns how long one watch waits, in seconds.
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
        self._unused_lists = 0  # since a watch was answered
        self._wait = None

    def check_soon(self):
        """
        End the present wait for events, and ask whether there are any.

        A watch whose connection is silent looks like one without events.
        """
        wait, self._wait = self._wait, None
        if wait is not None:
            wait.reschedule(asyncio.get_running_loop().time())

    async def run(self):
        """Watch until cancelled."""
        pause = RETRY_MIN_SECONDS
        is_check = False
        while True:
            if not self._needs_list and not self._role.is_on:
                await self._role.wait_until_on()
                is_check = True
            try:
                is_check = not await self._step(is_check)
                if not self._unused_lists:
                    pause = RETRY_MIN_SECONDS
            except VersionGoneError:
                self._note_answer()
                if self._unused_lists > 1:
                    await asyncio.sleep(pause)
                    pause = min(RETRY_MAX_SECONDS, pause * 2)
                self._needs_list = True
            except (StoreUnavailableError, NotFoundError) as error:
                self._health.note_failure(time.monotonic(), error.message)
                await asyncio.sleep(pause)
                is_check = True
                pause = min(RETRY_MAX_SECONDS, pause * 2)

    async def _step(self, is_check):
        """
        List or watch once; with `is_check`, watch without waiting for events.

        Returns whether the store answered; it may not if `check_soon` ended the wait.
        """
        mirror = self._mirror
        asked_at = lease_now()
        if self._needs_list:
            objects, revision = await self._store.list(mirror.kind)
            self._note_answer()
            mirror.replace(objects, revision)
            mirror.read_at = asked_at
            self._needs_list = False
            self._unused_lists += 1
            return True
        since = mirror.changed_revision
        seconds = (
            IMMEDIATE_WATCH_SECONDS if is_check else self._watch_seconds(mirror.kind)
        )
        try:
            async with asyncio.timeout(None) as self._wait:
                events, revision = await self._store.watch(
                    mirror.kind, mirror.revision, seconds
                )
        except TimeoutError:
            return False
        finally:
            self._wait = None
        self._note_answer()
        self._unused_lists = 0
        if revision > mirror.revision:
            mirror.apply(events, revision)
        mirror.read_at = asked_at
        if events:
            self._on_events(mirror, since, revision, events)
            await asyncio.sleep(self._batch_seconds)
        return True

    def _note_answer(self):
        at = time.monotonic()
        self._health.note_answer(at)
        self._availability.note_answer(at)
