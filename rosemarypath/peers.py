"""
rosemarypath.peers
~~~~~~~~~~~~~~~~~~

The other daemons: who is there, what each last said, and whom callers may use.
"""

from dataclasses import dataclass, field

from rosemarypath.groups import group_machines
from rosemarypath.hashing import (
    rendezvous_order,
    rendezvous_score,
    zone_interleaved_order,
)
from rosemarypath.machine import Machine

__all__ = ["Peer", "Peers"]

PEER_TIMEOUT_SECONDS = 1.2  # some heartbeats; a silent daemon is not named to callers
WATCHER_TIMEOUT_SECONDS = 0.7  # some heartbeats; then another one watches
RELAY_DELAY_SECONDS = 1.3  # on top for news by way of two leads, of which one may fail
WATCHER_COUNT = 3  # machines that watch the store; two may fail at once
WATCHER_RANK_KEY = "watch"
LEADER_RANK_KEY = "lead"
STARTUP_GRACE_SECONDS = 1.5  # all have sent one by then after a common restart
ACKNOWLEDGEMENT_TTL_SECONDS = (
    2.0  # how long an acknowledged heartbeat counts, from sending
)
TAKEOVER_TIMEOUT_SECONDS = 2.6  # longer than that, so that no two daemons hold orders


@dataclass
class Peer:
    """
    One other daemon.

    `heard_at` is by the clock for timeouts; `acknowledged_at` (when the newest
    heartbeat that it acknowledged was sent) and `lease_heard_at` by that for leases.
    `is_direct` tells that it is of the own group and speaks for itself.
    """

    machine: Machine
    registered_at: float
    lease_registered_at: float
    heard_at: float = float("-inf")
    lease_heard_at: float = float("-inf")
    acknowledged_at: float = float("-inf")
    number: int = 0
    is_direct: bool = True
    is_leaving: bool = False
    is_ready: bool = False
    is_store_reachable: bool = True
    spent: dict = field(default_factory=dict)
    revisions: dict = field(default_factory=dict)

    def heard_within(self, seconds, now):
        """Return whether it spoke lately, with more patience for relayed news."""
        if not self.is_direct:
            seconds += RELAY_DELAY_SECONDS
        return now - self.heard_at < seconds


class Peers:
    """
    What this daemon, `own`, knows of the others.

    `own` is its `Machine`; `now` and `lease_now` are the times of its start.
    """

    def __init__(self, own, now, lease_now):
        self._sent = {}
        self._lease_started_at = lease_now
        self.own = own
        self.started_at = now
        self.number = 0
        self.by_name = {}
        self.registered = frozenset()
        self.is_known = False
        self.other_groups = []

    @property
    def is_grouped(self):
        """Return whether the fleet is so large that not all hear each other."""
        return bool(self.other_groups)

    @property
    def direct_peers(self):
        """Return the peers of the own group."""
        return [peer for peer in self.by_name.values() if peer.is_direct]

    def set_machines(self, machines, now, lease_now):
        """Take over the registered `Machine` records; return the new or changed."""
        fresh = {m.name: m for m in machines if m.name != self.own.name}
        changed = []
        for name, machine in fresh.items():
            peer = self.by_name.get(name)
            if peer is None or peer.machine.incarnation != machine.incarnation:
                self.by_name[name] = Peer(machine, now, lease_now)
                changed.append(machine)
        for name in self.by_name.keys() - fresh.keys():
            del self.by_name[name]
        self.registered = frozenset(fresh)
        self.is_known = True
        self._regroup()
        return changed

    def _regroup(self):
        """Work out who speaks to whom."""
        machines = [self.own, *(peer.machine for peer in self.by_name.values())]
        groups = group_machines(machines)
        self.other_groups = [group for group in groups if self.own not in group]
        far = {machine.name for group in self.other_groups for machine in group}
        for name, peer in self.by_name.items():
            peer.is_direct = name not in far

    def group_leader(self, is_own_leaving, now):
        """
        Return the name of the machine that speaks for the own group.

        It is empty just after this daemon's start, when it may not have heard others.
        """
        if now - self.started_at < WATCHER_TIMEOUT_SECONDS:
            return ""
        able = [] if is_own_leaving else [self.own.name]
        able += [
            peer.machine.name
            for peer in self._alive_peers(WATCHER_TIMEOUT_SECONDS, now)
            if peer.is_direct
        ]
        ordered = rendezvous_order(LEADER_RANK_KEY, able)
        return ordered[0] if ordered else self.own.name

    def next_heartbeat_number(self, lease_now):
        """Return the number of the next heartbeat, which is sent at `lease_now`."""
        self.number += 1
        self._sent[self.number] = lease_now
        for number in [n for n in self._sent if lease_now - self._sent[n] > 10.0]:
            del self._sent[number]
        return self.number

    def record_heartbeat(self, identity, state, now, lease_now):
        """Take over a heartbeat; return the `Peer`, or ``None`` for unknown ones."""
        peer = self.find(identity)
        if peer is None or state.number <= peer.number:
            return None
        self._record_member(peer, state, now, lease_now)
        peer.spent = state.spent
        peer.revisions = state.revisions
        self._record_acknowledged(peer, state.acknowledged_number)
        return peer

    def find(self, identity):
        """Return the `Peer` that is ``name/incarnation``, or ``None``."""
        name, _, incarnation = identity.partition("/")
        peer = self.by_name.get(name)
        if peer is None or peer.machine.incarnation != incarnation:
            return None
        return peer

    def record_digest(self, digest, now, lease_now):
        """Take over what the lead of another group says of its members."""
        for member in digest.members:
            peer = self.find(member.identity)
            if peer is None or peer.is_direct or member.number <= peer.number:
                continue
            age = max(0.0, member.age)
            self._record_member(peer, member, now - age, lease_now - age)
            peer.revisions = digest.revisions

    def record_ping(self, identity, now, lease_now):
        """Record that a peer asked for an acknowledgement; return it if known."""
        peer = self.find(identity)
        if peer is not None:
            peer.heard_at = now
            peer.lease_heard_at = lease_now
        return peer

    def record_acknowledgement(self, identity, kind, ack):
        """Record a `LeaseAck`, with the revision of `kind` that the peer knows."""
        peer = self.find(identity)
        if peer is None:
            return
        self._record_acknowledged(peer, ack.number)
        newest = max(ack.revision, peer.revisions.get(kind, 0))
        peer.revisions = {**peer.revisions, kind: newest}

    def _record_member(self, peer, state, now, lease_now):
        peer.number = state.number
        peer.heard_at = max(peer.heard_at, now)
        peer.lease_heard_at = max(peer.lease_heard_at, lease_now)
        peer.is_leaving = state.is_leaving
        peer.is_ready = state.is_ready
        peer.is_store_reachable = state.is_store_reachable

    def _record_acknowledged(self, peer, number):
        sent_at = self._sent.get(number, float("-inf"))
        peer.acknowledged_at = max(peer.acknowledged_at, sent_at)

    def is_alive(self, name, now):
        """
        Return whether the machine `name` spoke lately; true for this one, and for all
        that are registered just after this daemon's start.
        """
        if name == self.own.name:
            return True
        peer = self.by_name.get(name)
        if peer is None:
            return False
        if now - self.started_at < STARTUP_GRACE_SECONDS:
            return True
        return peer.heard_within(PEER_TIMEOUT_SECONDS, now)

    def alive_names(self, now):
        """Return the names of the machines that spoke lately, with this one."""
        names = [
            n
            for n, p in self.by_name.items()
            if p.heard_within(PEER_TIMEOUT_SECONDS, now)
        ]
        return [self.own.name, *names]

    def all_acknowledged(self, kind, revision, lease_now):
        """
        Return whether every other registered machine has lately heard this daemon,
        and so takes nothing over from it, and none knows `kind` at a newer revision
        than `revision`, which might say that one already took over.
        """
        if not self.is_known:
            return False
        for name in self.registered:
            peer = self.by_name.get(name)
            if (
                peer is None
                or lease_now - peer.acknowledged_at > ACKNOWLEDGEMENT_TTL_SECONDS
            ):
                return False
            if peer.revisions.get(kind, 0) > revision:
                return False
        return True

    def may_take_over_from(self, name, lease_now):
        """Return whether the machine `name` was silent long enough to be replaced."""
        if lease_now - self._lease_started_at < TAKEOVER_TIMEOUT_SECONDS:
            return False
        peer = self.by_name.get(name)
        if peer is None:
            return True
        latest = max(peer.lease_heard_at, peer.lease_registered_at)
        return lease_now - latest > TAKEOVER_TIMEOUT_SECONDS

    def alive_share(self, now):
        """
        Return the part of all machines that this daemon hears, itself included.

        Just after its start all count as heard, as they may only be about to speak.
        """
        if now - self.started_at < STARTUP_GRACE_SECONDS:
            return 1.0
        total = len(self.by_name) + 1
        return len(self.alive_names(now)) / total

    def select_watchers(self, has_own_store, now):
        """
        Return the names of the machines that watch the store for all.

        They are the first ones, over the zones, that speak and reach the store; while
        some do not reach it, more of them look whether it is away for all.
        """
        able = [self.own] if has_own_store else []
        staying = self._alive_peers(WATCHER_TIMEOUT_SECONDS, now)
        able += [peer.machine for peer in staying if peer.is_store_reachable]
        lost = len(staying) + 1 - len(able)
        count = WATCHER_COUNT + min(lost, WATCHER_COUNT)
        ordered = zone_interleaved_order(
            WATCHER_RANK_KEY, able, lambda m: m.name, lambda m: m.zone
        )
        return [machine.name for machine in ordered[:count]]

    def relay_for(self, watchers, name):
        """Return which of `watchers` passes news on to the machine `name`."""
        if not watchers:
            return ""
        return watchers[rendezvous_score(WATCHER_RANK_KEY, name) % len(watchers)]

    def directory_machines(self, is_own_ready, now):
        """
        Return the `Machine` records that callers may use.

        When nobody is known to be ready, all are returned, this daemon first.
        """
        ready = [self.own] if is_own_ready else []
        ready += [
            peer.machine
            for peer in self._alive_peers(PEER_TIMEOUT_SECONDS, now)
            if peer.is_ready
        ]
        if ready:
            return ready
        return [self.own, *(peer.machine for peer in self.by_name.values())]

    def _alive_peers(self, seconds, now):
        """Return the peers that spoke within `seconds` and are not leaving."""
        return [
            peer
            for peer in self.by_name.values()
            if not peer.is_leaving and peer.heard_within(seconds, now)
        ]
