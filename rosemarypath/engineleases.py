"""
rosemarypath.engineleases
~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of the engines: which daemon may send orders to which engine.

The store has one object for each engine, which names the lease holder; the object's
version is the fencing token. A holder keeps its lease through restarts of its machine.
Another daemon acquires the lease only after it received no heartbeat of the holder for
longer than the holder relies on an acknowledgement, and waits for the lease time before
its first order.
"""

from dataclasses import dataclass

from rosemarypath.errors import (
    ConflictError,
    NotFoundError,
    StoreUnavailableError,
)
from rosemarypath.hashing import rendezvous_order

__all__ = ["LEASE_KIND", "EngineLease", "EngineLeases"]

LEASE_KIND = "rosemarypath-holders"
CONFIRMATION_SECONDS = 1.5  # for which a read of the store proves the leases
LEASE_MARGIN_SECONDS = 2.0  # beyond the lease time, for orders confirmed just before


@dataclass(frozen=True)
class EngineLease:
    """
    The right of one daemon to send orders to one engine.

    `machine` is the daemon's machine, `fencing_token` the token that its orders carry.
    `previous` names the machine that held the lease before, while orders from it may
    still arrive at the engine, and is empty afterwards.
    """

    machine: str
    fencing_token: int
    previous: str = ""


class EngineLeases:
    """
    The leases of all engines, as one daemon knows them.

    Options:

    `machine`
        This daemon's machine name.
    `peers`
        The `Peers`.
    `store`
        The client of the store.
    `mirror`
        The `Mirror` of the kind `LEASE_KIND`.
    `lease_seconds`
        Seconds that a new holder waits for orders of the previous one to end.
    `confirmer`
        The `LeaseConfirmer`, for a fleet where not all daemons exchange heartbeats.
    """

    def __init__(self, machine, peers, store, mirror, lease_seconds, confirmer=None):
        self._machine = machine
        self._peers = peers
        self._store = store
        self._mirror = mirror
        self._confirmer = confirmer
        self.lease_seconds = lease_seconds
        self._usable_from = {}
        self._confirmed_at = float("-inf")

    def find(self, engine):
        """Return the `EngineLease` of `engine`, or ``None``."""
        stored = self._mirror.objects.get(engine)
        if stored is None or not isinstance(stored.spec, dict):
            return None
        spec = stored.spec
        machine = spec.get("machine")
        if not isinstance(machine, str):
            return None
        return EngineLease(machine, stored.version, spec.get("before") or "")

    def is_own(self, engine):
        """Return whether this daemon holds the lease of `engine`."""
        lease = self.find(engine)
        return lease is not None and lease.machine == self._machine

    def fencing_token(self, engine, lease_now):
        """Return the fencing token for an order now, 0 if none may be sent."""
        lease = self.find(engine)
        if lease is None or lease.machine != self._machine:
            return 0
        if lease.previous:
            usable_from = self._usable_from.setdefault(
                engine, lease_now + self.lease_seconds + LEASE_MARGIN_SECONDS
            )
            if lease_now < usable_from:
                return 0
        if not self._is_confirmed(lease_now):
            return 0
        return lease.fencing_token

    async def confirm(self, lease_now):
        """Prove the leases current, if needed by other daemons or the store."""
        if self._is_confirmed(lease_now):
            return True
        if self._peers.is_grouped and self._confirmer is not None:
            revision, read_at = await self._confirmer.query_watchers(LEASE_KIND)
            if revision <= self._mirror.newest_revision:
                self._confirmed_at = max(self._confirmed_at, read_at)
            if self._is_confirmed(lease_now):
                return True
        try:
            objects, revision = await self._store.list(LEASE_KIND)
        except StoreUnavailableError:
            return await self._confirm_by_peers()
        self._mirror.replace(objects, revision)
        self._confirmed_at = lease_now
        return True

    async def _confirm_by_peers(self):
        """Ask all daemons to acknowledge, which heartbeats do in a small fleet."""
        if not self._peers.is_grouped or self._confirmer is None:
            return False
        return await self._confirmer.confirm_with_all(self._is_confirmed)

    def should_acquire(self, engine, now, lease_now):
        """Return whether this daemon should acquire the lease of `engine`."""
        if not self._mirror.is_known:
            return False
        lease = self.find(engine)
        alive_names = self._peers.alive_names(now)
        first = rendezvous_order(engine, alive_names)[0]
        if first != self._machine:
            return False
        if lease is None:
            return True
        if lease.machine == self._machine:
            return False
        return self._peers.may_take_over_from(lease.machine, lease_now)

    def should_clear_previous(self, engine, lease_now):
        """Return whether the previous holder can be cleared from the lease."""
        lease = self.find(engine)
        if lease is None or lease.machine != self._machine or not lease.previous:
            return False
        return self.fencing_token(engine, lease_now) != 0

    async def acquire(self, engine):
        """Store this daemon as the lease holder; return whether that succeeded."""
        lease = self.find(engine)
        try:
            if lease is None:
                spec = {"machine": self._machine, "before": ""}
                stored = await self._store.create(LEASE_KIND, engine, spec)
            else:
                spec = {"machine": self._machine, "before": lease.machine}
                stored = await self._store.update(
                    LEASE_KIND, engine, spec, lease.fencing_token
                )
        except (ConflictError, NotFoundError):
            self._confirmed_at = float("-inf")
            return False
        self._usable_from.pop(engine, None)
        self._mirror.record_own_write(stored)
        return True

    async def clear_previous(self, engine):
        """Clear the previous holder, whose orders have ended."""
        lease = self.find(engine)
        spec = {"machine": self._machine, "before": ""}
        try:
            stored = await self._store.update(
                LEASE_KIND, engine, spec, lease.fencing_token
            )
        except (ConflictError, NotFoundError):
            return
        self._mirror.record_own_write(stored)

    def _is_confirmed(self, lease_now):
        read_at = max(self._confirmed_at, self._mirror.read_at)
        if lease_now - read_at < CONFIRMATION_SECONDS:
            return True
        return self._peers.all_acknowledged(
            LEASE_KIND, self._mirror.newest_revision, lease_now
        )
