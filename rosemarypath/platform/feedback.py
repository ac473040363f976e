"""
rosemarypath.platform.feedback
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes what back ends ask of their callers, in the headers of their answers.
"""

from math import inf, isfinite

from rosemarypath.demand import Feedback

__all__ = ["decode_feedback"]

RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
IS_LEAVING = b"1"
RETRY_AFTER = b"retry-after"
INSTANCE_ID = b"x-instance-id"
UNAVAILABLE = 503
MISDIRECTED = 421


def decode_feedback(reply, back_end):
    """
    Return the `Feedback` in a reply of `back_end`; ``None`` if another one sent it.

    Of several readable values of a header the most restrictive one counts.
    """
    if reply.status == MISDIRECTED:
        sender = reply.header(INSTANCE_ID)
        if sender not in (None, b"", back_end.name.encode()):
            return None
    pauses = _values(reply, RETRY_AFTER) if reply.status == UNAVAILABLE else ()
    return Feedback(
        rate_limit=_decode_rate_limit(_values(reply, RATE_LIMIT)),
        pause_seconds=max(_readable_numbers(pauses), default=0.0),
        is_leaving=IS_LEAVING in (v.strip() for v in _values(reply, LEAVING)),
    )


def _values(reply, name):
    return [value for key, value in reply.headers if key == name]


def _decode_rate_limit(values):
    """Return the limit, infinite if there is none, ``None`` if it is unreadable."""
    return min(_readable_numbers(values), default=None) if values else inf


def _readable_numbers(values):
    """Return the values that are finite decimal numbers and not negative."""
    numbers = []
    for value in values:
        try:
            number = float(value)
        except ValueError:
            continue
        if isfinite(number) and number >= 0.0:
            numbers.append(number)
    return numbers
