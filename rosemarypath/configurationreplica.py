"""
rosemarypath.configurationreplica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A daemon's copy of the configuration, updated from the object API or by peers.
"""

from rosemarypath.configuration import Configuration, Manifest
from rosemarypath.errors import NotFoundError
from rosemarypath.log import get_logger
from rosemarypath.messages import ConfigurationDelta

__all__ = ["FLEET", "MANIFEST", "SHARDS", "ConfigurationReplica", "read_configuration"]

FLEET = "fleet"
MANIFEST = "manifest"
SHARDS = "shards"
MAX_CACHED_MANIFESTS = 64

_log = get_logger("configuration")


async def read_configuration(store, previous=None):
    """
    Read ``(configuration, version)`` from the object API.

    `version` is that of the manifest object, 0 if nothing is stored. Shards are reused
    from the configuration `previous`.
    """
    try:
        stored = await store.get(FLEET, MANIFEST)
    except NotFoundError:
        return Configuration(), 0
    manifest = parse_manifest(stored)
    return await build_configuration(store, manifest, previous), stored.version


def parse_manifest(stored):
    """Return the `Manifest` in a `StoredObject`."""
    return Manifest(revision=stored.spec["revision"], shards=stored.spec["shards"])


async def build_configuration(store, manifest, previous=None):
    """Return the configuration of `manifest`, reading shards not in `previous`."""
    previous = previous or Configuration()
    contents = {}
    for digest in previous.missing_shards(manifest):
        contents[digest] = (await store.get(SHARDS, digest)).spec
    return Configuration.from_contents(manifest, contents, previous)


class ConfigurationReplica:
    """
    The configuration that one daemon uses; its revision never decreases.

    `on_adopt` is called with each new `Configuration`.
    """

    def __init__(self, on_adopt=lambda configuration: None):
        self._manifests = {0: Manifest()}
        self._newest_known = 0
        self._outdated_since = None
        self._on_adopt = on_adopt
        self.current = Configuration()

    @property
    def revision(self):
        """Return the revision of the current configuration."""
        return self.current.revision

    def record_known_revision(self, revision, now):
        """Record that a daemon has adopted `revision`."""
        self._newest_known = max(self._newest_known, revision)
        if self._newest_known > self.revision and self._outdated_since is None:
            self._outdated_since = now

    def seconds_behind(self, now):
        """Return the seconds since a newer revision became known; 0 if up to date."""
        return 0.0 if self._outdated_since is None else now - self._outdated_since

    def adopt(self, configuration):
        """Replace the current configuration if older; return whether it was."""
        if configuration.revision <= self.revision:
            return False
        self.current = configuration
        self._manifests[configuration.revision] = configuration.manifest
        while len(self._manifests) > MAX_CACHED_MANIFESTS:
            del self._manifests[min(self._manifests)]
        if self._newest_known <= self.revision:
            self._outdated_since = None
        _log.info("adopted configuration revision {}", self.revision)
        self._on_adopt(configuration)
        return True

    def delta_since(self, revision):
        """Return the `ConfigurationDelta` since `revision`, full if it is unknown."""
        base = revision if revision in self._manifests else 0
        base_manifest = self._manifests.get(base, Manifest())
        shards = self.current.changed_shards(base_manifest)
        contents = self.current.lines_of(shards.values())
        return ConfigurationDelta(base, self.revision, shards, contents)

    def apply_delta(self, delta):
        """
        Apply a peer's `delta`; return false when it can't be applied.

        It must be newer, full or based on the current revision, and contain each shard
        that is missing here.
        """
        if delta.revision <= self.revision:
            return False
        if delta.base == 0:
            shards = dict(delta.shards)
        elif delta.base == self.revision:
            shards = {**self.current.manifest.shards, **delta.shards}
        else:
            return False
        shards = {number: digest for number, digest in shards.items() if digest}
        manifest = Manifest(revision=delta.revision, shards=shards)
        missing = self.current.missing_shards(manifest)
        if any(digest not in delta.contents for digest in missing):
            return False
        configuration = Configuration.from_contents(
            manifest, delta.contents, self.current
        )
        return self.adopt(configuration)
