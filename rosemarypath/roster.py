"""
rosemarypath.roster
~~~~~~~~~~~~~~~~~~~

The roster: the incarnations of daemons that are members, stored in the object API.
"""

import msgspec

from rosemarypath.hashing import rendezvous_order, zone_interleaved_order
from rosemarypath.machine import UP, Machine
from rosemarypath.messages import RosterDelta

__all__ = ["RELAYS_PER_ZONE", "Roster", "choose_witnesses"]

RELAYS_PER_ZONE = 2
MIN_WITNESSES = 5


class Roster(msgspec.Struct, frozen=True, kw_only=True):
    """
    One revision of the membership.

    Options:

    `revision`
        The object's version in the object API; 0 for an empty roster.
    `machines`
        Maps each machine's name to the entry of its current incarnation.
    `departed`
        Maps the identities of replaced incarnations that may still act to their
        entries.
    """

    revision: int = 0
    machines: dict[str, Machine] = {}
    departed: dict[str, Machine] = {}

    @property
    def members(self):
        """Return the entries of all incarnations that may still act, by identity."""
        members = {machine.identity: machine for machine in self.machines.values()}
        members.update(self.departed)
        return members

    @property
    def candidates(self):
        """Return the identities that may own resources, sorted by machine name."""
        machines = sorted(self.machines.values(), key=lambda machine: machine.name)
        return [machine.identity for machine in machines if machine.state == UP]

    def find(self, identity):
        """Return the entry of `identity`, or ``None``."""
        name = identity.partition("/")[0]
        machine = self.machines.get(name)
        if machine is not None and machine.identity == identity:
            return machine
        return self.departed.get(identity)

    def is_current(self, identity):
        """Return whether `identity` is the current incarnation of its machine."""
        machine = self.machines.get(identity.partition("/")[0])
        return machine is not None and machine.identity == identity

    def rank_owners(self, resource):
        """
        Return the candidates to own `resource`, the preferred owner first.

        The order depends only on machine names, so that a restarted machine owns the
        same resources again.
        """
        candidates = {c.partition("/")[0]: c for c in self.candidates}
        return [candidates[name] for name in rendezvous_order(resource, candidates)]

    def relays(self):
        """Return the identities of the relays, `RELAYS_PER_ZONE` in each zone."""
        zones = {}
        for machine in self.machines.values():
            zones.setdefault(machine.zone, {})[machine.name] = machine.identity
        relays = []
        for zone, identities in sorted(zones.items()):
            ordered = rendezvous_order(f"relay/{zone}", identities)
            relays.extend(identities[name] for name in ordered[:RELAYS_PER_ZONE])
        return relays

    def with_machine(self, machine):
        """Return a roster with `machine` as the current incarnation of its name."""
        machines = dict(self.machines)
        departed = dict(self.departed)
        replaced = machines.get(machine.name)
        if replaced is not None and replaced.identity != machine.identity:
            departed[replaced.identity] = replaced
        machines[machine.name] = machine
        return msgspec.structs.replace(self, machines=machines, departed=departed)

    def without(self, identities):
        """Return a roster without `identities`; they must never act again."""
        machines = {
            name: machine
            for name, machine in self.machines.items()
            if machine.identity not in identities
        }
        departed = {
            identity: machine
            for identity, machine in self.departed.items()
            if identity not in identities
        }
        return msgspec.structs.replace(self, machines=machines, departed=departed)

    def delta_since(self, base):
        """Return the `RosterDelta` from the roster `base` to this one."""
        return RosterDelta(
            base.revision,
            self.revision,
            {
                name: machine
                for name, machine in self.machines.items()
                if base.machines.get(name) != machine
            },
            tuple(sorted(base.machines.keys() - self.machines.keys())),
            self.departed,
        )

    def with_delta(self, delta):
        """Return the roster after `delta`, which is based on this one or on none."""
        machines = dict(self.machines) if delta.base else {}
        for name in delta.removed:
            machines.pop(name, None)
        machines.update(delta.changed)
        return Roster(
            revision=delta.revision, machines=machines, departed=delta.departed
        )

    def to_spec(self):
        """Return the roster as a dict to store, without the revision."""
        return {
            "machines": msgspec.to_builtins(self.machines),
            "departed": msgspec.to_builtins(self.departed),
        }

    @classmethod
    def from_stored(cls, stored):
        """Build the roster from a `StoredObject`."""
        roster = msgspec.convert(stored.spec, cls)
        return msgspec.structs.replace(roster, revision=stored.version)


def choose_witnesses(machine, roster, unusable=frozenset()):
    """
    Return the identities of the witnesses for `machine`: itself and others.

    There is one witness in each zone, and at least five in all when there are that many
    machines. Current witnesses stay, except those in `unusable`.
    """
    others = [
        other
        for other in roster.machines.values()
        if other.name != machine.name and other.identity not in unusable
    ]
    by_identity = {other.identity: other for other in others}
    zones = {other.zone for other in others} | {machine.zone}
    count = min(max(MIN_WITNESSES, len(zones)), len(others) + 1)
    kept = [w for w in machine.witnesses if w in by_identity]
    ordered = zone_interleaved_order(
        f"witness/{machine.name}",
        others,
        lambda other: other.identity,
        lambda other: other.zone,
    )
    preferred = kept + [o.identity for o in ordered if o.identity not in kept]
    chosen = [machine.identity]
    taken_zones = {machine.zone}
    for identity in preferred:
        zone = by_identity[identity].zone
        if len(chosen) < count and zone not in taken_zones:
            chosen.append(identity)
            taken_zones.add(zone)
    for identity in preferred:
        if len(chosen) < count and identity not in chosen:
            chosen.append(identity)
    return tuple(chosen)
