"""
tests.test_faults
~~~~~~~~~~~~~~~~~

Fleets of real processes under faults: one short run of the proofs with a fixed seed,
and three scenarios in which a machine fails or all machines are replaced.
"""

import time

import pytest

from bench.fleet import Fleet
from proofs.events import Run
from proofs.rules import check_all, get_rule_by_number
from proofs.run import FaultyRun, fleet_plan, prove

SEED = 11
FAULTS = (
    "hush_engine",
    "kill_machine",
    "leaving",
    "new_version",
    "pause_machine",
    "service_loses_answers",
    "stop_machine",
    "withdraw_key",
    "zone_out",
)


def test_all_rules_hold_in_a_short_run(tmp_path):
    verdicts = prove(
        SEED, tmp_path / "run", machines=5, faults=FAULTS, rate=14.0, quiet=True
    )
    assert [(str(v), v.violations[:3]) for v in verdicts if v.state != "held"] == []


@pytest.fixture
def loaded_run(tmp_path):
    """Yield a `FaultyRun` on five daemons; the test itself injects the faults."""
    with Fleet(fleet_plan(5), tmp_path / "run") as fleet:
        fleet.wait_until_stable()
        run = FaultyRun(fleet, SEED, 10.0, ["engine_stalls"])
        run._record_fleet()
        yield run


def finish(run, callers):
    """Wait for the callers and the operator; return the recorded events."""
    callers.wait()
    run.operator.wait()
    return Run.from_directory(run.fleet.directory)


def assert_no_rule_broken(events):
    """Assert that no rule is broken; rules without events are accepted."""
    broken = [v for v in check_all(events) if v.state == "broken"]
    assert [(str(verdict), verdict.violations[:3]) for verdict in broken] == []


def test_killed_machine_breaks_only_its_running_requests(loaded_run):
    callers = loaded_run._start_callers(14.0)
    time.sleep(5.0)
    loaded_run.fleet.kill("entry-2")
    killed_at = time.time()
    events = finish(loaded_run, callers)
    assert_no_rule_broken(events)
    assert events.of("caller_gave_up") == []
    killed_address = loaded_run.fleet.callers_address("entry-2")
    for event in events.of("caller_broken", "caller_stream_error"):
        assert event["address"] == killed_address
        assert event["started"] < killed_at
    answered = [e for e in events.of("caller_answered") if e["started"] > killed_at]
    assert answered


def test_machine_dies_during_a_store_outage(loaded_run):
    fleet = loaded_run.fleet
    callers = loaded_run._start_callers(18.0)
    time.sleep(4.0)
    fleet.set_faults("object-api", down=True)
    owner = next(
        name
        for name in fleet.machine_names
        if any("engine" in b["name"] for b in fleet.status(name)["back_ends"])
    )
    fleet.kill(owner)
    killed_at = time.time()
    events = finish(loaded_run, callers)
    assert_no_rule_broken(events)
    answered = [e for e in events.of("caller_answered") if e["started"] > killed_at + 6]
    assert answered
    new_owners = [e for e in events.of("owner_ready") if e["time"] > killed_at]
    assert {e["process"] for e in new_owners} <= set(fleet.machine_names) - {owner}
    assert new_owners


def test_all_machines_are_replaced_in_turn(loaded_run):
    fleet = loaded_run.fleet
    callers = loaded_run._start_callers(40.0)
    for name in fleet.machine_names:
        loaded_run.start_stopping(name)
        loaded_run.wait_until_stopped(name)
        fleet.start_machine(name)
        fleet.wait_ready(name)
    events = finish(loaded_run, callers)
    assert_no_rule_broken(events)
    assert get_rule_by_number(13)(events).state == "held"
    assert events.of("caller_gave_up") == []
