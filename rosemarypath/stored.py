"""
rosemarypath.stored
~~~~~~~~~~~~~~~~~~~

Objects as the platform's store holds them.
"""

import msgspec

__all__ = ["StoredObject"]


class StoredObject(msgspec.Struct, frozen=True):
    """
    An object as held by the platform.

    `version` is the resource version, `spec` the content, `writer` the token of
    the write that made this version.
    """

    name: str
    version: int
    spec: object
    writer: str = ""
