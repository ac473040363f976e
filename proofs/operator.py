"""
proofs.operator
~~~~~~~~~~~~~~~

Acts as the operators of a run: changes the configuration and the list of leaving
back ends, and records when the daemons accepted the changes.
"""

import asyncio
import threading
import time

from rosemarypath.customer import hash_key
from rosemarypath.errors import ConflictError, NotFoundError, RosemarypathError
from rosemarypath.revisionsync import HOSTS
from rosemarypath.rulestore import change_rule, fetch_adoption, set_option
from rosemarypath.store import StoreClient

__all__ = ["Operator"]

ACCEPTANCE_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.05
RETRY_INTERVAL_SECONDS = 0.3
AUTHOR = "the proofs"


class Operator:
    """
    Makes each change in a thread, since it waits until the change is accepted.

    `fleet` is the running `Fleet`, `history` the `History` to record events in.
    """

    def __init__(self, fleet, history):
        self._fleet = fleet
        self._history = history
        self._threads = []
        self._lock = threading.Lock()
        self._versions = {}
        self._leaving = set()
        self._accepting_zones = set()

    def wait(self):
        """Wait until all changes have ended."""
        for thread in self._threads:
            thread.join(ACCEPTANCE_TIMEOUT_SECONDS)

    def zone_out(self, zone):
        """Take a zone out of service."""
        self._accepting_zones.discard(zone)
        self._start_thread(self._set_zone, zone, "no")

    def zone_in(self, zone):
        """Bring a zone back into service."""
        self._record("zone_in_begun", zone=zone)
        self._accepting_zones.add(zone)
        self._start_thread(self._set_zone, zone, "yes")

    def withdraw_key(self, customer):
        """Withdraw the second key of a customer."""
        self._start_thread(self._withdraw_key, customer)

    def new_version(self, adapter):
        """Set the next version of an adapter."""
        self._start_thread(self._new_version, adapter)

    def begin_leaving(self, back_end):
        """Add a back end to the platform's list of leaving back ends."""
        self._leaving.add(back_end)
        self._start_thread(self._write_hosts, back_end, "leaving_set")

    def end_leaving(self, back_end):
        """Remove a back end from the list of leaving back ends."""
        self._leaving.discard(back_end)
        self._record("leaving_ended", back_end=back_end)
        self._start_thread(self._write_hosts, back_end, "")

    def _start_thread(self, function, *args):
        thread = threading.Thread(
            target=lambda: asyncio.run(function(*args)), daemon=True
        )
        thread.start()
        self._threads.append(thread)

    def _record(self, kind, **fields):
        with self._lock:
            self._history.write(kind, **fields)

    async def _set_zone(self, zone, accepting):
        def change(line):
            return set_option(line, "accepting", accepting, AUTHOR)

        revision = await self._change("zone", zone, change)
        was_out = accepting == "no" and zone not in self._accepting_zones
        if revision and was_out:
            self._record("zone_out_accepted", zone=zone, revision=revision)

    async def _withdraw_key(self, customer):
        name = f"{customer}-2"

        def change(line):
            return set_option(line, "withdrawn", "yes", AUTHOR)

        revision = await self._change("key", name, change)
        if revision:
            digest = hash_key(self._fleet.spare_secrets[customer])
            self._record("withdraw_accepted", key=digest, revision=revision)

    async def _new_version(self, adapter):
        with self._lock:
            self._versions[adapter] = self._versions.get(adapter, 1) + 1
            version = str(self._versions[adapter])

        def change(line):
            return set_option(line, "version", version, AUTHOR)

        def stored(revision):
            self._record(
                "version_set", adapter=adapter, version=version, revision=revision
            )

        await self._change("adapter", adapter, change, stored)

    async def _change(self, kind, name, change, on_stored=lambda revision: None):
        """
        Change one rule and wait for acceptance; return the revision or 0.

        `on_stored` is called with the revision before the wait.
        """
        store = StoreClient(self._fleet.addresses["object-api"])
        try:
            revision = await self._store_rule(store, kind, name, change)
            on_stored(revision)
            if await self._wait_accepted(revision):
                self._record("accepted", revision=revision)
                return revision
            self._record("not_accepted", revision=revision)
            return 0
        finally:
            await store.close()

    async def _store_rule(self, store, kind, name, change):
        """Store a changed rule, with retries; return the revision."""
        while True:
            try:
                revision, _ = await change_rule(store, kind, name, change)
                return revision
            except RosemarypathError:
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _wait_accepted(self, revision):
        """Return whether a daemon reports `revision` as accepted in time."""
        deadline = time.monotonic() + ACCEPTANCE_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            for name in self._fleet.machine_names:
                address = self._fleet.operators_address(name)
                try:
                    adoption = await fetch_adoption(address, revision)
                except RosemarypathError:
                    continue
                if adoption.accepted >= revision:
                    return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    async def _write_hosts(self, back_end, event):
        """Store the list of leaving back ends, with retries; then record `event`."""
        store = StoreClient(self._fleet.addresses["object-api"])
        try:
            while not await self._try_write_hosts(store):
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            if event:
                self._record(event, back_end=back_end)
        finally:
            await store.close()

    async def _try_write_hosts(self, store):
        """Return whether the list could be written."""
        spec = {"leaving": sorted(self._leaving)}
        try:
            try:
                stored = await store.get(HOSTS, "list")
                await store.update(HOSTS, "list", spec, stored.version)
            except NotFoundError:
                await store.create(HOSTS, "list", spec)
        except ConflictError:
            return False
        except RosemarypathError:
            return False
        return True
