"""
bench.usage
~~~~~~~~~~~

Reads the processor time, resident memory and own counters of a daemon's process.
"""

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Usage", "read_usage"]

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Fields of /proc/PID/stat, counted from 0; the first two precede the split below.
USER_TIME_FIELD = 13
SYSTEM_TIME_FIELD = 14


@dataclass(frozen=True)
class Usage:
    """
    The resource usage of one daemon at one time.

    `cpu` is processor time in seconds, `memory` resident memory in MB; the other fields
    count messages and calls of the store since the daemon's start.
    """

    cpu: float
    memory: float
    bytes_sent: int = 0
    batches_sent: int = 0
    frames_sent: int = 0
    store_reads: int = 0
    store_writes: int = 0
    store_watches: int = 0

    def rates_since(self, earlier, seconds):
        """
        Return the usage per second since `earlier`, which was read `seconds` before.

        `memory` is that of `self`, as it is no counter.
        """
        rates = {
            name: (getattr(self, name) - getattr(earlier, name)) / seconds
            for name in self.__dataclass_fields__
            if name != "memory"
        }
        return Usage(memory=self.memory, **rates)


def read_usage(pid, status=None):
    """
    Return the `Usage` of process `pid`.

    `status` is the status that the operators' API of its daemon returned. Without it,
    the counters are 0.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[USER_TIME_FIELD - 2]) + int(fields[SYSTEM_TIME_FIELD - 2])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    status = status or {}
    link_counts = status.get("link_counts", {})
    store_calls = status.get("store_calls", {})
    return Usage(
        cpu=ticks / TICKS_PER_SECOND,
        memory=pages * PAGE_BYTES / 1e6,
        bytes_sent=link_counts.get("bytes_sent", 0),
        batches_sent=link_counts.get("batches_sent", 0),
        frames_sent=link_counts.get("frames_sent", 0),
        store_reads=store_calls.get("read", 0),
        store_writes=store_calls.get("write", 0),
        store_watches=store_calls.get("watch", 0),
    )
