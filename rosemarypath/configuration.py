"""
rosemarypath.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~

The configuration: rules in content-addressed shards, listed by a manifest.
"""

import hashlib
import sys
import zlib
from dataclasses import dataclass, field

import msgspec
import xxhash

from rosemarypath.backend import ENGINE, SERVICE
from rosemarypath.loadpermits import WeightStoreLimits
from rosemarypath.rules import parse_line

__all__ = [
    "Change",
    "Configuration",
    "Manifest",
    "Shard",
    "build_shards",
    "diff_rules",
]

SHARD_COUNT = 256
DIGEST_LENGTH = 32


class Shard(msgspec.Struct, frozen=True):
    """
    The rules of one shard.

    `entries` are tuples ``(kind, name, object)``; `packed` contains the lines of the
    rules file, joined and compressed with zlib.
    """

    entries: tuple
    packed: bytes

    @property
    def lines(self):
        """Return the rules as canonical lines, decompressed."""
        return zlib.decompress(self.packed).decode().split("\n")

    @classmethod
    def from_lines(cls, lines):
        """Parse `lines`; equal strings of all shards are interned to save memory."""
        rules = [parse_line(line) for line in lines]
        entries = tuple(
            (sys.intern(rule.kind), sys.intern(rule.name), _intern_strings(rule.item))
            for rule in rules
        )
        return cls(entries, zlib.compress("\n".join(lines).encode()))


def _intern_strings(item):
    """Return a copy of `item` with its strings interned."""
    changes = {
        name: sys.intern(value)
        for name in item.__struct_fields__
        if type(value := getattr(item, name)) is str
    }
    return msgspec.structs.replace(item, **changes)


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """
    One revision of the configuration.

    `shards` maps each shard's number, as a string, to the hash of its content.
    """

    revision: int = 0
    shards: dict[str, str] = {}


@dataclass(frozen=True)
class Change:
    """One difference between two sets of rules; `action` is add, change or remove."""

    action: str
    kind: str
    name: str
    before: str = ""
    after: str = ""


def _shard_number(kind, name):
    return xxhash.xxh32_intdigest(f"{kind} {name}".encode()) % SHARD_COUNT


def _digest_of(lines_of_shard):
    return hashlib.sha256("\n".join(lines_of_shard).encode()).hexdigest()[
        :DIGEST_LENGTH
    ]


def build_shards(rules):
    """
    Distribute `rules` over shards; return ``(shards, contents)``.

    `shards` maps shard numbers to hashes, `contents` maps hashes to lists of lines.
    """
    lines = {}
    for rule in rules:
        lines.setdefault(_shard_number(rule.kind, rule.name), []).append(rule.text)
    shards = {}
    contents = {}
    for number, lines_of_shard in lines.items():
        lines_of_shard.sort()
        digest = _digest_of(lines_of_shard)
        shards[str(number)] = digest
        contents[digest] = lines_of_shard
    return shards, contents


def diff_rules(old_rules, new_rules):
    """Return the list of `Change` objects from `old_rules` to `new_rules`."""
    old = {(rule.kind, rule.name): rule.text for rule in old_rules}
    new = {(rule.kind, rule.name): rule.text for rule in new_rules}
    changes = []
    for identity in sorted(old.keys() | new.keys()):
        before = old.get(identity, "")
        after = new.get(identity, "")
        if before == after:
            continue
        action = "change"
        if not before:
            action = "add"
        elif not after:
            action = "remove"
        changes.append(Change(action, *identity, before, after))
    return changes


@dataclass(frozen=True)
class Configuration:
    """
    All rules at one revision; immutable.

    The other fields contain the objects that the rules define, by name, and the keys
    by their digest.

    Options:

    `manifest`
        The revision and its shards (default: revision 0, no shards).
    `rules`
        Maps the hash of a shard to the `Shard`.
    """

    manifest: Manifest = Manifest()
    rules: dict = field(default_factory=dict)
    customers: dict = field(default_factory=dict)
    keys: dict = field(default_factory=dict)
    adapters: dict = field(default_factory=dict)
    routes: dict = field(default_factory=dict)
    back_ends: dict = field(default_factory=dict)
    zones: dict = field(default_factory=dict)
    weight_store: WeightStoreLimits = WeightStoreLimits(name="default")

    @property
    def revision(self):
        """Return the manifest's revision."""
        return self.manifest.revision

    @classmethod
    def from_contents(cls, manifest, contents, previous=None):
        """
        Build the configuration of `manifest`.

        `contents` maps hashes to lists of lines; shards that the configuration
        `previous` contains are reused. Raises `KeyError` for a shard in neither.
        """
        parsed = {}
        known = previous.rules if previous is not None else {}
        for digest in manifest.shards.values():
            if digest in known:
                parsed[digest] = known[digest]
            else:
                parsed[digest] = Shard.from_lines(contents[digest])
        return cls._from_parsed(manifest, parsed)

    @classmethod
    def _from_parsed(cls, manifest, parsed):
        tables = {
            "customer": {},
            "adapter": {},
            "route": {},
            "backend": {},
            "zone": {},
        }
        keys = {}
        weight_store = WeightStoreLimits(name="default")
        for shard in parsed.values():
            for kind, name, item in shard.entries:
                if kind == "key":
                    keys[item.digest] = item
                elif kind == "weight-store":
                    weight_store = item
                else:
                    tables[kind][name] = item
        return cls(
            manifest=manifest,
            rules=parsed,
            customers=tables["customer"],
            keys=keys,
            adapters=tables["adapter"],
            routes=tables["route"],
            back_ends=tables["backend"],
            zones=tables["zone"],
            weight_store=weight_store,
        )

    def missing_shards(self, manifest):
        """Return the hashes of the shards of `manifest` that are missing here."""
        return [d for d in set(manifest.shards.values()) if d not in self.rules]

    def changed_shards(self, base):
        """
        Return the shards that differ from those of the manifest `base`.

        Maps shard numbers to hashes, to an empty string for a removed shard.
        """
        shards = self.manifest.shards
        numbers = shards.keys() | base.shards.keys()
        return {
            number: shards.get(number, "")
            for number in numbers
            if shards.get(number) != base.shards.get(number)
        }

    def lines_of(self, digests):
        """Return a dict of the lines of the shards with the hashes `digests`."""
        return {digest: self.rules[digest].lines for digest in digests if digest}

    def all_rules(self):
        """Return all rules, sorted by kind and name."""
        rules = [
            parse_line(line) for shard in self.rules.values() for line in shard.lines
        ]
        return sorted(rules, key=lambda rule: (rule.kind, rule.name))

    def engines_for(self, model):
        """Return the engines that serve `model`, sorted by name."""
        return self._back_ends_serving(ENGINE, model)

    def services_for(self, service):
        """Return the back ends of the plain `service`, sorted by name."""
        return self._back_ends_serving(SERVICE, service)

    def _back_ends_serving(self, kind, serves):
        found = [
            b for b in self.back_ends.values() if b.kind == kind and b.serves == serves
        ]
        return sorted(found, key=lambda back_end: back_end.name)

    def zone_accepts(self, zone):
        """Return whether `zone` accepts new requests; false for an unknown zone."""
        return zone in self.zones and self.zones[zone].accepting
