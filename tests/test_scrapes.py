"""
tests.test_scrapes
~~~~~~~~~~~~~~~~~~

The service-level report from scrapes of daemons' metrics.
"""

import asyncio
from types import SimpleNamespace

import pytest

from rosemarypath import cmdline
from rosemarypath.edgemetrics import EdgeMetrics
from rosemarypath.report import burn_table
from rosemarypath.scrapes import ScrapeError, parse_scrape, slices_between_scrapes
from tests.edgefleet import METRICS_PORT, running_fleet

STARTED = 1000.0


def ended_request(first=0.2, gap=0.1, sends=1, loads=0.0, customer="kiln", events=5):
    """
    Return a stand-in for the `RequestContext` of a request that has ended.

    The first event came `first` seconds after the request (``None``: there was none),
    the longest gap between two events was `gap` seconds, loads took `loads` seconds.
    """
    return SimpleNamespace(
        customer=SimpleNamespace(name=customer) if customer else None,
        request=SimpleNamespace(arrived=10.0),
        first_event_at=None if first is None else 10.0 + first,
        longest_gap=gap,
        sends=sends,
        load_seconds=loads,
        events=SimpleNamespace(event_count=events),
        route=SimpleNamespace(objective=0.8, gap_objective=0.3),
    )


def scrape_of(metrics, at, monkeypatch):
    monkeypatch.setattr("rosemarypath.edgemetrics.time.time", lambda: at)
    return parse_scrape(metrics.exposition({})[1].decode(), "scrape")


@pytest.fixture
def metrics():
    return EdgeMetrics("edge-1", "yard", STARTED)


def test_requests_are_counted_by_objective_and_cause(metrics, monkeypatch):
    metrics.record_request(ended_request())
    metrics.record_request(ended_request(first=1.0, loads=0.3))
    metrics.record_request(ended_request(first=1.0, sends=2))
    metrics.record_request(ended_request(gap=0.4))
    metrics.record_request(ended_request(first=None), "cannot_load")
    metrics.record_request(ended_request(first=None), "over_budget")
    counts = scrape_of(metrics, 1010.0, monkeypatch).counts
    assert counts == {
        ("refusal", "kiln", ""): 4,
        ("refusal", "kiln", "cannot_load"): 1,
        ("first_token", "kiln", ""): 2,
        ("first_token", "kiln", "load_stall"): 1,
        ("first_token", "kiln", "repeated"): 1,
        ("token_gap", "kiln", ""): 3,
        ("token_gap", "kiln", "back_end"): 1,
    }


def test_scrape_has_machine_zone_and_times_of_the_daemon(metrics, monkeypatch):
    scrape = scrape_of(metrics, 1010.0, monkeypatch)
    assert (scrape.machine, scrape.zone) == ("edge-1", "yard")
    assert (scrape.started_at, scrape.at) == (STARTED, 1010.0)


def test_burn_counts_the_events_between_two_scrapes(metrics, monkeypatch):
    scrapes = []
    for number in range(10):
        metrics.record_request(ended_request(first=1.0))
    scrapes.append(scrape_of(metrics, 2000.0, monkeypatch))
    for number in range(90):
        metrics.record_request(ended_request())
    scrapes.append(scrape_of(metrics, 2100.0, monkeypatch))
    slices = slices_between_scrapes(reversed(scrapes))
    assert sum(n for (o, *_), n in slices[2000.0].items() if o == "first_token") == 90
    rows = {row["objective"]: row for row in burn_table(slices, 2100.0)}
    assert rows["first_token"]["burn"]["1 h"] == pytest.approx(0.1 / 0.05)
    assert rows["first_token"]["burn"]["5 min"] == 0.0
    assert rows["first_token"]["zone"] == "yard"


def test_restart_between_scrapes_loses_no_event_and_counts_none_twice(
    metrics, monkeypatch
):
    metrics.record_request(ended_request())
    first = scrape_of(metrics, 1100.0, monkeypatch)
    again = EdgeMetrics("edge-1", "yard", 1200.0)
    again.record_request(ended_request())
    again.record_request(ended_request())
    second = scrape_of(again, 1300.0, monkeypatch)
    slices = slices_between_scrapes([second, first])
    total = sum(n for counts in slices.values() for n in counts.values())
    assert total == 3 * 3


@pytest.mark.parametrize("text", ["", "up 1\n", "{ not a scrape", "a{b=} 1\n"])
def test_invalid_scrape_is_rejected_with_its_source(text):
    with pytest.raises(ScrapeError) as problem:
        parse_scrape(text, "x.txt")
    assert "x.txt" in str(problem.value)


def run_tool(*arguments):
    return cmdline.main(["report", *arguments])


def test_report_reads_scrapes_from_files(metrics, tmp_path, capsys, monkeypatch):
    metrics.record_request(ended_request(gap=0.9))
    monkeypatch.setattr("rosemarypath.edgemetrics.time.time", lambda: 1010.0)
    saved = tmp_path / "edge-1.prom"
    saved.write_bytes(metrics.exposition({})[1])
    page = tmp_path / "burn.html"
    assert run_tool("--scrapes", str(saved), "--html", str(page)) == 0
    shown = capsys.readouterr().out
    assert "token_gap" in shown and "back_end 1" in shown and "BURNING" in shown
    assert "<svg" in page.read_text()


def test_report_names_a_missing_file(tmp_path, capsys):
    assert run_tool("--scrapes", str(tmp_path / "none.prom")) != 0
    assert "none.prom" in capsys.readouterr().err


def test_report_without_a_source_is_an_error(capsys):
    assert run_tool() != 0
    assert "--scrapes" in capsys.readouterr().err


def test_running_daemon_counts_a_stream():
    async def run():
        async with running_fleet(1) as fleet:
            reply = await fleet.call(b"/ask/x", method=b"POST", model=True)
            assert reply.status == 200
            host = fleet.settings[0].callers_address.partition(":")[0]
            scraped = await fleet.pool.call(
                f"{host}:{METRICS_PORT}",
                b"GET",
                b"/metrics",
                [(b"Host", b"m")],
                b"",
                1.0,
                0.0,
            )
            return parse_scrape(scraped.body.decode(), "daemon")

    scrape = asyncio.run(run())
    assert scrape.machine == "edge-1"
    assert scrape.counts[("refusal", "kiln", "")] == 1
    assert scrape.counts[("first_token", "kiln", "")] == 1
