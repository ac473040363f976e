"""
rosemarypath.revisionsync
~~~~~~~~~~~~~~~~~~~~~~~~~

Spreads news: relays watch the object API, all others ask the relays.
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
ASK_TIMEOUT = 0.5
WATCH_RETRY_SECONDS = (0.05, 0.5)
WITHOUT_NEWS_SECONDS = 3.0
FLOOR_SECONDS = 0.05

_log = get_logger("relay")


class RevisionSync:
    """
    What one daemon knows of the others' revisions, and how it learns and tells news.

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
        Seconds between two questions to a relay.
    """

    def __init__(self, membership, config_replica, store, mesh, heartbeat):
        self._membership = membership
        self._config_replica = config_replica
        self._store = store
        self._mesh = mesh
        self._heartbeat = heartbeat
        self._adopted = {}
        self._confirmed = 0
        self._news_at = time.monotonic()
        self._turn = 0
        self._tasks = []
        self._floor_timer = None
        self.accepted_revision = 0
        self.leaving_back_ends = frozenset()
        membership.set_revisions_callback(self._note_adopted)
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
        """Read the configuration, waiting for the object API, and start the tasks."""
        while not await self._read_store():
            await asyncio.sleep(random.uniform(*WATCH_RETRY_SECONDS))
        self._tasks = [
            asyncio.create_task(self._watch_forever(FLEET, self._take_fleet)),
            asyncio.create_task(self._watch_forever(HOSTS, self._take_hosts)),
            asyncio.create_task(self._ask_forever()),
        ]

    def stop(self):
        """End the tasks."""
        for task in self._tasks:
            task.cancel()

    def outdated_members(self):
        """Return the members that have not adopted this roster, as far as known."""
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
        """Return the `AdoptionReport` of a relay; ``None`` when none answers."""
        if self.is_relay:
            return self._on_adoption_ask(self._membership.identity, AdoptionAsk())
        for relay in self._membership.relays:
            report = await self._mesh.ask(relay, AdoptionAsk(), ASK_TIMEOUT)
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
            _log.warning("the object API cannot be read: {}", error)
            return False
        self._config_replica.adopt(configuration)
        return True

    async def _watch_forever(self, kind, take):
        while True:
            if not self.is_relay:
                await asyncio.sleep(self._heartbeat)
                continue
            try:
                await self._list_and_watch(kind, take)
            except RosemarypathError as error:
                _log.debug("watching {} ended: {}", kind, error)
                await asyncio.sleep(random.uniform(*WATCH_RETRY_SECONDS))

    async def _list_and_watch(self, kind, take):
        """Take all objects of `kind`, then their changes until a watch fails."""
        objects, version = await self._store.list(kind)
        for stored in objects:
            await take(stored)
        while self.is_relay:
            async for stored in self._store.watch(kind, version):
                version = max(version, stored.version)
                await take(stored)

    async def _take_fleet(self, stored):
        if stored.name == ROSTER:
            self._membership.adopt(Roster.from_stored(stored))
        elif stored.name == MANIFEST:
            manifest = parse_manifest(stored)
            if manifest.revision > self._config_replica.revision:
                configuration = await build_configuration(
                    self._store, manifest, self._config_replica.current
                )
                self._config_replica.adopt(configuration)
            if manifest.revision > self._confirmed:
                await self._membership.read_roster()
                self._confirmed = manifest.revision
        self._update_floor()

    async def _take_hosts(self, stored):
        self.leaving_back_ends = frozenset(stored.spec.get("leaving", ()))

    async def _ask_forever(self):
        while True:
            await asyncio.sleep(self._heartbeat)
            try:
                await self._ask_news(time.monotonic())
                self._update_floor()
            except Exception:
                _log.exception("asking for news failed")

    async def _ask_news(self, now):
        self._announce()
        if now - self._news_at > WITHOUT_NEWS_SECONDS:
            self._news_at = now
            await self._read_store()
        relay = self._choose_relay()
        if relay is None:
            self._news_at = now
            return
        ask = NewsAsk(self._membership.roster.revision, self._config_replica.revision)
        news = await self._mesh.ask(relay, ask, ASK_TIMEOUT)
        if news is None:
            self._turn += 1
            return
        if self.is_relay:
            self._turn += 1
        self._news_at = now
        await self._take_news(relay, news)

    def _choose_relay(self):
        """Return the relay to ask now: one of the own zone while it answers."""
        roster = self._membership.roster
        zone = self._membership.machine.zone if self._membership.machine else ""
        relays = [r for r in self._membership.relays if r != self._membership.identity]
        relays = [r for r in relays if not self._membership.fencing.is_fenced(r)]
        if not relays:
            return None
        relays.sort(key=lambda relay: roster.find(relay).zone != zone)
        return relays[self._turn % len(relays)]

    async def _take_news(self, relay, news):
        membership = self._membership
        if news.roster_revision > membership.roster.revision:
            ask = RosterAsk(membership.roster.revision)
            delta = await self._mesh.ask(relay, ask, ASK_TIMEOUT)
            if delta is not None:
                membership.apply_roster_delta(delta)
        if news.roster_revision >= membership.roster.revision:
            for identity in news.fenced:
                membership.add_reported_proof(identity)
        if news.barrier <= membership.roster.revision:
            membership.raise_barrier(news.barrier)
        self.accepted_revision = max(self.accepted_revision, news.accepted)
        if not self.is_relay:
            self.leaving_back_ends = frozenset(news.leaving)
        self._config_replica.record_known_revision(
            news.configuration_revision, time.monotonic()
        )
        if news.configuration_revision > self._config_replica.revision:
            ask = ConfigurationAsk(self._config_replica.revision)
            delta = await self._mesh.ask(relay, ask, ASK_TIMEOUT)
            if delta is not None:
                self._config_replica.apply_delta(delta)
                self._announce()

    def _announce(self):
        """Tell all relays the own revisions until everybody has them."""
        membership = self._membership
        revisions = (membership.roster.revision, self._config_replica.revision)
        self._note_adopted(membership.identity, *revisions)
        is_known = (
            membership.ownership.barrier >= revisions[0]
            and self.accepted_revision >= revisions[1]
        )
        if is_known:
            return
        for relay in membership.relays:
            if relay != membership.identity:
                self._mesh.send(relay, Adopted(*revisions))

    def _note_adopted(self, identity, roster_revision, configuration_revision):
        known = self._adopted.get(identity, (0, 0))
        self._adopted[identity] = (
            max(known[0], roster_revision),
            max(known[1], configuration_revision),
        )

    def _update_floor(self):
        """Work out the barrier and the accepted revision from what members told."""
        membership = self._membership
        roster = membership.roster
        members = roster.members
        self._note_adopted(
            membership.identity, roster.revision, self._config_replica.revision
        )
        self._adopted = {i: r for i, r in self._adopted.items() if i in members}
        acting = [i for i in members if not membership.fencing.is_fenced(i)]
        if not acting:
            return
        floors = [self._adopted.get(identity, (0, 0)) for identity in acting]
        if min(roster_revision for roster_revision, _ in floors) >= roster.revision:
            membership.raise_barrier(roster.revision)
        configuration_floor = min(revision for _, revision in floors)
        floor = min(configuration_floor, self._confirmed)
        self.accepted_revision = max(self.accepted_revision, floor)

    def _on_adopted(self, sender, message):
        self._note_adopted(
            sender, message.roster_revision, message.configuration_revision
        )
        self._config_replica.record_known_revision(
            message.configuration_revision, time.monotonic()
        )
        if self._floor_timer is None:
            loop = asyncio.get_running_loop()
            self._floor_timer = loop.call_later(FLOOR_SECONDS, self._on_floor_timer)

    def _on_floor_timer(self):
        self._floor_timer = None
        self._update_floor()

    def _on_news_ask(self, sender, message):
        self._note_adopted(
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
        self._update_floor()
        return AdoptionReport(
            dict(self._adopted),
            tuple(sorted(self._membership.fencing.fenced)),
            self.accepted_revision,
        )
