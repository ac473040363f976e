"""
tests.test_link
~~~~~~~~~~~~~~~

Links between daemons whose connections fall silent without being closed.
"""

import asyncio
import time
from types import SimpleNamespace

from bench.ports import free_ports
from rosemarypath.edge import LINK_TIMEOUT_SECONDS
from rosemarypath.link import CONNECT_TIMEOUT_SECONDS, Mesh
from rosemarypath.peermessages import LeasePing
from standins.wire import HUSH, Wire

SEND_INTERVAL_SECONDS = 0.05
RECOVERY_SECONDS = LINK_TIMEOUT_SECONDS + CONNECT_TIMEOUT_SECONDS


async def start_pair():
    """Return two connected meshes that note what they receive, and their wire."""
    first_port, second_port, wire_port = free_ports(3)
    wire = Wire("a>b", f"127.0.0.1:{wire_port}", f"127.0.0.1:{second_port}")
    await wire.start()
    silent = []
    first = Mesh(
        "a/1",
        f"127.0.0.1:{first_port}",
        dial_address=lambda address: f"127.0.0.1:{wire_port}",
        on_silent=silent.append,
    )
    second = Mesh("b/1", f"127.0.0.1:{second_port}")
    first.set_address("b/1", f"127.0.0.1:{second_port}")
    second.set_address("a/1", f"127.0.0.1:{first_port}")
    received = {"a/1": [], "b/1": []}
    for mesh in (first, second):
        await mesh.start()
        mesh.on(LeasePing, new_handler(received[mesh.identity]))
    return SimpleNamespace(
        first=first, second=second, wire=wire, received=received, silent=silent
    )


def new_handler(numbers):
    """Return a handler that records the numbers of the heartbeats."""
    return lambda sender, ping: numbers.append(ping.number)


async def exchange(pair, numbers):
    """Send heartbeats both ways and reconnect silent links, as daemons do."""
    for number in numbers:
        now = time.monotonic()
        pair.first.send("b/1", LeasePing(number), expect_answer=True)
        pair.second.send("a/1", LeasePing(number), expect_answer=True)
        pair.first.reconnect_silent_links(now, LINK_TIMEOUT_SECONDS)
        pair.second.reconnect_silent_links(now, LINK_TIMEOUT_SECONDS)
        await asyncio.sleep(SEND_INTERVAL_SECONDS)


def run_pair(play):
    """Run ``play(pair)`` with two connected meshes."""

    async def run():
        pair = await start_pair()
        try:
            await play(pair)
        finally:
            pair.first.close()
            pair.second.close()

    asyncio.run(run())


def test_a_silent_link_is_found_while_the_peer_still_sends():
    async def play(pair):
        await exchange(pair, range(10))
        pair.wire.set_mode(HUSH)
        first_lost = len(pair.received["b/1"])
        await exchange(pair, range(100, 100 + steps(RECOVERY_SECONDS)))
        assert len(pair.received["b/1"]) > first_lost
        assert pair.silent == ["b/1"]

    run_pair(play)


def test_an_answered_link_is_kept_however_long_the_exchange_takes():
    async def play(pair):
        await exchange(pair, range(steps(3 * LINK_TIMEOUT_SECONDS)))
        assert pair.silent == []
        assert pair.received["b/1"] == sorted(pair.received["b/1"])

    run_pair(play)


def steps(seconds):
    """Return how many heartbeats are sent in `seconds`."""
    return round(seconds / SEND_INTERVAL_SECONDS)
