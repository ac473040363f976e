"""
tests.test_store
~~~~~~~~~~~~~~~~

The client of the object API: conflicts, lost responses, watches.
"""

import asyncio

import pytest

from bench.ports import free_ports
from rosemarypath.errors import (
    ConflictError,
    NotFoundError,
    StoreUnavailableError,
    VersionGoneError,
)
from rosemarypath.history import History
from rosemarypath.httpserver import HttpServer
from rosemarypath.store import StoreClient
from standins.objectapi import MAX_EVENTS, ObjectApi


def with_store(check):
    """Run ``check(api, store)`` with a new simulated server and a client."""

    async def run():
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = HttpServer(address)
        api = ObjectApi(History())
        api.add_routes(server)
        await server.start()
        store = StoreClient(address, timeout=0.3)
        try:
            await check(api, store)
        finally:
            await store.close()
            await server.stop(grace=0.1)

    asyncio.run(run())


def test_update_is_conditional():
    async def check(api, store):
        created = await store.create("k", "n", {"v": 1})
        updated = await store.update("k", "n", {"v": 2}, created.version)
        with pytest.raises(ConflictError):
            await store.update("k", "n", {"v": 3}, created.version)
        assert (await store.get("k", "n")).spec == {"v": 2}
        assert updated.version > created.version

    with_store(check)


def test_create_and_delete():
    async def check(api, store):
        await store.create("k", "n", {})
        with pytest.raises(ConflictError):
            await store.create("k", "n", {})
        await store.delete("k", "n")
        with pytest.raises(NotFoundError):
            await store.get("k", "n")

    with_store(check)


def test_lost_response_is_resolved_by_reading_the_object():
    async def check(api, store):
        api.faults._values["lose_answers"] = 1
        created = await store.create("k", "n", {"v": 1})
        api.faults._values["lose_answers"] = 1
        updated = await store.update("k", "n", {"v": 2}, created.version)
        assert updated.spec == {"v": 2}

    with_store(check)


@pytest.mark.parametrize("switch", ["down", "silent"])
def test_outages_raise_store_unavailable(switch):
    async def check(api, store):
        api.faults._values[switch] = True
        with pytest.raises(StoreUnavailableError):
            await store.get("k", "n")

    with_store(check)


def test_watch_yields_every_change_and_ends():
    async def check(api, store):
        _, version = await store.list("k")
        writes = asyncio.create_task(write_some(store, 20))
        seen = [stored.name async for stored in store.watch("k", version)]
        await writes
        assert seen == [f"n{number}" for number in range(20)]

    with_store(check)


async def write_some(store, count):
    for number in range(count):
        await store.create("k", f"n{number}", {})


def test_silent_watch_raises_store_unavailable():
    async def check(api, store):
        api.faults._values["mute_watches"] = True
        with pytest.raises(StoreUnavailableError):
            async for _ in store.watch("k", 0):
                pass

    with_store(check)


def test_watch_of_an_old_version_raises_version_gone():
    async def check(api, store):
        await write_some(store, MAX_EVENTS + 5)
        with pytest.raises(VersionGoneError):
            async for _ in store.watch("k", 1):
                pass

    with_store(check)


def test_calls_are_counted():
    async def check(api, store):
        await store.create("k", "n", {})
        await store.get("k", "n")
        assert store.calls == {"write": 1, "read": 1}

    with_store(check)
