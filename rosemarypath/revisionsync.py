"""
rosemarypath.revisionsync
~~~~~~~~~~~~~~~~~~~~~~~~~

Propagates new revisions: relays watch the object API, the others poll the relays.
"""

import asyncio
import random
import time

from rosemarypath.configurationreplica import (
    FLEET,
    MANIFEST,
    build_configuration,
    parse_manifest,
    read_configuration,
)
from rosemarypath.errors import RosemarypathError
from rosemarypath.log import get_logger
from rosemarypath.membership import ROSTER
from rosemarypath.messages import (
    Adopted,
    AdoptionAsk,
    AdoptionReport,
    ConfigurationAsk,
    News,
    NewsAsk,
    RosterAsk,
)
from rosemarypath.roster import Roster

__all__ = ["HOSTS", "RevisionSync"]

HOSTS = "hosts"
ASK_TIMEOUT_SECONDS = 0.5
STORE_RETRY_SECONDS = (0.05, 0.5)
MAX_UPDATE_AGE_SECONDS = 3.0
RECOMPUTE_DELAY_SECONDS = 0.05

_log = get_logger("relay")


class RevisionSync:
    """
    Synchronizes a daemon's roster and configuration with the newest revisions.

    Each daemon polls a relay for updates, and reports to the relays which revisions it
    has adopted. The relays compute from the reports the barrier, which is the newest
    roster revision that every member not fenced has adopted, and the accepted revision,
    the same for the configuration. When no relay answers, a daemon reads the object API
    itself.

    Options:

    `membership`
        The daemon's `Membership`.
    `config_replica`
        The daemon's `ConfigurationReplica`.
    `store`
        The `StoreClient`.
    `mesh`
        The `Mesh`.
    `heartbeat`
        Seconds between two polls of a relay.
    """

    def __init__(self, membership, config_replica, store, mesh, heartbeat):
        self._membership = membership
        self._config_replica = config_replica
        self._store = store
        self._mesh = mesh
        self._heartbeat = heartbeat
        self._adopted = {}
        self._roster_read_for = 0
        self._last_update_at = time.monotonic()
        self._relay_index = 0
        self._tasks = []
        self._recompute_timer = None
        self.accepted_revision = 0
        self.leaving_back_ends = frozenset()
        membership.set_revisions_callback(self._record_adopted)
        mesh.on(Adopted, self._on_adopted)
        mesh.on(NewsAsk, self._on_news_ask)
        mesh.on(RosterAsk, self._on_roster_ask)
        mesh.on(ConfigurationAsk, self._on_configuration_ask)
        mesh.on(AdoptionAsk, self._on_adoption_ask)

    @property
    def is_relay(self):
        """Return whether this daemon is one of the relays."""
        return self._membership.identity in self._membership.relays

    async def start(self):
        """Read the configuration, retrying on failure, and start the tasks."""
        while not await self._read_store():
            await asyncio.sleep(random.uniform(*STORE_RETRY_SECONDS))
        self._tasks = [
            asyncio.create_task(self._watch_forever(FLEET, self._handle_fleet_object)),
            asyncio.create_task(self._watch_forever(HOSTS, self._handle_hosts_object)),
            asyncio.create_task(self._poll_forever()),
        ]

    def stop(self):
        """Cancel the tasks."""
        for task in self._tasks:
            task.cancel()

    def outdated_members(self):
        """Return the members not known to have adopted this roster or to be fenced."""
        membership = self._membership
        roster = membership.roster
        if membership.ownership.barrier >= roster.revision:
            return []
        return sorted(
            identity
            for identity in roster.members
            if not membership.fencing.is_fenced(identity)
            and self._adopted.get(identity, (0, 0))[0] < roster.revision
        )

    async def fetch_adoption_report(self):
        """Return the `AdoptionReport` of a relay, or ``None`` if no relay answers."""
        if self.is_relay:
            return self._on_adoption_ask(self._membership.identity, AdoptionAsk())
        for relay in self._membership.relays:
            report = await self._mesh.ask(relay, AdoptionAsk(), ASK_TIMEOUT_SECONDS)
            if report is not None:
                return report
        return None

    async def _read_store(self):
        try:
            await self._membership.read_roster()
            configuration, _ = await read_configuration(
                self._store, self._config_replica.current
            )
        except RosemarypathError as error:
            _log.warning("could not read from the object API: {}", error)
            return False
        self._config_replica.adopt(configuration)
        return True

    async def _watch_forever(self, kind, handle):
        while True:
            if not self.is_relay:
                await asyncio.sleep(self._heartbeat)
                continue
            try:
                await self._list_and_watch(kind, handle)
            except RosemarypathError as error:
                _log.debug("watch of {} failed: {}", kind, error)
                await asyncio.sleep(random.uniform(*STORE_RETRY_SECONDS))

    async def _list_and_watch(self, kind, handle):
        """Pass all objects of `kind` to `handle`, then changes until a watch fails."""
        objects, version = await self._store.list(kind)
        for stored in objects:
            await handle(stored)
        while self.is_relay:
            async for stored in self._store.watch(kind, version):
                version = max(version, stored.version)
                await handle(stored)

    async def _handle_fleet_object(self, stored):
        if stored.name == ROSTER:
            self._membership.adopt(Roster.from_stored(stored))
        elif stored.name == MANIFEST:
            manifest = parse_manifest(stored)
            if manifest.revision > self._config_replica.revision:
                configuration = await build_configuration(
                    self._store, manifest, self._config_replica.current
                )
                self._config_replica.adopt(configuration)
            if manifest.revision > self._roster_read_for:
                # Only a roster read after the manifest names all members to wait for.
                await self._membership.read_roster()
                self._roster_read_for = manifest.revision
        self._update_common_revisions()

    async def _handle_hosts_object(self, stored):
        self.leaving_back_ends = frozenset(stored.spec.get("leaving", ()))

    async def _poll_forever(self):
        while True:
            await asyncio.sleep(self._heartbeat)
            try:
                await self._poll_relay(time.monotonic())
                self._update_common_revisions()
            except Exception:
                _log.exception("polling a relay failed")

    async def _poll_relay(self, now):
        self._report_adopted()
        if now - self._last_update_at > MAX_UPDATE_AGE_SECONDS:
            self._last_update_at = now
            await self._read_store()
        relay = self._choose_relay()
        if relay is None:
            self._last_update_at = now
            return
        ask = NewsAsk(self._membership.roster.revision, self._config_replica.revision)
        update = await self._mesh.ask(relay, ask, ASK_TIMEOUT_SECONDS)
        if update is None:
            self._relay_index += 1
            return
        if self.is_relay:
            self._relay_index += 1
        self._last_update_at = now
        await self._apply_update(relay, update)

    def _choose_relay(self):
        """Return the relay to poll now, one in the same zone as long as it answers."""
        roster = self._membership.roster
        zone = self._membership.machine.zone if self._membership.machine else ""
        relays = [r for r in self._membership.relays if r != self._membership.identity]
        relays = [r for r in relays if not self._membership.fencing.is_fenced(r)]
        if not relays:
            return None
        relays.sort(key=lambda relay: roster.find(relay).zone != zone)
        return relays[self._relay_index % len(relays)]

    async def _apply_update(self, relay, update):
        membership = self._membership
        if update.roster_revision > membership.roster.revision:
            ask = RosterAsk(membership.roster.revision)
            delta = await self._mesh.ask(relay, ask, ASK_TIMEOUT_SECONDS)
            if delta is not None:
                membership.apply_roster_delta(delta)
        if update.roster_revision >= membership.roster.revision:
            for identity in update.fenced:
                membership.add_reported_proof(identity)
        if update.barrier <= membership.roster.revision:
            membership.raise_barrier(update.barrier)
        self.accepted_revision = max(self.accepted_revision, update.accepted)
        if not self.is_relay:
            self.leaving_back_ends = frozenset(update.leaving)
        self._config_replica.record_known_revision(
            update.configuration_revision, time.monotonic()
        )
        if update.configuration_revision > self._config_replica.revision:
            ask = ConfigurationAsk(self._config_replica.revision)
            delta = await self._mesh.ask(relay, ask, ASK_TIMEOUT_SECONDS)
            if delta is not None:
                self._config_replica.apply_delta(delta)
                self._report_adopted()

    def _report_adopted(self):
        """Report the adopted revisions to all relays until all members have them."""
        membership = self._membership
        revisions = (membership.roster.revision, self._config_replica.revision)
        self._record_adopted(membership.identity, *revisions)
        is_adopted_by_all = (
            membership.ownership.barrier >= revisions[0]
            and self.accepted_revision >= revisions[1]
        )
        if is_adopted_by_all:
            return
        for relay in membership.relays:
            if relay != membership.identity:
                self._mesh.send(relay, Adopted(*revisions))

    def _record_adopted(self, identity, roster_revision, configuration_revision):
        known = self._adopted.get(identity, (0, 0))
        self._adopted[identity] = (
            max(known[0], roster_revision),
            max(known[1], configuration_revision),
        )

    def _update_common_revisions(self):
        """Compute the barrier and the accepted revision from the members' reports."""
        membership = self._membership
        roster = membership.roster
        members = roster.members
        self._record_adopted(
            membership.identity, roster.revision, self._config_replica.revision
        )
        self._adopted = {i: r for i, r in self._adopted.items() if i in members}
        acting = [i for i in members if not membership.fencing.is_fenced(i)]
        if not acting:
            return
        adopted = [self._adopted.get(identity, (0, 0)) for identity in acting]
        if min(roster_revision for roster_revision, _ in adopted) >= roster.revision:
            membership.raise_barrier(roster.revision)
        minimum_configuration = min(revision for _, revision in adopted)
        minimum = min(minimum_configuration, self._roster_read_for)
        self.accepted_revision = max(self.accepted_revision, minimum)

    def _on_adopted(self, sender, message):
        self._record_adopted(
            sender, message.roster_revision, message.configuration_revision
        )
        self._config_replica.record_known_revision(
            message.configuration_revision, time.monotonic()
        )
        if self._recompute_timer is None:
            loop = asyncio.get_running_loop()
            self._recompute_timer = loop.call_later(
                RECOMPUTE_DELAY_SECONDS, self._on_recompute_timer
            )

    def _on_recompute_timer(self):
        self._recompute_timer = None
        self._update_common_revisions()

    def _on_news_ask(self, sender, message):
        self._record_adopted(
            sender, message.roster_revision, message.configuration_revision
        )
        membership = self._membership
        return News(
            membership.roster.revision,
            self._config_replica.revision,
            membership.ownership.barrier,
            self.accepted_revision,
            tuple(sorted(membership.fencing.fenced)),
            tuple(sorted(self.leaving_back_ends)),
        )

    def _on_roster_ask(self, sender, message):
        return self._membership.delta_since(message.revision)

    def _on_configuration_ask(self, sender, message):
        return self._config_replica.delta_since(message.revision)

    def _on_adoption_ask(self, sender, message):
        self._update_common_revisions()
        return AdoptionReport(
            dict(self._adopted),
            tuple(sorted(self._membership.fencing.fenced)),
            self.accepted_revision,
        )
