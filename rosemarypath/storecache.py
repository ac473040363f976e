"""
rosemarypath.storecache
~~~~~~~~~~~~~~~~~~~~~~~

Local cache of the store's objects, updated by own watches or by peers.

Calls to the store are metered and limited for all daemons together, and the store may
refuse some daemons. Therefore only a few daemons watch it and relay events to the
others. Heartbeats carry revisions, so that a daemon that has missed events notices and
requests a snapshot from a peer.
"""

from dataclasses import dataclass

import msgspec

from rosemarypath.clock import lease_now, now
from rosemarypath.faultlog import FaultLog
from rosemarypath.mirror import (
    PROBE_SECONDS,
    WATCH_SECONDS,
    Mirror,
    StoreHealth,
    Watcher,
    WatchRole,
)
from rosemarypath.packing import UnpackError, pack, unpack
from rosemarypath.peermessages import (
    EventEntry,
    FreshnessAsk,
    FreshnessReply,
    MirrorAsk,
    MirrorEvents,
    MirrorSnapshot,
    ObjectEntry,
)
from rosemarypath.storeavailability import StoreAvailability
from rosemarypath.stored import StoredObject

__all__ = ["StoreCache"]

# A daemon probes the store itself this long before it would assume an outage: long
# enough for one call and for the heartbeats that report its result.
PROBE_MARGIN_SECONDS = 0.6
# How long relayed events may take before a daemon requests a snapshot instead.
SNAPSHOT_DELAY_SECONDS = 0.15
RELAY_TIMEOUT_SECONDS = 1.2  # a daemon that was not heard for so long gets no events


@dataclass(frozen=True)
class _NewerRevision:
    """A newer revision of a kind at a peer, and the time when it was first seen."""

    revision: int
    since: float


class StoreCache:
    """
    The `Mirror` of each kind, with the tasks and messages that keep them up to date.

    Options:

    `store`
        Client of the store.
    `peers`, `mesh`
        The other daemons, and the links to them.
    `renewal`
        Seconds between two renewals of a back end's entry.
    `log`
        The `DecisionLog`.
    `availability_kind`
        The kind whose watches are short, so that they show whether the store answers.
    `freshness_kind`
        The kind whose age daemons of a large fleet query from the watching daemons; its
        watches are short in large fleets.
    `poll_seconds`
        How long the first of the watching machines watches the kinds whose changes have
        to be known in time, by kind: short, so that a change is found though the
        watches of all machines are silent.
    """

    def __init__(
        self,
        store,
        peers,
        mesh,
        renewal,
        log,
        availability_kind,
        freshness_kind,
        poll_seconds=None,
    ):
        self._store = store
        self._peers = peers
        self._mesh = mesh
        self._log = log
        self._availability_kind = availability_kind
        self._freshness_kind = freshness_kind
        self._poll_seconds = poll_seconds or {}
        self._is_polling = False
        self._role = WatchRole()
        self._probe_role = WatchRole()
        self._watchers = []
        self._kind_watchers = {}
        self._newer_revisions = {}
        self._mirrors = {}
        self.health = StoreHealth(self._on_health)
        self.availability = StoreAvailability(
            _outage_threshold(renewal), self._on_outage_end
        )

    @property
    def is_watching(self):
        """Return whether this daemon watches the store for others."""
        return self._role.is_on

    @property
    def is_probing(self):
        """Return whether this daemon checks if the store is available."""
        return self._probe_role.is_on

    @property
    def revisions(self):
        """Return the revision of the last change, by kind, of all known kinds."""
        return {k: m.changed_revision for k, m in self._mirrors.items() if m.is_known}

    def set_renewal_seconds(self, renewal):
        """Set the seconds between two renewals of a back end's entry."""
        self.availability.outage_threshold = _outage_threshold(renewal)

    def add(self, kind, on_change, outranks=None):
        """Add a `Mirror` of `kind` and return it."""
        faults = FaultLog(self._log, "store")

        def log_and_pass_on(changed, removed):
            for name in changed:
                faults.update(name, mirror.objects[name].fault, kind=kind)
            faults.forget(removed)
            on_change(changed, removed)

        mirror = self._mirrors[kind] = Mirror(kind, log_and_pass_on, outranks)
        return mirror

    def settle(self, now):
        """Follow the store where it came back from an older copy long enough ago."""
        for mirror in self._mirrors.values():
            mirror.settle(now)

    def copy_of(self, kind):
        """Return the `Mirror` of `kind`."""
        return self._mirrors[kind]

    def is_known(self, kind):
        """Return whether `kind` was ever read."""
        return self._mirrors[kind].is_known

    def start(self, spawn):
        """Register message handlers and start watching with ``spawn(coroutine)``."""
        self._mesh.on(MirrorAsk, self._on_mirror_ask)
        self._mesh.on(MirrorSnapshot, self._on_snapshot)
        self._mesh.on(MirrorEvents, self._on_events)
        self._mesh.on(FreshnessAsk, self._on_freshness_ask)
        for mirror in self._mirrors.values():
            watcher = Watcher(
                self._store,
                mirror,
                self.health,
                self.availability,
                (
                    self._probe_role
                    if mirror.kind == self._availability_kind
                    else self._role
                ),
                self._relay_events,
                watch_seconds=self._watch_seconds,
            )
            self._kind_watchers[mirror.kind] = watcher
            spawn(watcher.run())

    @property
    def watchers(self):
        """Return the names of the machines that watch the store for the fleet."""
        return self._watchers

    def _watch_seconds(self, kind):
        """Return how long one watch of `kind` waits, in seconds."""
        if kind == self._availability_kind:
            return PROBE_SECONDS
        if kind == self._freshness_kind and self._peers.is_grouped:
            return PROBE_SECONDS
        if self._is_polling:
            return self._poll_seconds.get(kind, WATCH_SECONDS)
        return WATCH_SECONDS

    def choose_watchers(self, now):
        """
        Select the watching machines and set this daemon's roles accordingly.

        A daemon also probes the store itself shortly before it would assume an outage,
        as all watching machines may have lost their connection.
        """
        watchers = self._peers.select_watchers(self.health.is_up, now)
        if watchers != self._watchers:
            self._watchers = watchers
            self._log.write("store", "watchers", names=watchers)
        own = self._peers.own.name
        is_on = own in watchers or self._peers.alive_names(now) == [own]
        is_outage_possible = (
            self.availability.answer_age(now)
            > self.availability.outage_threshold - PROBE_MARGIN_SECONDS
        )
        begins = is_on and not self._role.is_on
        self._role.set(is_on)
        if begins:
            self._check_all_soon()
        # Just after its start, a daemon that has heard of no other is first of its own.
        self._set_polling(own in watchers[:1] and not self._peers.is_starting(now))
        self._probe_role.set(is_on or is_outage_possible or not self.health.is_up)

    def _check_all_soon(self):
        """Ask the store on all kinds: their watches may be silent."""
        for watcher in self._kind_watchers.values():
            watcher.check_soon()

    def _set_polling(self, is_polling):
        """Set whether this daemon watches the polled kinds for a short time."""
        begins = is_polling and not self._is_polling
        self._is_polling = is_polling
        for kind, watcher in self._kind_watchers.items():
            if begins and kind in self._poll_seconds:
                watcher.check_soon()

    def compare_revisions(self, identity, revisions, now):
        """Compare the revisions that a peer reports with the own copies."""
        for kind, revision in revisions.items():
            mirror = self._mirrors.get(kind)
            if mirror is not None and not mirror.is_current(revision):
                self._handle_newer_revision(identity, mirror, revision, now)

    def request_snapshot(self, identity, mirror):
        """Ask a peer for a snapshot of a kind."""
        self._log.write(
            "store",
            "requested",
            kind=mirror.kind,
            revision=mirror.revision,
            peer=identity,
        )
        self._mesh.send(identity, MirrorAsk(mirror.kind, mirror.revision))

    def _handle_newer_revision(self, identity, mirror, revision, now):
        """Request a snapshot if relayed events do not arrive in time."""
        # While that revision is missing, reports of peers that are behind as well must
        # not restart the wait.
        known = self._newer_revisions.get(mirror.kind)
        if known is None or mirror.revision >= known.revision:
            known = self._newer_revisions[mirror.kind] = _NewerRevision(revision, now)
        if now - known.since >= SNAPSHOT_DELAY_SECONDS or not mirror.is_known:
            self._newer_revisions[mirror.kind] = _NewerRevision(revision, now)
            self.request_snapshot(identity, mirror)

    def _relay_events(self, mirror, since, revision, events):
        """
        Send the events of a watch to the daemons that this one relays to.

        Just after its start a daemon has heard of no other, and is the only watching
        machine that it knows; the others are served by those that they know.
        """
        at = now()
        message = MirrorEvents(
            mirror.kind,
            since,
            revision,
            self.availability.reachable_seconds(at),
            [(o.name, o.version, o.spec, is_removed) for o, is_removed in events],
        )
        packed = pack(message.events)
        smaller = msgspec.structs.replace(message, events=[], packed=packed)
        own = self._peers.own.name
        for name, peer in self._peers.by_name.items():
            is_served = self._peers.relay_for(self._watchers, name) == own
            is_heard = peer.heard_within(RELAY_TIMEOUT_SECONDS, at)
            if is_served and is_heard and name not in self._watchers:
                receiver = peer.machine.identity
                reads_packed = self._mesh.numbers_batches(receiver)
                self._mesh.send(
                    receiver, smaller if packed and reads_packed else message
                )

    def _unpack(self, identity, entries, packed, entry_type):
        """Return the entries of a peer's message, ``None`` if they are unreadable."""
        if not packed:
            return entries
        try:
            return unpack(packed, entry_type)
        except UnpackError as error:
            self._log.write("store", "error", peer=identity, detail=error.message)
            return None

    def _on_events(self, identity, message):
        mirror = self._mirrors.get(message.kind)
        if mirror is None or not mirror.is_known:
            return
        at = now()
        self.availability.note_answer(at, at - message.reachable_seconds)
        if mirror.revision < message.since:
            self.request_snapshot(identity, mirror)
            return
        entries = self._unpack(identity, message.events, message.packed, EventEntry)
        if entries is None:
            return
        events = [(StoredObject(*fields[:3]), fields[3]) for fields in entries]
        mirror.apply(events, message.revision)

    def _on_mirror_ask(self, identity, ask):
        mirror = self._mirrors.get(ask.kind)
        if mirror is None or not mirror.is_known or mirror.revision <= ask.revision:
            return
        objects = [(o.name, o.version, o.spec) for o in mirror.stored.values()]
        packed = pack(objects) if self._mesh.numbers_batches(identity) else b""
        if packed:
            objects = []
        self._mesh.send(
            identity, MirrorSnapshot(ask.kind, mirror.revision, objects, packed)
        )

    def _on_freshness_ask(self, identity, ask):
        mirror = self._mirrors.get(ask.kind)
        if mirror is None or not mirror.is_known:
            return None
        return FreshnessReply(mirror.changed_revision, lease_now() - mirror.read_at)

    def _on_snapshot(self, identity, message):
        mirror = self._mirrors.get(message.kind)
        if mirror is None or mirror.is_current(message.revision):
            return
        entries = self._unpack(identity, message.objects, message.packed, ObjectEntry)
        if entries is None:
            return
        objects = [StoredObject(*fields) for fields in entries]
        mirror.replace(objects, message.revision)
        self._log.write(
            "store", "relayed", kind=message.kind, revision=message.revision
        )

    def _on_outage_end(self, gap):
        self._log.write("store", "returned", away=round(gap, 3))

    def _on_health(self, is_up, reason):
        if not is_up:
            # Perhaps only one connection broke; a probe finds out immediately.
            self._probe_role.set(True)
            if self._role.is_on:
                self._check_all_soon()
        self._log.write("store", "regained" if is_up else "lost", why=reason)


def _outage_threshold(renewal):
    """
    Return the seconds without an answer that count as an outage.

    No entry lapses in an outage shorter than one renewal. A probe's duration is added.
    """
    return renewal + PROBE_SECONDS
