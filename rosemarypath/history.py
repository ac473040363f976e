"""
rosemarypath.history
~~~~~~~~~~~~~~~~~~~~

Writes a process's events as one JSON line each, for checkers to read after a run.
"""

import time

import msgspec

__all__ = ["History"]


class History:
    """
    An append-only event log.

    Options:

    `path`
        File to append to; empty for none.
    `process`
        Name written into each event.
    `incarnation`
        Identifier of this start of the process.
    """

    def __init__(self, path="", process="", incarnation=""):
        self._file = open(path, "ab", buffering=0) if path else None
        self._process = process
        self._incarnation = incarnation

    def write(self, kind, **fields):
        """Append one event of `kind`; `time` is wall clock seconds."""
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
