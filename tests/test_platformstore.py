"""
tests.test_platformstore
~~~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's store: eras of its answers, in order and out of order, and
entries that cannot be read.
"""

import asyncio

import msgspec
import pytest

from rosemarypath.errors import ConflictError, StoreUnavailableError, VersionGoneError
from rosemarypath.httpclient import Reply
from rosemarypath.platform.documents import MAX_DEPTH
from rosemarypath.platform.store import PlatformStore
from rosemarypath.stored import position
from tests.oddvalues import ODD_TEXTS, ODD_VALUES, examines


class Pool:
    """Answers calls with (era, document) in turn and records their paths."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.paths = []

    async def call(self, address, method, path, *arguments, **options):
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


def item(name, spec=1, revision=7):
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


def page(items, more=False):
    return {"items": items, "hasMore": more, "storeRevision": 9}


def list_pages(*pages):
    """Return the objects listed in these pages, and the paths of the calls."""
    store, pool, _ = new_store(*[(b"1", answer) for answer in pages])
    objects, revision = asyncio.run(store.list("k"))
    assert revision == position(1, 9)
    return objects, pool.paths


@pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS)
def test_one_odd_entry_of_a_list_costs_no_other_entry(text):
    odd = item("b", msgspec.Raw(text))
    objects, paths = list_pages(page([item("a"), odd], more=True), page([item("c")]))
    assert [(o.name, o.spec) for o in objects] == [("a", 1), ("b", None), ("c", 1)]
    assert [bool(o.fault) for o in objects] == [False, True, False]
    assert paths[1].endswith("?after=b")


@pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS)
def test_one_odd_event_costs_no_other_event(text):
    events = [
        {"object": item("a"), "removed": False},
        {"object": item("b", msgspec.Raw(text)), "removed": False},
        {"object": item("c", msgspec.Raw(text)), "removed": True},
    ]
    store, _, _ = new_store((b"1", {"events": events, "storeRevision": 9}))
    found, reached = asyncio.run(store.watch("k", position(1, 5), 1.0))
    assert reached == position(1, 9)
    assert [(o.name, o.spec, gone) for o, gone in found] == [
        ("a", 1, False),
        ("b", None, False),
        ("c", None, True),
    ]


@pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS)
def test_an_entry_with_odd_data_beside_its_spec_is_used(text):
    sound = {**item("a"), "status": msgspec.Raw(text)}
    objects, _ = list_pages(page([sound]))
    assert [(o.name, o.spec, o.fault) for o in objects] == [("a", 1, "")]


@pytest.mark.parametrize("depth", [10, 30, 33, 40, 500, 10_000])
def test_brackets_in_texts_do_not_end_a_value_nested_too_deeply(depth):
    text = rb'[{"]\"}":["{"],"a\\":' * depth + b"[[]]" + b'},"]"]' * depth
    last = item("b", '"[\\{')
    objects, _ = list_pages(page([item("a", msgspec.Raw(text)), last]))
    assert [bool(o.fault) for o in objects] == [2 * depth + 2 > MAX_DEPTH, False]
    assert objects[1].spec == last["spec"]


@pytest.mark.parametrize("revision", [-1, True, 1.5, "7", None, [], 10**400, 2**40])
def test_an_entry_with_an_odd_revision_counts_as_changed_and_unreadable(revision):
    objects, _ = list_pages(page([item("a"), item("b", revision=revision)]))
    assert [(o.name, o.version) for o in objects] == [
        ("a", position(1, 7)),
        ("b", position(1, 9)),
    ]
    assert objects[1].spec is None and objects[1].fault


@pytest.mark.parametrize("odd", [3, None, [], {}, {"metadata": 1}, item(None), item(3)])
def test_an_entry_without_a_name_is_left_out_though_it_is_the_last_of_a_page(odd):
    objects, paths = list_pages(
        page([item("a"), odd], more=True), page([odd, item("c")])
    )
    assert [o.name for o in objects] == ["a", "c"]
    assert paths[1].endswith("?after=a")


def test_names_that_cannot_be_read_do_not_list_one_page_forever():
    store, _, _ = new_store((b"1", page([3, item(None)], more=True)))
    with pytest.raises(StoreUnavailableError):
        asyncio.run(store.list("k"))


@pytest.mark.parametrize("era", [b"9" * 5000, b"9" * 20, b"\xb2"])
def test_an_odd_era_is_no_era(era):
    store, _, eras = new_store((b"3", listed(12)), (era, listed(13)))
    asyncio.run(store.list("k"))
    _, revision = asyncio.run(store.list("k"))
    assert revision == position(3, 13)
    assert eras[-1] == (None, 3)


@examines(page([item("a")]))
def test_any_list_gives_objects_or_counts_as_no_answer(document):
    store, _, _ = new_store((b"1", document), (b"1", page([])))
    try:
        objects, _ = asyncio.run(store.list("k"))
    except StoreUnavailableError:
        return
    for stored in objects:
        msgspec.msgpack.encode(stored)


@examines({"events": [{"object": item("a"), "removed": False}], "storeRevision": 9})
def test_any_watch_gives_events_or_counts_as_no_answer(document):
    store, _, _ = new_store((b"1", document))
    try:
        events, _ = asyncio.run(store.watch("k", position(1, 5), 1.0))
    except StoreUnavailableError:
        return
    for stored, _ in events:
        msgspec.msgpack.encode(stored)


@pytest.mark.parametrize("odd", ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_any_answer_to_a_write_gives_an_object_or_counts_as_none(odd):
    store, _, _ = new_store((b"1", odd))
    with pytest.raises(StoreUnavailableError):
        asyncio.run(store.create("k", "a", {}))
