"""
proofs.events
~~~~~~~~~~~~~

Reads the event histories that the processes of one run recorded.
"""

from collections import defaultdict
from pathlib import Path

import msgspec

__all__ = ["Run"]


class Run:
    """
    All events of one run, ordered by time.

    `events` are mappings with at least ``time``, ``process`` and ``kind``.
    """

    def __init__(self, events):
        self.events = sorted(events, key=lambda event: event["time"])
        self._by_kind = defaultdict(list)
        for event in self.events:
            self._by_kind[event["kind"]].append(event)

    @classmethod
    def from_directory(cls, directory):
        """Read every ``*.jsonl`` file in `directory`."""
        events = []
        for path in sorted(Path(directory).glob("*.jsonl")):
            for line in path.read_bytes().splitlines():
                try:
                    events.append(msgspec.json.decode(line))
                except msgspec.DecodeError:
                    # The last line of a killed process may be incomplete.
                    continue
        return cls(events)

    def of(self, *kinds):
        """Return the events of `kinds`, ordered by time."""
        if len(kinds) == 1:
            return self._by_kind[kinds[0]]
        chosen = [event for kind in kinds for event in self._by_kind[kind]]
        return sorted(chosen, key=lambda event: event["time"])

    def by_request(self, *kinds):
        """Return ``{request: [events]}`` of `kinds`; other events are left out."""
        grouped = defaultdict(list)
        for event in self.of(*kinds):
            if event.get("request"):
                grouped[event["request"]].append(event)
        return grouped
