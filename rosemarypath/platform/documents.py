"""
rosemarypath.platform.documents
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes JSON of other writers, one odd value of which must not cost the rest.
"""

import json
import re
from math import isfinite

import msgspec

__all__ = ["MAX_DEPTH", "decode_document", "decode_page", "find_fault"]

MAX_DEPTH = 64  # levels of lists and objects in a usable document
TOO_DEEP = "nested too deeply"
UNUSABLE_VALUE = "a number out of range, or text that is not Unicode"
OPENING, CLOSING = b"[{", b"]}"
CONTAINERS = (dict, list)
ENCODING_ERRORS = (TypeError, OverflowError, ValueError, RecursionError)
TOKENS = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[{]++|[\]}]++', re.DOTALL)


class _UnusableValue:
    """Stands for a value that cannot be decoded."""


def decode_document(body):
    """Return the JSON document in `body`; raises `msgspec.DecodeError`."""
    try:
        return msgspec.json.decode(body)
    except RecursionError as error:
        raise msgspec.DecodeError(TOO_DEEP) from error


def decode_page(body):
    """
    Return the JSON document in `body`, in which single values may be unusable.

    `find_fault` finds these values. Raises `msgspec.DecodeError` if the document has
    another syntax than JSON.
    """
    try:
        return decode_document(body)
    except msgspec.DecodeError as error:
        return _decode_tolerantly(body, error)


def find_fault(value):
    """
    Return why a decoded value cannot be used or sent to peers, empty if it can.

    >>> find_fault([10**400])
    'a number out of range, or text that is not Unicode'
    >>> find_fault({"slots": 4})
    ''
    """
    level = [value] if type(value) in CONTAINERS else []
    for _ in range(MAX_DEPTH):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if type(outer) is dict else outer)
            if type(inner) in CONTAINERS
        ]
        if not level:
            break
    else:
        return TOO_DEEP
    try:
        msgspec.msgpack.encode(value)
    except ENCODING_ERRORS:
        return UNUSABLE_VALUE
    return ""


def _decode_tolerantly(body, error):
    text = _cut_depth(body).decode("utf-8", "surrogateescape")
    try:
        return json.loads(
            text,
            strict=False,
            parse_int=_parse_int,
            parse_float=_parse_float,
            parse_constant=lambda name: _UnusableValue(),
        )
    except (ValueError, RecursionError):
        raise error from None


def _cut_depth(body):
    """Return a JSON text in which values nested too deeply are replaced by ``NaN``."""
    parts = []
    depth = 0
    kept_from = 0
    # The levels of the page above its objects' contents are added.
    limit = MAX_DEPTH + 8
    for token in TOKENS.finditer(body):
        start, end = token.span()
        first = body[start]
        if first in OPENING:
            if depth <= limit < depth + end - start:
                parts += [body[kept_from : start + limit - depth], b"NaN"]
            depth += end - start
        elif first in CLOSING:
            if depth > limit >= depth - (end - start):
                kept_from = start + depth - limit
            depth -= end - start
    return b"".join(parts) + body[kept_from:] if depth == 0 else body


def _parse_int(digits):
    try:
        return int(digits)
    except ValueError:
        return _UnusableValue()


def _parse_float(digits):
    value = float(digits)
    return value if isfinite(value) else _UnusableValue()
