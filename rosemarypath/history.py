"""
rosemarypath.history
~~~~~~~~~~~~~~~~~~~~

Writes the events of a process as JSON lines, which checkers read after a run.
"""

import time

import msgspec

__all__ = ["History"]


class History:
    """
    An append-only event log.

    Options:

    `path`
        File to append to; empty to write nothing.
    `process`
        Name of the process, written with each event.
    `incarnation`
        Identifier of this run of the process, written with each event.
    """

    def __init__(self, path="", process="", incarnation=""):
        self._file = open(path, "ab", buffering=0) if path else None
        self._process = process
        self._incarnation = incarnation

    def write(self, kind, **fields):
        """Append an event of `kind` with `fields` and the wall-clock time."""
        if self._file is None:
            return
        event = {
            "time": time.time(),
            "process": self._process,
            "incarnation": self._incarnation,
            "kind": kind,
            **fields,
        }
        self._file.write(msgspec.json.encode(event) + b"\n")

    def close(self):
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None
