"""
standins.platformstore
~~~~~~~~~~~~~~~~~~~~~~

Emulates the object store of the users' platform, in its published format, with faults
that tests switch on.
"""

import asyncio
import copy
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from rosemarypath.callers.listener import Listener
from rosemarypath.routing import IngressLimits

__all__ = ["PlatformStoreStandIn"]

PREFIX = "/api/objects/"
PAGE_ITEMS = 50
SILENT_POLL_SECONDS = 0.05
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class PlatformStoreStandIn:
    """
    An object store in memory that listens at `address`.

    `fault` applies to every call: empty for none, ``busy`` (answers 503), ``silent``
    (never answers), ``reset`` (resets the connection) or ``lost`` (executes writes but
    never answers them). `refused` and `silent` are sets of listening addresses, opened
    by `open_address`, at which all calls are answered 503 or not answered. `calls`
    counts the calls that were not refused by address, `revision` is the revision of
    the last write. `era` counts how often the store came back from an older copy.
    """

    def __init__(self, address):
        self.address = address
        self._listeners = [self._new_listener(address)]
        self._kinds = {}
        self._events = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._watch_count = 0
        self._silent_watches = {}
        self.revision = 1
        self.era = 1
        self.fault = ""
        self.refused = set()
        self.silent = set()
        self.calls = 0

    async def start(self):
        """Start listening."""
        await self._listeners[0].start()

    async def open_address(self, address):
        """Listen at one more address, so that its callers can be refused alone."""
        listener = self._new_listener(address)
        await listener.start()
        self._listeners.append(listener)

    def close(self):
        """Stop listening at all addresses."""
        for listener in self._listeners:
            listener.close()

    def _new_listener(self, address):
        async def handle(request, connection):
            await self._wait_while_silent(address)
            if address in self.refused:
                connection.answer(503, [])
                return
            await self._handle(request, connection)

        return Listener(address, handle, IngressLimits())

    def put(self, kind, name, spec):
        """Write an object as an operator or a back end; return its document."""
        self.revision += 1
        stored = self._kinds.setdefault(kind, {}).get(name)
        created = stored["metadata"]["createRev"] if stored else self.revision
        metadata = {"name": name, "revision": self.revision, "createRev": created}
        metadata.update(finalizers=[], deleting=False)
        document = {"metadata": metadata, "spec": spec, "status": None}
        self._kinds[kind][name] = document
        self._record_event(kind, document, False)
        return document

    def put_raw(self, kind, name, text):
        """Write an object of another writer, whose spec is the JSON text `text`."""
        return self.put(kind, name, msgspec.Raw(text))

    def remove(self, kind, name):
        """Remove an object if it exists."""
        document = self._kinds.get(kind, {}).pop(name, None)
        if document is not None:
            self.revision += 1
            self._record_event(kind, document, True)

    def get(self, kind, name):
        """Return the spec of an object, or ``None`` if it does not exist."""
        document = self._kinds.get(kind, {}).get(name)
        return document["spec"] if document else None

    def compact(self):
        """
        Drop the history of events and abort all connections, pending watches too.

        A watch from an earlier revision is then answered 410.
        """
        self._events.clear()
        self._compacted_revision = self.revision
        self.drop_connections()

    def copy(self):
        """Return a copy of all objects, for `restore`."""
        return copy.deepcopy(self._kinds), self.revision

    def restore(self, saved):
        """
        Come back with an older copy: what was written since is gone.

        Revisions go on from that of the copy, and the history begins anew.
        """
        kinds, self.revision = saved
        self._kinds = copy.deepcopy(kinds)
        self.era += 1
        self.compact()

    def silence_watches(self, kind):
        """Never answer the pending watches of `kind`; keep their connections open."""
        self._silent_watches[kind] = self._watch_count

    def drop_connections(self):
        """Abort all connections."""
        for listener in self._listeners:
            for connection in list(listener.connections):
                connection.abort()

    def _record_event(self, kind, document, is_removed):
        self._events.append((self.revision, kind, document, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_while_silent(self, address):
        while address in self.silent:
            await asyncio.sleep(SILENT_POLL_SECONDS)

    async def _handle(self, request, connection):
        self.calls += 1
        if self.fault == "busy":
            connection.answer(503, [])
            return
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "reset":
            connection.abort()
            return
        status, document = await self._dispatch(request)
        if self.fault == "lost" and request.method != b"GET":
            await asyncio.sleep(3600)
        headers = [*JSON_HEADERS, (b"Store-Era", b"%d" % self.era)]
        connection.answer(status, headers, msgspec.json.encode(document))

    async def _dispatch(self, request):
        parts = urlsplit(request.path.decode())
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        name = unquote(name)
        if request.method == b"GET" and not name and "watch" in query:
            return await self._watch(kind, query)
        if request.method == b"GET" and not name:
            return self._list(kind, query)
        return self._handle_object(request, kind, name, query)

    def _list(self, kind, query):
        after = query.get("after", "")
        names = sorted(n for n in self._kinds.get(kind, {}) if n > after)
        items = [self._kinds[kind][n] for n in names[:PAGE_ITEMS]]
        answer = {"items": items, "hasMore": len(names) > PAGE_ITEMS}
        return 200, {**answer, "storeRevision": self.revision}

    async def _watch(self, kind, query):
        since = int(query["watch"])
        if not self._compacted_revision <= since <= self.revision:
            return 410, {}
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        self._watch_count += 1
        number = self._watch_count
        while True:
            if number <= self._silent_watches.get(kind, 0):
                await asyncio.sleep(3600)
            events = [
                {"object": document, "removed": is_removed}
                for revision, event_kind, document, is_removed in self._events
                if event_kind == kind and revision > since
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except asyncio.TimeoutError:
                continue

    def _handle_object(self, request, kind, name, query):
        document = msgspec.json.decode(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name = name or metadata.get("name", "")
        stored = self._kinds.get(kind, {}).get(name)
        if request.method == b"POST":
            if stored is not None:
                return 409, stored
            return 200, self.put(kind, name, document.get("spec"))
        if stored is None:
            return 404, {}
        expected = metadata.get("revision") or int(query.get("revision", 0))
        if expected and expected != stored["metadata"]["revision"]:
            return 409, stored
        if request.method == b"DELETE":
            self.remove(kind, name)
            return 200, stored
        if request.method == b"PUT":
            return 200, self.put(kind, name, document.get("spec"))
        return 200, stored
