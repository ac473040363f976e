"""
tests.test_configuration
~~~~~~~~~~~~~~~~~~~~~~~~

Shards and deltas of the configuration; its revision never decreases.
"""

import pytest

from rosemarypath.configuration import (
    Configuration,
    Manifest,
    build_shards,
    diff_rules,
)
from rosemarypath.configurationreplica import ConfigurationReplica
from rosemarypath.rules import parse_line


def build(revision, lines, previous=None):
    shards, contents = build_shards([parse_line(line) for line in lines])
    manifest = Manifest(revision=revision, shards=shards)
    return Configuration.from_contents(manifest, contents, previous)


def adapters(count, version="1"):
    return [
        f"adapter a{n} model=m version={version if n == 0 else 1} # asked by A"
        for n in range(count)
    ]


@pytest.fixture
def config_replica():
    config_replica = ConfigurationReplica()
    config_replica.adopt(build(1, adapters(500)))
    return config_replica


def test_configuration_contains_the_objects_of_the_rules():
    configuration = build(1, ["zone z accepting=no # asked by A", *adapters(3)])
    assert not configuration.zone_accepts("z")
    assert not configuration.zone_accepts("unknown")
    assert configuration.adapters["a2"].engine_name == "a2@1"
    assert len(configuration.all_rules()) == 4


def test_diff_lists_each_change():
    old = [parse_line(line) for line in adapters(3)]
    new = [parse_line(line) for line in adapters(2, "2")]
    changes = [(change.action, change.name) for change in diff_rules(old, new)]
    assert changes == [("change", "a0"), ("remove", "a2")]


def test_delta_contains_only_changed_shards(config_replica):
    follower = ConfigurationReplica()
    assert follower.apply_delta(config_replica.delta_since(0))
    config_replica.adopt(build(2, adapters(500, "2"), config_replica.current))
    delta = config_replica.delta_since(1)
    assert len(delta.shards) == 1
    assert follower.apply_delta(delta)
    assert follower.current.adapters["a0"].version == "2"
    assert follower.revision == 2


def test_revision_never_decreases(config_replica):
    assert not config_replica.adopt(build(1, adapters(1)))
    assert not config_replica.adopt(build(0, adapters(1)))
    assert len(config_replica.current.adapters) == 500


def test_delta_with_another_base_is_refused(config_replica):
    follower = ConfigurationReplica()
    follower.apply_delta(config_replica.delta_since(0))
    config_replica.adopt(build(2, adapters(500, "2"), config_replica.current))
    config_replica.adopt(build(3, adapters(500, "3"), config_replica.current))
    assert not follower.apply_delta(config_replica.delta_since(2))
    assert follower.apply_delta(config_replica.delta_since(follower.revision))


def test_delta_with_missing_contents_is_refused(config_replica):
    delta = config_replica.delta_since(0)
    delta.contents.clear()
    assert not ConfigurationReplica().apply_delta(delta)


def test_replica_reports_how_long_it_is_behind(config_replica):
    config_replica.record_known_revision(2, 10.0)
    config_replica.record_known_revision(2, 12.0)
    assert config_replica.seconds_behind(13.0) == 3.0
    config_replica.adopt(build(2, adapters(500, "2"), config_replica.current))
    assert config_replica.seconds_behind(13.0) == 0.0


def test_removed_shards_are_dropped(config_replica):
    follower = ConfigurationReplica()
    follower.apply_delta(config_replica.delta_since(0))
    config_replica.adopt(build(2, adapters(1), config_replica.current))
    follower.apply_delta(config_replica.delta_since(1))
    assert set(follower.current.adapters) == {"a0"}
