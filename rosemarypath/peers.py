"""
rosemarypath.peers
~~~~~~~~~~~~~~~~~~

Tracks the other daemons: which are alive, their last state, and their roles.

A daemon counts as alive while its heartbeats arrive. From the live daemons each daemon
selects the leader of its group, the machines that watch the store, and the machines
that callers may use.
"""

from dataclasses import dataclass, field

from rosemarypath.groups import group_machines
from rosemarypath.hashing import rendezvous_order, rendezvous_score
from rosemarypath.machine import Machine
from rosemarypath.zone import interleave_zones

__all__ = ["Peer", "Peers"]

PEER_TIMEOUT_SECONDS = 1.2  # several heartbeats; a silent daemon leaves the directory
WATCHER_TIMEOUT_SECONDS = 0.7  # several heartbeats; then another machine is selected
# Added to the time-outs of daemons in other groups, whose state arrives through two
# leaders, one of which may fail.
RELAY_DELAY_SECONDS = 1.3
WATCHER_COUNT = 3  # two of the machines that watch the store may fail at once
WATCHER_RANK_KEY = "watch"
LEADER_RANK_KEY = "lead"
# After a simultaneous restart, every daemon has sent a heartbeat within this time.
STARTUP_GRACE_SECONDS = 1.5
ACKNOWLEDGEMENT_TTL_SECONDS = 2.0  # counted from the sending of the heartbeat
# Longer than ACKNOWLEDGEMENT_TTL_SECONDS, so that no two daemons use the same lease.
TAKEOVER_TIMEOUT_SECONDS = 2.6


@dataclass
class Peer:
    """
    One other daemon.

    Attributes:

    `machine`
        Its `Machine`.
    `registered_at`, `lease_registered_at`
        When this daemon first saw its registration, on the clock for timeouts and on
        that for leases.
    `heard_at`, `lease_heard_at`
        When its newest heartbeat was received, on the same two clocks.
    `acknowledged_at`
        When the newest heartbeat that it acknowledged was sent, on the lease clock.
    `number`
        Number of its newest heartbeat.
    `is_direct`
        Whether it belongs to the own group, so that its heartbeats arrive directly.
    `is_leaving`, `is_ready`, `is_store_reachable`, `spent`, `revisions`
        As in its last `PeerState`.
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
        """Return whether a heartbeat arrived lately; relayed ones may be older."""
        if not self.is_direct:
            seconds += RELAY_DELAY_SECONDS
        return now - self.heard_at < seconds


class Peers:
    """
    The other daemons as seen by this one.

    `own` is this daemon's `Machine`; `now` and `lease_now` are its start times on the
    two clocks.

    Attributes:

    `started_at`
        The start time on the clock for timeouts.
    `number`
        Number of this daemon's newest heartbeat.
    `by_name`
        Maps machine names to `Peer`.
    `registered`
        Names of the other registered machines.
    `is_known`
        Whether the registered machines were ever read.
    `other_groups`
        The groups that this daemon does not belong to.
    """

    def __init__(self, own, now, lease_now):
        self._sent_at = {}
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
        """Return whether the fleet is split into several groups."""
        return bool(self.other_groups)

    @property
    def direct_peers(self):
        """Return the peers of the own group."""
        return [peer for peer in self.by_name.values() if peer.is_direct]

    def is_starting(self, now):
        """Return whether heartbeats of other daemons may be yet to arrive."""
        return now - self.started_at < STARTUP_GRACE_SECONDS

    def set_machines(self, machines, now, lease_now):
        """Replace the registered `Machine` records; return those new or changed."""
        registered_by_name = {m.name: m for m in machines if m.name != self.own.name}
        changed = []
        for name, machine in registered_by_name.items():
            peer = self.by_name.get(name)
            if peer is None or peer.machine.incarnation != machine.incarnation:
                self.by_name[name] = Peer(machine, now, lease_now)
                changed.append(machine)
        for name in self.by_name.keys() - registered_by_name.keys():
            del self.by_name[name]
        self.registered = frozenset(registered_by_name)
        self.is_known = True
        self._regroup()
        return changed

    def _regroup(self):
        """Recompute the groups and which peers are direct."""
        machines = [self.own, *(peer.machine for peer in self.by_name.values())]
        groups = group_machines(machines)
        self.other_groups = [group for group in groups if self.own not in group]
        other_members = {
            machine.name for group in self.other_groups for machine in group
        }
        for name, peer in self.by_name.items():
            peer.is_direct = name not in other_members

    def group_leader(self, is_own_leaving, now):
        """
        Return the machine name of the own group's leader.

        It is empty just after this daemon's start, when heartbeats of others may be yet
        to arrive.
        """
        if now - self.started_at < WATCHER_TIMEOUT_SECONDS:
            return ""
        candidates = [] if is_own_leaving else [self.own.name]
        candidates += [
            peer.machine.name
            for peer in self._alive_peers(WATCHER_TIMEOUT_SECONDS, now)
            if peer.is_direct
        ]
        ordered = rendezvous_order(LEADER_RANK_KEY, candidates)
        return ordered[0] if ordered else self.own.name

    def next_heartbeat_number(self, lease_now):
        """Return the number for the heartbeat that is sent at `lease_now`."""
        self.number += 1
        self._sent_at[self.number] = lease_now
        for number in [n for n in self._sent_at if lease_now - self._sent_at[n] > 10.0]:
            del self._sent_at[number]
        return self.number

    def record_heartbeat(self, identity, state, now, lease_now):
        """Record a heartbeat; return its `Peer`, or ``None`` if unknown or outdated."""
        peer = self.find(identity)
        if peer is None or state.number <= peer.number:
            return None
        self._record_member(peer, state, now, lease_now)
        peer.spent = state.spent
        peer.revisions = state.revisions
        self._record_acknowledged(peer, state.acknowledged_number)
        return peer

    def find(self, identity):
        """Return the `Peer` with the identity ``name/incarnation``, or ``None``."""
        name, _, incarnation = identity.partition("/")
        peer = self.by_name.get(name)
        if peer is None or peer.machine.incarnation != incarnation:
            return None
        return peer

    def record_digest(self, digest, now, lease_now):
        """Record the states of members of other groups from a `GroupDigest`."""
        for member in digest.members:
            peer = self.find(member.identity)
            if peer is None or peer.is_direct or member.number <= peer.number:
                continue
            age = max(0.0, member.age)
            self._record_member(peer, member, now - age, lease_now - age)
            peer.revisions = digest.revisions

    def record_ping(self, identity, now, lease_now):
        """Record a `LeasePing` of a peer; return the `Peer`, or ``None`` if unknown."""
        peer = self.find(identity)
        if peer is not None:
            peer.heard_at = now
            peer.lease_heard_at = lease_now
        return peer

    def record_acknowledgement(self, identity, kind, ack):
        """Record a `LeaseAck` with the peer's revision of `kind`."""
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
        sent_at = self._sent_at.get(number, float("-inf"))
        peer.acknowledged_at = max(peer.acknowledged_at, sent_at)

    def is_alive(self, name, now):
        """
        Return whether a heartbeat of the machine `name` arrived lately.

        Always true for this machine; just after this daemon's start also for all
        registered ones.
        """
        if name == self.own.name:
            return True
        peer = self.by_name.get(name)
        if peer is None:
            return False
        if self.is_starting(now):
            return True
        return peer.heard_within(PEER_TIMEOUT_SECONDS, now)

    def is_leaving(self, name):
        """Return whether the machine `name` has told that it is shutting down."""
        peer = self.by_name.get(name)
        return peer is not None and peer.is_leaving

    def alive_names(self, now):
        """Return the names of the machines that are alive, including this one."""
        names = [
            n
            for n, p in self.by_name.items()
            if p.heard_within(PEER_TIMEOUT_SECONDS, now)
        ]
        return [self.own.name, *names]

    def all_acknowledged(self, kind, revision, lease_now):
        """
        Return whether no other daemon can have taken a lease over from this one.

        That is so if every other registered machine has lately acknowledged a
        heartbeat, and none has `kind` at a newer revision than `revision`, which might
        contain a takeover.
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
        """Return whether the machine `name` was silent for the takeover time-out."""
        if lease_now - self._lease_started_at < TAKEOVER_TIMEOUT_SECONDS:
            return False
        peer = self.by_name.get(name)
        if peer is None:
            return True
        latest = max(peer.lease_heard_at, peer.lease_registered_at)
        return lease_now - latest > TAKEOVER_TIMEOUT_SECONDS

    def alive_share(self, now):
        """
        Return the share of all machines that are alive, including this one.

        Just after this daemon's start all count as alive, when their heartbeats may be
        yet to arrive.
        """
        if self.is_starting(now):
            return 1.0
        total = len(self.by_name) + 1
        return len(self.alive_names(now)) / total

    def select_watchers(self, is_own_store_reachable, now):
        """
        Return the names of the machines that watch the store for the fleet.

        They are selected alternately from the zones, among the machines that are alive
        and reach the store, those with the fastest links first: each change of a large
        configuration is sent to a share of the whole fleet. For each machine that
        doesn't reach the store one more is selected, up to twice the count, to find out
        whether the store is unavailable to all.
        """
        candidates = [self.own] if is_own_store_reachable else []
        alive = self._alive_peers(WATCHER_TIMEOUT_SECONDS, now)
        candidates += [peer.machine for peer in alive if peer.is_store_reachable]
        unreachable_count = len(alive) + 1 - len(candidates)
        count = WATCHER_COUNT + min(unreachable_count, WATCHER_COUNT)
        candidates.sort(key=_watching_rank, reverse=True)
        ordered = interleave_zones(candidates, lambda m: m.zone)
        return [machine.name for machine in ordered[:count]]

    def relay_for(self, watchers, name):
        """Return which of `watchers` relays events to the machine `name`."""
        if not watchers:
            return ""
        return watchers[rendezvous_score(WATCHER_RANK_KEY, name) % len(watchers)]

    def directory_machines(self, is_own_ready, now):
        """
        Return the `Machine` records that the directory lists for callers.

        If no machine is known to be ready, all are returned, this one first.
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
        """Return the peers that are heard within `seconds` and not leaving."""
        return [
            peer
            for peer in self.by_name.values()
            if not peer.is_leaving and peer.heard_within(seconds, now)
        ]


def _watching_rank(machine):
    """Return how well `machine` can watch the store for others, as a sort key."""
    return machine.bandwidth, rendezvous_score(WATCHER_RANK_KEY, machine.name)
