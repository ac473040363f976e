"""
rosemarypath.platform.fields
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checked fields of documents that others write.

Every function returns the value in the type that it names, or raises `ValueError`.
"""

import ipaddress
from math import isfinite

__all__ = ["require_address", "require_list", "require_number", "require_text", "whole"]

MAX_NAME_LENGTH = 1024
MAX_PORT_DIGITS = 5
MAX_PORT = 65535
MAX_WHOLE = 2**53  # beyond, writers that count in floating point are inexact
MAX_NUMBER = 1e15


def require_text(value, max_length=MAX_NAME_LENGTH):
    """Return a text that is not empty and fits into a header and a log line."""
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise ValueError("expected a name")
    if not value.isprintable():
        raise ValueError("a name has control characters")
    return value


def whole(value, least=0, most=MAX_WHOLE):
    """
    Return a whole number from `least` to `most`.

    >>> whole(4.0)
    4
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or not least <= value <= most:
        raise ValueError(f"expected a whole number from {least} to {most}")
    return value


def require_number(value, most=MAX_NUMBER):
    """Return a finite number from 0 to `most` as a float."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError("expected a number")
    if not 0 <= value <= most or not isfinite(value):
        raise ValueError(f"expected a number from 0 to {most:g}")
    return float(value)


def require_list(value):
    """Return a list; an empty one for ``None``."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError("expected a list")
    return value


def require_address(value):
    """Return ``host:port`` whose host is an IP address, IPv6 in brackets."""
    host, _, port = require_text(value).rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return value
