"""
tests.test_report
~~~~~~~~~~~~~~~~~

The service-level report: burn rates in both windows, causes, and the HTML page.
"""

import pytest

from rosemarypath.levels import ServiceLevels
from rosemarypath.report import burn_table, html_page, merge_levels, text_lines

NOW = 10000.0


@pytest.fixture
def documents():
    """Documents of two daemons: one slow 50 minutes ago, one slow now."""
    first, second = ServiceLevels(), ServiceLevels()
    for at in range(100):
        cause = "queue" if at < 10 else ""
        first.add("first_token", "c", "z", cause, NOW - 3000 + at)
        cause = "load_stall" if at % 2 else ""
        second.add("first_token", "c", "z", cause, NOW - 100 + at)
    return [first.document(NOW), second.document(NOW)]


def test_burn_rate_is_bad_share_divided_by_error_budget(documents):
    (row,) = burn_table(merge_levels(documents), NOW)
    assert row["events"] == 200
    assert row["burn"]["5 min"] == pytest.approx(0.5 / 0.05)
    assert row["burn"]["1 h"] == pytest.approx(0.3 / 0.05)
    assert row["causes"] == {"queue": 10, "load_stall": 50}
    assert row["is_burning"]


def test_text_marks_burning_objectives(documents):
    lines = text_lines(burn_table(merge_levels(documents), NOW))
    assert "BURNING" in lines[1] and "load_stall 50" in lines[1]
    assert text_lines([]) == ["no requests were served in the last hour"]


def test_html_page_escapes_names(documents):
    slices = merge_levels(documents)
    rows = burn_table(slices, NOW)
    rows[0]["customer"] = "<b>"
    page = html_page(rows, slices, NOW)
    assert "&lt;b&gt;" in page and "<rect" in page


def test_old_slices_are_dropped():
    levels = ServiceLevels()
    for at in range(0, 10000, 10):
        levels.add("refusal", "c", "z", "", float(at))
    assert len(levels.document(NOW)["slices"]) == 360
