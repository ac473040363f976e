"""
tests.test_mirror
~~~~~~~~~~~~~~~~~

Local copies of the store's objects: ordering of updates, outages, lost history.
"""

import asyncio

from hypothesis import given, settings, strategies as st

from rosemarypath.errors import StoreUnavailableError, VersionGoneError
from rosemarypath.mirror import (
    IMMEDIATE_WATCH_SECONDS,
    SETTLE_SECONDS,
    Mirror,
    StoreHealth,
    Watcher,
    WatchRole,
)
from rosemarypath.storeavailability import StoreAvailability
from rosemarypath.stored import StoredObject, position


def new_mirror():
    changes = []
    mirror = Mirror("k", lambda changed, removed: changes.append((changed, removed)))
    return mirror, changes


def test_a_list_followed_by_events_gives_the_current_objects():
    mirror, changes = new_mirror()
    mirror.replace([StoredObject("a", 1, "x"), StoredObject("b", 2, "y")], 2)
    mirror.apply([(StoredObject("a", 3, "z"), False)], 3)
    mirror.apply([(StoredObject("b", 2, "y"), True)], 4)
    assert {n: o.spec for n, o in mirror.objects.items()} == {"a": "z"}
    assert changes == [({"a", "b"}, set()), ({"a"}, set()), (set(), {"b"})]


def test_older_lists_and_events_are_ignored():
    mirror, changes = new_mirror()
    mirror.replace([StoredObject("a", 5, "new")], 6)
    mirror.replace([StoredObject("a", 3, "old")], 4)
    mirror.apply([(StoredObject("a", 3, "old"), False)], 4)
    assert mirror.objects["a"].spec == "new"
    assert len(changes) == 1


def test_an_own_write_is_not_undone_by_older_events():
    mirror, _ = new_mirror()
    mirror.replace([], 1)
    mirror.record_own_write(StoredObject("a", 9, "mine"))
    mirror.apply([(StoredObject("a", 5, "before"), False)], 6)
    assert mirror.objects["a"].spec == "mine"
    mirror.replace([], 7)
    assert mirror.objects["a"].spec == "mine"
    mirror.replace([], 10)
    assert mirror.objects == {}


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20), st.data()
)
def test_lists_and_watches_in_any_order_end_in_the_same_state(writes, data):
    history = []
    state = {}
    states = [dict(state)]
    for revision, (name, is_removed) in enumerate(writes, start=1):
        if is_removed and name in state:
            history.append((revision, state.pop(name), True))
        elif not is_removed:
            state[name] = StoredObject(name, revision, revision)
            history.append((revision, state[name], False))
        states.append(dict(state))
    mirror, _ = new_mirror()
    last = len(writes)
    mirror.replace(list(states[0].values()), 0)
    while mirror.revision < last:
        to = data.draw(st.integers(mirror.revision, last))
        if data.draw(st.booleans()):
            mirror.replace(list(states[to].values()), to)
        else:
            since = data.draw(st.integers(0, mirror.revision))
            events = [(o, gone) for r, o, gone in history if since < r <= to]
            mirror.apply(events, to)
        assert mirror.objects == states[mirror.revision]


class Store:
    """Returns or raises the given answers in turn, then never answers."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.asked = []

    async def _next(self, verb):
        self.asked.append(verb)
        if not self.answers:
            await asyncio.sleep(3600)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def list(self, kind):
        return await self._next("list")

    async def watch(self, kind, revision, seconds):
        return await self._next(f"watch {revision}")


def test_a_compacted_history_is_listed_again_and_failed_calls_are_retried():
    unavailable = StoreUnavailableError("unavailable", "wait")
    store = Store(
        [
            unavailable,
            ([StoredObject("a", 1, "x")], 1),
            VersionGoneError("gone", "list"),
            ([StoredObject("a", 5, "y")], 5),
            unavailable,
            ([(StoredObject("b", 6, "z"), False)], 6),
        ]
    )
    mirror, _ = new_mirror()
    states = []
    health = StoreHealth(lambda is_up, reason: states.append(is_up))

    async def run():
        on_events = lambda mirror, since, revision, events: None  # noqa: E731
        availability = StoreAvailability(1.7)
        watcher = Watcher(
            store,
            mirror,
            health,
            availability,
            WatchRole(),
            on_events,
            batch_seconds=0.0,
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0.5)
        task.cancel()

    asyncio.run(run())
    assert store.asked[:3] == ["list", "list", "watch 1"]
    assert store.asked[3:] == ["list", "watch 5", "watch 5", "watch 6"]
    assert {n: o.spec for n, o in mirror.objects.items()} == {"a": "y", "b": "z"}
    assert states == [True, False, True]


class PartlyBrokenStore(Store):
    """Breaks the watches of the kind ``long``; answers all other calls."""

    async def list(self, kind):
        return [], 1

    async def watch(self, kind, revision, seconds):
        self.asked.append((kind, seconds))
        if kind == "long":
            await asyncio.sleep(0.2)
            raise StoreUnavailableError("connection lost", "try again")
        await asyncio.sleep(seconds)
        return [], revision


def test_a_probe_restores_health_at_once_after_one_watch_failed():
    store = PartlyBrokenStore([])
    roles = {"long": WatchRole(), "short": WatchRole()}
    states = []

    def on_health(is_up, reason):
        states.append(is_up)
        roles["short"].set(not is_up)

    health = StoreHealth(on_health)

    async def run():
        for kind in ("long", "short"):
            mirror = Mirror(kind, lambda changed, removed: None)
            on_events = lambda mirror, since, revision, events: None  # noqa: E731
            role = roles[kind]
            watcher = Watcher(
                store, mirror, health, StoreAvailability(1.7), role, on_events
            )
            tasks.append(asyncio.create_task(watcher.run()))
            await asyncio.sleep(0.05)
            # The role ends while only the first kind is being watched.
            role.set(False)
        await asyncio.sleep(0.25)
        for task in tasks:
            task.cancel()

    tasks = []
    asyncio.run(run())
    assert states[-2:] == [False, True]
    assert ("short", IMMEDIATE_WATCH_SECONDS) in store.asked


def new_settling_mirror():
    """Return a mirror in which all of a former state outranks an older copy."""
    mirror = Mirror("k", lambda changed, removed: None, lambda former, restored: True)
    mirror.replace([StoredObject("a", position(1, 5), "new")], position(1, 9))
    restored = [StoredObject(n, position(2, 3), "old") for n in ("a", "left")]
    mirror.replace(restored, position(2, 4))
    return mirror


def test_what_an_older_copy_changed_stays_until_it_is_written_or_time_has_passed():
    mirror = new_settling_mirror()
    assert {n: o.spec for n, o in mirror.objects.items()} == {"a": "new"}
    assert mirror.stored.keys() == {"a", "left"}
    again = StoredObject("a", position(2, 6), "written again")
    mirror.apply([(again, False)], position(2, 6))
    assert {n: o.spec for n, o in mirror.objects.items()} == {"a": "written again"}
    mirror.settle(100.0)
    mirror.settle(100.0 + SETTLE_SECONDS - 0.1)
    assert "left" not in mirror.objects
    mirror.settle(100.0 + SETTLE_SECONDS)
    assert mirror.objects["left"].spec == "old"


def test_a_list_of_the_same_era_leaves_what_an_older_copy_changed():
    mirror = new_settling_mirror()
    left = StoredObject("left", position(2, 3), "old")
    again = StoredObject("a", position(2, 6), "written again")
    mirror.replace([again, left], position(2, 8))
    assert {n: o.spec for n, o in mirror.objects.items()} == {"a": "written again"}


def test_an_own_write_ends_what_was_kept():
    mirror = new_settling_mirror()
    mirror.record_own_write(StoredObject("a", position(2, 7), "mine"))
    assert mirror.objects["a"].spec == "mine"


def test_a_list_of_an_earlier_era_is_ignored():
    mirror = new_settling_mirror()
    mirror.replace([StoredObject("a", position(1, 20), "late")], position(1, 30))
    mirror.apply([(StoredObject("a", position(1, 20), "late"), False)], position(1, 30))
    assert mirror.objects["a"].spec == "new"


def test_a_history_that_stays_gone_is_listed_with_pauses():
    store = Store([([], 1), VersionGoneError("gone", "list")] * 500)
    mirror, _ = new_mirror()

    async def run():
        watcher = Watcher(
            store,
            mirror,
            StoreHealth(),
            StoreAvailability(1.7),
            WatchRole(),
            lambda mirror, since, revision, events: None,
            batch_seconds=0.0,
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(1.0)
        task.cancel()

    asyncio.run(run())
    assert 4 <= len(store.asked) <= 16
