"""
rosemarypath.sse
~~~~~~~~~~~~~~~~

Cuts a stream of server-sent events into whole events.
"""

import re

__all__ = ["EventSplitter"]

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
MAX_END_BYTES = 4  # of the longest end
MAX_EVENT_BYTES = 1024 * 1024  # bytes of one event, beyond which the stream is broken


class EventSplitter:
    """
    Holds back the start of an event until its end has come.

    `last_event_id` is the identifier of the last whole event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")
    b'id: 7\\ndata: a\\n\\n'
    >>> splitter.last_event_id, splitter.partial
    (b'7', b'id: 8\\nda')
    """

    def __init__(self, last_event_id=b""):
        self.last_event_id = last_event_id
        self.partial = b""
        self.event_count = 0

    def feed(self, data):
        """Return the whole events that `data` completes."""
        buffer = self.partial + data if self.partial else data
        end = 0
        # An end may begin in what was searched before.
        search_start = max(0, len(self.partial) - MAX_END_BYTES + 1)
        for match in EVENT_END.finditer(buffer, search_start):
            end = match.end()
            self.event_count += 1
        whole, self.partial = buffer[:end], buffer[end:]
        if whole:
            identifiers = EVENT_ID.findall(whole)
            if identifiers:
                self.last_event_id = identifiers[-1]
        return whole

    @property
    def is_too_long(self):
        """Return whether an event has no end in sight."""
        return len(self.partial) > MAX_EVENT_BYTES

    def drop_partial(self):
        """Drop the event that was cut off, before the stream goes on elsewhere."""
        self.partial = b""
