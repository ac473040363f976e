"""
bench.logvolume
~~~~~~~~~~~~~~~

Replays the decision log of a daemon at a multiple of its speed, with the daemon's own
limits on lines per second.

    python -m bench.logvolume --pace 10 edge-1.log

prints the lines per second that are written on average, the lines and bytes of the
busiest seconds, and how many lines the limits left out.
"""

import argparse
from collections import Counter, defaultdict
from dataclasses import dataclass

from rosemarypath import decisionlog
from rosemarypath.explaining import read_records

__all__ = ["Volume", "main", "replay"]

STANDARD_FIELDS = ("at", "machine", "part", "event")


@dataclass(frozen=True)
class Volume:
    """
    The log volume of one daemon.

    `lines` are written and `left_out` left out in `seconds`; `most_lines` and
    `most_bytes` are the highest numbers in one second.
    """

    machine: str
    seconds: float
    lines: int
    most_lines: int
    most_bytes: int
    left_out: int

    def __str__(self):
        return (
            f"{self.machine}: {self.lines / self.seconds:.0f} lines per second, "
            f"{self.most_lines} at most ({self.most_bytes} bytes), "
            f"{self.left_out} left out of {self.lines + self.left_out}"
        )


class _CountingSink:
    """Counts the lines and bytes per second that a `DecisionLog` writes."""

    def __init__(self):
        self.second = 0
        self.lines = Counter()
        self.sizes = Counter()

    def write(self, descriptor, data):
        self.lines[self.second] += data.count(b"\n")
        self.sizes[self.second] += len(data)
        return len(data)


class _ReplayClock:
    """Replaces the module `time` of a `DecisionLog` by the time of the replay."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        return self.now


class _ReplayOs:
    """Replaces the two functions of `os` that a `DecisionLog` calls."""

    def __init__(self, sink):
        self.write = sink.write

    def set_blocking(self, descriptor, is_blocking):
        """Do nothing, as there is no descriptor."""


def replay(machine, records, pace):
    """Return the `Volume` of a daemon that logs `records` `pace` times as fast."""
    records = sorted(records, key=lambda record: record["at"])
    sink, clock = _CountingSink(), _ReplayClock()
    originals = decisionlog.os, decisionlog.time
    decisionlog.os, decisionlog.time = _ReplayOs(sink), clock
    try:
        log = decisionlog.DecisionLog(machine, -1)
        start = records[0]["at"]
        for record in records:
            clock.now = (record["at"] - start) / pace
            if int(clock.now) != sink.second:
                log.flush()
                sink.second = int(clock.now)
            fields = {k: v for k, v in record.items() if k not in STANDARD_FIELDS}
            log.write(record["part"], record["event"], **fields)
        log.flush()
    finally:
        decisionlog.os, decisionlog.time = originals
    written = sum(sink.lines.values())
    return Volume(
        machine,
        max(1.0, clock.now),
        written,
        max(sink.lines.values()),
        max(sink.sizes.values()),
        max(0, len(records) - written),
    )


def main(arguments=None):
    """Print the volume of each daemon whose lines are in the files."""
    parser = argparse.ArgumentParser(description=__doc__.strip().splitlines()[0])
    parser.add_argument("--pace", type=float, default=1.0, help="factor of the speed")
    parser.add_argument("logs", nargs="+", help="decision logs")
    options = parser.parse_args(arguments)
    by_machine = defaultdict(list)
    for name in options.logs:
        with open(name, encoding="utf-8", errors="replace") as file:
            for record in read_records(file)[0]:
                by_machine[record["machine"]].append(record)
    volumes = [replay(m, r, options.pace) for m, r in sorted(by_machine.items())]
    for volume in volumes:
        print(volume)
    print(
        f"highest of all daemons: {max(v.most_lines for v in volumes)} lines per second"
    )


if __name__ == "__main__":
    main()
