"""
tests.test_httpserver
~~~~~~~~~~~~~~~~~~~~~

The HTTP server closes connections whose request head is not received in time.
"""

import asyncio

from bench.ports import HOST, free_ports
from rosemarypath import httpserver
from rosemarypath.httpserver import HttpServer, json_response


def test_slow_headers_close_the_connection(monkeypatch):
    monkeypatch.setattr(httpserver, "HEADER_TIMEOUT_SECONDS", 0.2)

    async def answer(request):
        return json_response(200, {})

    async def run():
        port = free_ports(1)[0]
        server = HttpServer(f"{HOST}:{port}")
        server.add("GET", "/", answer)
        await server.start()
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nX-Slow: ")
            assert await asyncio.wait_for(reader.read(), 5.0) == b""
            writer.close()
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()
        finally:
            await server.stop(grace=0.1)

    asyncio.run(run())
