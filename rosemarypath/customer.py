"""
rosemarypath.customer
~~~~~~~~~~~~~~~~~~~~~

Customers and the keys that act for them.
"""

import hashlib
import secrets

import msgspec

__all__ = ["Customer", "Key", "hash_key", "new_key"]

KEY_PREFIX = "rp-"
KEY_BYTES = 24


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """
    A customer with its contract.

    Options:

    `rate`
        Tokens per second over all machines.
    `burst`
        Tokens that may be used at once after a pause.
    `weight`
        Share of a contended back end relative to other customers (default 1).
    `priority`
        Priority class, 0 is served first (default 1).
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    priority: int = 1


class Key(msgspec.Struct, frozen=True, kw_only=True):
    """A key, stored by the SHA-256 hash of its secret."""

    digest: str
    customer: str
    withdrawn: bool = False


def new_key():
    """Return a fresh secret key for a customer."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(secret):
    """
    Return the hexadecimal SHA-256 of `secret`.

    >>> hash_key("rp-x")[:8]
    '70e396d9'
    """
    return hashlib.sha256(secret.encode()).hexdigest()
