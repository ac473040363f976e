"""
tests.test_logvolume
~~~~~~~~~~~~~~~~~~~~

Log volume at a multiple of a played day's load stays within the bounds.
"""

import msgspec

from bench.logvolume import main, replay
from rosemarypath.decisionlog import MAX_FAILURE_LINES_PER_SECOND, MAX_LINES_PER_SECOND


def records(count, failures=0):
    """Return `count` lines over ten seconds, of which some tell of failures."""
    return [
        {
            "at": 1000.0 + 10.0 * number / count,
            "machine": "edge-1",
            "part": "entry",
            "event": "refused" if number < failures else "admitted",
            "request": f"r{number}",
        }
        for number in range(count)
    ]


def test_nothing_is_left_out_at_the_pace_of_the_day():
    volume = replay("edge-1", records(1000), 1.0)
    assert volume.lines == 1000
    assert volume.left_out == 0
    assert 90 <= volume.most_lines <= 110


def test_ten_times_the_load_is_cut_at_the_bound():
    volume = replay("edge-1", records(20_000), 10.0)
    # One line a second tells what was left out.
    assert volume.most_lines <= MAX_LINES_PER_SECOND + 2
    assert volume.left_out > 0


def test_failures_have_room_of_their_own():
    volume = replay("edge-1", records(20_000, failures=10_000), 10.0)
    assert volume.most_lines <= MAX_LINES_PER_SECOND + MAX_FAILURE_LINES_PER_SECOND + 2


def test_the_tool_reads_files(tmp_path, capsys):
    log = tmp_path / "edge-1.log"
    lines = [msgspec.json.encode(record).decode() for record in records(100)]
    log.write_text("\n".join(lines))
    main(["--pace", "2", str(log)])
    assert "edge-1: " in capsys.readouterr().out
