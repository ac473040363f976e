"""
tests.test_draining
~~~~~~~~~~~~~~~~~~~

Back ends that are removed without notice while calls to the store fail.

A daemon that takes a removal for a lapse in an outage goes on sending requests to the
removed back end. One that takes a lapse for a removal drops back ends that still run.
"""

import asyncio

import pytest

from rosemarypath.connectionpool import ConnectionPool
from rosemarypath.storeavailability import ENTRY_RECOVERY_SECONDS
from tests.edgefleet import configuration, running_fleet

PROPAGATION_SECONDS = 0.5  # for a change to reach all daemons, by watches and relays
CALLS_PER_DAEMON = 3  # so that each daemon asks both back ends


def run_scenario(scenario, daemons=5):
    """Run ``scenario(fleet, clock)`` with a new fleet."""

    async def run():
        async with running_fleet(daemons) as fleet:
            await scenario(fleet, asyncio.get_running_loop().time)

    asyncio.run(run())


async def call_all(fleet, seconds):
    """Send requests through all daemons for `seconds`; return the status codes."""
    clock = asyncio.get_running_loop().time
    until = clock() + seconds
    statuses = set()
    while clock() < until:
        calls = [
            fleet.call(b"/read/x", daemon=number)
            for number in range(len(fleet.daemons))
            for _ in range(CALLS_PER_DAEMON)
        ]
        statuses.update(reply.status for reply in await asyncio.gather(*calls))
    return statuses


async def refuse_daemons(fleet, daemons, seconds):
    """Let the store refuse some daemons for `seconds`."""
    addresses = {fleet.settings[number].store_address for number in daemons}
    fleet.store.refused |= addresses
    fleet.store.drop_connections()
    await asyncio.sleep(seconds)
    fleet.store.refused -= addresses


def last_arrival(replica):
    """Return the time at which the last request reached `replica`."""
    return max(
        (request.received_at for request in replica.requests), default=float("-inf")
    )


def drain_seconds(fleet):
    """Return for how many seconds a leaving back end still accepts requests."""
    return fleet.settings[0].drain


async def check_removal(fleet, clock):
    """Remove an entry; check that its back end gets no requests after the bound."""
    fleet.store.remove("servers", fleet.ledgers[0].name)
    removed_at = clock()
    assert await call_all(fleet, drain_seconds(fleet) + 1.5) == {200}
    assert last_arrival(fleet.ledgers[0]) - removed_at <= drain_seconds(fleet)


@pytest.mark.parametrize("refused", [(0, 1), (0, 1, 2), (1, 2, 3, 4)])
def test_daemons_refused_by_the_store_do_not_send_to_a_removed_back_end(refused):
    async def scenario(fleet, clock):
        await refuse_daemons(fleet, refused, 1.5)
        await asyncio.sleep(0.3)
        await check_removal(fleet, clock)

    run_scenario(scenario)


def test_daemons_whose_connections_break_do_not_send_to_a_removed_back_end():
    async def scenario(fleet, clock):
        for _ in range(3):
            fleet.store.drop_connections()
            await asyncio.sleep(0.4)
        await check_removal(fleet, clock)

    run_scenario(scenario)


def test_a_request_that_waited_to_connect_does_not_go_to_a_removed_back_end(
    monkeypatch,
):
    async def scenario(fleet, clock):
        # A daemon that just started cannot distinguish a removal from a lapse.
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
        assert last_arrival(slow) - removed_at <= PROPAGATION_SECONDS

    run_scenario(scenario, daemons=1)


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
        await asyncio.sleep(PROPAGATION_SECONDS)
        monkeypatch.setattr(ConnectionPool, "acquire", acquire_slowly)
        calls = [fleet.call(b"/read/x") for _ in range(20)]
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        assert len(cold.requests) <= 2.0 * fleet.settings[0].cold_factor

    run_scenario(scenario, daemons=1)


@pytest.mark.parametrize("fault", ["busy", "reset", "silent"])
def test_entries_that_lapsed_in_an_outage_are_used_until_they_return(fault):
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

    run_scenario(scenario)


def test_an_entry_missing_after_the_recovery_time_is_dropped():
    async def scenario(fleet, clock):
        fleet.store.fault = "busy"
        fleet.store.drop_connections()
        await asyncio.sleep(3.0)
        fleet.store.remove("servers", fleet.ledgers[0].name)
        fleet.store.fault = ""
        fleet.store.drop_connections()
        returned_at = clock()
        assert await call_all(fleet, drain_seconds(fleet) + 2.5) == {200}
        # Entries return within 2 s; each daemon retries at least once a second.
        latest = returned_at + ENTRY_RECOVERY_SECONDS + 1.0 + PROPAGATION_SECONDS
        assert returned_at + 1.0 < last_arrival(fleet.ledgers[0]) <= latest

    run_scenario(scenario)
