"""
tests.test_bounded
~~~~~~~~~~~~~~~~~~

The limit on the size of answers, with an answer that never ends.
"""

import asyncio

import pytest

from bench.ports import free_ports
from rosemarypath.errors import StoreUnavailableError
from rosemarypath.store import StoreClient

PIECE = b"a" * 65536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
FLOOD_MAX_BYTES = 256 * 1024 * 1024


def test_endless_answer_of_the_object_api_is_aborted():
    sent = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while sum(sent) < FLOOD_MAX_BYTES:
                writer.write(CHUNK)
                await writer.drain()
                sent.append(len(PIECE))
        except ConnectionError:
            pass

    async def run():
        port = free_ports(1)[0]
        server = await asyncio.start_server(serve, "127.0.0.1", port)
        store = StoreClient(f"127.0.0.1:{port}", timeout=20.0)
        try:
            with pytest.raises(StoreUnavailableError, match="over"):
                await store.get("kind", "name")
        finally:
            await store.close()
            server.close()

    asyncio.run(run())
    assert sum(sent) < FLOOD_MAX_BYTES / 4
