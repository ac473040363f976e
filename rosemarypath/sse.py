"""
rosemarypath.sse
~~~~~~~~~~~~~~~~

Cuts a stream of server-sent events into whole events.
"""

import re

__all__ = ["EventSplitter"]

END = re.compile(rb"\r?\n\r?\n")
IDENTIFIER = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
END_BYTES = 4  # of the longest end
MOST_HELD = 1024 * 1024  # bytes of one event, beyond which the stream is broken


class EventSplitter:
    """
    Holds back the start of an event until its end has come.

    `last_event` is the identifier of the last whole event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")
    b'id: 7\\ndata: a\\n\\n'
    >>> splitter.last_event, splitter.rest
    (b'7', b'id: 8\\nda')
    """

    def __init__(self, last_event=b""):
        self.last_event = last_event
        self.rest = b""
        self.count = 0

    def feed(self, data):
        """Return the whole events that `data` completes."""
        held = self.rest + data if self.rest else data
        end = 0
        # An end may begin in what was searched before.
        searched = max(0, len(self.rest) - END_BYTES + 1)
        for match in END.finditer(held, searched):
            end = match.end()
            self.count += 1
        whole, self.rest = held[:end], held[end:]
        if whole:
            identifiers = IDENTIFIER.findall(whole)
            if identifiers:
                self.last_event = identifiers[-1]
        return whole

    @property
    def is_too_long(self):
        """Return whether an event has no end in sight."""
        return len(self.rest) > MOST_HELD

    def restart(self):
        """Drop the event that was cut off, before the stream goes on elsewhere."""
        self.rest = b""
