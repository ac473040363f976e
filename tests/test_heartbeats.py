"""
tests.test_heartbeats
~~~~~~~~~~~~~~~~~~~~~

The exchange of states among many daemons, played in simulated time.
"""

import pytest

from rosemarypath.groups import GROUP_SIZE_FLOOR
from rosemarypath.peermessages import LeasePing
from rosemarypath.peers import PEER_TIMEOUT_SECONDS, RELAY_DELAY_SECONDS
from standins.simulatedfleet import BEAT, Play


@pytest.fixture
def play_of(monkeypatch):
    """Return a function that makes a `Play` of so many daemons."""
    return lambda total: Play(total, monkeypatch)


@pytest.mark.parametrize("total", [9, 40, 120])
def test_all_hear_of_all_and_of_their_loads(play_of, total):
    play = play_of(total)
    play.beat(3.0)
    running = sum(daemon.fleet.running for daemon in play.daemons)
    for daemon in play.daemons:
        assert len(daemon.peers.alive_names(play.now)) == total
        assert daemon.fleet.total_running() == running - daemon.fleet.running


def test_messages_of_a_daemon_do_not_grow_with_the_fleet(play_of):
    for total in (40, 160):
        play = play_of(total)
        play.beat(3.0)
        play.network.sent.clear()
        play.beat(2.0)
        each = sorted(count * BEAT / 2.0 for count in play.network.sent.values())
        # A member speaks to its group, a lead besides to the other leads and its group.
        groups = len(play.daemons[0].peers.other_groups) + 1
        size = max(GROUP_SIZE_FLOOR, total**0.5)
        assert each[len(each) // 2] <= size
        assert each[-1] <= 2 * size + groups


def test_a_dead_machine_is_no_longer_heard_and_its_group_still_is(play_of):
    play = play_of(40)
    play.beat(3.0)
    watched = play.daemons[0]
    far = {m.name for group in watched.peers.other_groups for m in group}
    for daemon in [d for d in play.daemons if d.machine.name in far][:3]:
        # Leads among them too: all of one group are turned off one after another.
        play.turn_off(daemon)
        gone_at = play.now
        while (
            play.now - gone_at < PEER_TIMEOUT_SECONDS + RELAY_DELAY_SECONDS + 3 * BEAT
        ):
            play.beat(BEAT)
            alive = {d.machine.name for d in play.running()}
            assert alive <= set(watched.peers.alive_names(play.now))
        assert daemon.machine.name not in watched.peers.alive_names(play.now)


def test_the_death_of_each_lead_at_once_hides_nobody_who_lives(play_of):
    play = play_of(40)
    play.beat(3.0)
    leads = {d.peers.group_leader(False, play.now) for d in play.daemons}
    for daemon in play.daemons:
        if daemon.machine.name in leads:
            play.turn_off(daemon)
    for _ in range(round(3.0 / BEAT)):
        play.beat(BEAT)
        alive = {daemon.machine.name for daemon in play.running()}
        for daemon in play.running():
            assert alive <= set(daemon.peers.alive_names(play.now))
    for daemon in play.running():
        assert not leads & set(daemon.peers.alive_names(play.now))


def test_a_zone_that_loses_power_is_not_waited_for(play_of):
    play = play_of(40)
    play.beat(3.0)
    for daemon in play.daemons:
        if daemon.machine.zone == "z1":
            play.turn_off(daemon)
    play.beat(PEER_TIMEOUT_SECONDS + RELAY_DELAY_SECONDS + 2 * BEAT)
    for daemon in play.running():
        assert len(daemon.peers.alive_names(play.now)) == 30
        named = daemon.peers.directory_machines(True, play.now)
        assert {machine.zone for machine in named} == {"z0", "z2", "z3"}


def test_grants_reach_all_once(play_of):
    play = play_of(40)
    play.beat(3.0)
    for daemon in play.daemons:
        daemon.fleet.budgets.spent = {"kiln": 100}
    before = [_granted(daemon) for daemon in play.daemons]
    play.beat(2.0)
    for daemon, known in zip(play.daemons, before):
        assert _granted(daemon) - known == 100 * 39


def _granted(daemon):
    """Return the tokens that a daemon heard of as granted by others."""
    return sum(state.spent.get("kiln", 0) for state in daemon.fleet.fresh())


def test_what_an_engine_holds_reaches_all_though_it_is_told_now_and_then(play_of):
    play = play_of(40)
    play.beat(3.0)
    play.daemons[7].fleet.held = {"engine": [("m", 1, {"a9": 1})]}
    play.beat(1.2)
    for daemon in play.daemons:
        if daemon is not play.daemons[7]:
            assert daemon.fleet.heard_held == {"engine": [("m", 1, {"a9": 1})]}
    for daemon in play.daemons:
        daemon.fleet.heard_held.clear()
    play.beat(2.4)
    for daemon in play.daemons:
        if daemon is not play.daemons[7]:
            assert daemon.fleet.heard_held


def test_a_machine_of_another_group_acknowledges_when_it_is_asked(play_of):
    play = play_of(40)
    play.beat(3.0)
    daemon = play.daemons[0]
    assert not daemon.peers.all_acknowledged("rosemarypath-holders", 5, play.now)
    number = daemon.peers.next_heartbeat_number(play.now)
    for peer in daemon.peers.by_name.values():
        message = LeasePing(number)
        play.network.deliver(daemon.machine.identity, peer.machine.identity, message)
    assert daemon.peers.all_acknowledged("rosemarypath-holders", 5, play.now)
    assert not daemon.peers.all_acknowledged("rosemarypath-holders", 4, play.now)


def test_what_a_former_holder_told_is_not_told_on(play_of):
    play = play_of(40)
    play.beat(3.0)
    before, after = play.daemons[7], play.daemons[12]
    assert before.machine.zone != after.machine.zone
    before.fleet.held = {"engine": [("m", 1, {"old": 1})]}
    play.beat(2.0)
    before.fleet.held = {}
    after.fleet.held = {"engine": [("m", 1, {"new": 1})]}
    play.beat(2.0)
    for daemon in play.daemons:
        daemon.fleet.heard_held.clear()
    for _ in range(round(3.0 / BEAT)):
        play.beat(BEAT)
        for daemon in play.daemons:
            assert daemon.fleet.heard_held.get("engine") in (
                None,
                after.fleet.held["engine"],
            )


def note_store_answer(play, daemon):
    """Let the store answer one daemon now."""
    daemon.store_cache.health.note_answer(play.now)
    daemon.store_cache.availability.note_answer(play.now)


def beat_with_store(play, daemon, seconds):
    """Let all daemons beat for `seconds` while the store answers one of them."""
    for _ in range(round(seconds / BEAT)):
        note_store_answer(play, daemon)
        play.beat(BEAT)


@pytest.mark.parametrize("total", [9, 40])
def test_an_answer_of_the_store_to_one_daemon_is_known_to_all(play_of, total):
    play = play_of(total)
    beat_with_store(play, play.daemons[5], 6.0)
    for daemon in play.daemons:
        assert daemon.store_cache.availability.is_stable(play.now)
        assert daemon.store_cache.availability.answer_age(play.now) <= 1.0


@pytest.mark.parametrize("total", [9, 40])
def test_while_nobody_has_an_answer_no_message_makes_the_store_seem_there(
    play_of, total
):
    play = play_of(total)
    beat_with_store(play, play.daemons[5], 3.0)
    play.beat(4.0)
    for daemon in play.daemons:
        assert daemon.store_cache.availability.reachable_seconds(play.now) == 0.0
    returned_at = play.now
    beat_with_store(play, play.daemons[5], 1.5)
    for daemon in play.daemons:
        assert not daemon.store_cache.availability.is_stable(returned_at + 1.5)
    beat_with_store(play, play.daemons[5], 2.0)
    for daemon in play.daemons:
        assert daemon.store_cache.availability.is_stable(play.now)


def test_the_death_of_each_lead_does_not_make_the_store_seem_away(play_of):
    play = play_of(40)
    for step in range(round(12.0 / BEAT)):
        if step == round(5.0 / BEAT):
            leads = {d.peers.group_leader(False, play.now) for d in play.daemons}
            for daemon in play.daemons:
                if daemon.machine.name in leads:
                    play.turn_off(daemon)
        # Whoever is first watches, so that others take over from dead machines.
        for daemon in play.running()[:2]:
            note_store_answer(play, daemon)
        play.beat(BEAT)
        if play.now > 3.0:
            for daemon in play.running():
                assert daemon.store_cache.availability.is_stable(play.now)
