"""
standins.platformstore
~~~~~~~~~~~~~~~~~~~~~~

The users' platform's object store by its published format, with its faults.
"""

import asyncio
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from rosemarypath.listener import Listener
from rosemarypath.routing import IngressLimits

__all__ = ["PlatformStoreStandIn"]

PREFIX = "/api/objects/"
PAGE = 50
SILENT_POLL = 0.05
TEXT = [(b"Content-Type", b"application/json")]


class PlatformStoreStandIn:
    """
    Objects in memory.

    `fault` is empty, ``busy`` (503), ``silent``, ``reset`` or ``lost`` (writes are
    carried out and not answered). `refused` and `silent` hold addresses of its own,
    opened by `open_for`, at which everybody is turned away or left without an answer.
    """

    def __init__(self, address):
        self.address = address
        self._listeners = [self._new_listener(address)]
        self._kinds = {}
        self._events = []
        self._first_event = 0
        self._changed = asyncio.Event()
        self.revision = 1
        self.fault = ""
        self.refused = set()
        self.silent = set()
        self.calls = 0

    async def start(self):
        """Listen."""
        await self._listeners[0].start()

    async def open_for(self, address):
        """Listen at one more address, which can be refused by itself."""
        listener = self._new_listener(address)
        await listener.start()
        self._listeners.append(listener)

    def close(self):
        """Stop."""
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
        """Write an object as the operator or a back end does."""
        self.revision += 1
        known = self._kinds.setdefault(kind, {}).get(name)
        created = known["metadata"]["createRev"] if known else self.revision
        metadata = {"name": name, "revision": self.revision, "createRev": created}
        metadata.update(finalizers=[], deleting=False)
        document = {"metadata": metadata, "spec": spec, "status": None}
        self._kinds[kind][name] = document
        self._note(kind, document, False)
        return document

    def remove(self, kind, name):
        """Remove an object."""
        document = self._kinds.get(kind, {}).pop(name, None)
        if document is not None:
            self.revision += 1
            self._note(kind, document, True)

    def get(self, kind, name):
        """Return an object's content, or ``None``."""
        document = self._kinds.get(kind, {}).get(name)
        return document["spec"] if document else None

    def compact(self):
        """Forget the history and cut the waiting watches."""
        self._events.clear()
        self._first_event = self.revision
        self.drop_connections()

    def drop_connections(self):
        """Cut all connections."""
        for listener in self._listeners:
            for connection in list(listener.connections):
                connection.abort()

    def _note(self, kind, document, is_removed):
        self._events.append((self.revision, kind, document, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_while_silent(self, address):
        while address in self.silent:
            await asyncio.sleep(SILENT_POLL)

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
        status, document = await self._answer(request)
        if self.fault == "lost" and request.method != b"GET":
            await asyncio.sleep(3600)
        connection.answer(status, TEXT, msgspec.json.encode(document))

    async def _answer(self, request):
        parts = urlsplit(request.path.decode())
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        name = unquote(name)
        if request.method == b"GET" and not name and "watch" in query:
            return await self._watch(kind, query)
        if request.method == b"GET" and not name:
            return self._list(kind, query)
        return self._single(request, kind, name, query)

    def _list(self, kind, query):
        after = query.get("after", "")
        names = sorted(n for n in self._kinds.get(kind, {}) if n > after)
        items = [self._kinds[kind][n] for n in names[:PAGE]]
        answer = {"items": items, "hasMore": len(names) > PAGE}
        return 200, {**answer, "storeRevision": self.revision}

    async def _watch(self, kind, query):
        since = int(query["watch"])
        if since < self._first_event:
            return 410, {}
        until = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            events = [
                {"object": document, "removed": is_removed}
                for revision, of, document, is_removed in self._events
                if of == kind and revision > since
            ]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                continue

    def _single(self, request, kind, name, query):
        document = msgspec.json.decode(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name = name or metadata.get("name", "")
        known = self._kinds.get(kind, {}).get(name)
        if request.method == b"POST":
            if known is not None:
                return 409, known
            return 200, self.put(kind, name, document.get("spec"))
        if known is None:
            return 404, {}
        expected = metadata.get("revision") or int(query.get("revision", 0))
        if expected and expected != known["metadata"]["revision"]:
            return 409, known
        if request.method == b"DELETE":
            self.remove(kind, name)
            return 200, known
        if request.method == b"PUT":
            return 200, self.put(kind, name, document.get("spec"))
        return 200, known
