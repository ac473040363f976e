"""
tests.test_connectionpool
~~~~~~~~~~~~~~~~~~~~~~~~~

Reuse of connections, calls that get no answer, and many endless answers at once.
"""

import asyncio
from pathlib import Path

import pytest

from bench.ports import free_ports
from rosemarypath.bytebudget import ByteBudget
from rosemarypath.connectionpool import ConnectionPool
from rosemarypath.errors import ResponseError
from tests.test_httpclient import FLOODS, GET, GOOD

BURST = 60  # endless answers at once
BURST_BUDGET_BYTES = 37_500_000  # of a process that may use 300 MB
MAX_GROWTH_MIB = 150.0  # half of that


def test_call_to_an_unresponsive_server_ends_at_its_timeout():
    async def serve(reader, writer):
        await asyncio.sleep(5)

    async def run():
        port = free_ports(1)[0]
        server = await asyncio.start_server(serve, "127.0.0.1", port)
        loop = asyncio.get_running_loop()
        started = loop.time()
        pool = ConnectionPool()
        with pytest.raises(ResponseError):
            await pool.call(f"127.0.0.1:{port}", b"GET", b"/", [], b"", 0.2, 0.0)
        server.close()
        return loop.time() - started

    assert asyncio.run(run()) < 0.5


def test_idle_connection_is_reused_until_its_limit():
    async def serve(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(GOOD)

    async def run():
        port = free_ports(1)[0]
        server = await asyncio.start_server(serve, "127.0.0.1", port)
        pool = ConnectionPool()
        address = f"127.0.0.1:{port}"
        first = await pool.acquire(address, 0.0)
        first.send(GET)
        await first.head()
        await first.read_all()
        pool.release(first, 0.0)
        again = await pool.acquire(address, 0.5)
        assert again is first
        again.send(GET)
        await again.read_all()
        pool.release(again, 0.5)
        later = await pool.acquire(address, 60.0)
        assert later is not first
        fresh = await pool.acquire(address, 60.0, is_new=True)
        assert fresh is not later
        pool.close()
        server.close()

    asyncio.run(run())


def resident_mib():
    """Return the memory of this process in MiB."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise LookupError("VmRSS")


async def peak_growth(tasks):
    """Return by how many MiB this process grows at most until the tasks are done."""
    before = peak = resident_mib()
    while not all(task.done() for task in tasks):
        await asyncio.sleep(0.01)
        peak = max(peak, resident_mib())
    return peak - before


@pytest.mark.parametrize("head", FLOODS)
def test_many_endless_answers_at_once_leave_memory_for_sound_ones(head):
    """Faulty replicas in a burst: the bound of each answer did not bound their sum."""
    start, piece = FLOODS[head]

    async def serve(reader, writer):
        request = await reader.readuntil(b"\r\n\r\n")
        if request.startswith(b"GET /sound"):
            await asyncio.sleep(0.3)
            writer.write(GOOD)
            writer.close()
            return
        try:
            writer.write(start)
            while True:
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def run():
        port = free_ports(1)[0]
        server = await asyncio.start_server(serve, "127.0.0.1", port)
        pool = ConnectionPool(ByteBudget(BURST_BUDGET_BYTES))

        async def call(path):
            address = f"127.0.0.1:{port}"
            return await pool.call(address, b"GET", path, [], b"", 4.0, 0.0)

        paths = [b"/endless"] * BURST + [b"/sound"] * 5
        tasks = [asyncio.ensure_future(call(path)) for path in paths]
        growth = await peak_growth(tasks)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        pool.close()
        server.close()
        await asyncio.sleep(0.05)  # for the server's handlers to end
        assert all(isinstance(one, ResponseError) for one in results[:BURST])
        assert [one.body for one in results[BURST:]] == [b"hello"] * 5
        assert growth < MAX_GROWTH_MIB

    asyncio.run(run())
