"""
rosemarypath.sse
~~~~~~~~~~~~~~~~

Incremental splitting of a byte stream into whole server-sent events.

The format is ``text/event-stream`` of the WHATWG HTML standard.
"""

import re

__all__ = ["EVENT_STREAM", "EventSplitter", "ends_inside_event"]

EVENT_STREAM = b"text/event-stream"  # the media type
MARK = b"\xef\xbb\xbf"  # byte order mark, which may begin a stream
# A line ends with CRLF, LF or CR; an empty line ends an event.
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|[\r\n])")
EVENT_ID = re.compile(rb"(?:\A(?:\xef\xbb\xbf)?|[\r\n])id(?:: ?([^\r\n]*))?(?=[\r\n])")
# Empty lines and whole comments: what may follow the last event of a stream.
NO_EVENT = re.compile(rb"(?:\xef\xbb\xbf)?(?:(?::[^\r\n]*)?[\r\n])*")
MAX_END_BYTES = 4  # length of the longest event end
MAX_EVENT_BYTES = 1024 * 1024  # a stream with a larger event is treated as broken


class EventSplitter:
    """
    Buffers the start of an event until its end has arrived.

    `last_event_id` is the value of the last field ``id`` of the whole events, `partial`
    the buffered start of the next event, `event_count` the number of whole events.
    With `drops_mark` a byte order mark is left out, as something comes before it.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")
    b'id: 7\\ndata: a\\n\\n'
    >>> splitter.last_event_id, splitter.partial
    (b'7', b'id: 8\\nda')
    """

    def __init__(self, last_event_id=b"", drops_mark=False):
        self._drops_mark = drops_mark
        self.last_event_id = last_event_id
        self.partial = b""
        self.event_count = 0

    def feed(self, data):
        """Append `data` to the buffer; return the whole events and remove them."""
        buffer = self.partial + data if self.partial else data
        if self._drops_mark:
            self._drops_mark = len(buffer) < len(MARK)
            buffer = buffer.removeprefix(MARK)
        end = 0
        # An event end may start in the bytes that were buffered before.
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
    def is_inside_event(self):
        """
        Return whether a stream that ends here was cut inside an event or a line.

        Clients discard an event that no empty line ends.
        """
        return NO_EVENT.fullmatch(self.partial) is None

    @property
    def is_too_long(self):
        """Return whether the buffered event exceeds `MAX_EVENT_BYTES`."""
        return len(self.partial) > MAX_EVENT_BYTES

    def resumed(self):
        """Return a splitter for the same stream, resumed after its last whole event."""
        splitter = EventSplitter(self.last_event_id, drops_mark=self.event_count > 0)
        splitter.event_count = self.event_count
        return splitter


def ends_inside_event(stream):
    """
    Return whether a whole stream ends inside an event.

    >>> ends_inside_event(b"data: a\\n\\ndata"), ends_inside_event(b"data: a\\n\\n")
    (True, False)
    """
    splitter = EventSplitter()
    splitter.feed(stream)
    return splitter.is_inside_event
