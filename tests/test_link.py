"""
tests.test_link
~~~~~~~~~~~~~~~

Links between daemons whose connections fall silent without being closed, and messages
that cannot be read.
"""

import asyncio
import time
import typing
from types import SimpleNamespace

import msgspec
import pytest

from bench.ports import free_ports
from rosemarypath import frames, messages
from rosemarypath.edge import LINK_TIMEOUT_SECONDS
from rosemarypath.link import CONNECT_TIMEOUT_SECONDS, Mesh
from rosemarypath.peermessages import LeasePing, SendAsk, SendReply
from standins.wire import HUSH, Wire
from tests.oddvalues import examines

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


BATCH = ["b/1", "127.0.0.1:9", "a/1", [[0, 0, ["LeasePing", 7]]], 1, 0]


def new_mesh(received):
    mesh = Mesh("a/1", "127.0.0.1:1")
    mesh.on(LeasePing, new_handler(received))
    return mesh


@examines(BATCH)
def test_any_batch_of_a_peer_is_delivered_or_ignored(document):
    received = []
    mesh = new_mesh(received)
    try:
        data = msgspec.msgpack.encode(document)
    except OverflowError:
        return
    mesh._receive_batch(data)
    mesh._receive_batch(msgspec.msgpack.encode(BATCH))
    assert received[-1:] == [7]
    assert mesh._addresses["b/1"] == "127.0.0.1:9"


@pytest.mark.parametrize("body", [b"\x91" * 5000, b"\x81\xa1a" * 5000, b"\xa1\xff"])
def test_a_batch_that_cannot_be_decoded_is_ignored(body):
    received = []
    mesh = new_mesh(received)
    mesh._receive_batch(b"\x96" + body)
    # A field that this version does not know is skipped, whatever it contains.
    mesh._receive_batch(b"\x97" + msgspec.msgpack.encode(BATCH)[1:] + body + b"\x01")
    mesh._receive_batch(msgspec.msgpack.encode(BATCH))
    assert received[-1:] == [7]


def test_a_message_whose_handler_fails_costs_only_that_message():
    async def play(pair):
        def handle(sender, ping):
            if ping.number == 2:
                raise KeyError("odd")
            pair.received["b/1"].append(ping.number)

        pair.second.on(LeasePing, handle)
        await exchange(pair, range(5))
        assert pair.received["b/1"] == [0, 1, 3, 4]
        assert pair.second.counts["failed_messages"] == 1

    run_pair(play)


@pytest.mark.parametrize("address", ["h", "h:x", ":1", "a\0b:1", "127.0.0.1:99999"])
def test_an_odd_address_of_a_peer_ends_neither_the_sender_nor_the_link(address):
    async def play(pair):
        odd = ["a/1", address, "b/1", [], 1, 0]
        pair.second._receive_batch(msgspec.msgpack.encode(odd))
        await exchange(pair, range(5))
        assert pair.received["a/1"] == list(range(5))

    run_pair(play)


def test_a_link_to_an_impossible_host_tries_again():
    async def play(pair):
        pair.second.set_address("c/1", "x" * 100 + ".example:1")
        for number in range(3):
            pair.second.send("c/1", LeasePing(number))
            await asyncio.sleep(0.15)
        assert pair.second.counts["dropped"] == 3

    run_pair(play)


def test_each_message_that_can_be_sent_can_be_received():
    """Review: grants of sends never reached another daemon."""
    assert set(typing.get_args(frames.Body)) == set(messages.Message.__subclasses__())
    assert {SendAsk, SendReply} <= set(typing.get_args(frames.Body))


def test_a_grant_is_asked_for_over_a_real_link():
    async def play(pair):
        pair.second.on(SendAsk, lambda sender, ask: SendReply(ask.rate))
        reply = await pair.first.ask("b/1", SendAsk("e/1", 0.25, 1.0), 1.0)
        assert reply == SendReply(0.25)

    run_pair(play)


def test_an_unreadable_message_costs_only_itself():
    async def play(pair):
        ping = [0, 0, ["LeasePing", 7]]
        odd = [0, 0, ["NoSuchMessage", 7]]
        batch = ["a/1", "127.0.0.1:1", "b/1", [ping, odd, ping], 1, 0]
        pair.second._receive_batch(msgspec.msgpack.encode(batch))
        assert pair.received["b/1"] == [7, 7]
        assert pair.second.counts["unreadable"] == 1

    run_pair(play)
