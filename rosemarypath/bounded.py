"""
rosemarypath.bounded
~~~~~~~~~~~~~~~~~~~~

Reads the bodies of answers of back ends and of the object API, up to a limit.
"""

import aiohttp

__all__ = ["MAX_ANSWER_BYTES", "read_bounded"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024  # a machine has memory for several such answers


async def read_bounded(response, max_bytes=MAX_ANSWER_BYTES):
    """
    Return the complete body of an aiohttp response.

    Raises `aiohttp.ClientPayloadError`, and closes the connection, if the body is
    larger than `max_bytes`.
    """
    parts = []
    size = 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(f"a body of over {max_bytes} bytes")
    return b"".join(parts)
