"""
rosemarypath.witness
~~~~~~~~~~~~~~~~~~~~

The witness's side: acknowledges heartbeats and testifies to silence.
"""

__all__ = ["Witness"]


class Witness:
    """
    What this daemon has heard of the machines that it witnesses.

    Options:

    `identity`
        This daemon's ``name/incarnation``.
    `silence`
        Seconds without a heartbeat after which it testifies: lease and margin.
    """

    def __init__(self, identity, silence):
        self._identity = identity
        self._silence = silence
        self._heard = {}
        self._testified = set()

    @property
    def expired(self):
        """Return the identities this witness testified against."""
        return frozenset(self._testified)

    def record_heartbeat(self, identity, now):
        """Record a heartbeat; return whether it is acknowledged."""
        if identity in self._testified:
            return False
        self._heard[identity] = now
        return True

    def restart_timeouts(self, now):
        """Start every wait anew, after this daemon itself was paused or cut off."""
        for identity in self._heard:
            self._heard[identity] = now

    def find_expired(self, roster, now):
        """Return the identities in `roster` to testify against, old and new ones."""
        wards = [
            identity
            for identity, machine in roster.members.items()
            if self._identity in machine.witnesses and identity != self._identity
        ]
        for identity in wards:
            last = self._heard.setdefault(identity, now)
            if now - last > self._silence:
                self._testified.add(identity)
        for identity in [i for i in self._heard if roster.find(i) is None]:
            if now - self._heard[identity] > self._silence:
                del self._heard[identity]
        return [identity for identity in wards if identity in self._testified]
