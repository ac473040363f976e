"""
tests.test_storecache
~~~~~~~~~~~~~~~~~~~~~

Copies of the store at a daemon that watches it, and at one that it relays to.
"""

import asyncio

import pytest

from rosemarypath.machine import Machine
from rosemarypath.peermessages import MirrorAsk, MirrorEvents
from rosemarypath.peers import Peers
from rosemarypath.storecache import StoreCache
from rosemarypath.stored import StoredObject

KIND = "config"


def machine(name, zone):
    return Machine(
        name=name,
        incarnation="1",
        zone=zone,
        callers_address="a",
        peers_address="p",
    )


class Log:
    """Stands in for a `DecisionLog`."""

    def write(self, part, event, **fields):
        """Discard the line."""


class Mesh:
    """Records messages and handlers."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def on(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, identity, message, expect_answer=False):
        self.sent.append(message)


class Store:
    """Lists `objects`, then answers watches with what ``answer()`` returns."""

    def __init__(self, objects, revision):
        self._list = objects, revision
        self.answer = None

    async def list(self, kind):
        return self._list

    async def watch(self, kind, revision, seconds):
        if self.answer is None:
            await asyncio.sleep(3600)
        answer, self.answer = self.answer, None
        return answer()


class Daemon:
    """The store cache of one of two daemons, with its copy of the configuration."""

    def __init__(self, name, store):
        own, other = machine("m0", "z0"), machine("m1", "z1")
        if name == "m1":
            own, other = other, own
        peers = Peers(own, 0.0, 0.0)
        peers.set_machines([other], 0.0, 0.0)
        self.mesh = Mesh()
        self.cache = StoreCache(store, peers, self.mesh, 1.2, Log(), "servers", "l")
        self.copy = self.cache.add(KIND, lambda changed, removed: None)

    def receive(self, message):
        self.mesh.handlers[type(message)]("peer/1", message)

    def sent(self, message_type):
        return [m for m in self.mesh.sent if isinstance(m, message_type)]


@pytest.fixture
def objects():
    """Return the versions of one object by their revision."""
    return {n: StoredObject("main", n, f"version {n}") for n in (1, 6, 9)}


def test_a_relayed_watch_does_not_count_for_changes_that_it_does_not_contain(objects):
    async def play():
        store = Store([objects[1]], 1)
        watching, served = Daemon("m0", store), Daemon("m1", store)
        served.cache.start(lambda coroutine: coroutine.close())
        served.copy.replace([objects[1]], 1)

        def answer_after_a_snapshot():
            # A peer's snapshot overtakes the store's answer to the watch.
            watching.copy.replace([objects[9]], 9)
            return [(objects[6], False)], 6

        store.answer = answer_after_a_snapshot
        watching.cache.health.note_answer(5.0)
        watching.cache.choose_watchers(5.0)
        tasks = []
        watching.cache.start(lambda c: tasks.append(asyncio.create_task(c)))
        await asyncio.sleep(0.1)
        for task in tasks:
            task.cancel()
        for message in watching.sent(MirrorEvents):
            served.receive(message)
        served.cache.compare_revisions("m0/1", watching.cache.revisions, 10.0)
        served.cache.compare_revisions("m0/1", watching.cache.revisions, 10.2)
        assert served.copy.objects["main"].spec == "version 6"
        assert served.sent(MirrorAsk) == [MirrorAsk(KIND, 6)]

    asyncio.run(play())


def test_a_relay_that_arrives_late_does_not_bring_an_older_object_back(objects):
    served = Daemon("m1", None)
    served.cache.start(lambda coroutine: coroutine.close())
    served.copy.replace([objects[9]], 9)
    fields = [("main", 6, "version 6", False)]
    served.receive(MirrorEvents(KIND, 1, 6, 100.0, fields))
    assert served.copy.objects["main"].spec == "version 9"
    assert served.copy.revision == 9
