"""
rosemarypath.decisionlog
~~~~~~~~~~~~~~~~~~~~~~~~

Structured log on standard output, limited in rate and size; writing never blocks.
"""

import os
import time
from collections import Counter

import msgspec

__all__ = ["DecisionLog"]

MAX_LINES_PER_SECOND = 300  # costs under 1 % of a machine with one core
MAX_FAILURE_LINES_PER_SECOND = 300  # in addition, for the events in FAILURE_EVENTS
MAX_BUFFER_BYTES = 256 * 1024  # unwritten lines while the reader is slow
MAX_WRITE_BYTES = 4096  # a pipe accepts a write of this size as a whole
FLUSH_INTERVAL_SECONDS = 0.2  # between two flushes
STDOUT = 1

FAILURE_EVENTS = frozenset({"refused", "failed", "broken", "lost", "error", "rejected"})


class DecisionLog:
    """
    Writes one JSON line for each decision of a daemon.

    Every line has the time (Unix seconds), the machine, the part of the daemon and the
    event. Lines beyond the limits are dropped and counted by event; the counts are
    written as an event ``left_out`` of the part ``log``. `written` is the number of
    bytes written so far.
    """

    def __init__(self, machine, descriptor=STDOUT):
        self._machine = machine
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder()
        self._lines = []
        self._size = 0
        self._second = 0
        self._line_count = 0
        self._failure_line_count = 0
        self._dropped = Counter()
        self.written = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            self._descriptor = None

    def write(self, part, event, **fields):
        """Queue one line with the given fields, or drop it beyond the limits."""
        at = time.time()
        if not self._is_within_limits(event, at):
            self._dropped[event] += 1
            return
        self._append(at, part, event, fields)

    def _append(self, at, part, event, fields):
        record = {"at": round(at, 4), "machine": self._machine, "part": part}
        record["event"] = event
        record.update(fields)
        line = self._encoder.encode(record) + b"\n"
        self._lines.append(line)
        self._size += len(line)

    def flush(self):
        """Write the queued lines to the descriptor until it would block."""
        if self._dropped and self._size <= MAX_BUFFER_BYTES:
            counts, self._dropped = dict(self._dropped), Counter()
            self._append(time.time(), "log", "left_out", {"counts": counts})
        if not self._lines or self._descriptor is None:
            return
        while self._lines and self._descriptor is not None:
            if not self._write_lines():
                return

    def _write_lines(self):
        """
        Write some lines, together at most `MAX_WRITE_BYTES` unless one line is longer.

        Returns whether all of their bytes were written.
        """
        count = 0
        size = 0
        for line in self._lines:
            if count and size + len(line) > MAX_WRITE_BYTES:
                break
            size += len(line)
            count += 1
        data = b"".join(self._lines[:count])
        try:
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            self._descriptor = None
            return False
        self.written += sent
        self._size -= sent
        rest = data[sent:]
        self._lines[:count] = [rest] if rest else []
        return not rest

    def _is_within_limits(self, event, at):
        if self._size > MAX_BUFFER_BYTES:
            return False
        if int(at) != self._second:
            self._second = int(at)
            self._line_count = 0
            self._failure_line_count = 0
        if event in FAILURE_EVENTS:
            self._failure_line_count += 1
            return self._failure_line_count <= MAX_FAILURE_LINES_PER_SECOND
        self._line_count += 1
        return self._line_count <= MAX_LINES_PER_SECOND
