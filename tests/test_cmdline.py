"""
tests.test_cmdline
~~~~~~~~~~~~~~~~~~

The operators' command-line tool with a running fleet.
"""

import json
import re
from pathlib import Path

import pytest

from bench.demo import call
from bench.fleet import Fleet, FleetPlan
from rosemarypath.cmdline import main
from rosemarypath.commands import known_commands


@pytest.fixture
def store(small_fleet):
    return ["--object-api", small_fleet.addresses["object-api"]]


@pytest.fixture
def daemons(small_fleet):
    return ["--daemon", small_fleet.operators_address("entry-1")]


def show(store, capsys):
    assert main(["show", *store]) == 0
    return capsys.readouterr().out


def test_every_command_has_help(capsys):
    for name in known_commands():
        with pytest.raises(SystemExit) as caught:
            main([name, "--help"])
        assert caught.value.code == 0
    assert "--json" in capsys.readouterr().out


def test_check_reports_every_error(tmp_path, capsys):
    path = tmp_path / "f.rules"
    path.write_text("zone z\ncustomer c # asked by A\n")
    assert main(["check", str(path)]) == 2
    errors = capsys.readouterr().err
    assert ":1: " in errors and ":2: " in errors and "2 errors" in errors


def test_missing_rules_file_is_wrong_usage(capsys):
    assert main(["check", "/nonexistent"]) == 2


def test_plan_and_apply(small_fleet, store, daemons, tmp_path, capsys):
    path = tmp_path / "f.rules"
    text = show(store, capsys)
    path.write_text(
        text.replace(
            "adapter a3 model=base version=1", "adapter a3 model=base version=7"
        )
    )
    assert main(["plan", str(path), *store]) == 0
    assert "~ adapter a3" in capsys.readouterr().out
    assert main(["apply", str(path), *store, *daemons]) == 0
    assert "in force everywhere" in capsys.readouterr().err
    body = call(
        small_fleet.callers_address("entry-2"),
        "/v1/chat/completions",
        {"model": "a3", "max_tokens": 2, "messages": []},
        small_fleet.secrets["mfereji"],
    )[1]
    assert json.loads(body)["model"] == "a3@7"


def test_concurrent_change_is_a_conflict(store, daemons, tmp_path, capsys):
    first, second = tmp_path / "1.rules", tmp_path / "2.rules"
    text = show(store, capsys)
    first.write_text(text.replace("version=1", "version=2", 1))
    second.write_text(text.replace("version=1", "version=3", 1))
    assert main(["apply", str(first), *store, *daemons]) == 0
    assert main(["apply", str(second), *store, *daemons]) == 4
    assert "merge the difference" in capsys.readouterr().err
    assert "version=3" not in show(store, capsys)


def test_issued_key_is_shown_once_and_can_be_withdrawn(
    small_fleet, store, daemons, capsys
):
    arguments = ["key", "issue", "mfereji", "--asked-by", "Neema", "--json"]
    assert main([*arguments, *store, *daemons]) == 0
    issued = json.loads(capsys.readouterr().out)
    address = small_fleet.callers_address("entry-2")
    payload = {"model": "a1", "max_tokens": 2, "messages": []}
    path = "/v1/chat/completions"
    assert call(address, path, payload, issued["secret"])[0] == 200
    assert issued["secret"] not in show(store, capsys)
    arguments = ["key", "withdraw", issued["name"], "--asked-by", "Neema"]
    assert main([*arguments, *store, *daemons]) == 0
    status, body = call(address, path, payload, issued["secret"])
    assert (status, json.loads(body)["error"]["code"]) == (401, "withdrawn_key")


def test_withdrawing_an_unknown_key_fails(store, capsys):
    arguments = ["key", "withdraw", "nothing", "--asked-by", "A"]
    assert main([*arguments, *store]) == 1
    assert "there is no key" in capsys.readouterr().err


def test_zone_out_and_in(small_fleet, store, daemons, capsys):
    assert main(["zone", "out", "zone-b", "--asked-by", "Asha", *store, *daemons]) == 0
    assert main(["explain", "a0", "--json", *daemons]) == 0
    explained = json.loads(capsys.readouterr().out.split("\n", 2)[2])
    assert explained["out_of_service"] == ["engine-2"]
    assert main(["zone", "in", "zone-b", "--asked-by", "Asha", *store, *daemons]) == 0


def test_explain_a_request(small_fleet, daemons, capsys):
    address = small_fleet.callers_address("entry-1")
    payload = {"model": "a0", "max_tokens": 2, "messages": []}
    body = call(
        address, "/v1/chat/completions", payload, small_fleet.secrets["kesariya"]
    )[1]
    request = json.loads(body)["id"]
    assert main(["explain", request, *daemons]) == 0
    assert "back_end: engine-" in capsys.readouterr().out
    assert main(["explain", "nothing", *daemons]) == 1


def test_status_and_report(daemons, tmp_path, capsys):
    assert main(["status", *daemons]) == 0
    assert "in standing" in capsys.readouterr().out
    page = tmp_path / "report.html"
    assert main(["report", "--html", str(page), *daemons]) == 0
    assert re.search(r"first_token +kesariya", capsys.readouterr().out)
    assert "<svg" in page.read_text()


def test_drain_and_its_undo(small_fleet, store, capsys):
    assert main(["drain", "entry-2", *store]) == 0
    assert main(["drain", "entry-2", "--undo", *store]) == 0
    assert main(["drain", "nowhere", *store]) == 1


def test_forgetting_an_unknown_member_fails(store, capsys):
    assert main(["forget", "entry-9/x", "--it-has-ended", *store]) == 1
    assert "there is no member" in capsys.readouterr().err


def test_unreachable_daemon_is_reported(capsys):
    assert main(["status", "--daemon", "127.0.0.1:1"]) == 1
    assert "does not answer" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["kesariya", "mfereji"])
def test_full_size_example_rules_can_be_applied(name, tmp_path, capsys):
    source = Path(__file__).parent.parent / "examples" / f"{name}.rules"
    path = tmp_path / source.name
    path.write_text(source.read_text())
    fleet = Fleet(FleetPlan(machines=0, engines=0, services=0), tmp_path / "fleet")
    fleet._choose_addresses()
    fleet.start_stand_ins()
    try:
        arguments = ["apply", str(path), "--object-api", fleet.addresses["object-api"]]
        assert main([*arguments, "--json"]) == 0
        applied = json.loads(capsys.readouterr().out)
        assert applied["revision"] == 1
        assert len(applied["changes"]) > 6000
        assert path.read_text().startswith("# based on revision 1\n")
    finally:
        fleet.stop()
