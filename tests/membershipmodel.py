"""
tests.membershipmodel
~~~~~~~~~~~~~~~~~~~~~

A simulation of the membership of several daemons, with the real decision classes.
"""

import msgspec

from rosemarypath.fencing import Fencing
from rosemarypath.machine import Machine
from rosemarypath.ownership import Ownership
from rosemarypath.quorumlease import QuorumLease
from rosemarypath.roster import Roster, choose_witnesses
from rosemarypath.witness import Witness

LEASE = 1.5
MARGIN = 0.3
ROUND = 0.25
RESOURCES = ("backend/x", "customer/y", "weights")


class Store:
    """The object API: one versioned roster, and outages."""

    def __init__(self):
        self.roster = Roster()
        self.is_up = True

    def change(self, read, change):
        """Write ``change(read)`` if `read` is still stored; return the new roster."""
        if not self.is_up or read.revision != self.roster.revision:
            return None
        changed = change(read)
        if changed != read:
            revision = self.roster.revision + 1
            self.roster = msgspec.structs.replace(changed, revision=revision)
        return self.roster


class Node:
    """One daemon: the real classes, used as by `Membership` and `RevisionSync`."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.starts = 0
        self.is_paused = False
        self.start_incarnation()

    def start_incarnation(self):
        """Start as a new incarnation that has not joined the roster."""
        self.starts += 1
        self.identity = f"{self.name}/{self.starts}"
        self.lease = QuorumLease(self.identity, LEASE)
        self.witness = Witness(self.identity, LEASE + MARGIN)
        self.fencing = Fencing()
        self.ownership = Ownership(self.identity, self.fencing)
        self.roster = Roster()
        self.adopted = {}
        self.last_tick_at = None
        self.lease_lost_at = None
        self.incarnation_started_at = self.world.now
        self.had_lease = False

    def adopt(self, roster):
        """Adopt a newer roster, as `Membership.adopt` does."""
        if roster is None or roster.revision <= self.roster.revision:
            return
        self.roster = roster
        self.fencing.adopt(roster)
        machine = roster.find(self.identity)
        if machine is not None:
            self.lease.add_witness_set(roster.revision, machine.witnesses)
        self.ownership.adopt(roster)

    def join(self, abandoned=frozenset()):
        """Add this incarnation to the stored roster."""

        def with_self(roster):
            machine = Machine(
                name=self.name,
                incarnation=str(self.starts),
                zone=self.zone,
                callers_address="",
                peers_address="",
            )
            witnesses = choose_witnesses(machine, roster)
            machine = msgspec.structs.replace(machine, witnesses=witnesses)
            return roster.with_machine(machine).without(abandoned)

        self.adopt(self.world.store.change(self.world.store.roster, with_self))

    def tick(self, now):
        """Do what `Membership._tick` and `RevisionSync._poll_relay` do."""
        if self.roster.revision == 0:
            self.join()
            return
        if self.last_tick_at is not None and now - self.last_tick_at > 3 * ROUND:
            self.witness.restart_timeouts(now)
        self.last_tick_at = now
        for witness in sorted(self.lease.witnesses):
            self.send(witness, ("heartbeat", now))
        if self.world.store.is_up and self.world.rounds % 4 == 0:
            self.adopt(self.world.store.roster)
        self.report_to_relays()
        self.update_barrier()
        holds_lease = self.lease.is_valid(now)
        if holds_lease or not self.had_lease:
            self.update_roster()
        if holds_lease:
            self.had_lease = True
            if self.lease_lost_at is not None:
                self.lease_lost_at = None
                self.witness.restart_timeouts(now)
            self.send_testimonies(now)
            return
        if self.lease_lost_at is None:
            self.lease_lost_at = now
        removed = self.roster.find(self.identity) is None
        if removed or self.lease.is_revoked() or now - self.lease_lost_at > 4 * LEASE:
            self.rejoin()

    def rejoin(self):
        """Abandon this incarnation and join as a new one, if the store is up."""
        if not self.world.store.is_up:
            return
        abandoned = self.identity
        self.start_incarnation()
        self.join({abandoned})

    def send_testimonies(self, now):
        """Send testimonies to all relays."""
        for about in self.witness.find_expired(self.roster, now):
            for relay in self.roster.relays():
                self.send(relay, ("testimony", about))

    def update_roster(self):
        """Replace unusable witnesses and remove members proven fenced or ended."""
        machine = self.roster.find(self.identity)
        if machine is None:
            return
        new_witnesses = choose_witnesses(machine, self.roster, self.fencing.fenced)
        store = self.world.store
        if sorted(new_witnesses) != sorted(machine.witnesses):
            self.adopt(store.change(store.roster, self.with_new_witnesses))
        ended = self.find_own_ended_incarnations()
        if ended:
            self.adopt(store.change(store.roster, lambda r: r.without(ended)))
        if self.fencing.fenced:

            def without_proven(roster):
                proven = {
                    identity
                    for identity in self.fencing.fenced
                    if self.fencing.is_proof_valid(identity, roster)
                }
                return roster.without(proven)

            self.adopt(store.change(store.roster, without_proven))

    def find_own_ended_incarnations(self):
        """Return earlier incarnations: their address has been ours for a lease."""
        if self.world.now - self.incarnation_started_at <= LEASE + MARGIN:
            return set()
        departed = self.roster.departed.values()
        return {m.identity for m in departed if m.name == self.name}

    def with_new_witnesses(self, roster):
        """Return `roster` with usable witnesses of this machine."""
        machine = roster.find(self.identity)
        if machine is None or not roster.is_current(self.identity):
            return roster
        witnesses = choose_witnesses(machine, roster, self.fencing.fenced)
        self.lease.add_pending_witnesses(witnesses)
        return roster.with_machine(
            msgspec.structs.replace(machine, witnesses=witnesses)
        )

    def report_to_relays(self):
        """Report the adopted revision to the relays, and poll one for updates."""
        self.record_adopted(self.identity, self.roster.revision)
        relays = [r for r in self.roster.relays() if r != self.identity]
        for relay in relays:
            self.send(relay, ("adopted", self.roster.revision))
        if relays:
            self.send(relays[self.world.rounds % len(relays)], ("ask",))

    def record_adopted(self, identity, revision):
        """Record the roster revision that a member has adopted."""
        self.adopted[identity] = max(self.adopted.get(identity, 0), revision)

    def update_barrier(self):
        """Raise the barrier once all members not fenced have adopted this roster."""
        self.record_adopted(self.identity, self.roster.revision)
        acting = [i for i in self.roster.members if not self.fencing.is_fenced(i)]
        revisions = [self.adopted.get(identity, 0) for identity in acting]
        if revisions and min(revisions) >= self.roster.revision:
            self.raise_barrier(self.roster.revision)

    def raise_barrier(self, revision):
        """Record a barrier computed here or received from another daemon."""
        if revision <= self.roster.revision:
            self.ownership.raise_barrier(revision)
            self.lease.drop_sets_before(self.ownership.barrier)

    def send(self, receiver, message):
        """Queue a message for `receiver`."""
        self.world.messages.append((self.identity, receiver, message))

    def receive(self, sender, message, now):
        """Handle one message."""
        kind = message[0]
        if kind == "heartbeat":
            accepted = self.witness.record_heartbeat(sender, now)
            barrier = self.ownership.barrier
            self.send(sender, ("ack", message[1], accepted, barrier))
        elif kind == "ack":
            if message[2]:
                self.lease.record_ack(sender, message[1])
                self.raise_barrier(message[3])
            else:
                self.lease.record_refusal(sender)
        elif kind == "adopted":
            self.record_adopted(sender, message[1])
        elif kind == "testimony":
            self.fencing.add_testimony(sender, message[1], self.roster)
        elif kind == "ask":
            update = (self.roster, self.ownership.barrier, self.fencing.fenced)
            self.send(sender, ("update", *update))
        elif kind == "update":
            _, roster, barrier, fenced = message
            self.adopt(roster)
            if roster.revision >= self.roster.revision:
                for identity in sorted(fenced):
                    self.fencing.add_reported_proof(identity, self.roster)
            self.raise_barrier(barrier)

    def act(self, now):
        """Act on each resource that this daemon owns now, if its lease is valid."""
        if not self.lease.is_valid(now):
            return
        for resource in RESOURCES:
            fence = self.ownership.fence_of(resource)
            if fence is not None:
                self.world.record_act(resource, self.identity, fence, now)


class World:
    """The daemons, the messages in transit and the last act on each resource."""

    def __init__(self, size, zones):
        self.now = 100.0
        self.store = Store()
        self.messages = []
        self.rounds = 0
        self.cut = set()
        self.last_acts = {}
        self.acts = 0
        self.nodes = [
            Node(self, f"n{number}", f"z{number % zones}") for number in range(size)
        ]

    def record_act(self, resource, identity, fence, now):
        """
        Record an act; raises `AssertionError` when a former owner acts.

        Each new owner must act with a higher fencing token than the last one.
        """
        self.acts += 1
        last = self.last_acts.get(resource)
        if last is not None and last[0] != identity:
            assert fence > last[1], (
                f"{identity} acted on {resource} with {fence} at {now}, "
                f"after {last[0]} with {last[1]}"
            )
        if last is None or last[0] != identity or fence >= last[1]:
            self.last_acts[resource] = (identity, fence)

    def run(self, rounds, random):
        """Simulate `rounds`; messages arrive out of order, or are lost on cut links."""
        for _ in range(rounds):
            self.rounds += 1
            self.now += ROUND
            for node in self.nodes:
                if not node.is_paused:
                    node.act(self.now)
                    node.tick(self.now)
            self.deliver(random)

    def deliver(self, random):
        """Deliver the messages; 5 % and those to paused daemons are delivered later."""
        batch, self.messages = self.messages, []
        random.shuffle(batch)
        by_identity = {node.identity: node for node in self.nodes}
        for sender, receiver, message in batch:
            node = by_identity.get(receiver)
            names = (sender.partition("/")[0], receiver.partition("/")[0])
            if node is None or names in self.cut:
                continue
            if node.is_paused or random.random() < 0.05:
                self.messages.append((sender, receiver, message))
                continue
            node.receive(sender, message, self.now)
            node.act(self.now)
