"""
standins.replica
~~~~~~~~~~~~~~~~

Emulates a replica of a service on the users' platform: a plain service, or a model
engine with adapters.
"""

import asyncio
from dataclasses import dataclass, field

import msgspec

from rosemarypath.callers.listener import Listener
from rosemarypath.routing import IngressLimits

__all__ = ["EngineLimitError", "Replica"]

EVENT_COUNT = 6
EVENT_INTERVAL_SECONDS = 0.01
TRICKLE_SECONDS = 0.2
LOAD_SECONDS = 0.08
PREFILL_SECONDS = 0.05
RESTART_SECONDS = 0.4
MODEL = "base"


class EngineLimitError(Exception):
    """A load command would put more adapters on an engine than its capacity."""


@dataclass
class ReceivedRequest:
    """
    One request as the replica received it.

    `id` is the identifier of the attempt, `received_at` the event loop's time in
    seconds, and `has_run` tells whether the request was executed.
    """

    id: str
    path: str
    headers: dict
    body: bytes
    received_at: float
    has_run: bool = False


@dataclass
class Faults:
    """
    Faults that a test injects; a count applies to that many of the next requests.

    - `sheds`: answer 503 without running the request
    - `errors`: run the request and answer 500
    - `resets`: run the request and reset the connection
    - `truncates`: abort a stream in the middle of its third event
    - `strays`: send the response to another request first
    - `refusals`: send a refusal without an identifier first, then the response
    - `half_heads`: run the request, and close in the middle of the response's head
    - `odd_statuses`: run the request, and send a response with the status 000
    - `extras`: send surplus bytes after the response
    - `unsigned`: omit the signature of the response
    - `hangs`: never answer
    - `mute_orders`: execute a management command after 0.5 s and never answer it
    - `trickles`: send the beginning of an event byte by byte, without an end
    - `silences`: fall silent for `silent_seconds` before the third event of a stream,
      or before a whole response, then go on
    - `late_begins`: fall silent for `silent_seconds` before the first event
    - `slow_events`: seconds between the events of a stream (not a count)
    - `unframed`: answer streams without length and chunks; the end of the connection
      ends them (not a count)
    - `has_length`: announce the length of streams (not a count)
    - `cuts`: end a stream after `cut_at` whole events and the beginning of another
      one, `cut_event`, as if it were whole
    - `cut_answers`: answer a plain request with an event stream that is cut so
    - `media_type`: type of the content of streams, none if empty (not a count)
    - `line_end`: end of the lines of streams (not a count)
    - `first_bytes`, `last_bytes`: what comes before the first event of each answer and
      after the last one (not counts)
    - `deadly_part`: part of a prompt under which the replica crashes after
      `deadly_events` events (not counts)
    - `deadly_request`: path, customer and body of a request under which the replica
      crashes, as it begins to run it or, with `deadly_stage` ``head`` or ``body``, in
      the middle of the answer's head or of a whole answer's body, or with ``event``
      after the first event (not a count)
    - `rate_limit`: requests per second that each answer names as the limit; empty for
      none (not a count)
    - `is_leaving`: each answer tells that the replica leaves (not a count)
    - `pause_seconds`: `sheds` answers ask for no requests for so long (not a count)
    """

    sheds: int = 0
    errors: int = 0
    resets: int = 0
    truncates: int = 0
    trickles: int = 0
    silences: int = 0
    late_begins: int = 0
    silent_seconds: float = 0.0
    strays: int = 0
    refusals: int = 0
    half_heads: int = 0
    odd_statuses: int = 0
    extras: int = 0
    unsigned: int = 0
    hangs: int = 0
    mute_orders: int = 0
    slow_events: float = EVENT_INTERVAL_SECONDS
    unframed: bool = False
    has_length: bool = False
    cuts: int = 0
    cut_at: int = 2
    cut_event: bytes = b"id: 3\nd"
    cut_answers: int = 0
    media_type: bytes = b""
    line_end: bytes = b"\n"
    first_bytes: bytes = b""
    last_bytes: bytes = b""
    deadly_part: str = ""
    deadly_events: int = 0
    deadly_request: tuple | None = None
    deadly_stage: str = ""
    rate_limit: str = ""
    is_leaving: bool = False
    pause_seconds: str = ""

    @property
    def headers(self):
        """Return the headers that each answer carries."""
        pairs = []
        if self.rate_limit:
            pairs.append((b"Server-Limit", self.rate_limit.encode()))
        if self.is_leaving:
            pairs.append((b"Server-Leaving", b"1"))
        return pairs


@dataclass
class EngineState:
    """
    The adapters of an engine and the management commands that it executed.

    `capacity` bounds the adapters loaded or loading, `command_count` counts the
    commands that changed anything, `adapters` and `loading` map each adapter's name to
    its version, `newest_versions` gives the version that a load without one gets (1
    unless set), and `history` lists (operation, adapter, HTTP status).
    """

    capacity: int = 4
    command_count: int = 0
    adapters: dict = field(default_factory=dict)
    loading: dict = field(default_factory=dict)
    newest_versions: dict = field(default_factory=dict)
    history: list = field(default_factory=list)


class Replica:
    """
    One replica that listens at `address`.

    `engine` is an `EngineState`, or ``None`` for a plain service. `crash_times` are the
    times of the event loop at which it crashed. `requests` lists the requests received,
    `running` holds the identifiers of the attempts in progress, and
    `cancelled` those that ended because the connection was closed. ``on_restart(self)``
    is called when it listens again after a crash.
    """

    def __init__(self, name, address, engine=None):
        self._listener = self._new_listener(address)
        self._tasks = set()
        self.name = name
        self.address = address
        self.engine = engine
        self.faults = Faults()
        self.requests = []
        self.running = set()
        self.cancelled = []
        self.crash_times = []
        self.on_restart = None

    async def start(self):
        """Start listening."""
        await self._listener.start()

    def close(self):
        """Stop listening and close all connections."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()

    def _new_listener(self, address):
        return Listener(address, self._handle, IngressLimits())

    def _crash(self):
        """End all connections in an orderly way, and start empty after a while."""
        self.crash_times.append(asyncio.get_running_loop().time())
        listener = self._listener
        if self.engine is not None:
            self.engine.adapters.clear()
            self.engine.loading.clear()
        self._listener = self._new_listener(self.address)
        task = asyncio.get_running_loop().create_task(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        for connection in list(listener.connections):
            connection.close()
        listener.close()

    async def _crash_under(self, connection, headers):
        await asyncio.sleep(PREFILL_SECONDS)
        signed = [*headers, (b"X-Response-Signature", b"s")]
        if self.faults.deadly_stage == "head":
            connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Resp")
        elif self.faults.deadly_stage == "body":
            connection.write_head(200, signed)
            connection.write(b"id: 1")
        elif self.faults.deadly_stage == "event":
            connection.write_head(200, signed)
            connection.write(b"id: 1\ndata: piece 1\n\n")
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        self._crash()

    async def _restart(self):
        await asyncio.sleep(RESTART_SECONDS)
        if self.engine is not None:
            self.engine.command_count = 0
        await self._listener.start()
        if self.on_restart is not None:
            self.on_restart(self)

    def store_entry(self, service, zone="z1", state="ready", cold_ms=0):
        """Return the entry that the replica registers in the store."""
        entry = {"service": service, "address": self.address, "zone": zone}
        entry.update(version="v1", slots=8, state=state, coldRemainingMs=cold_ms)
        entry.update(sequence=0, born=1 + len(self.crash_times))
        if self.engine is not None:
            entry["sequence"] = self.engine.command_count
            entry["models"] = self._models()
        return entry

    def count_runs(self, request_id):
        """Return how often this replica ran the attempt `request_id`."""
        return sum(
            1
            for received in self.requests
            if received.id == request_id and received.has_run
        )

    def _models(self):
        adapters = [f"{name}@{v}" for name, v in self.engine.adapters.items()]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def _consume_fault(self, fault):
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return remaining > 0

    async def _handle(self, request, connection):
        path = request.path.decode()
        if path == "/api/report":
            body = msgspec.json.encode(self._report())
            connection.answer(200, self.faults.headers, body)
        elif path == "/api/order":
            await self._handle_command(request, connection)
        else:
            await self._run(request, connection)

    def _report(self):
        engine = self.engine
        loading = [f"{MODEL}/{n}@{v}" for n, v in engine.loading.items()]
        report = {"stage": "unified", "models": self._models(), "busy": False}
        report.update(
            sequence=engine.command_count, coming=loading, waiting=0, running=0
        )
        return report

    async def _handle_command(self, request, connection):
        engine = self.engine
        command = msgspec.json.decode(request.body)
        if self._consume_fault("mute_orders"):
            asyncio.get_running_loop().call_later(0.5, self._execute_command, command)
            await asyncio.sleep(3600)
        status = self._execute_command(command)
        engine.history.append((command["operation"], command.get("adapter"), status))
        connection.answer(status, self.faults.headers)

    def _execute_command(self, command):
        engine = self.engine
        adapter = command.get("adapter")
        expected = command.get("expected")
        if expected is not None and expected != engine.command_count:
            return 409
        if command["operation"] == "unload":
            if adapter not in engine.adapters:
                return 200
            engine.command_count += 1
            del engine.adapters[adapter]
            return 200
        version = command.get("version") or engine.newest_versions.get(adapter, 1)
        if engine.adapters.get(adapter) == version:
            return 200
        if adapter in engine.loading:
            return 202
        if (
            len(engine.adapters.keys() | engine.loading.keys() | {adapter})
            > engine.capacity
        ):
            raise EngineLimitError(
                f"{self.name} has no place besides {engine.adapters}"
            )
        engine.command_count += 1
        engine.loading[adapter] = version
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_SECONDS, self._finish_load, adapter)
        return 202

    def _finish_load(self, adapter):
        version = self.engine.loading.pop(adapter, None)
        if version is not None:
            self.engine.adapters[adapter] = version

    async def _run(self, request, connection):
        headers = {k.decode(): v.decode() for k, v in request.headers}
        attempt_id = headers.get("x-attempt-id", "")
        path = request.path.decode()
        if self.faults.unframed:
            request.accepts_chunked = False
        received = ReceivedRequest(
            attempt_id, path, headers, request.body, request.arrived
        )
        self.requests.append(received)
        base = [(b"X-Attempt-Id", attempt_id.encode()), *self.faults.headers]
        if headers.get("x-expect-instance") != self.name:
            base.append((b"X-Instance-Id", self.name.encode()))
            connection.answer(421, base)
            return
        if self._consume_fault("sheds"):
            if self.faults.pause_seconds:
                base.append((b"Retry-After", self.faults.pause_seconds.encode()))
            connection.answer(503, [*base, (b"X-Not-Executed", b"1")])
            return
        model, _, adapter = headers.get("x-model", "").partition("/")
        if adapter and adapter not in self.engine.adapters:
            connection.answer(421, [*base, (b"X-Instance-Id", self.name.encode())])
            return
        received.has_run = True
        self.running.add(attempt_id)
        try:
            if (path, headers.get("x-tenant"), request.body) == (
                self.faults.deadly_request
            ):
                await self._crash_under(connection, base)
                return
            await self._answer(connection, base, attempt_id, headers, model)
        except asyncio.CancelledError:
            self.cancelled.append(attempt_id)
            raise
        finally:
            self.running.discard(attempt_id)

    async def _answer(self, connection, base, attempt_id, headers, model):
        if self._consume_fault("hangs"):
            await asyncio.sleep(3600)
        if self._consume_fault("resets"):
            connection.abort()
            return
        if self._consume_fault("errors"):
            connection.answer(500, [*base, (b"X-Response-Signature", b"s")], b"error")
            return
        if self._consume_fault("strays"):
            other = [(b"X-Attempt-Id", b"other"), (b"X-Response-Signature", b"s")]
            connection.answer(200, other, b"for another")
        if self._consume_fault("refusals"):
            connection.answer(503, [(b"X-Not-Executed", b"1")])
        if self._consume_fault("half_heads"):
            connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Resp")
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            connection.close()
            return
        if self._consume_fault("odd_statuses"):
            connection.write(b"HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nodd")
        signed = list(base)
        if not self._consume_fault("unsigned"):
            signature = f"{self.name}.{attempt_id}".encode()
            signed.append((b"X-Response-Signature", signature))
        if model:
            await self._stream(connection, signed, headers)
        else:
            if self._consume_fault("silences"):
                await asyncio.sleep(self.faults.silent_seconds)
            body = f"answer of {self.name} to {attempt_id}".encode()
            if self._consume_fault("cut_answers"):
                signed.append((b"Content-Type", b"text/event-stream"))
                body = b"id: 1\ndata: piece 1\n\n" + self.faults.cut_event
            connection.answer(200, signed, body)
        if self._consume_fault("extras"):
            connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")

    def _events(self, first, is_cut):
        """Return the events of a stream, the last one with what comes after it."""
        events = [
            f"id: {number}\ndata: piece {number}\n\n".encode()
            for number in range(first, EVENT_COUNT + 1)
        ]
        if is_cut:
            events[self.faults.cut_at :] = [self.faults.cut_event]
        elif events:
            events[-1] += self.faults.last_bytes
        if events:
            events[0] = self.faults.first_bytes + events[0]
        return [event.replace(b"\n", self.faults.line_end) for event in events]

    async def _stream(self, connection, headers, request_headers):
        first = int(request_headers.get("last-event-id") or 0) + 1
        is_truncated = self._consume_fault("truncates")
        is_cut = self._consume_fault("cuts")
        crashes_at = None
        if self.faults.deadly_part:
            await asyncio.sleep(PREFILL_SECONDS)
            if self.faults.deadly_part in request_headers.get("x-prompt-prefix", ""):
                crashes_at = min(first + self.faults.deadly_events, EVENT_COUNT + 1)
        if crashes_at == first:
            self._crash()
            return
        if self._consume_fault("late_begins"):
            await asyncio.sleep(self.faults.silent_seconds)
        events = self._events(first, is_cut)
        length = sum(map(len, events)) if self.faults.has_length else None
        if self.faults.media_type:
            headers = [*headers, (b"Content-Type", self.faults.media_type)]
        connection.write_head(200, headers, length)
        is_silent = self._consume_fault("silences")
        is_trickling = self._consume_fault("trickles")
        for number, event in enumerate(events, first):
            if is_trickling and number == first + 2:
                while True:
                    connection.write(b"i")
                    await asyncio.sleep(TRICKLE_SECONDS)
            if is_silent and number == first + 2:
                await asyncio.sleep(self.faults.silent_seconds)
            if is_truncated and number == first + 2:
                connection.write(event[:7])
                await asyncio.sleep(EVENT_INTERVAL_SECONDS)
                connection.abort()
                return
            connection.write(event)
            await asyncio.sleep(self.faults.slow_events)
            if number + 1 == crashes_at:
                self._crash()
                return
        connection.end()
