"""
tests.test_membership
~~~~~~~~~~~~~~~~~~~~~

Unit tests of the roster, witnesses, leases, fencing and ownership.
"""

import msgspec
import pytest

from rosemarypath.fencing import Fencing
from rosemarypath.machine import DRAINING, Machine
from rosemarypath.ownership import FENCES_PER_REVISION, Ownership
from rosemarypath.quorumlease import QuorumLease
from rosemarypath.roster import Roster, choose_witnesses
from rosemarypath.witness import Witness


def machine(name, zone="z", witnesses=(), incarnation="1"):
    return Machine(
        name=name,
        incarnation=incarnation,
        zone=zone,
        callers_address="",
        peers_address=f"{name}:1",
        witnesses=tuple(witnesses),
    )


def roster_of(*machines, revision=1):
    return Roster(revision=revision, machines={m.name: m for m in machines})


@pytest.fixture
def five_machines():
    ids = [f"n{n}/1" for n in range(5)]
    return roster_of(*(machine(f"n{n}", f"z{n % 3}", ids) for n in range(5)))


def test_replaced_incarnation_is_listed_as_departed(five_machines):
    changed = five_machines.with_machine(machine("n0", incarnation="2"))
    assert "n0/1" in changed.departed
    assert changed.is_current("n0/2")
    assert changed.find("n0/1").name == "n0"
    assert "n0/1" not in changed.without({"n0/1"}).members


def test_delta_gives_the_newer_roster(five_machines):
    changed = five_machines.with_machine(machine("n0", incarnation="2")).without(
        {"n3/1"}
    )
    newer = msgspec.structs.replace(changed, revision=7)
    delta = newer.delta_since(five_machines)
    assert set(delta.changed) == {"n0"}
    assert delta.removed == ("n3",)
    assert five_machines.with_delta(delta) == newer
    assert five_machines.with_delta(newer.delta_since(Roster())) == newer


def test_draining_machine_is_no_candidate(five_machines):
    draining = msgspec.structs.replace(five_machines.machines["n0"], state=DRAINING)
    assert "n0/1" not in five_machines.with_machine(draining).candidates


def test_owner_order_is_the_same_after_a_restart(five_machines):
    before = [i.partition("/")[0] for i in five_machines.rank_owners("r")]
    restarted = five_machines.with_machine(machine("n0", incarnation="2"))
    assert [i.partition("/")[0] for i in restarted.rank_owners("r")] == before


def test_relays_come_from_every_zone(five_machines):
    zones = [five_machines.find(relay).zone for relay in five_machines.relays()]
    assert set(zones) == {"z0", "z1", "z2"}
    assert len(zones) == 5


def test_witnesses_are_in_different_zones_and_stay():
    others = [machine(f"m{n}", f"z{n % 4}") for n in range(9)]
    roster = roster_of(*others)
    chosen = choose_witnesses(others[0], roster)
    assert chosen[0] == "m0/1"
    assert len(chosen) == 5
    zones = {roster.find(identity).zone for identity in chosen}
    assert len(zones) == 4
    kept = msgspec.structs.replace(others[0], witnesses=chosen)
    again = choose_witnesses(kept, roster.with_machine(kept), {chosen[1]})
    assert len(set(chosen) & set(again)) == 4
    assert chosen[1] not in again


def test_lease_needs_acks_of_most_witnesses():
    lease = QuorumLease("a/1", 1.5)
    assert not lease.is_valid(0.0)
    lease.add_witness_set(1, ["a/1", "b/1", "c/1"])
    assert not lease.is_valid(10.0)
    lease.record_ack("b/1", 9.0)
    assert lease.is_valid(10.0)
    assert not lease.is_valid(10.5)


def test_lease_needs_old_and_new_witnesses_until_the_barrier():
    lease = QuorumLease("a/1", 1.5)
    lease.add_witness_set(1, ["a/1", "b/1", "c/1"])
    lease.add_witness_set(2, ["a/1", "d/1", "e/1"])
    lease.record_ack("d/1", 10.0)
    assert not lease.is_valid(10.0)
    lease.drop_sets_before(2)
    assert lease.is_valid(10.0)


def test_lease_refused_by_most_witnesses_is_revoked():
    lease = QuorumLease("a/1", 1.5)
    lease.add_witness_set(1, ["a/1", "b/1", "c/1"])
    lease.record_refusal("b/1")
    assert not lease.is_revoked()
    lease.record_refusal("c/1")
    assert lease.is_revoked()


def test_witness_never_acknowledges_after_testifying(five_machines):
    witness = Witness("n1/1", 1.8)
    assert witness.record_heartbeat("n0/1", 0.0)
    assert witness.find_expired(five_machines, 1.0) == []
    assert "n0/1" in witness.find_expired(five_machines, 2.0)
    assert not witness.record_heartbeat("n0/1", 2.1)


def test_paused_witness_restarts_all_timeouts(five_machines):
    witness = Witness("n1/1", 1.8)
    witness.record_heartbeat("n0/1", 0.0)
    witness.restart_timeouts(10.0)
    assert witness.find_expired(five_machines, 10.5) == []


def test_proof_needs_most_witnesses(five_machines):
    fencing = Fencing()
    assert not fencing.add_testimony("n1/1", "n0/1", five_machines)
    assert not fencing.add_testimony("n2/1", "n0/1", five_machines)
    assert not fencing.add_testimony("n2/1", "n0/1", five_machines)
    assert not fencing.add_testimony("stranger/1", "n0/1", five_machines)
    assert fencing.add_testimony("n3/1", "n0/1", five_machines)
    assert fencing.is_fenced("n0/1")


def test_proof_is_dropped_when_the_machine_changes_its_witnesses(five_machines):
    fencing = Fencing()
    fencing.add_reported_proof("n0/1", five_machines)
    changed = machine("n0", "z0", ["n0/1", "n1/1", "n4/1"])
    newer = msgspec.structs.replace(five_machines.with_machine(changed), revision=2)
    assert not fencing.is_proof_valid("n0/1", newer)
    fencing.adopt(newer)
    assert not fencing.is_fenced("n0/1")


@pytest.fixture
def owner(five_machines):
    first = five_machines.rank_owners("r")[0]
    ownership = Ownership(first, Fencing())
    ownership.adopt(five_machines)
    return ownership


def test_owner_waits_for_the_barrier(owner, five_machines):
    assert owner.fence_of("r") is None
    owner.raise_barrier(1)
    assert owner.fence_of("r") == FENCES_PER_REVISION


def test_owner_keeps_resources_under_a_new_roster(owner, five_machines):
    owner.raise_barrier(1)
    owner.fence_of("r")
    newer = msgspec.structs.replace(five_machines, revision=2)
    assert owner.adopt(newer) == set()
    assert owner.fence_of("r") == FENCES_PER_REVISION
    owner.raise_barrier(2)
    assert owner.fence_of("r") == 2 * FENCES_PER_REVISION


def test_successor_behind_by_a_revision_has_the_higher_token(owner, five_machines):
    owner.raise_barrier(1)
    owner.fence_of("r")
    owner.adopt(msgspec.structs.replace(five_machines, revision=2))
    first, second = five_machines.rank_owners("r")[:2]
    fencing = Fencing()
    successor = Ownership(second, fencing)
    successor.adopt(five_machines)
    successor.raise_barrier(1)
    fencing.add_reported_proof(first, five_machines)
    assert successor.fence_of("r") > owner.fence_of("r")


def test_successor_owns_the_resource_once_the_owner_is_fenced(five_machines):
    first, second = five_machines.rank_owners("r")[:2]
    fencing = Fencing()
    successor = Ownership(second, fencing)
    successor.adopt(five_machines)
    successor.raise_barrier(1)
    assert successor.fence_of("r") is None
    fencing.add_reported_proof(first, five_machines)
    assert successor.fence_of("r") == FENCES_PER_REVISION + 1
    assert successor.owner_of("r") == second


def test_owner_releases_resources_that_moved(owner, five_machines):
    owner.raise_barrier(1)
    owner.fence_of("r")
    first = five_machines.rank_owners("r")[0].partition("/")[0]
    draining = msgspec.structs.replace(five_machines.machines[first], state=DRAINING)
    newer = msgspec.structs.replace(five_machines.with_machine(draining), revision=2)
    assert owner.adopt(newer) == {"r"}
    assert owner.fence_of("r") is None
