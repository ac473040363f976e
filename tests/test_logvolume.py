"""
tests.test_logvolume
~~~~~~~~~~~~~~~~~~~~

The log volume at a multiple of a recorded day's load stays within the limits.
"""

import msgspec

from bench.logvolume import main, replay
from rosemarypath.decisionlog import MAX_FAILURE_LINES_PER_SECOND, MAX_LINES_PER_SECOND


def records(count, failures=0):
    """Return `count` records over ten seconds; the first `failures` are failures."""
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


def test_no_line_is_left_out_at_the_original_speed():
    volume = replay("edge-1", records(1000), 1.0)
    assert volume.lines == 1000
    assert volume.left_out == 0
    assert 90 <= volume.most_lines <= 110


def test_lines_above_the_limit_are_left_out_at_ten_times_the_load():
    volume = replay("edge-1", records(20_000), 10.0)
    # One line per second reports the lines that were left out.
    assert volume.most_lines <= MAX_LINES_PER_SECOND + 2
    assert volume.left_out > 0


def test_failures_have_a_limit_of_their_own():
    volume = replay("edge-1", records(20_000, failures=10_000), 10.0)
    assert volume.most_lines <= MAX_LINES_PER_SECOND + MAX_FAILURE_LINES_PER_SECOND + 2


def test_main_reads_log_files(tmp_path, capsys):
    log = tmp_path / "edge-1.log"
    lines = [msgspec.json.encode(record).decode() for record in records(100)]
    log.write_text("\n".join(lines))
    main(["--pace", "2", str(log)])
    assert "edge-1: " in capsys.readouterr().out
