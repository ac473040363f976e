"""
rosemarypath.groups
~~~~~~~~~~~~~~~~~~~

Groups of daemons that hear each other directly; one of each speaks for it to others.

The load answered here: heartbeats of every daemon to every other one, which in a large
fleet take more of small machines than the requests do. A daemon hears its group and
its group's lead; what a lead hears grows with the root of the fleet.
"""

from collections import Counter
from math import ceil, isqrt

from rosemarypath.messages import GroupDigest

__all__ = ["GROUP_MOST", "GroupTotals", "group_machines", "make_digest"]

GROUP_MOST = (
    12  # machines up to which a fleet is one group; fewer messages than by leads
)
GROUP_SIZE = (
    8  # machines of a group at least, so that leads are few; zones may be smaller
)


def group_machines(machines):
    """
    Return the groups as tuples of `Machine` records, each within one zone.

    A small fleet is one group. All daemons that know the same machines agree.
    """
    ordered = sorted(machines, key=lambda machine: (machine.zone, machine.name))
    if len(ordered) <= GROUP_MOST:
        return [tuple(ordered)]
    size = max(GROUP_SIZE, isqrt(len(ordered)))
    zones = {}
    for machine in ordered:
        zones.setdefault(machine.zone, []).append(machine)
    return [group for members in zones.values() for group in _cut(members, size)]


def _cut(members, size):
    """Return `members` cut into groups of about the same size, `size` at most."""
    count = ceil(len(members) / size)
    bounds = [len(members) * number // count for number in range(count + 1)]
    return [tuple(members[a:b]) for a, b in zip(bounds, bounds[1:])]


class GroupTotals:
    """
    Tokens granted by a group since this daemon hears it, by customer.

    They do not fall when a daemon of the group starts afresh, and do not jump when
    one joins that granted before.
    """

    def __init__(self):
        self._known = {}
        self._totals = Counter()

    def note(self, identity, spent):
        """Take what ``name/incarnation`` granted since its start."""
        name, _, incarnation = identity.partition("/")
        known_incarnation, known = self._known.get(name, (incarnation, spent))
        if known_incarnation != incarnation:
            known = {}
        self._known[name] = (incarnation, spent)
        for customer, tokens in spent.items():
            self._totals[customer] += tokens - known.get(customer, 0)

    def with_own(self, spent):
        """Return the totals with what this daemon granted itself."""
        totals = self._totals.copy()
        totals.update(spent)
        return {customer: tokens for customer, tokens in totals.items() if tokens}


def make_digest(lead, number, members, states, own, spent):
    """
    Return the `GroupDigest` of a group.

    `members` are the `MemberState` entries, `states` the newest `PeerState` of each
    other daemon, `own` that of the lead, `spent` the group's totals.
    """
    loads = {}
    held = {}
    revisions = {}
    rates = Counter()
    for state in [*states, own]:
        held.update(state.held)
        rates.update(state.rates)
        for kind, revision in state.revisions.items():
            revisions[kind] = max(revision, revisions.get(kind, 0))
        for back_end, load in state.loads.items():
            loads[back_end] = _add(loads.get(back_end), load)
    return GroupDigest(
        lead, number, members, revisions, spent, loads, held, dict(rates)
    )


def _add(load, other):
    """Return the sum of two loads: running, prompt tokens, running by adapter."""
    if load is None:
        return other
    adapters = Counter(load[2])
    adapters.update(other[2])
    return load[0] + other[0], load[1] + other[1], dict(adapters)
