"""
rosemarypath.stored
~~~~~~~~~~~~~~~~~~~

Objects of the platform's store.
"""

import msgspec

__all__ = ["StoredObject"]


class StoredObject(msgspec.Struct, frozen=True):
    """
    One version of an object in the store.

    `version` is the resource version, `spec` the decoded content, `writer` the token of
    the write that made this version.
    """

    name: str
    version: int
    spec: object
    writer: str = ""
