"""
tests.test_registration
~~~~~~~~~~~~~~~~~~~~~~~

Removal of silent machines from the registration: which, when and by whom.
"""

import asyncio
from types import SimpleNamespace

import pytest

from rosemarypath import registration
from rosemarypath.errors import ConflictError
from rosemarypath.hashing import rendezvous_order
from rosemarypath.machine import Machine
from rosemarypath.mirror import Mirror
from rosemarypath.peers import Peers
from rosemarypath.registration import (
    MACHINE_KIND,
    REMOVAL_TIMEOUT_SECONDS,
    Registration,
)
from rosemarypath.stored import StoredObject

NAMES = ["a", "b", "c"]


def machine(name):
    return Machine(
        name=name, incarnation="1", zone="z", callers_address="c:1", peers_address="p:1"
    )


class FakeStore:
    """Records deletions, or raises `problem` if it is set."""

    def __init__(self):
        self.deleted = []
        self.problem = None

    async def delete(self, kind, name, version):
        if self.problem is not None:
            raise self.problem
        self.deleted.append((kind, name, version))


class Register:
    """The `Registration` of the daemon `own`, with an adjustable clock."""

    def __init__(self, own, monkeypatch):
        self.now = 0.0
        monkeypatch.setattr(registration, "now", lambda: self.now)
        self.store = FakeStore()
        self.lines = []
        self.peers = Peers(machine(own), 0.0, 0.0)
        self.peers.set_machines([machine(name) for name in NAMES], 0.0, 0.0)
        mirror = Mirror(MACHINE_KIND, lambda changed, removed: None)
        mirror.replace([StoredObject(name, 5, {}) for name in NAMES], 9)
        store_cache = SimpleNamespace(add=lambda kind, on_change, outranks: mirror)
        log = SimpleNamespace(
            write=lambda part, event, **fields: self.lines.append((event, fields))
        )
        self.registration = Registration(
            machine(own), self.store, store_cache, self.peers, None, log
        )

    def receive_heartbeat(self, name):
        self.peers.by_name[name].heard_at = self.now

    def remove_silent_machines(self, at):
        self.now = at
        asyncio.run(self.registration.remove_silent_machines())


@pytest.fixture
def remover_of_c(monkeypatch):
    """Return the `Register` of the daemon that is to remove ``c``."""
    own = rendezvous_order("c", ["a", "b"])[0]
    register = Register(own, monkeypatch)
    register.other = "b" if own == "a" else "a"
    return register


def test_a_machine_silent_past_the_timeout_is_removed_at_its_version(remover_of_c):
    remover_of_c.now = REMOVAL_TIMEOUT_SECONDS + 1.0
    remover_of_c.receive_heartbeat(remover_of_c.other)
    remover_of_c.remove_silent_machines(REMOVAL_TIMEOUT_SECONDS + 1.0)
    assert remover_of_c.store.deleted == [(MACHINE_KIND, "c", 5)]
    assert remover_of_c.lines[-1][0] == "removed"


def test_a_machine_silent_for_less_than_the_timeout_stays(remover_of_c):
    remover_of_c.now = 8.0
    remover_of_c.receive_heartbeat("c")
    remover_of_c.receive_heartbeat(remover_of_c.other)
    remover_of_c.remove_silent_machines(8.0 + REMOVAL_TIMEOUT_SECONDS - 0.5)
    assert remover_of_c.store.deleted == []


def test_a_daemon_that_just_started_removes_no_machine(remover_of_c):
    remover_of_c.remove_silent_machines(REMOVAL_TIMEOUT_SECONDS - 1.0)
    assert remover_of_c.store.deleted == []


def test_only_one_of_the_live_daemons_removes_a_machine(monkeypatch):
    own = rendezvous_order("c", ["a", "b"])[1]
    register = Register(own, monkeypatch)
    register.now = REMOVAL_TIMEOUT_SECONDS + 1.0
    register.receive_heartbeat("b" if own == "a" else "a")
    register.remove_silent_machines(REMOVAL_TIMEOUT_SECONDS + 1.0)
    assert register.store.deleted == []


def test_a_concurrently_changed_entry_stays_and_is_logged(remover_of_c):
    remover_of_c.store.problem = ConflictError("changed", "read again")
    remover_of_c.now = REMOVAL_TIMEOUT_SECONDS + 1.0
    remover_of_c.receive_heartbeat(remover_of_c.other)
    remover_of_c.remove_silent_machines(REMOVAL_TIMEOUT_SECONDS + 1.0)
    assert remover_of_c.lines[-1] == ("lost", {"name": "c", "why": "changed"})
