"""
rosemarypath.engineleases
~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of subjects: which daemon may send orders to an engine, or perform a duty.

The store has one object for each subject, which names the lease holder; the object's
version is the fencing token. A holder keeps its lease through restarts of its machine.
Another daemon acquires the lease only after it received no heartbeat of the holder for
longer than the holder relies on an acknowledgement, and waits for the lease time before
its first order.

An engine's subject is its name. The subjects of duties have names that begin with
`DUTY_PREFIX`. Two rules differ for them: the wait is shorter, and a holder that leaves
has ended its duties, so that its lease is acquired without waiting for its silence.

A store that comes back from an older copy has the leases of an earlier time. A lease
names the era in which it was written, and one of an earlier era gives no right: its
last holder writes it again, or another daemon acquires it once that one is silent.
"""

from dataclasses import dataclass

from rosemarypath.errors import (
    ConflictError,
    NotFoundError,
    StoreUnavailableError,
)
from rosemarypath.hashing import rendezvous_order
from rosemarypath.stored import era_of, position, revision_of

__all__ = ["LEASE_KIND", "EngineLease", "EngineLeases", "duty_lease_name"]

LEASE_KIND = "rosemarypath-holders"
CONFIRMATION_SECONDS = 1.5  # for which a read of the store proves the leases
LEASE_MARGIN_SECONDS = 2.0  # beyond the lease time, for orders confirmed just before
# After its last order's token, a holder may go on in a new era without a wait. Another
# one would have waited longer before its own first order.
RENEWAL_SECONDS = 3.0
# Beyond half of the lease time and CONFIRMATION_SECONDS, for a call that is under way.
DUTY_MARGIN_SECONDS = 0.5
DUTY_PREFIX = "duty."
FIRST_ERA = 1  # in which the store has lost nothing
UNKNOWN_HOLDER = "?"  # of a lease that the store may have lost


@dataclass(frozen=True)
class EngineLease:
    """
    The right of one daemon to send orders to one engine, or calls for one duty.

    `machine` is the daemon's machine, `fencing_token` the token that its orders carry.
    `previous` names the machine that held the lease before, while orders from it may
    still arrive, and is empty afterwards.
    """

    machine: str
    fencing_token: int
    previous: str = ""


def duty_lease_name(duty, subject):
    """
    Return the name of the lease of one subject of a duty.

    >>> duty_lease_name("usage", "windows")
    'duty.usage.windows'
    """
    return f"{DUTY_PREFIX}{duty}.{subject}"


class EngineLeases:
    """
    The leases of all subjects, as one daemon knows them; bounded by their number.

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
        self._valid_leases = {}
        self._proven_at = {}
        self._era = None
        self._era_seen_at = float("-inf")

    def find(self, subject):
        """Return the `EngineLease` of `subject` in the present era, or ``None``."""
        lease, era = self._stored_lease(subject)
        if lease is None or era != era_of(lease.fencing_token):
            return None
        self._valid_leases[subject] = lease
        return lease

    def _stored_lease(self, subject):
        """Return the lease in the store and the era of its writing, or ``None``s."""
        stored = self._mirror.objects.get(subject)
        if stored is None or not isinstance(stored.spec, dict):
            return None, None
        spec = stored.spec
        machine = spec.get("machine")
        if not isinstance(machine, str):
            return None, None
        lease = EngineLease(machine, stored.version, spec.get("before") or "")
        era = spec.get("era", 0)
        return lease, era if isinstance(era, int) else 0

    def is_own(self, subject):
        """Return whether this daemon holds the lease of `subject`."""
        lease = self.find(subject)
        return lease is not None and lease.machine == self._machine

    def fencing_token(self, subject, lease_now):
        """Return the fencing token for an order now, 0 if none may be sent."""
        lease = self.find(subject)
        if lease is None or lease.machine != self._machine:
            return 0
        if lease.previous:
            if lease_now < self._usable_from_time(subject, lease, lease_now):
                return 0
        if not self._is_confirmed(lease_now):
            return 0
        self._proven_at[subject] = lease_now
        return lease.fencing_token

    def _usable_from_time(self, subject, lease, lease_now):
        """Return when a lease taken over becomes usable; each tenure has its wait."""
        token, usable_from = self._usable_from.get(subject, (0, 0.0))
        if token != lease.fencing_token:
            usable_from = lease_now + self._wait_seconds(subject)
            self._usable_from[subject] = lease.fencing_token, usable_from
        return usable_from

    def _wait_seconds(self, subject):
        """
        Return the wait before a lease that was taken over becomes usable.

        Another holder may act for `CONFIRMATION_SECONDS` after its lease was acquired.
        If two holders acquire a lease from each other, the wait of both, less twice
        that time, lies between two acts of the first. For a duty that must exceed the
        lease time.
        """
        if subject.startswith(DUTY_PREFIX):
            margin = CONFIRMATION_SECONDS + DUTY_MARGIN_SECONDS
            return self.lease_seconds / 2 + margin
        return self.lease_seconds + LEASE_MARGIN_SECONDS

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

    def should_acquire(self, subject, now, lease_now):
        """Return whether this daemon should acquire the lease of `subject`."""
        if not self._mirror.is_known:
            return False
        self._note_era(lease_now)
        lease = self.find(subject)
        if lease is None:
            last = self._last_lease(subject)
            if last is not None and last.machine == self._machine:
                return True
            lease = last
        is_duty = subject.startswith(DUTY_PREFIX)
        candidates = [
            name
            for name in self._peers.alive_names(now)
            if not (is_duty and self._peers.is_leaving(name))
        ]
        first = rendezvous_order(subject, candidates)[0]
        if first != self._machine:
            return False
        if lease is None:
            return True
        if lease.machine == self._machine:
            return False
        if is_duty and self._peers.is_leaving(lease.machine):
            return True
        return self._peers.may_take_over_from(lease.machine, lease_now)

    def _note_era(self, lease_now):
        """
        Note when this daemon read the first leases of an era after the first.

        Which leases the older copy lacked is unknown even to a daemon that reads the
        store for the first time, so that no one may have told it of the era before.
        """
        era = era_of(self._mirror.revision)
        if era != self._era and (
            self._era is not None or era > FIRST_ERA or self._has_former_era(era)
        ):
            self._era_seen_at = lease_now
        self._era = era

    def _has_former_era(self, era):
        """Return whether another daemon has copies of an earlier era."""
        known = [p.revisions.get(LEASE_KIND, 0) for p in self._peers.by_name.values()]
        return any(revision and era_of(revision) < era for revision in known)

    def _last_lease(self, subject):
        """Return the last lease of an earlier era that is known, or ``None``."""
        known = self._valid_leases.get(subject)
        stored, era = self._stored_lease(subject)
        if known is None or stored is None:
            return known or stored
        written_at = position(era, revision_of(stored.fencing_token))
        return known if known.fencing_token >= written_at else stored

    def should_clear_previous(self, subject, lease_now):
        """Return whether the previous holder can be cleared from the lease."""
        lease = self.find(subject)
        if lease is None or lease.machine != self._machine or not lease.previous:
            return False
        return self.fencing_token(subject, lease_now) != 0

    async def acquire(self, subject, lease_now):
        """Store this daemon as the lease holder; return whether that succeeded."""
        kept = self._mirror.objects.get(subject)
        spec = self._spec(self._holder_before(subject, lease_now))
        try:
            if kept is None:
                stored = await self._store.create(LEASE_KIND, subject, spec)
            else:
                stored = await self._store.update(
                    LEASE_KIND, subject, spec, kept.version
                )
        except (ConflictError, NotFoundError):
            self._confirmed_at = float("-inf")
            return False
        if era_of(stored.version) != spec["era"]:
            # It was written in an era that this daemon has not read yet.
            return False
        self._mirror.record_own_write(stored)
        return True

    def _holder_before(self, subject, lease_now):
        """Return whose orders may still arrive, empty if nobody's but the own ones."""
        lease = self.find(subject)
        if lease is not None:
            return lease.machine
        last = self._last_lease(subject)
        if last is None:
            lost_until = self._era_seen_at + self.lease_seconds + LEASE_MARGIN_SECONDS
            return UNKNOWN_HOLDER if lease_now < lost_until else ""
        proven_at = self._proven_at.get(subject, float("-inf"))
        is_own = last.machine == self._machine and not last.previous
        if is_own and lease_now - proven_at < RENEWAL_SECONDS:
            return ""
        return last.machine

    def _spec(self, before):
        """Return the content of a lease of this daemon."""
        era = era_of(self._mirror.newest_revision)
        return {"machine": self._machine, "before": before, "era": era}

    async def clear_previous(self, subject):
        """Clear the previous holder, whose orders have ended."""
        lease = self.find(subject)
        spec = self._spec("")
        try:
            stored = await self._store.update(
                LEASE_KIND, subject, spec, lease.fencing_token
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
