"""
rosemarypath.streamends
~~~~~~~~~~~~~~~~~~~~~~~

Tells whether an answer that has ended is whole, by the events that it holds.

Its framing may be whole where the back end broke off.
"""

from rosemarypath.sse import EVENT_STREAM, ends_inside_event

__all__ = ["find_stream_fault", "is_cut_event_stream"]


def find_stream_fault(send):
    """
    Return why the answer of a stream is not whole where it has ended, or ``""``.

    An answer of another media type is judged by its framing alone.
    """
    is_framed = send.upstream.is_framed
    is_event_stream = send.head.media_type in (b"", EVENT_STREAM)
    if send.events.is_inside_event and (is_event_stream or not is_framed):
        return "the stream ended inside an event"
    if not is_framed and not send.has_first_event:
        return "the connection ended before the first event"
    return ""


def is_cut_event_stream(head, body):
    """Return whether the whole body of a success is an event stream that was cut."""
    is_event_stream = head.is_success and head.media_type == EVENT_STREAM
    return is_event_stream and ends_inside_event(body)
