"""
tests.test_draining
~~~~~~~~~~~~~~~~~~~

Back ends that leave without a word, while calls to the store fail or it is away.
"""

import asyncio

import pytest

from rosemarypath.httpclient import ConnectionPool
from rosemarypath.storeavailability import ENTRY_RECOVERY_SECONDS
from tests.edgefleet import configuration, running_fleet

NEWS_SECONDS = 0.5  # a change's way to all daemons, watches and relays together
CALLS_EACH = 3  # so that each daemon asks both back ends


def play(scenario, daemons=5):
    """Run ``scenario(fleet, clock)`` against a fresh fleet."""

    async def run():
        async with running_fleet(daemons) as fleet:
            await scenario(fleet, asyncio.get_running_loop().time)

    asyncio.run(run())


async def call_all(fleet, seconds):
    """Send requests by way of all daemons for so long; return the statuses."""
    clock = asyncio.get_running_loop().time
    until = clock() + seconds
    statuses = set()
    while clock() < until:
        calls = [
            fleet.call(b"/read/x", daemon=number)
            for number in range(len(fleet.daemons))
            for _ in range(CALLS_EACH)
        ]
        statuses.update(reply.status for reply in await asyncio.gather(*calls))
    return statuses


async def turn_away(fleet, daemons, seconds):
    """Let the store turn some daemons away for so long."""
    addresses = {fleet.settings[number].store_address for number in daemons}
    fleet.store.refused |= addresses
    fleet.store.drop_connections()
    await asyncio.sleep(seconds)
    fleet.store.refused -= addresses


def last_arrival(replica):
    """Return when the last request reached `replica`."""
    return max((seen.at for seen in replica.seen), default=float("-inf"))


def drain_bound(fleet):
    """Return the seconds within which requests to a leaving back end must end."""
    return fleet.settings[0].drain


async def check_removal(fleet, clock):
    """Remove an entry; check that its back end gets nothing after the bound."""
    fleet.store.remove("servers", fleet.ledgers[0].name)
    removed_at = clock()
    assert await call_all(fleet, drain_bound(fleet) + 1.5) == {200}
    assert last_arrival(fleet.ledgers[0]) - removed_at <= drain_bound(fleet)


@pytest.mark.parametrize("turned_away", [(0, 1), (0, 1, 2), (1, 2, 3, 4)])
def test_daemons_that_lost_calls_do_not_send_to_a_removed_back_end(turned_away):
    async def scenario(fleet, clock):
        await turn_away(fleet, turned_away, 1.5)
        await asyncio.sleep(0.3)
        await check_removal(fleet, clock)

    play(scenario)


def test_daemons_whose_connections_break_do_not_send_to_a_removed_back_end():
    async def scenario(fleet, clock):
        for _ in range(3):
            fleet.store.drop_connections()
            await asyncio.sleep(0.4)
        await check_removal(fleet, clock)

    play(scenario)


def test_a_request_that_waited_to_connect_does_not_go_to_a_removed_back_end(
    monkeypatch,
):
    async def scenario(fleet, clock):
        # A daemon that just started cannot tell a removal from a lapse.
        await asyncio.sleep(ENTRY_RECOVERY_SECONDS)
        slow = fleet.ledgers[1]  # in the daemon's zone, so that it is preferred
        acquire = ConnectionPool.acquire

        async def acquire_slowly(pool, address, *args, **options):
            if address == slow.address:
                await asyncio.sleep(0.9)
            return await acquire(pool, address, *args, **options)

        monkeypatch.setattr(ConnectionPool, "acquire", acquire_slowly)
        calls = [asyncio.create_task(fleet.call(b"/read/x")) for _ in range(8)]
        await asyncio.sleep(0.1)
        fleet.store.remove("servers", slow.name)
        removed_at = clock()
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        assert last_arrival(slow) - removed_at <= NEWS_SECONDS

    play(scenario, daemons=1)


def test_requests_that_wait_to_connect_do_not_exceed_a_cold_rate(monkeypatch):
    async def scenario(fleet, clock):
        cold = fleet.ledgers[1]
        acquire = ConnectionPool.acquire

        async def acquire_slowly(pool, address, *args, **options):
            if address == cold.address:
                await asyncio.sleep(0.3)
            return await acquire(pool, address, *args, **options)

        document = configuration(2)
        for service in document["services"]:
            service["coldPerS"] = 2.0
        fleet.configure(document)
        fleet.announce(cold, coldRemainingMs=5000)
        await asyncio.sleep(NEWS_SECONDS)
        monkeypatch.setattr(ConnectionPool, "acquire", acquire_slowly)
        calls = [fleet.call(b"/read/x") for _ in range(20)]
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        assert len(cold.seen) <= 2.0 * fleet.settings[0].cold_factor

    play(scenario, daemons=1)


@pytest.mark.parametrize("fault", ["busy", "reset", "silent"])
def test_entries_that_lapsed_in_an_outage_are_used_until_they_are_back(fault):
    async def scenario(fleet, clock):
        fleet.store.fault = fault
        fleet.store.drop_connections()
        await asyncio.sleep(3.0)
        for ledger in fleet.ledgers:
            fleet.store.remove("servers", ledger.name)
        fleet.store.fault = ""
        fleet.store.drop_connections()
        assert await call_all(fleet, 1.5) == {200}
        for ledger in fleet.ledgers:
            fleet.announce(ledger)
        assert await call_all(fleet, 2.0) == {200}

    play(scenario)


def test_an_entry_that_is_not_back_after_an_outage_is_gone():
    async def scenario(fleet, clock):
        fleet.store.fault = "busy"
        fleet.store.drop_connections()
        await asyncio.sleep(3.0)
        fleet.store.remove("servers", fleet.ledgers[0].name)
        fleet.store.fault = ""
        fleet.store.drop_connections()
        returned_at = clock()
        assert await call_all(fleet, drain_bound(fleet) + 2.5) == {200}
        # Back within two seconds; each daemon tries again once a second at least.
        latest = returned_at + ENTRY_RECOVERY_SECONDS + 1.0 + NEWS_SECONDS
        assert returned_at + 1.0 < last_arrival(fleet.ledgers[0]) <= latest

    play(scenario)
