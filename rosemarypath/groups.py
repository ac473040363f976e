"""
rosemarypath.groups
~~~~~~~~~~~~~~~~~~~

Groups of daemons that hear each other directly; one of each speaks for it to others.

The load answered here: heartbeats of every daemon to every other one, which in a large
fleet take more of small machines than the requests do. A daemon hears its group and
its group's lead; what a lead hears grows with the root of the fleet.
"""

from collections import Counter
from dataclasses import dataclass, field
from math import ceil, isqrt

__all__ = [
    "SINGLE_GROUP_MAX_MACHINES",
    "GROUP_SIZE_FLOOR",
    "AggregatedState",
    "GrantTotals",
    "group_machines",
]

SINGLE_GROUP_MAX_MACHINES = (
    12  # machines up to which a fleet is one group; fewer messages than by leads
)
GROUP_SIZE_FLOOR = (
    8  # machines of a group at least, so that leads are few; zones may be smaller
)


def group_machines(machines):
    """
    Return the groups as tuples of `Machine` records, each within one zone.

    A small fleet is one group. All daemons that know the same machines agree.
    """
    ordered = sorted(machines, key=lambda machine: (machine.zone, machine.name))
    if len(ordered) <= SINGLE_GROUP_MAX_MACHINES:
        return [tuple(ordered)]
    size = max(GROUP_SIZE_FLOOR, isqrt(len(ordered)))
    zones = {}
    for machine in ordered:
        zones.setdefault(machine.zone, []).append(machine)
    return [
        group for members in zones.values() for group in _split_evenly(members, size)
    ]


def _split_evenly(members, size):
    """Return `members` cut into groups of about the same size, `size` at most."""
    count = ceil(len(members) / size)
    bounds = [len(members) * number // count for number in range(count + 1)]
    return [tuple(members[a:b]) for a, b in zip(bounds, bounds[1:])]


class GrantTotals:
    """
    Tokens that others granted since this daemon hears them, by customer.

    They do not fall when one of them starts afresh, and do not jump when one is heard
    for the first time that granted before.
    """

    def __init__(self):
        self._last_spent = {}
        self._totals = Counter()

    def record(self, identity, spent):
        """Take what ``name/incarnation`` granted since its start."""
        name, _, incarnation = identity.partition("/")
        last_incarnation, last_spent = self._last_spent.get(name, (incarnation, spent))
        if last_incarnation != incarnation:
            last_spent = {}
        self._last_spent[name] = (incarnation, spent)
        for customer, tokens in spent.items():
            self._totals[customer] += tokens - last_spent.get(customer, 0)

    def including_own(self, spent):
        """Return the totals with what this daemon granted itself."""
        totals = self._totals.copy()
        totals.update(spent)
        return {customer: tokens for customer, tokens in totals.items() if tokens}


@dataclass
class AggregatedState:
    """
    What is known of several daemons or groups together.

    `loads` maps back ends to running requests, prompt tokens not yet read and prompt
    tokens a second, `adapters` to running requests by adapter; `held` maps engines to
    what they hold, `revisions` kinds to the highest revision; `store_answer_age` is the
    seconds since the store answered one of them.
    """

    loads: dict = field(default_factory=dict)
    adapters: dict = field(default_factory=dict)
    held: dict = field(default_factory=dict)
    revisions: dict = field(default_factory=dict)
    store_answer_age: float = float("inf")

    def add_state(self, state, age=0.0):
        """Add the `PeerState` of one daemon, heard `age` seconds ago."""
        for back_end, (running, tokens, adapters) in state.loads.items():
            self._add_load(back_end, (running, tokens, 0))
            self._add_adapters(back_end, adapters)
        for back_end, rate in state.rates.items():
            self._add_load(back_end, (0, 0, rate))
        self._add_common_fields(state, age)

    def add_digest(self, digest, age=0.0):
        """Add the `GroupDigest` of one group, heard `age` seconds ago."""
        for back_end, load in digest.loads.items():
            self._add_load(back_end, load)
        for back_end, adapters in digest.adapters.items():
            self._add_adapters(back_end, adapters)
        self._add_common_fields(digest, age)

    def _add_load(self, back_end, load):
        known = self.loads.get(back_end, (0, 0, 0))
        self.loads[back_end] = tuple(a + b for a, b in zip(known, load))

    def _add_adapters(self, back_end, adapters):
        if adapters:
            self.adapters.setdefault(back_end, Counter()).update(adapters)

    def _add_common_fields(self, source, age):
        self.store_answer_age = min(
            self.store_answer_age, source.store_answer_age + age
        )
        self.held.update(source.held)
        for kind, revision in source.revisions.items():
            self.revisions[kind] = max(revision, self.revisions.get(kind, 0))
