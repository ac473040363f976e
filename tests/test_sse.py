"""
tests.test_sse
~~~~~~~~~~~~~~

Splitting of streams into whole events, by the standard of the format.
"""

import pytest
from hypothesis import given, strategies as st

from rosemarypath.sse import EventSplitter, ends_inside_event

LINE_ENDS = (b"\n", b"\r\n", b"\r")
LINES = st.sampled_from([b"id: 7", b"id", b"data: a", b"data", b": note", b"id:8"])


@st.composite
def streams(draw):
    """Draw a stream and the places at which it is cut into reads."""
    events = draw(st.lists(st.lists(LINES, min_size=1, max_size=3), max_size=5))
    data = b""
    for event in events:
        line_end = draw(st.sampled_from(LINE_ENDS))
        data += b"".join(line + line_end for line in [*event, b""])
    cuts = draw(st.sets(st.integers(0, len(data))))
    return events, data, sorted({0, len(data), *cuts})


def is_open(data):
    """Return whether an event or a line is open at the end, read line by line."""
    text = data.decode().removeprefix("\ufeff").replace("\r\n", "\n")
    *lines, rest = text.replace("\r", "\n").split("\n")
    has_field = False
    for line in lines:
        has_field = bool(line) and (has_field or not line.startswith(":"))
    return has_field or bool(rest)


def last_id(events):
    """Return the last identifier that the events set."""
    values = {b"id: 7": b"7", b"id": b"", b"id:8": b"8"}
    named = [values[line] for event in events for line in event if line in values]
    return named[-1] if named else b""


@given(streams())
def test_each_event_is_split_off_with_its_last_line(drawn):
    events, data, cuts = drawn
    splitter = EventSplitter()
    whole = b"".join(
        splitter.feed(data[start:end]) for start, end in zip(cuts, cuts[1:])
    )
    # Only the LF of a last CRLF may come after the event was split off.
    assert whole + splitter.partial == data
    assert splitter.partial in (b"", b"\n")
    assert splitter.last_event_id == last_id(events)


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_an_event_is_split_off_before_the_next_one_comes(line_end):
    """CR line ends were not known: such a stream was held back until its end."""
    event = b"id: 1" + line_end + b"data: a" + line_end + line_end
    splitter = EventSplitter()
    assert splitter.feed(event) == event
    assert (splitter.event_count, splitter.last_event_id) == (1, b"1")


def test_an_identifier_behind_a_byte_order_mark_is_read():
    splitter = EventSplitter()
    splitter.feed(b"\xef\xbb\xbfid: 1\ndata: a\n\n")
    assert splitter.last_event_id == b"1"


@pytest.mark.parametrize("size", [1, 2, 3, 20])
def test_a_byte_order_mark_is_dropped_however_it_is_cut(size):
    stream = b"\xef\xbb\xbfid: 1\ndata: a\n\n\xef\xbb\xbfid: 2\n\n"
    splitter = EventSplitter(drops_mark=True)
    parts = [stream[n : n + size] for n in range(0, len(stream), size)]
    assert b"".join(map(splitter.feed, parts)) == stream[3:]


@given(streams(), st.sampled_from([b"", b"\xef\xbb\xbf"]))
def test_an_event_is_open_where_the_standard_says_so(drawn, mark):
    _, data, _ = drawn
    stream = mark + data
    for end in range(len(mark), len(stream) + 1):
        assert ends_inside_event(stream[:end]) == is_open(stream[:end])
