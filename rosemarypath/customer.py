"""
rosemarypath.customer
~~~~~~~~~~~~~~~~~~~~~

Customers and their API keys.
"""

import hashlib
import secrets

import msgspec

__all__ = ["Customer", "Key", "hash_key", "new_key"]

KEY_PREFIX = "rp-"
KEY_BYTES = 24


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """
    A customer with its limits and its priority.

    Options:

    `rate`
        Tokens per second on all machines together.
    `burst`
        Tokens that may be used at once after an idle time.
    `weight`
        Share of a busy back end relative to other customers (default 1).
    `priority`
        Priority class; 0 is served first (default 1).
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    priority: int = 1


class Key(msgspec.Struct, frozen=True, kw_only=True):
    """
    An API key of a customer.

    `digest` is the hexadecimal SHA-256 of the secret, which is not stored; `withdrawn`
    is whether the key is no longer valid.
    """

    digest: str
    customer: str
    withdrawn: bool = False


def new_key():
    """Return a new random secret for an API key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(secret):
    """
    Return the hexadecimal SHA-256 digest of `secret`.

    >>> hash_key("rp-x")[:8]
    '70e396d9'
    """
    return hashlib.sha256(secret.encode()).hexdigest()
