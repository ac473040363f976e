"""
rosemarypath.configurationreplica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Holds the configuration in force and brings newer revisions from store or peers.
"""

from rosemarypath.configuration import Configuration, Manifest
from rosemarypath.errors import NotFoundError
from rosemarypath.log import get_logger
from rosemarypath.messages import ConfigurationDelta

__all__ = ["FLEET", "MANIFEST", "SHARDS", "ConfigurationReplica", "read_configuration"]

FLEET = "fleet"
MANIFEST = "manifest"
SHARDS = "shards"
KEPT_MANIFESTS = 64

_log = get_logger("configuration")


async def read_configuration(store, previous=None):
    """Return ``(configuration, version)`` as held by the object API; 0 for none."""
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
    """Return the configuration of `manifest`, reading only the shards that lack."""
    previous = previous or Configuration()
    contents = {}
    for digest in previous.missing_shards(manifest):
        contents[digest] = (await store.get(SHARDS, digest)).spec
    return Configuration.from_contents(manifest, contents, previous)


class ConfigurationReplica:
    """
    The configuration in force on one daemon; its revision never goes back.

    `on_adopt` is called with each new `Configuration`.
    """

    def __init__(self, on_adopt=lambda configuration: None):
        self._manifests = {0: Manifest()}
        self._heard = 0
        self._behind_since = None
        self._on_adopt = on_adopt
        self.current = Configuration()

    @property
    def revision(self):
        """Return the revision in force."""
        return self.current.revision

    def record_known_revision(self, revision, now):
        """Record that some daemon has adopted `revision`."""
        self._heard = max(self._heard, revision)
        if self._heard > self.revision and self._behind_since is None:
            self._behind_since = now

    def seconds_behind(self, now):
        """Return for how many seconds a newer revision has been known."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def adopt(self, configuration):
        """Put `configuration` in force; return false when it is not newer."""
        if configuration.revision <= self.revision:
            return False
        self.current = configuration
        self._manifests[configuration.revision] = configuration.manifest
        while len(self._manifests) > KEPT_MANIFESTS:
            del self._manifests[min(self._manifests)]
        if self._heard <= self.revision:
            self._behind_since = None
        _log.info("revision {} is in force", self.revision)
        self._on_adopt(configuration)
        return True

    def delta_since(self, revision):
        """Return the `ConfigurationDelta` from `revision`, or from nothing."""
        base = revision if revision in self._manifests else 0
        base_manifest = self._manifests.get(base, Manifest())
        shards = self.current.changed_shards(base_manifest)
        contents = self.current.lines_of(shards.values())
        return ConfigurationDelta(base, self.revision, shards, contents)

    def apply_delta(self, delta):
        """Put a peer's `delta` in force; return false when it does not fit."""
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
