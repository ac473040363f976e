"""
tests.test_platformsync
~~~~~~~~~~~~~~~~~~~~~~~

The daemon's view of the fleet, from objects some of which cannot be read.
"""

from types import SimpleNamespace

import pytest

from rosemarypath.clock import lease_now
from rosemarypath.mirror import Mirror
from rosemarypath.platform.dialect import PlatformDialect
from rosemarypath.platformsync import PlatformSync
from rosemarypath.stored import StoredObject
from tests.edgefleet import configuration

SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
}


class FleetView:
    """Records what the objects of the store come to."""

    def __init__(self):
        self.table = None
        self.versions = {}
        self.announced_at = {}
        self.back_ends = SimpleNamespace(states={}, evacuated_zones=frozenset())

    def set_back_end(self, entry, now):
        self.back_ends.states[entry.back_end.name] = SimpleNamespace(entry=entry)

    def remove_back_end(self, name, now):
        self.back_ends.states.pop(name, None)
        return False

    def set_routing_table(self, table, now):
        self.table = table
        return True

    def set_versions(self, versions, announced_at):
        self.versions.update(versions)
        self.announced_at.update(dict.fromkeys(versions, announced_at))


class Follower:
    """A `PlatformSync` whose objects are written by the test."""

    def __init__(self):
        self.lines = []
        self.fleet = FleetView()
        self._mirrors = {}
        self._revision = 0
        availability = SimpleNamespace(reachable_seconds=lambda now: 9.0)
        PlatformSync(
            SimpleNamespace(add=self._add, availability=availability),
            PlatformDialect,
            self.fleet,
            SimpleNamespace(write=self._write_line),
            lambda limits: None,
        )

    def _add(self, kind, on_change, outranks=None):
        mirror = self._mirrors[kind] = Mirror(kind, on_change, outranks)
        return mirror

    def _write_line(self, part, event, **fields):
        self.lines.append((part, event, fields.get("name")))

    def write(self, kind, **specs):
        """Write objects, all in one change."""
        self._revision += 1
        events = [
            (StoredObject(name, self._revision, spec), False)
            for name, spec in specs.items()
        ]
        self._mirrors[kind].apply(events, self._revision)

    def read(self, kind, **specs):
        """Read a list of all objects."""
        self._revision += 1
        objects = [StoredObject(n, self._revision, spec) for n, spec in specs.items()]
        self._mirrors[kind].replace(objects, self._revision)

    def errors(self, part):
        """Return the names in the lines that tell of errors."""
        return [n for p, event, n in self.lines if (p, event) == (part, "error")]


@pytest.fixture
def follower():
    """Return a new `Follower`."""
    return Follower()


def test_an_unreadable_back_end_is_named_once_and_costs_no_other(follower):
    odd = {**SERVER, "slots": 10**400}
    for _ in range(3):
        follower.write("servers", odd=odd, sound=SERVER)
    assert set(follower.fleet.back_ends.states) == {"sound"}
    assert follower.errors("servers") == ["odd"]
    follower.write("servers", odd=SERVER)
    assert set(follower.fleet.back_ends.states) == {"odd", "sound"}


def test_a_back_end_whose_entry_becomes_unreadable_is_removed_from_use(follower):
    follower.write("servers", i1=SERVER)
    follower.write("servers", i1=None)
    follower.write("servers", i1=None)
    assert follower.fleet.back_ends.states == {}
    assert follower.errors("servers") == ["i1"]
    assert follower.lines.count(("servers", "removed", "i1")) == 1


@pytest.mark.parametrize("odd", [10**400, "x" * 100_000, {"x" * 100_000: 1}, None])
def test_an_unreadable_configuration_leaves_the_former_in_force(follower, odd):
    follower.write("config", main=configuration(4))
    follower.write("config", main={**configuration(5), "routes": [odd]})
    follower.write("config", other={})
    assert follower.fleet.table.version == 4
    assert follower.errors("configuration") == ["main"]
    follower.write("config", main={**configuration(6), "tenants": odd or 7})
    assert follower.errors("configuration") == ["main", "main"]
    follower.write("config", main=configuration(7))
    assert follower.fleet.table.version == 7


def test_an_unreadable_version_is_named_once_and_costs_no_other(follower):
    odd = {"model": "m", "adapter": "a", "version": 10**400}
    for number in (2, 3):
        sound = {"model": "m", "adapter": "b", "version": number}
        follower.write("versions", odd=odd, sound=sound)
        assert follower.fleet.versions == {"m/b": number}
    assert follower.errors("versions") == ["odd"]


def test_an_evacuation_counts_by_its_name_whatever_it_contains(follower):
    follower.write("evacuations", z1=None, z2={"odd": [[]]})
    assert follower.fleet.back_ends.evacuated_zones == {"z1", "z2"}


def test_versions_of_the_first_read_count_as_announced_long_ago(follower):
    """Review, case 4: a restarted daemon took old versions for current ones."""
    spec = {"model": "m", "adapter": "a", "version": 2}
    follower.read("versions", **{"m.a": spec})
    assert follower.fleet.announced_at == {"m/a": float("-inf")}
    follower.write("versions", **{"m.b": {**spec, "adapter": "b"}})
    assert follower.fleet.announced_at["m/b"] == pytest.approx(lease_now(), abs=5.0)
