"""
rosemarypath.stored
~~~~~~~~~~~~~~~~~~~

Objects of the platform's store, and the order of its revisions.

A store that comes back from an older copy begins a new era and gives revisions out
again. A position joins era and revision in one number, which only rises.
"""

import msgspec

__all__ = ["ERA_SPAN", "StoredObject", "era_of", "position", "revision_of"]

ERA_SPAN = 2**40  # more than the revisions of one era


def position(era, revision):
    """
    Return the position of a revision of an era.

    >>> position(2, 7) > position(1, 900)
    True
    """
    return era * ERA_SPAN + revision


def era_of(position):
    """Return the era of a position."""
    return position // ERA_SPAN


def revision_of(position):
    """Return the revision of a position, as the store gave it out."""
    return position % ERA_SPAN


class StoredObject(msgspec.Struct, frozen=True):
    """
    One version of an object in the store.

    `version` is the position of its last change, `spec` the decoded content, `writer`
    the token of the write that made this version. `fault` tells why the object is
    unreadable, in which case `spec` is ``None``.
    """

    name: str
    version: int
    spec: object
    writer: str = ""
    fault: str = ""
