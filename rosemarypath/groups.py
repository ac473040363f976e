"""
rosemarypath.groups
~~~~~~~~~~~~~~~~~~~

Groups of daemons that exchange heartbeats directly, each represented by its leader.

If every daemon of a large fleet sent heartbeats to every other one, heartbeats would
cost small machines more than requests do. Instead a daemon receives heartbeats from its
own group, and its group's leader sends it a digest of the other groups. The number of
messages that a leader receives grows with the square root of the fleet's size.
"""

from collections import Counter
from dataclasses import dataclass, field
from math import ceil, isqrt

from rosemarypath.scheduling.ratelimits import newest_limit
from rosemarypath.scheduling.roomload import add_counts

__all__ = [
    "SINGLE_GROUP_MAX_MACHINES",
    "GROUP_SIZE_FLOOR",
    "AggregatedState",
    "GrantTotals",
    "group_machines",
]

SINGLE_GROUP_MAX_MACHINES = 12  # up to here one group takes fewer messages than leaders
GROUP_SIZE_FLOOR = 8  # least bound on a group's size, so that there are few leaders


def group_machines(machines):
    """
    Return the groups as tuples of `Machine` records, each within one zone.

    A small fleet is one group. The result depends only on the set of machines, so that
    all daemons that know the same machines form the same groups. In a large fleet
    groups have about the square root of its size, but a zone may have fewer machines.
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
    """Return `members` split into groups of nearly equal size, at most `size`."""
    count = ceil(len(members) / size)
    bounds = [len(members) * number // count for number in range(count + 1)]
    return [tuple(members[a:b]) for a, b in zip(bounds, bounds[1:])]


class GrantTotals:
    """
    Tokens granted by other daemons since their first heartbeat here, by customer.

    A total doesn't fall when a daemon restarts, and doesn't jump when the first
    heartbeat of a daemon arrives that has granted tokens before.
    """

    def __init__(self):
        self._last_spent = {}
        self._totals = Counter()

    def record(self, identity, spent):
        """Record the tokens that ``name/incarnation`` has granted since its start."""
        name, _, incarnation = identity.partition("/")
        last_incarnation, last_spent = self._last_spent.get(name, (incarnation, spent))
        if last_incarnation != incarnation:
            last_spent = {}
        self._last_spent[name] = (incarnation, spent)
        for customer, tokens in spent.items():
            self._totals[customer] += tokens - last_spent.get(customer, 0)

    def including_own(self, spent):
        """Return the totals plus the tokens that this daemon has granted."""
        totals = self._totals.copy()
        totals.update(spent)
        return {customer: tokens for customer, tokens in totals.items() if tokens}


@dataclass
class AggregatedState:
    """
    Sum of the states of several daemons or groups.

    Attributes:

    `loads`
        Maps back ends to running requests, prompt tokens not yet processed, and prompt
        tokens per second.
    `adapters`
        Maps back ends to running requests by adapter.
    `awaited`
        Maps engines to requests that wait for a load, by adapter.
    `open_places`
        Maps engines where places are scarce to the loads that could begin there.
    `held`
        Maps engines to what they have loaded, as in `PeerState`.
    `revisions`
        Maps kinds to the highest revision.
    `limits`
        The limits of back ends, as `RateLimits.report` returns them.
    `offered`
        Maps services to requests, refusals and tokens per second.
    `store_answer_age`
        Seconds since the store last answered one of the daemons.
    `room`, `waiting`
        Requests at engines and waiting requests of services, as in `PeerState`.
    `slowness`
        Sums of the evidence of back ends' slowness.
    """

    loads: dict = field(default_factory=dict)
    adapters: dict = field(default_factory=dict)
    awaited: dict = field(default_factory=dict)
    open_places: dict = field(default_factory=dict)
    held: dict = field(default_factory=dict)
    revisions: dict = field(default_factory=dict)
    limits: dict = field(default_factory=dict)
    offered: dict = field(default_factory=dict)
    store_answer_age: float = float("inf")
    room: dict = field(default_factory=dict)
    waiting: dict = field(default_factory=dict)
    slowness: dict = field(default_factory=dict)

    def add_state(self, state, age=0.0):
        """Add the `PeerState` of one daemon, received `age` seconds ago."""
        for back_end, (running, tokens, adapters) in state.loads.items():
            self._add_load(back_end, (running, tokens, 0))
            _add_counts(self.adapters, back_end, adapters)
        for back_end, rate in state.rates.items():
            self._add_load(back_end, (0, 0, rate))
        self._add_common_fields(state, age)

    def add_digest(self, digest, age=0.0):
        """Add the `GroupDigest` of one group, received `age` seconds ago."""
        for back_end, load in digest.loads.items():
            self._add_load(back_end, load)
        for back_end, adapters in digest.adapters.items():
            _add_counts(self.adapters, back_end, adapters)
        self._add_common_fields(digest, age)

    def _add_load(self, back_end, load):
        known = self.loads.get(back_end, (0, 0, 0))
        self.loads[back_end] = tuple(a + b for a, b in zip(known, load))

    def _add_common_fields(self, source, age):
        self.store_answer_age = min(
            self.store_answer_age, source.store_answer_age + age
        )
        for engine, awaited in source.awaited.items():
            _add_counts(self.awaited, engine, awaited)
        for totals, counts in (self.room, source.room), (self.waiting, source.waiting):
            for name, values in counts.items():
                totals[name] = add_counts(totals.get(name, ()), values)
        self.held.update(source.held)
        self.open_places.update(source.open_places)
        for service, rates in source.offered.items():
            known = self.offered.get(service, (0.0, 0.0, 0.0))
            self.offered[service] = tuple(a + b for a, b in zip(known, rates))
        for kind, revision in source.revisions.items():
            self.revisions[kind] = max(revision, self.revisions.get(kind, 0))
        for incarnation, (total, weight) in source.slowness.items():
            known = self.slowness.get(incarnation, (0.0, 0.0))
            self.slowness[incarnation] = (known[0] + total, known[1] + weight)
        for back_end, (rate, since, sends) in source.limits.items():
            self._add_limit(back_end, (rate, since + age), sends)

    def _add_limit(self, back_end, limit, sends):
        if back_end in self.limits:
            *known, known_sends = self.limits[back_end]
            limit = newest_limit(limit, tuple(known))
            sends += known_sends
        self.limits[back_end] = (*limit, sends)


def _add_counts(totals, back_end, counts):
    """Add `counts` by adapter to those of `back_end`."""
    if counts:
        totals.setdefault(back_end, Counter()).update(counts)
