"""
rosemarypath.platform.store
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's object store; counts its calls by kind and verb.
"""

import time
from collections import Counter
from urllib.parse import quote

import msgspec

from rosemarypath.errors import (
    AnswerTooLargeError,
    ConflictError,
    ConnectError,
    NotFoundError,
    ResponseError,
    StoreUnavailableError,
    VersionGoneError,
)
from rosemarypath.log import get_logger
from rosemarypath.platform.documents import decode_page, find_fault
from rosemarypath.stored import (
    ERA_SPAN,
    StoredObject,
    era_of,
    position,
    revision_of,
)

__all__ = ["PlatformStore"]

CALL_TIMEOUT_SECONDS = 1.0  # a healthy store answers in milliseconds
WATCH_MARGIN_SECONDS = 0.4  # added to the wait of a watch before it times out
JSON_HEADERS = [(b"Content-Type", b"application/json")]
ERA = b"store-era"
MAX_ERA_DIGITS = 6  # a position of the era fits into 64 bits
UNAVAILABLE_REMEDY = "check that the platform's store is up and reachable"

_log = get_logger("store")


def decode_object(document, start):
    """
    Return the `StoredObject` in an item of a list, in an event or in an answer.

    `start` is the store's position in that answer. It stands for the object's version
    if that is unreadable. Raises `ValueError` if the object's name is unreadable.
    """
    metadata = document.get("metadata") if isinstance(document, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    if not isinstance(name, str) or not name:
        raise ValueError("it has no name")
    if not name.isascii() and find_fault(name):
        raise ValueError("its name is unreadable")
    # "revision" is not counted per object: it is the store's counter at the object's
    # last change.
    revision = metadata.get("revision")
    if not _is_revision(revision):
        return StoredObject(name, start, None, fault="its revision is unreadable")
    version = position(era_of(start), revision)
    spec = document.get("spec")
    fault = find_fault(spec)
    return StoredObject(name, version, None if fault else spec, fault=fault)


def _decode_event(event, start):
    """Return the `StoredObject` in an event, and whether it was removed."""
    if not isinstance(event, dict):
        raise ValueError("it is no object")
    stored = decode_object(event.get("object"), start)
    is_removed = event.get("removed")
    if not isinstance(is_removed, bool):
        fault = "whether it was removed is unreadable"
        return msgspec.structs.replace(stored, spec=None, fault=fault), False
    return stored, is_removed


def _is_revision(value):
    return type(value) is int and 0 <= value < ERA_SPAN


def _require(page, field, is_valid):
    """Return a field of an answer; raises `ValueError` if it is not valid."""
    value = page.get(field) if isinstance(page, dict) else None
    if not is_valid(value):
        raise ValueError(f"no readable {field}")
    return value


def _is_list(value):
    return isinstance(value, list)


class PlatformStore:
    """
    Client of the store at `address` (``host:port``).

    `pool` is the `ConnectionPool` to use. Every call raises `StoreUnavailableError`
    when the store does not answer in time, answers with an unexpected status, or in an
    earlier era than before. ``on_era(era, known)`` is called when an answer names
    another era than the newest `known` one; `era` is ``None`` if it is unreadable.
    """

    def __init__(self, address, pool, on_era=lambda era, known: None):
        self._pool = pool
        self._on_era = on_era
        self._era = 0
        self._unnamed_kinds = set()
        self.calls = Counter()
        self.set_address(address)

    def set_address(self, address):
        """Call the store at another ``host:port`` from now on."""
        self._address = address
        self._host = [(b"Host", address.encode())]

    async def list(self, kind):
        """
        Return all objects of `kind`, and the store's position at the first page.

        A watch from that position misses no change made while the pages are read.
        """
        objects = []
        after = ""
        start = None
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            page, era = await self._read(kind, f"/{kind}{query}")
            if start is None:
                start = self._position(page, kind, era)
            elif era_of(start) != era:
                raise self._unavailable_error(f"list of {kind}: a new era began")
            items = self._decode_entries(page, kind, "items", decode_object, start)
            objects += items
            if not page.get("hasMore") or not page["items"]:
                return objects, start
            if not items:
                raise self._unavailable_error(f"list of {kind}: a page has no names")
            after = items[-1].name

    async def get(self, kind, name):
        """Return one `StoredObject`; raises `NotFoundError`."""
        document, era = await self._read(kind, f"/{kind}/{quote(name, safe='')}")
        return self._decode_answer(document, era)

    async def watch(self, kind, since, seconds):
        """
        Wait up to `seconds` for changes of `kind` after the position `since`.

        Returns a list of pairs (object, whether it was removed) and the new position.
        Raises `VersionGoneError` if the store no longer has the changes since
        `since`, or if they are too large for one answer.
        """
        path = f"/{kind}?watch={revision_of(since)}&waitMs={int(seconds * 1000)}"
        page, era = await self._read(
            kind, path, "watch", seconds + WATCH_MARGIN_SECONDS
        )
        if era != era_of(since):
            raise VersionGoneError(f"{kind}: a new era began", "list it anew")
        reached = self._position(page, kind, era)
        events = self._decode_entries(page, kind, "events", _decode_event, reached)
        return events, reached

    async def create(self, kind, name, spec):
        """Create an object and return it; raises `ConflictError` if it exists."""
        body = {"metadata": {"name": name}, "spec": spec}
        return await self._write(b"POST", kind, f"/{kind}", body)

    async def update(self, kind, name, spec, version=0):
        """
        Replace an object and return it; raises `ConflictError` and `NotFoundError`.

        A `version` other than 0 must equal the object's; else it is a conflict.
        """
        metadata = {"name": name}
        if version:
            self._check_era(kind, version)
            metadata["revision"] = revision_of(version)
        body = {"metadata": metadata, "spec": spec}
        path = f"/{kind}/{quote(name, safe='')}"
        stored = await self._write(b"PUT", kind, path, body)
        if version:
            # The store may have given the revision out again, to another change.
            self._check_era(kind, version)
        return stored

    async def delete(self, kind, name, version):
        """Remove an object if its version still is `version`."""
        self._check_era(kind, version)
        path = f"/{kind}/{quote(name, safe='')}?revision={revision_of(version)}"
        await self._call(b"DELETE", kind, "delete", path, b"", CALL_TIMEOUT_SECONDS)

    async def _read(self, kind, path, verb="read", timeout=CALL_TIMEOUT_SECONDS):
        return await self._call(b"GET", kind, verb, path, b"", timeout)

    async def _write(self, method, kind, path, document):
        body = msgspec.json.encode(document)
        answer, era = await self._call(
            method, kind, "write", path, body, CALL_TIMEOUT_SECONDS
        )
        return self._decode_answer(answer, era)

    def _decode_answer(self, answer, era):
        """Return the object in an answer that has only one."""
        try:
            stored = decode_object(answer, position(era, 0))
        except ValueError as error:
            raise self._unavailable_error(f"unreadable answer ({error})") from error
        if stored.fault:
            raise self._unavailable_error(f"unreadable answer ({stored.fault})")
        return stored

    def _position(self, page, kind, era):
        """Return the store's position in a list or watch."""
        try:
            return position(era, _require(page, "storeRevision", _is_revision))
        except ValueError as error:
            raise self._unavailable_error(f"list of {kind}: {error}") from error

    def _decode_entries(self, page, kind, field, decode, start):
        """Decode the entries of a list or watch, without those that have no name."""
        try:
            entries = _require(page, field, _is_list)
        except ValueError as error:
            raise self._unavailable_error(f"list of {kind}: {error}") from error
        decoded = []
        for entry in entries:
            try:
                decoded.append(decode(entry, start))
            except ValueError as error:
                self._log_unnamed(kind, error)
        return decoded

    def _log_unnamed(self, kind, error):
        """Log once for each kind that an entry without a name was left out."""
        if kind not in self._unnamed_kinds:
            self._unnamed_kinds.add(kind)
            _log.warning("leaving out an entry of {}: {}", kind, error)

    def _check_era(self, kind, version):
        """Raise `ConflictError` if a `version` is of an earlier era."""
        if era_of(version) != self._era:
            raise ConflictError(f"{kind} is of another era", "read it and retry")

    async def _call(self, method, kind, verb, path, body, timeout):
        self.calls[(kind, verb)] += 1
        target = f"/api/objects{path}".encode()
        headers = self._host + JSON_HEADERS if body else self._host
        try:
            reply = await self._pool.call(
                self._address,
                method,
                target,
                headers,
                body,
                timeout,
                time.monotonic(),
                is_protected=True,
            )
        except AnswerTooLargeError as error:
            # Repeating the watch would return the same events; a list comes in pages.
            if verb == "watch":
                raise VersionGoneError(error.message, "list it anew") from error
            raise self._unavailable_error(
                f"{verb} of {kind}: {error.message}"
            ) from error
        except (ConnectError, ResponseError) as error:
            raise self._unavailable_error(
                f"{verb} of {kind}: {error.message}"
            ) from error
        era = self._decode_era(reply, kind, verb)
        return self._decode_reply(reply, kind, verb), era

    def _decode_era(self, reply, kind, verb):
        """Return the era of an answer; one without the header is of the known era."""
        value = reply.header(ERA)
        if value is None:
            return self._era
        known = self._era
        if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            self._on_era(None, known)
            return known
        era = int(value)
        if era != known:
            self._on_era(era, known)
        if era < known:
            raise self._unavailable_error(
                f"{verb} of {kind} answered in era {era} after {known}"
            )
        self._era = era
        return era

    def _decode_reply(self, reply, kind, verb):
        if reply.status == 404:
            raise NotFoundError(f"{kind}: no such object", "create it first")
        if reply.status == 409:
            raise ConflictError(f"{kind} was changed by another", "read it and retry")
        if reply.status == 410:
            raise VersionGoneError(f"history of {kind} is gone", "list it anew")
        if reply.status >= 300:
            raise self._unavailable_error(f"{verb} of {kind} answered {reply.status}")
        try:
            return decode_page(reply.body) if reply.body else {}
        except msgspec.DecodeError as error:
            raise self._unavailable_error(f"{verb} of {kind}: {error}") from error

    @staticmethod
    def _unavailable_error(message):
        return StoreUnavailableError(f"platform's store: {message}", UNAVAILABLE_REMEDY)
