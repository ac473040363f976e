"""
rosemarypath.rulestore
~~~~~~~~~~~~~~~~~~~~~~

Stores rules in the object API as new revisions, guarded against lost updates.
"""

import asyncio
import re
from dataclasses import dataclass

import aiohttp
import msgspec

from rosemarypath.configuration import build_shards, diff_rules
from rosemarypath.configurationreplica import (
    FLEET,
    MANIFEST,
    SHARDS,
    read_configuration,
)
from rosemarypath.errors import ConflictError, RosemarypathError
from rosemarypath.rules import parse_line

__all__ = [
    "Adoption",
    "change_rule",
    "fetch_adoption",
    "read_base_revision",
    "set_option",
    "store_rules",
    "with_base_revision",
]

BASE_REVISION_HEADER = re.compile(r"^# based on revision (\d+)\s*$", re.MULTILINE)
MAX_CONCURRENT_WRITES = 16
MAX_CHANGE_ATTEMPTS = 10
HTTP_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True)
class Adoption:
    """
    Which daemons have adopted a configuration revision.

    `accepted` is the highest revision that all daemons have adopted; `behind` maps the
    identities of daemons with an older revision to that revision.
    """

    accepted: int
    behind: dict


def read_base_revision(text):
    """
    Return the revision in the header of a rules file, or ``None`` without a header.

    >>> read_base_revision("# based on revision 7\\n")
    7
    """
    match = BASE_REVISION_HEADER.search(text)
    return int(match[1]) if match else None


def with_base_revision(text, revision):
    """Return `text` with a header saying that it is based on `revision`."""
    line = f"# based on revision {revision}"
    if BASE_REVISION_HEADER.search(text):
        return BASE_REVISION_HEADER.sub(line, text, count=1)
    return f"{line}\n{text}"


async def store_rules(store, rules, base_revision):
    """
    Store `rules` as the revision after `base_revision`; return ``(revision, changes)``.

    Raises `ConflictError` when another revision is current. The manifest is written
    last: until then, daemons use the old revision.
    """
    current, version = await read_configuration(store)
    if current.revision != base_revision:
        raise ConflictError(
            f"the current revision is {current.revision}, not {base_revision}",
            "run 'rosemarypath plan', merge the difference and apply again",
        )
    changes = diff_rules(current.all_rules(), rules)
    if not changes:
        return current.revision, changes
    shards, contents = build_shards(rules)
    await _write_shards(store, contents, set(current.rules))
    revision = current.revision + 1
    spec = {"revision": revision, "shards": shards}
    if version:
        await store.update(FLEET, MANIFEST, spec, version)
    else:
        await store.create(FLEET, MANIFEST, spec)
    return revision, changes


async def _write_shards(store, contents, known):
    limit = asyncio.Semaphore(MAX_CONCURRENT_WRITES)

    async def write(digest):
        async with limit:
            try:
                await store.create(SHARDS, digest, contents[digest])
            except ConflictError:
                return

    await asyncio.gather(*(write(d) for d in contents if d not in known))


async def change_rule(store, kind, name, change):
    """
    Change one rule of the current revision; return ``(revision, line)``.

    ``change(line)`` is called with the rule's line, or ``None`` if there is none, and
    returns the new line. It is called again after a conflicting change.
    """
    for _ in range(MAX_CHANGE_ATTEMPTS):
        current, _ = await read_configuration(store)
        rules = {(rule.kind, rule.name): rule for rule in current.all_rules()}
        existing = rules.get((kind, name))
        line = change(existing.text if existing is not None else None)
        rules[(kind, name)] = parse_line(line)
        try:
            revision, _ = await store_rules(
                store, list(rules.values()), current.revision
            )
            return revision, line
        except ConflictError:
            continue
    raise ConflictError(
        "the rules were changed by others during each attempt", "try again"
    )


def set_option(line, option, value, asked_by):
    """
    Return a rule's `line` with one option and its ``# asked by`` comment set.

    >>> set_option("zone z accepting=no # asked by A", "accepting", "yes", "B")
    'zone z accepting=yes # asked by B'
    """
    body = line[: line.rindex("#")].split()
    words = [word for word in body if not word.startswith(f"{option}=")]
    words.append(f"{option}={value}")
    head, options = words[:2], sorted(words[2:])
    return " ".join([*head, *options, "# asked by", asked_by])


async def fetch_adoption(daemon_address, revision):
    """Fetch the `Adoption` of `revision` from a daemon's operators' address."""
    url = f"http://{daemon_address}/adoption"
    timeout = aiohttp.ClientTimeout(total=HTTP_TIMEOUT_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url) as response:
                document = msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        raise RosemarypathError(
            f"{daemon_address} does not answer ({error!r})", "name another --daemon"
        ) from error
    if response.status != 200:
        raise RosemarypathError(document["error"], "wait or name another --daemon")
    fenced = set(document["fenced"])
    behind = {
        identity: revisions[1]
        for identity, revisions in document["adopted"].items()
        if identity not in fenced and revisions[1] < revision
    }
    return Adoption(document["accepted"], behind)
