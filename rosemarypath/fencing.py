"""
rosemarypath.fencing
~~~~~~~~~~~~~~~~~~~~

Collects testimonies until an incarnation is proven fenced: it can never act again.
"""

from rosemarypath.quorumlease import majority

__all__ = ["Fencing"]


class Fencing:
    """
    The incarnations proven fenced, and the testimonies that count towards a proof.

    An incarnation is fenced once a majority of its witnesses have testified that it is
    silent, as it can't renew its lease any more. A proof is valid for the witness set
    that it was made with, and is dropped when the machine changes that set, which it
    can do only while its lease is valid.
    """

    def __init__(self):
        self._testimonies = {}
        self._proven = {}

    @property
    def fenced(self):
        """Return the identities proven fenced."""
        return frozenset(self._proven)

    def is_fenced(self, identity):
        """Return whether `identity` is proven fenced."""
        return identity in self._proven

    def is_proof_valid(self, identity, roster):
        """Return whether the proof about `identity` is valid under `roster` too."""
        machine = roster.find(identity)
        return machine is not None and self._proven.get(identity) == machine.witnesses

    def add_testimony(self, witness, about, roster):
        """Record a testimony; return whether it completed a proof."""
        machine = roster.find(about)
        if machine is None or about in self._proven:
            return False
        if witness not in machine.witnesses or witness == about:
            return False
        witnesses = self._testimonies.setdefault(about, set())
        witnesses.add(witness)
        present = witnesses & set(machine.witnesses)
        if len(present) < majority(len(machine.witnesses)):
            return False
        self._proven[about] = machine.witnesses
        return True

    def add_reported_proof(self, identity, roster):
        """
        Record a proof made by a peer; return whether it is new.

        Call it only for peers whose roster is at least as new as `roster`.
        """
        machine = roster.find(identity)
        if machine is None or identity in self._proven:
            return False
        self._proven[identity] = machine.witnesses
        return True

    def adopt(self, roster):
        """Drop the proofs and testimonies that `roster` makes invalid or obsolete."""
        for identity, witnesses in list(self._proven.items()):
            machine = roster.find(identity)
            if machine is None or machine.witnesses != witnesses:
                del self._proven[identity]
                self._testimonies.pop(identity, None)
        for identity in [i for i in self._testimonies if roster.find(i) is None]:
            del self._testimonies[identity]
