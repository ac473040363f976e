"""
tests.test_peers
~~~~~~~~~~~~~~~~

Selection of the machines that watch the store for the fleet.
"""

from collections import Counter

import pytest

from rosemarypath.frames import Frame
from rosemarypath.link import Mesh
from rosemarypath.machine import Machine
from rosemarypath.peermessages import MirrorEvents
from rosemarypath.peers import WATCHER_COUNT, Peers
from rosemarypath.storecache import StoreCache
from tests.edgefleet import configuration

CHANGE_INTERVAL_SECONDS = 0.33  # between two changes of the platform's fastest series


def machine(number):
    return Machine(
        name=f"m{number}",
        incarnation="1",
        zone=f"z{number % 4}",
        callers_address="a",
        peers_address="p",
    )


@pytest.fixture
def peers():
    """Return the `Peers` of one of eight machines that are all alive."""
    known = Peers(machine(0), 0.0, 0.0)
    known.set_machines([machine(number) for number in range(8)], 0.0, 0.0)
    for peer in known.by_name.values():
        peer.heard_at = 5.0
    return known


def test_a_fixed_number_of_machines_watches_while_all_reach_the_store(peers):
    assert len(peers.select_watchers(True, 5.0)) == WATCHER_COUNT


def test_machines_that_lost_the_store_are_replaced_and_more_are_selected(peers):
    lost = peers.select_watchers(True, 5.0)[:2]
    for name in set(lost) - {"m0"}:
        peers.by_name[name].is_store_reachable = False
    watchers = peers.select_watchers("m0" not in lost, 5.0)
    assert not set(lost) & set(watchers)
    assert len(watchers) == WATCHER_COUNT + 2


def test_only_machines_that_reach_the_store_watch(peers):
    for name in ("m1", "m2", "m3", "m4", "m5"):
        peers.by_name[name].is_store_reachable = False
    assert sorted(peers.select_watchers(True, 5.0)) == ["m0", "m6", "m7"]


def big_fleet(bandwidths):
    """Return the `Peers` of the first of 68 machines in five zones."""
    machines = [
        Machine(
            name=f"n{number}",
            incarnation="1",
            zone=f"z{number % 5}",
            callers_address="a",
            peers_address="p",
            bandwidth=bandwidths(number),
        )
        for number in range(68)
    ]
    known = Peers(machines[0], 0.0, 0.0)
    known.set_machines(machines, 0.0, 0.0)
    for peer in known.by_name.values():
        peer.heard_at = 5.0
    return known


def relay_seconds(peers, route_count):
    """Return how long the slowest watching machine sends one configuration."""
    routes = [
        {"name": f"r{n}", "pathPrefix": f"/p{n}/", "kind": "safe", "maxAttempts": 2}
        for n in range(route_count)
    ]
    fields = ("main", 9, configuration(routes=routes), False)
    message = MirrorEvents("config", 1, 9, 100.0, [fields])
    watchers = peers.select_watchers(True, 5.0)
    machines = [peers.own, *(peer.machine for peer in peers.by_name.values())]
    served = Counter(peers.relay_for(watchers, machine.name) for machine in machines)
    _, data = Mesh("n0/1", "p").encode("n1/1", [Frame(0, 0, message)])
    return max(
        served[machine.name] * len(data) * 8 / (machine.bandwidth * 1e6)
        for machine in machines
        if machine.name in watchers
    )


def test_relaying_a_large_configuration_keeps_up_with_a_change_every_third_second():
    one_fast_machine_in_seven = big_fleet(lambda number: 10 if number % 7 else 200)
    assert relay_seconds(one_fast_machine_in_seven, 350) < CHANGE_INTERVAL_SECONDS


def test_fast_machines_of_different_zones_watch_the_store():
    peers = big_fleet(lambda number: 10 if number % 7 else 200)
    watchers = peers.select_watchers(True, 5.0)
    machines = [peers.own, *(peer.machine for peer in peers.by_name.values())]
    chosen = [machine for machine in machines if machine.name in watchers]
    assert {machine.bandwidth for machine in chosen} == {200}
    assert len({machine.zone for machine in chosen}) == WATCHER_COUNT


class Log:
    """Stands in for a `DecisionLog`."""

    def write(self, part, event, **fields):
        """Discard the line."""


def test_a_daemon_probes_the_store_before_it_assumes_an_outage(peers):
    store_cache = StoreCache(None, peers, None, 1.2, Log(), "servers", "holders")
    store_cache.health.note_answer(5.0)
    store_cache.availability.note_answer(5.0)
    for peer in peers.by_name.values():
        peer.heard_at = 6.5
    peers.own = machine(max(set(range(8)) - _numbers(peers.select_watchers(True, 5.0))))
    peers.by_name.pop(peers.own.name)
    store_cache.choose_watchers(5.2)
    assert not store_cache.is_watching
    assert not store_cache.is_probing
    store_cache.choose_watchers(5.0 + store_cache.availability.outage_threshold - 0.5)
    assert not store_cache.is_watching
    assert store_cache.is_probing
    store_cache.availability.note_answer(6.4)
    store_cache.choose_watchers(6.5)
    assert not store_cache.is_probing


def _numbers(names):
    return {int(name.removeprefix("m")) for name in names}
