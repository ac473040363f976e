"""
rosemarypath.heartbeats
~~~~~~~~~~~~~~~~~~~~~~~

Periodic exchange of state between daemons.

Each daemon sends its state to its group several times a second. In a large fleet, the
group's leader also sends a digest of the group to the other leaders, and a digest of
all other groups to its own group.
"""

import msgspec

from rosemarypath.clock import lease_now, now, wall_now
from rosemarypath.engineleases import LEASE_KIND
from rosemarypath.groups import AggregatedState, GrantTotals
from rosemarypath.peermessages import (
    GroupDigest,
    LeaseAck,
    LeasePing,
    MemberState,
    PeerState,
    UsageCounts,
)
from rosemarypath.scheduling.backendspeed import strongest

__all__ = ["GROUPED_HEARTBEAT_SECONDS", "Heartbeats"]

HEARTBEAT_SECONDS = 0.1  # bounds the age of loads and grants at the other daemons
GROUPED_HEARTBEAT_SECONDS = 0.2  # in large fleets, where daemons receive more messages
LEADER_TIMEOUT_SECONDS = 1.0  # another group's leader is searched again after this
HELD_REPEAT_INTERVAL = 6  # heartbeats after which unchanged `held` is sent again
FULL_DIGEST_INTERVAL = 2  # heartbeats; several fit into PEER_TIMEOUT_SECONDS
# Between two messages with usage counts: the counts that are lost with one machine. Its
# part of all requests is smaller in a large fleet.
USAGE_SECONDS = 0.2
GROUPED_USAGE_SECONDS = 1.0
LEADER_SEARCH_FANOUT = 2  # members that get a digest while their leader is unknown


class Heartbeats:
    """
    Sends and receives the heartbeats and digests of one daemon.

    Options:

    `peers`, `mesh`
        The other daemons, and the links to them.
    `fleet`
        The `FleetView`, whose loads, grants and leased engines are sent.
    `store_cache`
        The `StoreCache`, whose revisions are sent.
    """

    def __init__(self, peers, mesh, fleet, store_cache):
        self._peers = peers
        self._mesh = mesh
        self._fleet = fleet
        self._store_cache = store_cache
        self._sent_count = 0
        self._states = {}
        self._group_grants = GrantTotals()
        self._leader_digests = {}
        self._other_group_grants = GrantTotals()
        self._last_held = {}
        self._last_digest_held = {}

    @property
    def interval_seconds(self):
        """Return the time between two heartbeats, in seconds."""
        return (
            GROUPED_HEARTBEAT_SECONDS if self._peers.is_grouped else HEARTBEAT_SECONDS
        )

    def start(self):
        """Register the message handlers."""
        self._mesh.on(PeerState, self._on_peer_state)
        self._mesh.on(GroupDigest, self._on_digest)
        self._mesh.on(LeasePing, self._on_ping)
        self._mesh.on(LeaseAck, self._on_acknowledgement)

    def send_heartbeats(self, is_leaving, is_ready):
        """Send the state to the own group and, as its leader, the digests."""
        self._sent_count += 1
        crashes, begun = self._fleet.quarantine.report(now(), is_relay=False)
        state = PeerState(
            number=self._peers.next_heartbeat_number(lease_now()),
            acknowledged_number=0,
            is_leaving=is_leaving,
            is_ready=is_ready,
            is_store_reachable=self._store_cache.health.is_up,
            revisions=self._store_cache.revisions,
            spent=self._fleet.budgets.spent,
            loads=self._fleet.own_loads(),
            held=self._fleet.own_loaded_models(),
            rates=self._fleet.own_rates(now()),
            awaited=self._fleet.own_awaited(),
            open_places=self._fleet.own_scarce_places(now()),
            store_answer_age=round(self._store_cache.health.answer_age(now()), 3),
            reachable_seconds=round(
                self._store_cache.availability.reachable_seconds(now()), 3
            ),
            crashes=crashes,
            begun=begun,
            limits=self._fleet.rate_limits.report(now()),
            offered=self._fleet.service_demand.report(now()),
            room=self._fleet.room.room_report(),
            waiting=self._fleet.room.waiting_report(),
            slowness=self._fleet.report_slowness(now()),
        )
        reduced = self._omit_unchanged_held(state)
        for peer in self._peers.direct_peers:
            message = msgspec.structs.replace(reduced, acknowledged_number=peer.number)
            self._mesh.send(peer.machine.identity, message, expect_answer=True)
        if self._fleet.usage is not None:
            self._send_usage(is_leaving)
        if not self._peers.is_grouped:
            return
        if self._peers.group_leader(is_leaving, now()) == self._peers.own.name:
            evidence = self._fleet.quarantine.report(now())
            self._send_group_digest(state, evidence)
            self._relay_other_groups(evidence)

    def _send_usage(self, is_leaving):
        """Send the usage counts to the own group, often before this daemon ends."""
        seconds = GROUPED_USAGE_SECONDS if self._peers.is_grouped else USAGE_SECONDS
        windows = self._fleet.usage.report(wall_now(), 0.0 if is_leaving else seconds)
        if windows:
            for peer in self._peers.direct_peers:
                self._mesh.send(peer.machine.identity, UsageCounts(windows))

    def _omit_unchanged_held(self, state):
        """Return `state` without `held` if the last heartbeat had the same."""
        is_unchanged = (
            state.held == self._last_held
            and self._sent_count % HELD_REPEAT_INTERVAL != 0
        )
        self._last_held = state.held
        if not is_unchanged:
            return state
        return msgspec.structs.replace(state, held={}, is_held_unchanged=True)

    def _send_group_digest(self, state, evidence):
        """Send the digest of the own group to the leaders of the other groups."""
        digest = self._build_group_digest(state, evidence)
        for group in self._peers.other_groups:
            for machine in self._digest_recipients(group):
                self._mesh.send(machine.identity, digest, expect_answer=True)

    def _digest_recipients(self, group):
        """Return the leader of `group`; if unknown, some members in rotation."""
        at = now()
        for machine in group:
            heard_at, digest = self._leader_digests.get(
                machine.identity, (float("-inf"), None)
            )
            if at - heard_at < LEADER_TIMEOUT_SECONDS:
                return [machine]
        first = self._sent_count * LEADER_SEARCH_FANOUT
        count = min(LEADER_SEARCH_FANOUT, len(group))
        return [group[(first + number) % len(group)] for number in range(count)]

    def _relay_other_groups(self, evidence):
        """Send the digest of all other groups to the own group."""
        at = now()
        total = AggregatedState()
        members = []
        for heard_at, digest in self._recent_leader_digests(at):
            total.add_digest(digest, at - heard_at)
            members += [_add_age(member, at - heard_at) for member in digest.members]
        spent = self._other_group_grants.including_own({})
        digest = self._build_digest("others", total, members, spent, evidence)
        for peer in self._peers.direct_peers:
            self._mesh.send(peer.machine.identity, digest)

    def _recent_leader_digests(self, at):
        """Return pairs of receive time and digest for each other group."""
        self._leader_digests = {
            identity: entry
            for identity, entry in self._leader_digests.items()
            if at - entry[0] < LEADER_TIMEOUT_SECONDS
        }
        return self._leader_digests.values()

    def _build_group_digest(self, state, evidence):
        at = now()
        total = AggregatedState()
        total.add_state(state)
        members = [_member_state(self._peers.own.identity, state, 0.0)]
        for peer in self._peers.direct_peers:
            known = self._states.get(peer.machine.identity)
            if known is not None and self._peers.is_alive(peer.machine.name, at):
                age = at - peer.heard_at
                members.append(_member_state(peer.machine.identity, known, age))
                total.add_state(known, age)
        spent = self._group_grants.including_own(state.spent)
        return self._build_digest("group", total, members, spent, evidence)

    def _build_digest(self, scope, total, members, spent, evidence):
        """Return the digest of `total`; each FULL_DIGEST_INTERVAL, a full one."""
        is_full = self._sent_count % FULL_DIGEST_INTERVAL == 0
        is_same = total.held == self._last_digest_held.get(scope)
        is_unchanged = is_same and self._sent_count % HELD_REPEAT_INTERVAL != 0
        self._last_digest_held[scope] = total.held
        crashes, begun = evidence
        digest = GroupDigest(
            leader=self._peers.own.identity,
            number=self._peers.number,
            is_full=is_full,
            spent=spent,
            loads=total.loads,
            awaited=total.awaited,
            open_places=total.open_places,
            held={} if is_unchanged else total.held,
            is_held_unchanged=is_unchanged,
            store_answer_age=round(total.store_answer_age, 3),
            reachable_seconds=round(
                self._store_cache.availability.reachable_seconds(now()), 3
            ),
            crashes=crashes,
            begun=begun,
            limits=total.limits,
            offered=total.offered,
            room=total.room,
            waiting=total.waiting,
            slowness=strongest(total.slowness),
        )
        if not is_full:
            return digest
        return msgspec.structs.replace(
            digest,
            members=members,
            revisions=total.revisions,
            adapters=total.adapters,
        )

    def _on_peer_state(self, identity, state):
        at = now()
        peer = self._peers.record_heartbeat(identity, state, at, lease_now())
        if peer is None:
            return
        self._store_cache.availability.note_answer(
            at - state.store_answer_age, at - state.reachable_seconds
        )
        self._store_cache.compare_revisions(identity, state.revisions, at)
        if not peer.is_direct:
            return
        self._fleet.record_peer_state(identity, state, at)
        self._group_grants.record(identity, state.spent)
        known = self._states.get(identity)
        if state.is_held_unchanged and known is not None:
            state = msgspec.structs.replace(state, held=known.held)
        self._states[identity] = state
        if len(self._states) > 2 * len(self._peers.direct_peers):
            self._drop_former_members()

    def _drop_former_members(self):
        direct = {peer.machine.identity for peer in self._peers.direct_peers}
        self._states = {i: s for i, s in self._states.items() if i in direct}

    def _on_digest(self, identity, digest):
        """Record a digest of another group or, from the own leader, of all others."""
        at = now()
        sender = self._peers.find(identity)
        if sender is None:
            return
        self._peers.record_digest(digest, at, lease_now())
        self._store_cache.availability.note_answer(
            at - digest.store_answer_age, at - digest.reachable_seconds
        )
        self._store_cache.compare_revisions(identity, digest.revisions, at)
        if sender.is_direct:
            self._fleet.record_digest(f"others by {identity}", digest, at)
            return
        self._fleet.record_digest(f"group of {identity}", digest, at)
        self._other_group_grants.record(identity, digest.spent)
        known = self._leader_digests.get(identity)
        self._leader_digests[identity] = (at, _fill_omitted_fields(digest, known, at))

    def _on_ping(self, identity, ping):
        if self._peers.record_ping(identity, now(), lease_now()) is None:
            return
        revision = self._store_cache.revisions.get(LEASE_KIND, 0)
        self._mesh.send(identity, LeaseAck(ping.number, revision))

    def _on_acknowledgement(self, identity, ack):
        self._peers.record_acknowledgement(identity, LEASE_KIND, ack)


def _member_state(identity, state, age):
    return MemberState(
        identity,
        state.number,
        state.is_leaving,
        state.is_ready,
        state.is_store_reachable,
        round(age, 3),
    )


def _add_age(member, seconds):
    return msgspec.structs.replace(member, age=round(member.age + seconds, 3))


def _fill_omitted_fields(digest, known, at):
    """Return `digest` with omitted fields copied from the previous digest."""
    if known is None:
        return digest
    known_at, previous = known
    changes = {}
    if digest.is_held_unchanged:
        changes["held"] = previous.held
    if not digest.is_full:
        changes["members"] = [_add_age(m, at - known_at) for m in previous.members]
        changes["revisions"] = previous.revisions
        changes["adapters"] = previous.adapters
    return msgspec.structs.replace(digest, **changes)
