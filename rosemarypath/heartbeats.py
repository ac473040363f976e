"""
rosemarypath.heartbeats
~~~~~~~~~~~~~~~~~~~~~~~

What this daemon tells the others several times a second, and takes over from them.
"""

import msgspec

from rosemarypath.clock import lease_now, now
from rosemarypath.groups import GroupTotals, make_digest
from rosemarypath.holding import HOLDER_KIND
from rosemarypath.messages import (
    GroupNews,
    LeaseAck,
    LeasePing,
    MemberState,
    PeerState,
)

__all__ = ["Heartbeats"]

FAR_SECONDS = 1.0  # a lead that is silent for longer is looked for anew
HELD_BEATS = 10  # heartbeats after which is repeated what engines hold
SEARCHED = 1  # members of a group that are addressed while its lead is unknown


class Heartbeats:
    """
    The exchange of states with the other daemons.

    Options:

    `peers`, `mesh`
        The other daemons, and the links to them.
    `fleet`
        The `FleetView`, whose loads, grants and holdings are told.
    `copies`
        The `StoreCopies`, whose revisions are told.
    """

    def __init__(self, peers, mesh, fleet, copies):
        self._peers = peers
        self._mesh = mesh
        self._fleet = fleet
        self._copies = copies
        self._beats = 0
        self._states = {}
        self._totals = GroupTotals()
        self._far = {}
        self._unrelayed = {}
        self._own_held = {}
        self._group_held = {}

    def start(self):
        """Begin to take messages."""
        self._mesh.on(PeerState, self._on_peer_state)
        self._mesh.on(GroupNews, self._on_group_news)
        self._mesh.on(LeasePing, self._on_ping)
        self._mesh.on(LeaseAck, self._on_acknowledgement)

    def beat(self, is_leaving, is_ready):
        """Tell the own group of this daemon, and as its lead the other groups."""
        self._beats += 1
        state = PeerState(
            number=self._peers.next_number(lease_now()),
            heard=0,
            is_leaving=is_leaving,
            is_ready=is_ready,
            has_store=self._copies.health.is_up,
            revisions=self._copies.revisions,
            spent=self._fleet.budgets.spent,
            loads=self._fleet.own_loads(),
            held=self._fleet.own_held(),
            rates=self._fleet.own_rates(now()),
        )
        told = self._without_known(state)
        for peer in self._peers.direct:
            message = msgspec.structs.replace(told, heard=peer.number)
            self._mesh.send(peer.machine.identity, message, expect_answer=True)
        if not self._peers.is_grouped:
            return
        if self._peers.lead(is_leaving, now()) == self._peers.own.name:
            self._tell_leads(state)
            self._tell_group()

    def _without_known(self, state):
        """Return `state` without what the receivers know of the engines' holdings."""
        is_known = state.held == self._own_held and self._beats % HELD_BEATS != 0
        self._own_held = state.held
        if not is_known:
            return state
        return msgspec.structs.replace(state, held={}, is_held_known=True)

    def _tell_leads(self, state):
        """Send the own group's digest to the leads of the others."""
        news = GroupNews([self._digest(state)])
        for group in self._peers.other_groups:
            for machine in self._addressed(group):
                self._mesh.send(machine.identity, news, expect_answer=True)

    def _addressed(self, group):
        """Return the lead of `group`, or while it is unknown some members by turns."""
        at = now()
        for machine in group:
            heard_at, identity = self._far.get(machine.name, (float("-inf"), ""))
            if identity == machine.identity and at - heard_at < FAR_SECONDS:
                return [machine]
        first = self._beats * SEARCHED
        count = min(SEARCHED, len(group))
        return [group[(first + number) % len(group)] for number in range(count)]

    def _tell_group(self):
        """Pass the other groups' digests on to the own group."""
        if not self._unrelayed:
            return
        news = GroupNews(list(self._unrelayed.values()))
        self._unrelayed = {}
        for peer in self._peers.direct:
            self._mesh.send(peer.machine.identity, news)

    def _digest(self, state):
        at = now()
        own = self._peers.own
        members = [_member(own.identity, state, 0.0)]
        states = []
        for peer in self._peers.direct:
            known = self._states.get(peer.machine.identity)
            if known is not None and self._peers.is_heard(peer.machine.name, at):
                age = at - peer.heard_at
                members.append(_member(peer.machine.identity, known, age))
                states.append(known)
        spent = self._totals.with_own(state.spent)
        digest = make_digest(own.identity, state.number, members, states, state, spent)
        held = digest.held
        if held == self._group_held and self._beats % HELD_BEATS:
            digest = msgspec.structs.replace(digest, held={})
        self._group_held = held
        return digest

    def _on_peer_state(self, identity, state):
        at = now()
        peer = self._peers.note_state(identity, state, at, lease_now())
        if peer is None:
            return
        self._mesh.note_answer(identity)
        self._copies.note_revisions(identity, state.revisions, at)
        if not peer.is_direct:
            return
        self._fleet.note_peer_state(identity, state, at)
        self._totals.note(identity, state.spent)
        known = self._states.get(identity)
        if state.is_held_known and known is not None:
            state = msgspec.structs.replace(state, held=known.held)
        self._states[identity] = state
        if len(self._states) > 2 * len(self._peers.direct):
            self._forget_former_members()

    def _forget_former_members(self):
        direct = {peer.machine.identity for peer in self._peers.direct}
        self._states = {i: s for i, s in self._states.items() if i in direct}

    def _on_group_news(self, identity, news):
        at = now()
        self._mesh.note_answer(identity)
        for digest in news.digests:
            lead = self._peers.known(digest.lead)
            if lead is None or lead.is_direct:
                continue
            if digest.lead == identity:
                self._far[lead.machine.name] = (at, identity)
            known = self._unrelayed.get(digest.lead)
            if known is not None and not digest.held:
                # The receivers must not miss what an earlier digest told.
                digest = msgspec.structs.replace(digest, held=known.held)
            if digest.lead == identity:
                self._unrelayed[digest.lead] = digest
            self._peers.note_digest(digest, at, lease_now())
            self._fleet.note_peer_state(_source(digest), digest, at)
            self._copies.note_revisions(identity, digest.revisions, at)

    def _on_ping(self, identity, ping):
        if self._peers.note_ping(identity, now(), lease_now()) is None:
            return
        revision = self._copies.revisions.get(HOLDER_KIND, 0)
        self._mesh.send(identity, LeaseAck(ping.number, revision))

    def _on_acknowledgement(self, identity, ack):
        self._peers.note_acknowledgement(identity, HOLDER_KIND, ack)


def _member(identity, state, age):
    return MemberState(
        identity,
        state.number,
        state.is_leaving,
        state.is_ready,
        state.has_store,
        round(age, 3),
    )


def _source(digest):
    """Return the name under which a group's sums count, other than its lead's own."""
    return f"group of {digest.lead}"
