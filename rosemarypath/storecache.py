"""
rosemarypath.storecache
~~~~~~~~~~~~~~~~~~~~~~~

This daemon's copies of the store's kinds, from its watches or from its peers.

The load answered here: a store whose calls are priced and bounded for all daemons
together, and which may turn some of them away. A few machines watch and pass events on;
whoever misses some learns so from the revisions in heartbeats and asks.
"""

from dataclasses import dataclass

from rosemarypath.clock import lease_now, now
from rosemarypath.mirror import (
    PROBE_SECONDS,
    WATCH_SECONDS,
    Mirror,
    StoreHealth,
    Watcher,
    WatchRole,
)
from rosemarypath.peermessages import (
    FreshnessAsk,
    FreshnessReply,
    MirrorAsk,
    MirrorEvents,
    MirrorSnapshot,
)
from rosemarypath.storeavailability import StoreAvailability
from rosemarypath.stored import StoredObject

__all__ = ["StoreCache"]

PROBE_MARGIN_SECONDS = (
    0.6  # seconds for some heartbeats and a call, before an outage is told
)
SNAPSHOT_DELAY_SECONDS = (
    0.15  # a copy behind a peer's for longer than an event's way is asked
)


@dataclass(frozen=True)
class _NewerRevision:
    """A newer revision of a kind that a peer has, and since when that is known."""

    revision: int
    since: float


class StoreCache:
    """
    All `Mirror` copies of one daemon.

    Options:

    `store`
        Client of the store.
    `peers`, `mesh`
        The other daemons, and the links to them.
    `renewal`
        How often a back end renews its entry, in seconds.
    `log`
        The `DecisionLog`.
    `availability_kind`
        The kind whose watch waits so shortly that it shows a silent store.
    `freshness_kind`
        The kind of which, in a large fleet, daemons ask the watching ones how current
        it is; its watch waits as shortly there.
    """

    def __init__(
        self, store, peers, mesh, renewal, log, availability_kind, freshness_kind
    ):
        self._store = store
        self._peers = peers
        self._mesh = mesh
        self._log = log
        self._availability_kind = availability_kind
        self._freshness_kind = freshness_kind
        self._role = WatchRole()
        self._probe_role = WatchRole()
        self._watchers = []
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
        """Return whether this daemon asks whether the store is there."""
        return self._probe_role.is_on

    @property
    def revisions(self):
        """Return the revision of the last change of each known kind."""
        return {k: m.changed_revision for k, m in self._mirrors.items() if m.is_known}

    def set_renewal_seconds(self, renewal):
        """Take over how often a back end renews its entry, in seconds."""
        self.availability.outage_threshold = _outage_threshold(renewal)

    def add(self, kind, on_change):
        """Keep a copy of `kind`; return its `Mirror`."""
        mirror = self._mirrors[kind] = Mirror(kind, on_change)
        return mirror

    def is_known(self, kind):
        """Return whether `kind` was ever read."""
        return self._mirrors[kind].is_known

    def start(self, spawn):
        """Begin to watch; ``spawn(coroutine)`` runs a task."""
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
            spawn(watcher.run())

    @property
    def watchers(self):
        """Return the names of the machines that watch the store for all."""
        return self._watchers

    def _watch_seconds(self, kind):
        """Return how long one watch of `kind` waits."""
        if kind == self._availability_kind:
            return PROBE_SECONDS
        if kind == self._freshness_kind and self._peers.is_grouped:
            return PROBE_SECONDS
        return WATCH_SECONDS

    def choose_watchers(self, now):
        """
        Watch the store if this daemon is among those that do so for all.

        Each daemon asks for itself when nobody is known to have had an answer for
        nearly as long as an outage: those that watch may all be cut off.
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
        self._role.set(is_on)
        self._probe_role.set(is_on or is_outage_possible or not self.health.is_up)

    def compare_revisions(self, identity, revisions, now):
        """Compare the revisions that a peer names with the own copies."""
        for kind, revision in revisions.items():
            mirror = self._mirrors.get(kind)
            if mirror is not None and not mirror.is_current(revision):
                self._handle_newer_revision(identity, mirror, revision, now)

    def request_snapshot(self, identity, mirror):
        """Ask a peer for a newer copy."""
        self._mesh.send(identity, MirrorAsk(mirror.kind, mirror.revision))

    def _handle_newer_revision(self, identity, mirror, revision, now):
        """Ask a peer for its copy when events do not bring the news by themselves."""
        # A peer that is behind as well must not restart the wait.
        known = self._newer_revisions.get(mirror.kind)
        if known is None or mirror.revision >= known.revision:
            known = self._newer_revisions[mirror.kind] = _NewerRevision(revision, now)
        if now - known.since >= SNAPSHOT_DELAY_SECONDS or not mirror.is_known:
            self._newer_revisions[mirror.kind] = _NewerRevision(revision, now)
            self.request_snapshot(identity, mirror)

    def _relay_events(self, mirror, since, events):
        """Pass on what a watch brought to the daemons that this one serves."""
        message = MirrorEvents(
            mirror.kind,
            since,
            mirror.revision,
            self.availability.reachable_seconds(now()),
            [(o.name, o.version, o.spec, is_removed) for o, is_removed in events],
        )
        own = self._peers.own.name
        for name, peer in self._peers.by_name.items():
            is_served = self._peers.relay_for(self._watchers, name) == own
            if is_served and name not in self._watchers:
                self._mesh.send(peer.machine.identity, message)

    def _on_events(self, identity, message):
        mirror = self._mirrors.get(message.kind)
        if mirror is None or not mirror.is_known:
            return
        at = now()
        self.availability.note_answer(at, at - message.reachable_seconds)
        if mirror.revision < message.since:
            self.request_snapshot(identity, mirror)
            return
        events = [(StoredObject(*fields[:3]), fields[3]) for fields in message.events]
        mirror.apply(events, message.revision)

    def _on_mirror_ask(self, identity, ask):
        mirror = self._mirrors.get(ask.kind)
        if mirror is None or not mirror.is_known or mirror.revision <= ask.revision:
            return
        objects = [(o.name, o.version, o.spec) for o in mirror.objects.values()]
        self._mesh.send(identity, MirrorSnapshot(ask.kind, mirror.revision, objects))

    def _on_freshness_ask(self, identity, ask):
        mirror = self._mirrors.get(ask.kind)
        if mirror is None or not mirror.is_known:
            return None
        return FreshnessReply(mirror.changed_revision, lease_now() - mirror.read_at)

    def _on_snapshot(self, identity, message):
        mirror = self._mirrors.get(message.kind)
        if mirror is None or mirror.is_current(message.revision):
            return
        objects = [StoredObject(*fields) for fields in message.objects]
        mirror.replace(objects, message.revision)
        self._log.write(
            "store", "relayed", kind=message.kind, revision=message.revision
        )

    def _on_outage_end(self, gap):
        self._log.write("store", "returned", away=round(gap, 3))

    def _on_health(self, is_up, reason):
        if not is_up:
            # One broken watch may be all there is to it, which a probe shows at once.
            self._probe_role.set(True)
        self._log.write("store", "regained" if is_up else "lost", why=reason)


def _outage_threshold(renewal):
    """
    Return the seconds without an answer after which the store counts as away.

    An outage of up to one renewal lets no entry lapse; the probes' pause comes on top.
    """
    return renewal + PROBE_SECONDS
