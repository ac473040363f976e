"""
tests.test_explaining
~~~~~~~~~~~~~~~~~~~~~

Explanations of failed requests from decision logs alone, and the log's limits.
"""

import asyncio
import json
import os
import time

import pytest

from rosemarypath.cmdline import main
from rosemarypath.decisionlog import DecisionLog
from rosemarypath.explaining import explain_request, read_records
from tests.edgefleet import configuration, running_fleet


def record(event, at=1.0, part="entry", **fields):
    return {"at": at, "machine": "e1", "part": part, "event": event, **fields}


def test_prefixed_lines_are_read_and_unreadable_lines_counted():
    lines = [
        '  1.2 edge-1 {"at": 1, "machine": "e", "part": "entry", "event": "left"}',
        "no record",
        '{"at": 1, "ev',
        "{}",
    ]
    records, unreadable = read_records(lines)
    assert len(records) == 1
    assert unreadable == 2


def test_refusal_is_explained_with_its_cause_and_context():
    records = [
        record("admitted", 1.0, request="r"),
        record("lost", 1.1, "load", request="r", why="no_place"),
        record("lost", 0.9, "store", why="reset"),
        record("refused", 1.2, request="r", why="cannot_load", status=503),
        record("admitted", 1.0, request="other"),
    ]
    explanation = explain_request("r", records)
    assert explanation.outcome == "refused with status 503"
    assert "load the adapter" in explanation.cause
    assert [r["why"] for r in explanation.context] == ["reset"]


def test_request_without_log_lines_is_reported():
    assert "no log line" in explain_request("r", []).lines[0]


@pytest.mark.parametrize(
    ("fault", "path", "cause"),
    [
        ("resets", b"/write/x", "broke off"),
        ("hangs", b"/write/x", "sent nothing"),
        ("sheds", b"/write/x", "did not run"),
    ],
)
def test_logs_of_a_daemon_show_the_cause(
    tmp_path, monkeypatch, capsys, fault, path, cause
):
    log = tmp_path / "edge.log"

    async def scenario():
        async with running_fleet() as fleet:
            for replica in fleet.ledgers:
                setattr(replica.faults, fault, 99)
            call = fleet.call(path, id="bad", method=b"POST", body=b"o", deadline=400)
            assert (await call).status >= 500

    with open(log, "wb") as sink:
        monkeypatch.setattr(
            "tests.edgefleet.DecisionLog",
            lambda machine, descriptor: _Flushing(machine, sink.fileno()),
        )
        asyncio.run(scenario())
    assert main(["explain", "bad", "--logs", str(log)]) == 0
    assert cause in capsys.readouterr().out


class _Flushing(DecisionLog):
    """Decision log that writes each line at once."""

    def write(self, part, event, **fields):
        super().write(part, event, **fields)
        self.flush()


def test_missing_log_is_an_error_with_a_remedy(capsys):
    assert main(["explain", "r", "--logs", "/none/such"]) != 0
    assert "name a readable log" in capsys.readouterr().err


def test_budget_refusal_is_explained_with_the_contract(tmp_path):
    log = tmp_path / "edge.log"

    async def scenario(sink):
        async with running_fleet() as fleet:
            fleet.configure(configuration(2, rate=10, burst=10))
            await fleet.until(lambda: fleet.has_adopted(2))
            for number in range(3):
                await fleet.call(b"/read/x", id=f"q{number}", tokens="90,10")

    with open(log, "wb") as sink:
        patch = pytest.MonkeyPatch()
        patch.setattr(
            "tests.edgefleet.DecisionLog",
            lambda machine, descriptor: _Flushing(machine, sink.fileno()),
        )
        asyncio.run(scenario(sink))
        patch.undo()
    records, unreadable = read_records(log.read_text().splitlines())
    assert unreadable == 0
    explanation = explain_request("q2", records)
    assert "budget" in explanation.cause
    contracts = [r for r in explanation.context if r["event"] == "contract"]
    assert contracts and contracts[-1]["rate"] == 10


def test_blocked_reader_does_not_delay_writes_and_dropped_lines_are_counted(tmp_path):
    reader, writer = os.pipe()
    log = DecisionLog("e", writer)
    started = time.monotonic()
    for number in range(20000):
        log.write("entry", f"event-{number % 3}", request="r" * 50)
        if number % 100 == 0:
            log.flush()
    assert time.monotonic() - started < 2.0
    received = b""
    os.set_blocking(reader, False)
    for _ in range(200):
        log.flush()
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    lines = [json.loads(line) for line in received.splitlines()]
    assert any(line["event"] == "left_out" for line in lines)
    os.close(reader)
    os.close(writer)


def entry(at, event, part="entry", machine="edge-1", request="r1", **fields):
    return {
        "at": at,
        "machine": machine,
        "part": part,
        "event": event,
        "request": request,
        **fields,
    }


def test_forwarded_failure_names_the_back_ends():
    records = [
        entry(1.0, "admitted"),
        entry(1.1, "failed", "send", back_end="i-1", detail="500"),
        entry(1.2, "failed", "send", back_end="i-2", detail="500"),
        entry(1.2, "passed", status=500),
    ]
    explanation = explain_request("r1", records)
    assert explanation.outcome == "the back end's failure 500 was passed on"
    assert "i-1: 500, i-2: 500" in explanation.cause


@pytest.mark.parametrize(
    "fields, words",
    [
        ({"stage": "load", "back_end": "i-1"}, "for i-1 to load the adapter"),
        ({"stage": "holder", "back_end": ""}, "engine that could load its adapter"),
        ({"stage": "send", "back_end": "i-1", "events": 0}, "i-1 had sent nothing"),
        ({"stage": "send", "back_end": "i-1", "events": 9}, "i-1 had sent 9 events"),
        ({"stage": "quarantine", "back_end": ""}, "crashed under a part of its prompt"),
        ({}, "no answer had been received"),
    ],
)
def test_cause_names_what_the_request_waited_for_when_its_caller_left(fields, words):
    records = [entry(1.0, "admitted"), entry(3.0, "left", waited=1.9, **fields)]
    explanation = explain_request("r1", records)
    assert explanation.outcome == "the caller left"
    assert words in explanation.cause


def test_request_without_logged_end_is_explained_by_a_restart():
    records = [entry(1.0, "admitted"), entry(6.5, "start", "daemon", request="")]
    assert "started again 5.5 s later" in explain_request("r1", records).cause
    assert "cut off" in explain_request("r1", records[:1]).cause


def test_answer_with_status_5xx_is_attributed_to_the_back_end():
    records = [entry(1.0, "admitted"), entry(1.1, "answered", "send", detail="500")]
    assert "back end itself" in explain_request("r1", records).cause
