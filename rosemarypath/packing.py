"""
rosemarypath.packing
~~~~~~~~~~~~~~~~~~~~

Compresses large lists of objects in messages between daemons.

A list that goes to many daemons is packed once.
"""

import zlib

import msgspec

from rosemarypath.errors import RosemarypathError

__all__ = ["MIN_PACKED_BYTES", "UnpackError", "pack", "unpack"]

MIN_PACKED_BYTES = 4096  # encoded size below which compression saves few packets
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 1  # the fastest; configurations of many routes shrink to a sixth


class UnpackError(RosemarypathError):
    """Packed bytes from a peer cannot be read."""


def pack(entries):
    """
    Return the packed bytes of a list, or ``b""`` if it is small.

    >>> pack([1, 2])
    b''
    >>> unpack(pack(["route"] * 1000)) == ["route"] * 1000
    True
    """
    encoded = msgspec.msgpack.encode(entries)
    if len(encoded) < MIN_PACKED_BYTES:
        return b""
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def unpack(data, entry_type=object):
    """Return the list of `entry_type` that was packed; raises `UnpackError`."""
    try:
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(data, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise UnpackError(
                f"packed message is cut or over {MAX_UNPACKED_BYTES} bytes",
                "ask another daemon for a snapshot",
            )
        return msgspec.msgpack.decode(encoded, type=list[entry_type])
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise UnpackError(
            f"packed message is not readable ({error})",
            "ask another daemon for a snapshot",
        ) from error
