"""
rosemarypath.membership
~~~~~~~~~~~~~~~~~~~~~~~

A daemon's membership in the roster: joining, heartbeats, fencing, draining, leaving.
"""

import asyncio
import time

import msgspec

from rosemarypath.configurationreplica import FLEET
from rosemarypath.errors import ConflictError, NotFoundError, StoreUnavailableError
from rosemarypath.fencing import Fencing
from rosemarypath.log import get_logger
from rosemarypath.machine import DRAINING, Machine, new_incarnation
from rosemarypath.messages import Heartbeat, HeartbeatAck, Testimony
from rosemarypath.ownership import Ownership
from rosemarypath.quorumlease import QuorumLease
from rosemarypath.roster import Roster, choose_witnesses
from rosemarypath.witness import Witness

__all__ = ["ROSTER", "Membership", "new_incarnation"]

ROSTER = "roster"
STORE_RETRY_SECONDS = 0.2
PAUSE_DETECTION_HEARTBEATS = 3
LINK_TIMEOUT_HEARTBEATS = 0.9
REJOIN_AFTER_LEASES = 4
REMOVAL_DELAY_SECONDS_PER_RANK = 1.0
MAX_CACHED_ROSTERS = 32

_log = get_logger("membership")


class Membership:
    """
    This daemon as a member of the roster.

    It sends heartbeats to its witnesses to keep its lease, is a witness of other
    daemons, and maintains the roster in the object API.

    Options:

    `settings`
        The daemon's `Settings`.
    `store`
        The `StoreClient` of the object API.
    `mesh`
        The `Mesh` of links to the other daemons.
    `config_replica`
        The `ConfigurationReplica`.
    `history`
        The event history.
    `on_release`
        Called with the set of resources that this daemon no longer owns.
    `on_replaced`
        Called when another process has joined under this machine's name.
    """

    def __init__(
        self, settings, store, mesh, config_replica, history, on_release, on_replaced
    ):
        self._settings = settings
        self._timing = settings.timing
        self._store = store
        self._mesh = mesh
        self._config_replica = config_replica
        self._history = history
        self._on_release = on_release
        self._on_replaced = on_replaced
        self._on_revisions = lambda identity, roster, configuration: None
        self._tasks = []
        self._last_tick_at = 0.0
        self._lease_lost_at = None
        self._fenced_at = {}
        self._draining = False
        self._is_updating_roster = False
        self._update_task = None
        self._rosters = {}
        self.roster = Roster()
        self.relays = ()
        self._start_incarnation(mesh.identity)
        mesh.on(Heartbeat, self._on_heartbeat)
        mesh.on(HeartbeatAck, self._on_heartbeat_ack)
        mesh.on(Testimony, self._on_testimony)

    def _start_incarnation(self, identity):
        """Start as a new incarnation that has no lease and owns nothing."""
        silence = self._timing.lease + self._timing.margin
        self.identity = identity
        self.lease = QuorumLease(identity, self._timing.lease)
        self.witness = Witness(identity, silence)
        self.fencing = Fencing()
        self.ownership = Ownership(identity, self.fencing)
        self._incarnation_started_at = time.monotonic()
        self._had_lease = False
        self._witnesses_checked_for = None

    @property
    def machine(self):
        """Return this daemon's roster entry, or ``None``."""
        return self.roster.find(self.identity)

    @property
    def is_draining(self):
        """Return whether this daemon is draining: it accepts no new callers."""
        return self._draining

    def set_revisions_callback(self, callback):
        """
        Call ``callback(identity, roster, configuration)`` at each heartbeat received.

        The last two are the revisions that the sender has adopted.
        """
        self._on_revisions = callback

    def has_lease(self, now):
        """Return whether this daemon may admit requests and use back ends at `now`."""
        return self.lease.is_valid(now)

    async def start(self):
        """Join the roster, retrying until the object API is available."""
        while not await self._join():
            await asyncio.sleep(STORE_RETRY_SECONDS)
        self._tasks = [asyncio.create_task(self._run())]

    async def stop(self):
        """Cancel the tasks and leave the roster."""
        for task in self._tasks:
            task.cancel()
        await self._change_roster(lambda roster: roster.without({self.identity}))

    async def drain(self):
        """Record in the roster that this daemon accepts no new callers."""
        self._draining = True
        for _ in range(5):
            if await self._change_roster(self._with_own_entry):
                return
            await asyncio.sleep(STORE_RETRY_SECONDS)
        _log.warning(
            "object API unavailable; draining, but the roster does not show it"
        )

    def adopt(self, roster):
        """Replace the current roster by `roster` if that is newer."""
        if roster.revision <= self.roster.revision:
            return
        self.roster = roster
        self.relays = tuple(roster.relays())
        self._rosters[roster.revision] = roster
        while len(self._rosters) > MAX_CACHED_ROSTERS:
            del self._rosters[min(self._rosters)]
        for identity, machine in roster.members.items():
            self._mesh.set_address(identity, machine.peers_address)
        self._mesh.retain_peers(roster.members)
        self.fencing.adopt(roster)
        machine = self.machine
        if machine is not None:
            self.lease.add_witness_set(roster.revision, machine.witnesses)
        released = self.ownership.adopt(roster)
        self._history.write("roster_adopted", revision=roster.revision)
        if released:
            self._on_release(released)

    def delta_since(self, revision):
        """Return the `RosterDelta` since `revision`, full if it is unknown."""
        return self.roster.delta_since(self._rosters.get(revision, Roster()))

    def apply_roster_delta(self, delta):
        """Apply a peer's `delta` if it is full or based on the current roster."""
        if delta.base in {0, self.roster.revision}:
            self.adopt(self.roster.with_delta(delta))

    def raise_barrier(self, revision):
        """Record that each member has adopted roster `revision` or is fenced."""
        self.ownership.raise_barrier(revision)
        self.lease.drop_sets_before(self.ownership.barrier)

    def add_reported_proof(self, identity):
        """Record a proof by a peer whose roster is at least as new as this one."""
        if self.fencing.add_reported_proof(identity, self.roster):
            self._record_fenced(identity)

    async def read_roster(self):
        """Read the roster from the object API and adopt it."""
        try:
            stored = await self._store.get(FLEET, ROSTER)
        except NotFoundError:
            return
        self.adopt(Roster.from_stored(stored))

    async def _join(self, abandoned=frozenset()):
        """
        Add this incarnation to the roster; return whether that succeeded.

        `abandoned` are earlier identities of this process, which it no longer uses;
        they are removed from the roster.
        """

        def with_self(roster):
            machine = Machine(
                name=self._settings.machine,
                incarnation=self.identity.partition("/")[2],
                zone=self._settings.zone,
                callers_address=self._settings.callers_address,
                peers_address=self._settings.peers_address,
            )
            witnesses = choose_witnesses(machine, roster)
            machine = msgspec.structs.replace(machine, witnesses=witnesses)
            return roster.with_machine(machine).without(abandoned)

        if not await self._change_roster(with_self):
            return False
        _log.info("joined as {}", self.identity)
        self._history.write("joined", revision=self.roster.revision)
        return True

    async def _rejoin(self):
        """Abandon this incarnation and join as a new one."""
        abandoned = self.identity
        name = self._settings.machine
        _log.warning(
            "incarnation {} lost its lease; joining as a new incarnation", abandoned
        )
        self._on_release(self.ownership.held_resources)
        self._start_incarnation(f"{name}/{new_incarnation()}")
        self._mesh.identity = self.identity
        self.roster = Roster()
        self.relays = ()
        self._lease_lost_at = None
        while not await self._join({abandoned}):
            await asyncio.sleep(STORE_RETRY_SECONDS)

    async def _change_roster(self, change):
        """
        Store and adopt the roster that ``change(roster)`` returns.

        Returns false when the object API is unavailable or on a conflicting write.
        """
        try:
            try:
                stored = await self._store.get(FLEET, ROSTER)
                roster = Roster.from_stored(stored)
                changed = change(roster)
                if changed == roster:
                    self.adopt(roster)
                    return True
                stored = await self._store.update(
                    FLEET, ROSTER, changed.to_spec(), stored.version
                )
            except NotFoundError:
                changed = change(Roster())
                stored = await self._store.create(FLEET, ROSTER, changed.to_spec())
        except (ConflictError, StoreUnavailableError) as error:
            _log.debug("could not change the roster: {}", error)
            return False
        self.adopt(Roster.from_stored(stored))
        return True

    def _with_own_entry(self, roster):
        """Return `roster` with this daemon's current state and usable witnesses."""
        machine = roster.find(self.identity)
        if machine is None or not roster.is_current(self.identity):
            return roster
        witnesses = choose_witnesses(machine, roster, self.fencing.fenced)
        state = DRAINING if self._draining else machine.state
        if sorted(witnesses) == sorted(machine.witnesses):
            witnesses = machine.witnesses
        else:
            self.lease.add_pending_witnesses(witnesses)
        return roster.with_machine(
            msgspec.structs.replace(machine, witnesses=witnesses, state=state)
        )

    async def _run(self):
        while True:
            now = time.monotonic()
            try:
                await self._tick(now)
            except Exception:
                _log.exception("membership update failed")
            await asyncio.sleep(self._timing.heartbeat)

    async def _tick(self, now):
        if (
            now - self._last_tick_at
            > PAUSE_DETECTION_HEARTBEATS * self._timing.heartbeat
        ):
            self.witness.restart_timeouts(now)
        self._last_tick_at = now
        silence = LINK_TIMEOUT_HEARTBEATS * self._timing.heartbeat
        self._mesh.reconnect_silent_links(now, silence)
        self._send_heartbeats(now)
        holds_lease = self.has_lease(now)
        if (holds_lease or not self._had_lease) and not self._is_updating_roster:
            self._is_updating_roster = True
            self._update_task = asyncio.create_task(self._update_roster(now))
        if holds_lease:
            self._had_lease = True
            if self._lease_lost_at is not None:
                self._lease_lost_at = None
                self.witness.restart_timeouts(now)
            self._send_testimonies(now)
            return
        if self._lease_lost_at is None:
            self._lease_lost_at = now
            self._history.write("standing_lost")
        seconds_without_lease = now - self._lease_lost_at
        if self._is_replaced():
            self._on_replaced()
            return
        was_removed = self.roster.revision and self.machine is None
        cannot_renew = self.lease.is_revoked() or was_removed
        if (
            cannot_renew
            or seconds_without_lease > REJOIN_AFTER_LEASES * self._timing.lease
        ):
            await self._rejoin()

    def _is_replaced(self):
        """Return whether another process has joined under this machine's name."""
        current = self.roster.machines.get(self._settings.machine)
        return current is not None and current.identity != self.identity

    def _send_heartbeats(self, now):
        message = Heartbeat(now, self.roster.revision, self._config_replica.revision)
        for witness in self.lease.witnesses:
            self._mesh.send(witness, message, expect_answer=True)

    def _send_testimonies(self, now):
        for about in self.witness.find_expired(self.roster, now):
            if self.fencing.is_fenced(about):
                continue
            self._history.write("testified", about=about)
            for relay in self.relays:
                self._mesh.send(relay, Testimony(about))

    async def _update_roster(self, now):
        """Replace unusable witnesses and remove members proven fenced or ended."""
        try:
            machine = self.machine
            if machine is None:
                return
            if self._should_change_witnesses(machine):
                if await self._change_roster(self._with_own_entry):
                    self.lease.drop_pending_witnesses()
            ended = self._find_own_ended_incarnations(now)
            if ended:
                await self._change_roster(lambda roster: roster.without(ended))
            removable = self._find_removable(now)
            if removable:
                await self._change_roster(self._removal_of(removable))
        finally:
            self._is_updating_roster = False

    def _should_change_witnesses(self, machine):
        """Return whether to change the witness set; caches a negative result."""
        state = (self.roster.revision, self.fencing.fenced)
        if state == self._witnesses_checked_for:
            return False
        wanted = choose_witnesses(machine, self.roster, self.fencing.fenced)
        if sorted(wanted) != sorted(machine.witnesses):
            return True
        self._witnesses_checked_for = state
        return False

    def _find_own_ended_incarnations(self, now):
        """
        Return earlier incarnations of this machine whose leases have ended for good.

        This process listens at their address, so they receive no acknowledgements;
        after the lease and the margin, the last one received is no longer valid.
        """
        if (
            now - self._incarnation_started_at
            <= self._timing.lease + self._timing.margin
        ):
            return set()
        return {
            machine.identity
            for machine in self.roster.departed.values()
            if machine.name == self._settings.machine
            and machine.peers_address == self._settings.peers_address
        }

    def _removal_of(self, identities):
        """Return a change that removes those of `identities` still proven fenced."""

        def change(roster):
            proven = {i for i in identities if self.fencing.is_proof_valid(i, roster)}
            return roster.without(proven)

        return change

    def _find_removable(self, now):
        """
        Return the fenced members that this daemon should remove from the roster.

        Relays do it in turn: each waits longer than the relays ranked before it.
        """
        relays = [r for r in self.relays if not self.fencing.is_fenced(r)]
        if self.identity not in relays:
            return set()
        delay = relays.index(self.identity) * REMOVAL_DELAY_SECONDS_PER_RANK
        return {
            identity
            for identity in self.fencing.fenced
            if now - self._fenced_at.get(identity, now) >= delay
            and self.roster.find(identity) is not None
        }

    def _record_fenced(self, identity):
        self._fenced_at[identity] = time.monotonic()
        _log.info("{} is fenced: most of its witnesses found it silent", identity)
        self._history.write("fenced", about=identity)

    def _on_heartbeat(self, sender, message):
        now = time.monotonic()
        accepted = self.witness.record_heartbeat(sender, now)
        self._config_replica.record_known_revision(message.configuration_revision, now)
        self._on_revisions(
            sender, message.roster_revision, message.configuration_revision
        )
        ack = HeartbeatAck(
            message.sent_at,
            accepted,
            self.roster.revision,
            self._config_replica.revision,
            self.ownership.barrier,
        )
        self._mesh.send(sender, ack)

    def _on_heartbeat_ack(self, sender, message):
        if not message.accepted:
            self.lease.record_refusal(sender)
            return
        self.lease.record_ack(sender, message.sent_at)
        self._config_replica.record_known_revision(
            message.configuration_revision, time.monotonic()
        )
        if message.barrier <= self.roster.revision:
            self.raise_barrier(message.barrier)

    def _on_testimony(self, sender, message):
        if self.fencing.add_testimony(sender, message.about, self.roster):
            self._record_fenced(message.about)
