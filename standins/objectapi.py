"""
standins.objectapi
~~~~~~~~~~~~~~~~~~

Emulates the object API: resource versions, conditional updates, lists and watches.
"""

import asyncio
import time
from collections import Counter
from functools import partial

import msgspec
from blacksheep import Response, StreamedContent

from rosemarypath.httpserver import json_response
from standins.faults import Faults
from standins.process import build_parser, run_stand_in

__all__ = ["ObjectApi", "main"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_EVENTS = 1000


class ObjectApi:
    """
    Objects in memory, served over a declarative API.

    Faults, set by ``POST /faults``:

    - ``down``: answer 503 and end the watches
    - ``silent``: never answer
    - ``delay``: wait that many seconds before each call
    - ``lose_answers``: execute that many writes without answering them
    - ``mute_watches``: send no more events on watches
    """

    def __init__(self, history):
        self._history = history
        self._objects = {}
        self._version = 0
        self._events = []
        self._changed = asyncio.Event()
        self._calls = Counter()
        self.faults = Faults(
            {
                "down": False,
                "silent": False,
                "delay": 0.0,
                "lose_answers": 0,
                "mute_watches": False,
            }
        )

    def add_routes(self, server):
        """Serve the API on `server`."""
        prefix = "/apis/rosemarypath/v1"
        server.add("GET", prefix + "/{kind}", self._list_or_watch)
        server.add("POST", prefix + "/{kind}", self._create)
        server.add("GET", prefix + "/{kind}/{name}", self._get)
        server.add("PUT", prefix + "/{kind}/{name}", self._put)
        server.add("DELETE", prefix + "/{kind}/{name}", self._delete)
        server.add("GET", "/calls", self._show_calls)
        self.faults.add_routes(server)

    async def _show_calls(self, request):
        return json_response(200, self._calls)

    async def _begin_call(self, call, body=b""):
        """Count the call and apply the faults; return a refusal or ``None``."""
        self._calls[call] += 1
        if self.faults["silent"]:
            await self.faults.hang()
        if self.faults["delay"]:
            await asyncio.sleep(self.faults["delay"])
        if self.faults["down"]:
            return json_response(503, {"reason": "ServiceUnavailable"})
        if len(body) > MAX_VALUE_BYTES:
            return json_response(413, {"reason": "RequestEntityTooLarge"})
        return None

    async def _answer_write(self, document):
        """Return the answer to a write, or never if ``lose_answers`` applies."""
        if self.faults["lose_answers"] > 0:
            self.faults._values["lose_answers"] -= 1
            await self.faults.hang()
        return json_response(200, document)

    async def _list_or_watch(self, request):
        kind = request.route_values["kind"]
        if "watch" in request.query:
            version = int(request.query["resourceVersion"][0])
            seconds = float(request.query.get("timeoutSeconds", ["30"])[0])
            return await self._watch(kind, version, seconds)
        refusal = await self._begin_call("read")
        if refusal is not None:
            return refusal
        items = [item for (k, _), item in self._objects.items() if k == kind]
        metadata = {"resourceVersion": str(self._version)}
        return json_response(200, {"metadata": metadata, "items": items})

    async def _get(self, request):
        refusal = await self._begin_call("read")
        if refusal is not None:
            return refusal
        values = request.route_values
        stored = self._objects.get((values["kind"], values["name"]))
        if stored is None:
            return json_response(404, {"reason": "NotFound"})
        return json_response(200, stored)

    async def _create(self, request):
        body = await request.read()
        refusal = await self._begin_call("write", body)
        if refusal is not None:
            return refusal
        document = msgspec.json.decode(body)
        identity = (request.route_values["kind"], document["metadata"]["name"])
        if identity in self._objects:
            return json_response(409, {"reason": "AlreadyExists"})
        return await self._answer_write(await self._store(identity, document, "ADDED"))

    async def _put(self, request):
        body = await request.read()
        refusal = await self._begin_call("write", body)
        if refusal is not None:
            return refusal
        document = msgspec.json.decode(body)
        values = request.route_values
        identity = (values["kind"], values["name"])
        stored = self._objects.get(identity)
        if stored is None:
            return json_response(404, {"reason": "NotFound"})
        expected = document["metadata"].get("resourceVersion")
        if expected != stored["metadata"]["resourceVersion"]:
            return json_response(409, {"reason": "Conflict"})
        return await self._answer_write(
            await self._store(identity, document, "MODIFIED")
        )

    async def _delete(self, request):
        refusal = await self._begin_call("write")
        if refusal is not None:
            return refusal
        values = request.route_values
        stored = self._objects.pop((values["kind"], values["name"]), None)
        if stored is None:
            return json_response(404, {"reason": "NotFound"})
        return await self._answer_write(stored)

    async def _store(self, identity, document, event_type):
        self._version += 1
        document["metadata"]["resourceVersion"] = str(self._version)
        self._objects[identity] = document
        event = {"type": event_type, "object": document}
        self._events.append((self._version, identity[0], event))
        del self._events[:-MAX_EVENTS]
        self._changed.set()
        self._changed = asyncio.Event()
        self._history.write(
            "stored",
            object_kind=identity[0],
            name=identity[1],
            version=self._version,
            revision=_read_revision(document["spec"]),
        )
        return document

    async def _watch(self, kind, version, seconds):
        refusal = await self._begin_call("watch")
        if refusal is not None:
            return refusal
        oldest = self._events[0][0] if self._events else self._version + 1
        if version < oldest - 1:
            return json_response(410, {"reason": "Gone"})
        content = StreamedContent(
            b"application/json", partial(self._watch_events, kind, version, seconds)
        )
        return Response(200, None, content)

    async def _watch_events(self, kind, version, seconds):
        """Yield events of `kind` after `version` as JSON lines, for `seconds`."""
        deadline = time.monotonic() + seconds
        while not self.faults["down"]:
            if self.faults["mute_watches"]:
                await self.faults.hang()
            changed = self._changed
            for number, event_kind, event in list(self._events):
                if number > version and event_kind == kind:
                    yield msgspec.json.encode(event) + b"\n"
            version = max(version, *(number for number, _, _ in self._events[-1:]), 0)
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return
            await asyncio.wait(
                {asyncio.ensure_future(changed.wait())}, timeout=remaining
            )


def _read_revision(spec):
    return spec.get("revision", 0) if isinstance(spec, dict) else 0


def main(args=None):
    """Run the emulator as a process; return its exit code."""
    options = build_parser("object API stand-in").parse_args(args)
    return run_stand_in(
        options, lambda server, history: ObjectApi(history).add_routes(server)
    )


if __name__ == "__main__":
    raise SystemExit(main())
