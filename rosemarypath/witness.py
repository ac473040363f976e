"""
rosemarypath.witness
~~~~~~~~~~~~~~~~~~~~

A daemon's role as witness: acknowledges heartbeats and detects silent daemons.
"""

__all__ = ["Witness"]


class Witness:
    """
    The last heartbeats of the daemons that have this daemon as a witness.

    Once the witness has testified that a daemon is silent, it never acknowledges that
    incarnation again.

    Options:

    `identity`
        This daemon's ``name/incarnation``.
    `silence`
        Seconds without a heartbeat after which it testifies: the lease and the margin.
    """

    def __init__(self, identity, silence):
        self._identity = identity
        self._silence = silence
        self._last_heartbeats = {}
        self._expired = set()

    @property
    def expired(self):
        """Return the identities that this witness has testified are silent."""
        return frozenset(self._expired)

    def record_heartbeat(self, identity, now):
        """Record a heartbeat; return whether to acknowledge it."""
        if identity in self._expired:
            return False
        self._last_heartbeats[identity] = now
        return True

    def restart_timeouts(self, now):
        """Restart all time-outs, after this daemon itself was paused or cut off."""
        for identity in self._last_heartbeats:
            self._last_heartbeats[identity] = now

    def find_expired(self, roster, now):
        """Return all members of `roster` about whose silence to testify, new or not."""
        monitored = [
            identity
            for identity, machine in roster.members.items()
            if self._identity in machine.witnesses and identity != self._identity
        ]
        for identity in monitored:
            last = self._last_heartbeats.setdefault(identity, now)
            if now - last > self._silence:
                self._expired.add(identity)
        for identity in [i for i in self._last_heartbeats if roster.find(i) is None]:
            if now - self._last_heartbeats[identity] > self._silence:
                del self._last_heartbeats[identity]
        return [identity for identity in monitored if identity in self._expired]
