"""
tests.test_proof_rules
~~~~~~~~~~~~~~~~~~~~~~

Each checker accepts a correct history and detects a violation of its rule.
"""

import pytest

from proofs.events import Run
from proofs.faults import draw_plan, get_fault_by_name, known_faults
from proofs.mutants import known_mutants
from proofs.rules import check_all, get_rule_by_number


def event(time, kind, process="p", **fields):
    return {"time": time, "process": process, "kind": kind, **fields}


def correct_events():
    """Return a history without violations in which every rule has events to check."""
    model_request = {"request": "r", "customer": "c", "adapter": "a@1"}
    service_request = {"request": "s", "customer": "c", "adapter": ""}
    answer = {
        "request": "r",
        "customer": "c",
        "model": "a",
        "max_tokens": 2,
        "text": "a@1:r:0 a@1:r:1 ",
        "address": "m1",
        "started": 10.0,
        "caller": "k",
    }
    return [
        event(0.0, "contract", customer="c", rate=10, burst=100),
        event(0.0, "back_end_zone", back_end="e", zone="z"),
        event(0.0, "route_owner", route="a", customer="c"),
        event(1.0, "accepted", revision=1),
        event(
            10.0,
            "admitted",
            **model_request,
            key="k1",
            route="a",
            tokens=50,
            revision=1,
        ),
        event(10.1, "sent", **model_request, back_end="e", fence=1, revision=1),
        event(
            10.2, "request_start", "e", **model_request, fence=1, running=1, cold=True
        ),
        event(11.0, "request_end", "e", request="r", tokens=2, prompt_tokens=5),
        event(11.1, "caller_answered", **answer),
        event(12.0, "request_start", "s1", **service_request, idempotency_key="i"),
        event(12.5, "unload", "e", adapter="a@1", in_use=0),
        event(13.0, "caller_refused", request="q", customer="c", not_run=True, code=""),
        event(14.0, "withdraw_accepted", key="k1", revision=2),
        event(14.0, "accepted", revision=2),
        event(15.0, "zone_out_accepted", zone="z"),
        event(15.0, "leaving_set", back_end="e"),
        event(9.0, "stop_begun", machine="m", stop=1, address="m1"),
        event(12.0, "stop_ended", machine="m", stop=1),
    ]


LATE_REQUEST = {"request": "late", "customer": "c", "adapter": "a@1"}
VIOLATING_EVENTS = {
    1: [event(10.3, "request_start", "e", request="r", customer="c", adapter="b@1")],
    2: [event(10.5, "unload", "e", adapter="a@1", in_use=1)],
    3: [event(10.3, "request_start", "e", request="r", customer="d", adapter="a@1")],
    4: [event(10.3, "key_seen", "e")],
    5: [
        event(
            15.8, "admitted", **LATE_REQUEST, key="k1", route="a", tokens=0, revision=2
        ),
        event(16.0, "sent", **LATE_REQUEST, revision=2),
    ],
    6: [
        event(
            10.1,
            "admitted",
            **LATE_REQUEST,
            key="k1",
            route="a",
            tokens=500,
            revision=1,
        ),
        event(10.9, "request_end", "e", request="late", tokens=400, prompt_tokens=0),
    ],
    7: [event(10.3, "fell_over", "e", running=3)],
    8: [event(17.0, "request_start", "e", **LATE_REQUEST)],
    9: [
        event(
            11.2,
            "caller_answered",
            request="r2",
            customer="c",
            model="a",
            max_tokens=2,
            text="a@1:r2:0 a@1:r2:0 a@1:r2:1 ",
            address="m2",
            started=10.0,
            caller="k2",
        )
    ],
    10: [event(13.5, "request_start", "e", request="q", customer="c", adapter="")],
    11: [event(12.3, "request_start", "s1", request="s", customer="c", adapter="")],
    12: [event(20.0, "request_start", "e", **LATE_REQUEST)],
    13: [
        event(
            10.5,
            "caller_broken",
            request="",
            customer="c",
            address="m1",
            started=9.5,
            caller="k3",
        )
    ],
    14: [event(16.0, "sent", **LATE_REQUEST, revision=1)],
}


def test_every_rule_holds_in_a_correct_history():
    verdicts = check_all(Run(correct_events()))
    assert [str(v) for v in verdicts if v.state != "held"] == []
    assert [verdict.number for verdict in verdicts] == list(range(1, 15))


@pytest.mark.parametrize("number", sorted(VIOLATING_EVENTS))
def test_every_rule_detects_its_violation(number):
    run = Run(correct_events() + VIOLATING_EVENTS[number])
    assert get_rule_by_number(number)(run).state == "broken"


def test_rules_without_events_are_not_run():
    assert {v.state for v in check_all(Run([]))} == {"not run"}


def test_incomplete_lines_are_skipped(tmp_path):
    path = tmp_path / "p.jsonl"
    path.write_bytes(b'{"time":1.0,"kind":"accepted","revision":1}\n{"time":2.')
    assert len(Run.from_directory(tmp_path).events) == 1


class SmallFleet:
    """The names that `draw_plan` needs of a fleet."""

    machine_names = ["entry-1", "entry-2"]
    engine_names = ["engine-1"]
    service_names = ["service-1"]

    class plan:
        zones = ("z",)
        customers = {"c": {}}
        adapters = 2


def test_plans_depend_only_on_the_seed():
    assert draw_plan(7, SmallFleet) == draw_plan(7, SmallFleet)
    assert draw_plan(7, SmallFleet) != draw_plan(8, SmallFleet)
    assert {planned.name for planned in draw_plan(7, SmallFleet)} == set(known_faults())


def test_mutants_use_known_faults_and_rules():
    for mutant in known_mutants():
        assert get_rule_by_number(mutant.rule)
        assert all(get_fault_by_name(name) for name in mutant.faults)
