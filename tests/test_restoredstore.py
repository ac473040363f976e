"""
tests.test_restoredstore
~~~~~~~~~~~~~~~~~~~~~~~~

A store that comes back from an older copy and gives revisions out again.
"""

import asyncio

import pytest

from rosemarypath.storeavailability import ENTRY_RECOVERY_SECONDS
from tests.edgefleet import KEY, configuration, running_fleet

CONFIG_SECONDS = 2.0  # until a change is in force
REWRITE_SECONDS = 1.0  # until the operator and the back ends write again
LOST_WRITES = 40  # revisions that the store gives out again
CALLS_PER_DAEMON = 60  # to the store, from its return on, in a quiet fleet
NEW_ROUTE = {"name": "new", "pathPrefix": "/new/", "kind": "safe", "maxAttempts": 2}
LOADS = 3


def play(scenario, daemons=3):
    """Run ``scenario(fleet, clock)`` with a new fleet."""

    async def run():
        async with running_fleet(daemons) as fleet:
            await scenario(fleet, asyncio.get_running_loop().time)

    asyncio.run(run())


def lose_writes(fleet):
    """Write objects that a copy taken before does not have."""
    for number in range(LOST_WRITES):
        fleet.store.put("other", f"n{number % 3}", {"number": number})


async def statuses(fleet, path, **options):
    """Return the status that each daemon answers."""
    calls = [fleet.call(path, daemon=n, **options) for n in range(len(fleet.daemons))]
    return {reply.status for reply in await asyncio.gather(*calls)}


def test_a_change_after_the_return_from_an_older_copy_is_adopted_in_time():
    async def scenario(fleet, clock):
        saved = fleet.store.copy()
        lose_writes(fleet)
        fleet.configure(configuration(version=2, routes=[NEW_ROUTE]))
        await fleet.until(lambda: fleet.has_adopted(2))
        fleet.store.restore(saved)
        await asyncio.sleep(REWRITE_SECONDS)
        fleet.configure(configuration(version=2, routes=[NEW_ROUTE]))
        fleet.configure(configuration(version=3))
        await fleet.until(lambda: fleet.has_adopted(3), CONFIG_SECONDS)
        assert await statuses(fleet, b"/new/x") == {404}

    play(scenario)


def test_a_confirmed_change_stays_in_force_until_it_is_written_again():
    async def scenario(fleet, clock):
        saved = fleet.store.copy()
        lose_writes(fleet)
        keys = [KEY, "key-2"]
        fleet.configure(configuration(version=2, routes=[NEW_ROUTE], keys=keys))
        fleet.configure(configuration(version=3, routes=[NEW_ROUTE], keys=["key-2"]))
        await fleet.until(lambda: fleet.has_adopted(3))
        fleet.store.restore(saved)
        end = clock() + 2 * REWRITE_SECONDS
        while clock() < end:
            assert await statuses(fleet, b"/new/x", key="key-2") == {200}
            assert await statuses(fleet, b"/read/x", key=KEY) == {401}
            await asyncio.sleep(0.1)

    play(scenario)


def test_a_store_that_came_back_from_an_older_copy_is_not_called_without_a_pause():
    async def scenario(fleet, clock):
        saved = fleet.store.copy()
        lose_writes(fleet)
        fleet.configure(configuration(version=2))
        await fleet.until(lambda: fleet.has_adopted(2))
        before = fleet.store.calls
        fleet.store.restore(saved)
        await asyncio.sleep(2.0)
        assert fleet.store.calls - before <= CALLS_PER_DAEMON * len(fleet.daemons)

    play(scenario)


@pytest.mark.parametrize("how", ["draining", "removed"])
def test_a_back_end_that_left_is_not_used_again_as_an_older_copy_lists_it(how):
    async def scenario(fleet, clock):
        await asyncio.sleep(ENTRY_RECOVERY_SECONDS)
        saved = fleet.store.copy()
        lose_writes(fleet)
        left = fleet.ledgers[0]
        if how == "draining":
            fleet.announce(left, state="draining")
        else:
            fleet.store.remove("servers", left.name)
        await asyncio.sleep(REWRITE_SECONDS)
        fleet.store.restore(saved)
        seen = len(left.requests)
        end = clock() + 2.5
        while clock() < end:
            assert await statuses(fleet, b"/read/x") == {200}
        assert len(left.requests) == seen

    play(scenario)


def test_back_ends_and_daemons_that_an_older_copy_lacks_stay_in_use():
    async def scenario(fleet, clock):
        entry = fleet.ledgers[1].store_entry("ledger", "z2")
        fleet.store.remove("servers", fleet.ledgers[1].name)
        fleet.store.remove("servers", fleet.ledgers[0].name)
        saved = fleet.store.copy()
        fleet.store.put("servers", fleet.ledgers[1].name, entry)
        newcomer = await fleet.add_daemon()
        await fleet.until(lambda: newcomer.is_ready)
        lose_writes(fleet)
        await asyncio.sleep(REWRITE_SECONDS)
        fleet.store.restore(saved)
        end = clock() + REWRITE_SECONDS
        while clock() < end:
            assert await statuses(fleet, b"/read/x") == {200}
        machine = fleet.settings[-1].machine
        assert fleet.store.get("rosemarypath-machines", machine) is not None

    play(scenario)


def test_adapters_are_loaded_again_after_the_return_from_an_older_copy():
    async def scenario(fleet, clock):
        saved = fleet.store.copy()
        lose_writes(fleet)
        fleet.store.restore(saved)
        await fleet.until_ordered()
        for number in range(LOADS):
            reply = await fleet.call(b"/ask/x", method=b"POST", adapter=f"a{number}")
            assert reply.status == 200

    play(scenario)
