"""
tests.test_platformstore
~~~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's store: eras of its answers, in order and out of order.
"""

import asyncio

import msgspec
import pytest

from rosemarypath.errors import ConflictError, StoreUnavailableError, VersionGoneError
from rosemarypath.httpclient import Reply
from rosemarypath.platform.store import PlatformStore
from rosemarypath.stored import position


class Pool:
    """Answers calls with (era, document) in turn and records their paths."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.paths = []

    async def call(self, address, method, path, *arguments):
        self.paths.append(path.decode())
        era, document = self._answers.pop(0)
        headers = () if era is None else ((b"store-era", era),)
        return Reply(200, headers, msgspec.json.encode(document))


def listed(revision, more=False):
    item = {"metadata": {"name": "a", "revision": revision}, "spec": 1}
    return {"items": [item], "hasMore": more, "storeRevision": revision}


def watched(revision):
    return {"events": [], "storeRevision": revision}


def new_store(*answers):
    """Return a store, its pool and the list of changes of its era."""
    pool = Pool(answers)
    eras = []
    store = PlatformStore("h:1", pool, lambda era, known: eras.append((era, known)))
    return store, pool, eras


def test_positions_rise_when_revisions_go_back():
    async def run():
        store, pool, eras = new_store((b"1", listed(90)), (b"2", listed(12)))
        before, first = await store.list("k")
        after, second = await store.list("k")
        assert (first, second) == (position(1, 90), position(2, 12))
        assert first < second and before[0].version < after[0].version
        assert eras == [(1, 0), (2, 1)]

    asyncio.run(run())


def test_a_watch_from_another_era_is_not_trusted():
    async def run():
        store, pool, _ = new_store((b"2", watched(95)))
        with pytest.raises(VersionGoneError):
            await store.watch("k", position(1, 90), 1.0)
        assert "watch=90&" in pool.paths[0]

    asyncio.run(run())


def test_a_condition_of_another_era_is_a_conflict_without_a_call():
    async def run():
        store, pool, _ = new_store((b"2", listed(12)))
        await store.list("k")
        with pytest.raises(ConflictError):
            await store.update("k", "a", {}, position(1, 11))
        with pytest.raises(ConflictError):
            await store.delete("k", "a", position(1, 11))
        assert len(pool.paths) == 1

    asyncio.run(run())


def test_a_condition_that_met_a_new_era_is_a_conflict():
    async def run():
        written = {"metadata": {"name": "a", "revision": 91}, "spec": {}}
        store, _, _ = new_store((b"1", listed(90)), (b"2", written))
        await store.list("k")
        with pytest.raises(ConflictError):
            await store.update("k", "a", {}, position(1, 90))

    asyncio.run(run())


def test_an_answer_of_an_earlier_era_counts_as_none():
    async def run():
        store, _, eras = new_store((b"2", listed(12)), (b"1", listed(95)))
        await store.list("k")
        with pytest.raises(StoreUnavailableError):
            await store.list("k")
        assert eras[-1] == (1, 2)

    asyncio.run(run())


def test_pages_of_two_eras_are_no_list():
    async def run():
        store, _, _ = new_store((b"1", listed(90, more=True)), (b"2", listed(12)))
        with pytest.raises(StoreUnavailableError):
            await store.list("k")

    asyncio.run(run())


@pytest.mark.parametrize("era", [None, b"", b"-1", b"two", b"1.5"])
def test_an_answer_without_a_readable_era_is_of_the_known_one(era):
    async def run():
        store, _, _ = new_store((b"3", listed(12)), (era, listed(13)))
        await store.list("k")
        _, revision = await store.list("k")
        assert revision == position(3, 13)

    asyncio.run(run())
