"""
rosemarypath.heartbeats
~~~~~~~~~~~~~~~~~~~~~~~

What this daemon tells the others several times a second, and takes over from them.
"""

import msgspec

from rosemarypath.clock import lease_now, now
from rosemarypath.engineleases import LEASE_KIND
from rosemarypath.groups import AggregatedState, GrantTotals
from rosemarypath.peermessages import (
    GroupDigest,
    LeaseAck,
    LeasePing,
    MemberState,
    PeerState,
)

__all__ = ["GROUPED_BEAT_SECONDS", "Heartbeats"]

BEAT_SECONDS = 0.1  # loads and grants are as old as this at the others
GROUPED_BEAT_SECONDS = 0.2  # in large fleets, whose daemons have more to hear
FAR_SECONDS = 1.0  # a lead that is silent for longer is looked for anew
HELD_BEATS = 6  # heartbeats after which is repeated what engines hold
FULL_BEATS = 2  # heartbeats between two full digests; some fit into a silence
SEARCHED = 2  # members of a group that are addressed while its lead is unknown


class Heartbeats:
    """
    The exchange of states with the other daemons.

    Options:

    `peers`, `mesh`
        The other daemons, and the links to them.
    `fleet`
        The `FleetView`, whose loads, grants and holdings are told.
    `store_cache`
        The `StoreCache`, whose revisions are told.
    """

    def __init__(self, peers, mesh, fleet, store_cache):
        self._peers = peers
        self._mesh = mesh
        self._fleet = fleet
        self._store_cache = store_cache
        self._beats = 0
        self._states = {}
        self._totals = GrantTotals()
        self._far = {}
        self._far_totals = GrantTotals()
        self._own_held = {}
        self._told_held = {}

    @property
    def seconds(self):
        """Return the time between two heartbeats."""
        return GROUPED_BEAT_SECONDS if self._peers.is_grouped else BEAT_SECONDS

    def start(self):
        """Begin to take messages."""
        self._mesh.on(PeerState, self._on_peer_state)
        self._mesh.on(GroupDigest, self._on_digest)
        self._mesh.on(LeasePing, self._on_ping)
        self._mesh.on(LeaseAck, self._on_acknowledgement)

    def beat(self, is_leaving, is_ready):
        """Tell the own group of this daemon, and as its lead the other groups."""
        self._beats += 1
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
            store_answer_age=round(self._store_cache.health.answer_age(now()), 3),
            reachable_seconds=round(
                self._store_cache.availability.reachable_seconds(now()), 3
            ),
        )
        told = self._without_known(state)
        for peer in self._peers.direct_peers:
            message = msgspec.structs.replace(told, acknowledged_number=peer.number)
            self._mesh.send(peer.machine.identity, message, expect_answer=True)
        if not self._peers.is_grouped:
            return
        if self._peers.group_leader(is_leaving, now()) == self._peers.own.name:
            self._tell_leads(state)
            self._tell_group()

    def _without_known(self, state):
        """Return `state` without what the receivers know of the engines' holdings."""
        is_known = state.held == self._own_held and self._beats % HELD_BEATS != 0
        self._own_held = state.held
        if not is_known:
            return state
        return msgspec.structs.replace(state, held={}, is_held_unchanged=True)

    def _tell_leads(self, state):
        """Send the own group's sums to the leads of the others."""
        digest = self._digest_of_group(state)
        for group in self._peers.other_groups:
            for machine in self._addressed(group):
                self._mesh.send(machine.identity, digest, expect_answer=True)

    def _addressed(self, group):
        """Return the lead of `group`, or while it is unknown some members by turns."""
        at = now()
        for machine in group:
            heard_at, digest = self._far.get(machine.identity, (float("-inf"), None))
            if at - heard_at < FAR_SECONDS:
                return [machine]
        first = self._beats * SEARCHED
        count = min(SEARCHED, len(group))
        return [group[(first + number) % len(group)] for number in range(count)]

    def _tell_group(self):
        """Pass the sums of all other groups on to the own one."""
        at = now()
        total = AggregatedState()
        members = []
        for heard_at, digest in self._fresh_far(at):
            total.add_digest(digest, at - heard_at)
            members += [_older(member, at - heard_at) for member in digest.members]
        digest = self._digest(
            "others", total, members, self._far_totals.including_own({})
        )
        for peer in self._peers.direct_peers:
            self._mesh.send(peer.machine.identity, digest)

    def _fresh_far(self, at):
        """Return when each other group's digest came, and the digest."""
        self._far = {
            identity: entry
            for identity, entry in self._far.items()
            if at - entry[0] < FAR_SECONDS
        }
        return self._far.values()

    def _digest_of_group(self, state):
        at = now()
        total = AggregatedState()
        total.add_state(state)
        members = [_member(self._peers.own.identity, state, 0.0)]
        for peer in self._peers.direct_peers:
            known = self._states.get(peer.machine.identity)
            if known is not None and self._peers.is_alive(peer.machine.name, at):
                age = at - peer.heard_at
                members.append(_member(peer.machine.identity, known, age))
                total.add_state(known, age)
        spent = self._totals.including_own(state.spent)
        return self._digest("group", total, members, spent)

    def _digest(self, what, total, members, spent):
        """Return the digest of `total`, in full at each few beats."""
        is_full = self._beats % FULL_BEATS == 0
        is_same = total.held == self._told_held.get(what)
        is_known = is_same and self._beats % HELD_BEATS != 0
        self._told_held[what] = total.held
        digest = GroupDigest(
            leader=self._peers.own.identity,
            number=self._peers.number,
            is_full=is_full,
            spent=spent,
            loads=total.loads,
            held={} if is_known else total.held,
            is_held_unchanged=is_known,
            store_answer_age=round(total.store_answer_age, 3),
            reachable_seconds=round(
                self._store_cache.availability.reachable_seconds(now()), 3
            ),
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
        self._mesh.note_answer(identity)
        self._store_cache.availability.note_answer(
            at - state.store_answer_age, at - state.reachable_seconds
        )
        self._store_cache.note_revisions(identity, state.revisions, at)
        if not peer.is_direct:
            return
        self._fleet.note_peer_state(identity, state, at)
        self._totals.record(identity, state.spent)
        known = self._states.get(identity)
        if state.is_held_unchanged and known is not None:
            state = msgspec.structs.replace(state, held=known.held)
        self._states[identity] = state
        if len(self._states) > 2 * len(self._peers.direct_peers):
            self._forget_former_members()

    def _forget_former_members(self):
        direct = {peer.machine.identity for peer in self._peers.direct_peers}
        self._states = {i: s for i, s in self._states.items() if i in direct}

    def _on_digest(self, identity, digest):
        """Take over the sums of another group, or from the own lead of all others."""
        at = now()
        self._mesh.note_answer(identity)
        sender = self._peers.find(identity)
        if sender is None:
            return
        self._peers.record_digest(digest, at, lease_now())
        self._store_cache.availability.note_answer(
            at - digest.store_answer_age, at - digest.reachable_seconds
        )
        self._store_cache.note_revisions(identity, digest.revisions, at)
        if sender.is_direct:
            self._fleet.note_digest(f"others by {identity}", digest, at)
            return
        self._fleet.note_digest(f"group of {identity}", digest, at)
        self._far_totals.record(identity, digest.spent)
        known = self._far.get(identity)
        self._far[identity] = (at, _complete(digest, known, at))

    def _on_ping(self, identity, ping):
        if self._peers.record_ping(identity, now(), lease_now()) is None:
            return
        revision = self._store_cache.revisions.get(LEASE_KIND, 0)
        self._mesh.send(identity, LeaseAck(ping.number, revision))

    def _on_acknowledgement(self, identity, ack):
        self._peers.record_acknowledgement(identity, LEASE_KIND, ack)


def _member(identity, state, age):
    return MemberState(
        identity,
        state.number,
        state.is_leaving,
        state.is_ready,
        state.is_store_reachable,
        round(age, 3),
    )


def _older(member, seconds):
    return msgspec.structs.replace(member, age=round(member.age + seconds, 3))


def _complete(digest, known, at):
    """Return `digest` with what it left out, from that before it."""
    if known is None:
        return digest
    known_at, before = known
    changes = {}
    if digest.is_held_unchanged:
        changes["held"] = before.held
    if not digest.is_full:
        changes["members"] = [_older(m, at - known_at) for m in before.members]
        changes["revisions"] = before.revisions
        changes["adapters"] = before.adapters
    return msgspec.structs.replace(digest, **changes)
