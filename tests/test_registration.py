"""
tests.test_registration
~~~~~~~~~~~~~~~~~~~~~~~

Removal of silent machines from the registration: which, when and by whom; and
entries of machines that cannot be read.
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
from tests.oddvalues import odd_documents

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
        self.mesh = SimpleNamespace(
            set_address=lambda identity, address: None,
            retain_peers=lambda identities: None,
        )
        self.lines = []
        self.peers = Peers(machine(own), 0.0, 0.0)
        self.peers.set_machines([machine(name) for name in NAMES], 0.0, 0.0)
        self.mirror = Mirror(MACHINE_KIND, self.on_change)
        self.on_machines = None
        self.mirror.replace([StoredObject(name, 5, {}) for name in NAMES], 9)
        store_cache = SimpleNamespace(add=self.add_mirror)
        log = SimpleNamespace(
            write=lambda part, event, **fields: self.lines.append((event, fields))
        )
        self.registration = Registration(
            machine(own), self.store, store_cache, self.peers, self.mesh, log
        )

    def add_mirror(self, kind, on_machines, outranks):
        self.on_machines = on_machines
        return self.mirror

    def on_change(self, changed, removed):
        if self.on_machines is not None:
            self.on_machines(changed, removed)

    def write(self, **specs):
        """Write entries of machines, all in one change."""
        revision = self.mirror.revision + 1
        events = [(StoredObject(n, revision, s), False) for n, s in specs.items()]
        self.mirror.apply(events, revision)

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


ENTRY = {
    "incarnation": "2",
    "zone": "z",
    "callers": "10.0.0.1:80",
    "peers": "10.0.0.1:81",
    "bandwidth": 10.0,
}


def test_any_entry_gives_a_machine_that_can_be_called_or_none(monkeypatch):
    register = Register("a", monkeypatch)
    for odd in odd_documents(ENTRY):
        register.write(b=odd, c=ENTRY)
        assert "c" in register.peers.by_name
        peer = register.peers.by_name.get("b")
        if peer is not None:
            assert 0 < int(peer.machine.peers_address.rpartition(":")[2]) < 65536
            assert peer.machine.identity.encode() and peer.machine.bandwidth < 1e15


def test_an_unreadable_entry_of_a_machine_is_named_once(monkeypatch):
    register = Register("a", monkeypatch)
    odd = {**ENTRY, "peers": "10.0.0.1:99999"}
    register.write(a=ENTRY, b=odd, c=ENTRY)
    register.write(c={**ENTRY, "incarnation": "3"})
    errors = [fields["name"] for event, fields in register.lines if event == "error"]
    assert errors == ["b"]
    assert set(register.peers.by_name) == {"c"}
