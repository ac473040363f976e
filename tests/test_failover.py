"""
tests.test_failover
~~~~~~~~~~~~~~~~~~~

Searches the model of the membership for a resource with two owners at a time.
"""

from random import Random

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.membershipmodel import LEASE, RESOURCES, ROUND, World

INDEX = st.integers(min_value=0, max_value=6)
ROUNDS = st.integers(min_value=1, max_value=16)
RANDOM = st.integers(0, 2**32 - 1).map(Random)
RECOVERY_ROUNDS = 24


class FailoverMachine(RuleBasedStateMachine):
    """
    Pauses, network partitions, restarts and store outages, in any order.

    The model raises `AssertionError` when a former owner of a resource acts after its
    successor.
    """

    @initialize(size=st.integers(1, 7), zones=st.integers(1, 4), random=RANDOM)
    def start(self, size, zones, random):
        self.world = World(size, zones)
        self.world.run(RECOVERY_ROUNDS, random)

    def node(self, index):
        return self.world.nodes[index % len(self.world.nodes)]

    def links_of(self, index):
        """Return all one-way links to and from a node, as pairs of names."""
        name = self.node(index).name
        others = [other.name for other in self.world.nodes]
        return {(name, o) for o in others} | {(o, name) for o in others}

    @rule(rounds=ROUNDS, random=RANDOM)
    def run_rounds(self, rounds, random):
        self.world.run(rounds, random)

    @rule(random=RANDOM)
    def repair_all(self, random):
        self.world.cut.clear()
        self.world.store.is_up = True
        for node in self.world.nodes:
            node.is_paused = False
        self.world.run(RECOVERY_ROUNDS, random)

    @rule(index=INDEX, rounds=ROUNDS, random=RANDOM, ends=st.booleans())
    def pause(self, index, rounds, random, ends):
        self.node(index).is_paused = True
        self.world.run(rounds, random)
        self.node(index).is_paused = not ends

    @rule(index=INDEX, rounds=ROUNDS, random=RANDOM, ends=st.booleans())
    def isolate(self, index, rounds, random, ends):
        self.world.cut |= self.links_of(index)
        self.world.run(rounds, random)
        if ends:
            self.world.cut -= self.links_of(index)

    @rule(owner_of=st.sampled_from(RESOURCES), rounds=ROUNDS, random=RANDOM)
    def isolate_owner(self, owner_of, rounds, random):
        name = self.world.last_acts.get(owner_of, ("n0/1",))[0].partition("/")[0]
        links = self.links_of(int(name[1:]))
        self.world.cut |= links
        self.world.run(rounds, random)
        self.world.cut -= links

    @rule(group=st.sets(INDEX, max_size=4), rounds=ROUNDS, random=RANDOM)
    def partition_network(self, group, rounds, random):
        inside = {self.node(index).name for index in group}
        outside = {node.name for node in self.world.nodes} - inside
        links = {(a, b) for a in inside for b in outside}
        links |= {(b, a) for a, b in links}
        self.world.cut |= links
        self.world.run(rounds, random)
        self.world.cut -= links

    @rule(index=INDEX, rounds=ROUNDS, random=RANDOM)
    def restart(self, index, rounds, random):
        node = self.node(index)
        node.start_incarnation()
        node.is_paused = False
        self.world.run(rounds, random)

    @rule(sender=INDEX, receiver=INDEX, rounds=ROUNDS, random=RANDOM)
    def cut_one_way(self, sender, receiver, rounds, random):
        self.world.cut.add((self.node(sender).name, self.node(receiver).name))
        self.world.run(rounds, random)

    @rule(is_up=st.booleans())
    def set_store_up(self, is_up):
        self.world.store.is_up = is_up


TestFailover = FailoverMachine.TestCase
TestFailover.settings = settings(
    max_examples=100,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def run_seconds(world, random, seconds):
    world.run(int(seconds / ROUND), random)


def test_successor_behind_by_a_revision_acts_with_a_higher_token():
    machine = FailoverMachine()
    machine.start(size=7, zones=4, random=Random(85395))
    machine.set_store_up(True)
    machine.repair_all(Random(1714))
    machine.run_rounds(15, Random(5638))
    machine.restart(index=3, rounds=1, random=Random(1024))
    machine.isolate_owner("weights", 13, Random(316))
    machine.set_store_up(False)
    machine.isolate_owner("backend/x", 10, Random(1059610))
    assert machine.world.last_acts["backend/x"][0] == "n3/2"


def test_every_resource_gets_a_new_owner_while_the_store_is_down():
    random = Random(1)
    world = World(5, 3)
    run_seconds(world, random, 6.0)
    assert set(world.last_acts) == {"backend/x", "customer/y", "weights"}
    world.store.is_up = False
    owner = world.last_acts["weights"][0]
    for node in world.nodes:
        node.is_paused = node.identity == owner
    run_seconds(world, random, 3 * LEASE)
    assert world.last_acts["weights"][0] != owner
    for node in world.nodes:
        node.is_paused = False
    world.store.is_up = True
    run_seconds(world, random, 10.0)
    assert all(node.lease.is_valid(world.now) for node in world.nodes)


def test_all_daemons_restarted_at_once_recover():
    random = Random(3)
    world = World(5, 3)
    run_seconds(world, random, 6.0)
    for node in world.nodes:
        node.start_incarnation()
    acts = world.acts
    run_seconds(world, random, 8.0)
    assert all(node.lease.is_valid(world.now) for node in world.nodes)
    assert world.acts > acts
    assert not world.store.roster.departed


def test_a_single_machine_owns_all_resources():
    world = World(1, 1)
    run_seconds(world, Random(2), 2.0)
    assert len(world.last_acts) == 3
