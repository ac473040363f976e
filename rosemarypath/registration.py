"""
rosemarypath.registration
~~~~~~~~~~~~~~~~~~~~~~~~~

Registers machines in the store, so that daemons find each other.
"""

import asyncio

from rosemarypath.clock import lease_now, now
from rosemarypath.errors import NotFoundError, RosemarypathError
from rosemarypath.faultlog import FaultLog
from rosemarypath.hashing import rendezvous_order
from rosemarypath.machine import Machine, is_address

__all__ = ["MACHINE_KIND", "Registration"]

MACHINE_KIND = "rosemarypath-machines"
REGISTRATION_RETRY_SECONDS = 0.3  # between two attempts to register
REMOVAL_TIMEOUT_SECONDS = 12.0  # longer than the restart of a machine

TEXT_FIELDS = ["incarnation", "zone", "callers", "peers"]
MAX_TEXT_LENGTH = 1024
MAX_BANDWIDTH = 1e9  # Mbit/s


class Registration:
    """
    Keeps this daemon registered and passes the other machines on to `Peers`.

    Options:

    `own`
        This daemon's `Machine`.
    `store`, `store_cache`
        Client of the store, and the `StoreCache`.
    `peers`, `mesh`
        The other daemons, and the links to them.
    `log`
        The `DecisionLog`.
    """

    def __init__(self, own, store, store_cache, peers, mesh, log):
        self._own = own
        self._store = store
        self._store_cache = store_cache
        self._peers = peers
        self._mesh = mesh
        self._log = log
        self._faults = FaultLog(log, "peers")
        self._mirror = store_cache.add(
            MACHINE_KIND, self._on_machines, self._outranks_entry
        )
        self._needs_registration = asyncio.Event()

    async def run(self):
        """Register, and again whenever another daemon has removed the entry."""
        self._needs_registration.set()
        while True:
            await self._needs_registration.wait()
            try:
                stored = await self._write_entry()
            except RosemarypathError as error:
                self._store_cache.health.note_failure(now(), error.message)
                await asyncio.sleep(REGISTRATION_RETRY_SECONDS)
                continue
            self._needs_registration.clear()
            self._mirror.record_own_write(stored)

    async def remove_silent_machines(self):
        """
        Remove the entries of machines that were silent for the removal time-out.

        Each of them is removed by one live daemon, on which all live daemons agree.
        """
        at = now()
        if at - self._peers.started_at < REMOVAL_TIMEOUT_SECONDS:
            return
        for name, peer in list(self._peers.by_name.items()):
            silent = at - max(peer.heard_at, peer.registered_at)
            if silent < REMOVAL_TIMEOUT_SECONDS:
                continue
            remover = rendezvous_order(name, self._peers.alive_names(at))[0]
            if remover != self._own.name:
                continue
            stored = self._mirror.stored.get(name)
            if stored is None:
                continue
            try:
                await self._store.delete(MACHINE_KIND, name, stored.version)
            except RosemarypathError as error:
                self._log.write("peers", "lost", name=name, why=error.message)
                continue
            self._log.write("peers", "removed", name=name, silent=round(silent, 1))

    async def _write_entry(self):
        spec = {
            "incarnation": self._own.incarnation,
            "zone": self._own.zone,
            "callers": self._own.callers_address,
            "peers": self._own.peers_address,
            "bandwidth": self._own.bandwidth,
        }
        try:
            return await self._store.update(MACHINE_KIND, self._own.name, spec)
        except NotFoundError:
            return await self._store.create(MACHINE_KIND, self._own.name, spec)

    def _on_machines(self, changed, removed):
        machines = []
        for stored in self._mirror.objects.values():
            machine = _decode_machine(stored)
            self._faults.update(stored.name, "unreadable" if machine is None else "")
            if machine is not None:
                machines.append(machine)
        self._faults.forget(removed)
        for machine in self._peers.set_machines(machines, now(), lease_now()):
            self._mesh.set_address(machine.identity, machine.peers_address)
            self._log.write("peers", "seen", name=machine.name)
        known_identities = {self._own.identity}
        known_identities.update(
            p.machine.identity for p in self._peers.by_name.values()
        )
        self._mesh.retain_peers(known_identities)
        if not self._is_registered():
            self._needs_registration.set()

    def _is_registered(self):
        """Return whether the store has this daemon's entry, not an earlier one's."""
        stored = self._mirror.stored.get(self._own.name)
        machine = _decode_machine(stored) if stored is not None else None
        return machine is not None and machine.incarnation == self._own.incarnation

    def _outranks_entry(self, former, restored):
        """Return whether a machine still runs as it did before an older copy."""
        return former is not None and self._peers.is_alive(former.name, now())


def _decode_machine(stored):
    """Return the `Machine` of an entry, or ``None`` if it is malformed."""
    spec = stored.spec
    if not isinstance(spec, dict):
        return None
    texts = [stored.name, *(spec.get(field) for field in TEXT_FIELDS)]
    if not all(_is_text(text) for text in texts) or not is_address(spec["peers"]):
        return None
    bandwidth = spec.get("bandwidth", 0.0)
    is_number = isinstance(bandwidth, (int, float)) and not isinstance(bandwidth, bool)
    if not is_number or not 0 <= bandwidth <= MAX_BANDWIDTH:
        return None
    return Machine(
        name=stored.name,
        incarnation=spec["incarnation"],
        zone=spec["zone"],
        callers_address=spec["callers"],
        peers_address=spec["peers"],
        bandwidth=float(bandwidth),
    )


def _is_text(value):
    is_short = isinstance(value, str) and len(value) <= MAX_TEXT_LENGTH
    return is_short and value.isprintable()
