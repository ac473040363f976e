"""
standins.replica
~~~~~~~~~~~~~~~~

A replica of a service on the users' platform: a plain one, or an engine with adapters.
"""

import asyncio
from dataclasses import dataclass, field

import msgspec

from rosemarypath.listener import Listener
from rosemarypath.routing import IngressLimits

__all__ = ["EngineLimitError", "Replica"]

EVENTS = 6
EVENT_SECONDS = 0.01
LOAD_SECONDS = 0.08
MODEL = "base"


class EngineLimitError(Exception):
    """An engine was ordered to hold more than it can."""


@dataclass
class Seen:
    """One request as it reached the replica, at the event loop's time `at`."""

    id: str
    path: str
    headers: dict
    body: bytes
    at: float
    has_run: bool = False


@dataclass
class Faults:
    """
    What goes wrong.

    `sheds` requests are answered 503 and not run, `errors` run and answer 500,
    `resets` run and lose the connection, `truncates` streams break off after two
    events and a half, `strays` send the answer to another request first, `extras`
    send bytes after the answer, `unsigned` answers have no signature, `hangs` never
    answer. `mute_orders` are accepted late and not answered.
    """

    sheds: int = 0
    errors: int = 0
    resets: int = 0
    truncates: int = 0
    strays: int = 0
    extras: int = 0
    unsigned: int = 0
    hangs: int = 0
    mute_orders: int = 0
    slow_events: float = EVENT_SECONDS


@dataclass
class Engine:
    """What the engine holds; `orders` counts the orders it accepted."""

    places: int = 4
    orders: int = 0
    adapters: dict = field(default_factory=dict)
    coming: dict = field(default_factory=dict)
    newest: dict = field(default_factory=dict)
    history: list = field(default_factory=list)


class Replica:
    """
    One replica at `address`.

    `engine` is an `Engine` or ``None``. `seen` lists what reached it.
    """

    def __init__(self, name, address, engine=None):
        self._listener = Listener(address, self._handle, IngressLimits())
        self.name = name
        self.address = address
        self.engine = engine
        self.faults = Faults()
        self.seen = []
        self.running = set()
        self.cancelled = []

    async def start(self):
        """Listen."""
        await self._listener.start()

    def close(self):
        """Stop, dropping all connections."""
        self._listener.close()

    def entry(self, service, zone="z1", state="ready", cold_ms=0):
        """Return what it writes of itself into the store."""
        entry = {"service": service, "address": self.address, "zone": zone}
        entry.update(version="v1", slots=8, state=state, coldRemainingMs=cold_ms)
        entry.update(sequence=1, born=1)
        if self.engine is not None:
            entry["models"] = self._models()
        return entry

    def runs(self, request):
        """Return how often `request` was run here."""
        return sum(1 for seen in self.seen if seen.id == request and seen.has_run)

    def _models(self):
        adapters = [f"{name}@{v}" for name, v in self.engine.adapters.items()]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def _take(self, fault):
        left = getattr(self.faults, fault)
        if left > 0:
            setattr(self.faults, fault, left - 1)
        return left > 0

    async def _handle(self, request, connection):
        path = request.path.decode()
        if path == "/api/report":
            connection.answer(200, [], msgspec.json.encode(self._report()))
        elif path == "/api/order":
            await self._order(request, connection)
        else:
            await self._run(request, connection)

    def _report(self):
        engine = self.engine
        coming = [f"{MODEL}/{n}@{v}" for n, v in engine.coming.items()]
        report = {"stage": "unified", "models": self._models(), "busy": False}
        report.update(sequence=engine.orders, coming=coming, waiting=0, running=0)
        return report

    async def _order(self, request, connection):
        engine = self.engine
        order = msgspec.json.decode(request.body)
        if self._take("mute_orders"):
            asyncio.get_running_loop().call_later(0.5, self._carry_out, order)
            await asyncio.sleep(3600)
        status = self._carry_out(order)
        engine.history.append((order["operation"], order.get("adapter"), status))
        connection.answer(status, [])

    def _carry_out(self, order):
        engine = self.engine
        adapter = order.get("adapter")
        expected = order.get("expected")
        if expected is not None and expected != engine.orders:
            return 409
        if order["operation"] == "unload":
            if adapter not in engine.adapters:
                return 200
            engine.orders += 1
            del engine.adapters[adapter]
            return 200
        version = order.get("version") or engine.newest.get(adapter, 1)
        if engine.adapters.get(adapter) == version:
            return 200
        if adapter in engine.coming:
            return 202
        if (
            len(engine.adapters.keys() | engine.coming.keys() | {adapter})
            > engine.places
        ):
            raise EngineLimitError(f"{self.name} holds {engine.adapters}")
        engine.orders += 1
        engine.coming[adapter] = version
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_SECONDS, self._finish_load, adapter)
        return 202

    def _finish_load(self, adapter):
        version = self.engine.coming.pop(adapter, None)
        if version is not None:
            self.engine.adapters[adapter] = version

    async def _run(self, request, connection):
        headers = {k.decode(): v.decode() for k, v in request.headers}
        identifier = headers.get("x-attempt-id", "")
        path = request.path.decode()
        seen = Seen(identifier, path, headers, request.body, request.arrived)
        self.seen.append(seen)
        base = [(b"X-Attempt-Id", identifier.encode())]
        if headers.get("x-expect-instance") != self.name:
            base.append((b"X-Instance-Id", self.name.encode()))
            connection.answer(421, base)
            return
        if self._take("sheds"):
            connection.answer(503, [*base, (b"X-Not-Executed", b"1")])
            return
        model, _, adapter = headers.get("x-model", "").partition("/")
        if adapter and adapter not in self.engine.adapters:
            connection.answer(421, [*base, (b"X-Instance-Id", self.name.encode())])
            return
        seen.has_run = True
        self.running.add(identifier)
        try:
            await self._answer(connection, base, identifier, headers, model)
        except asyncio.CancelledError:
            self.cancelled.append(identifier)
            raise
        finally:
            self.running.discard(identifier)

    async def _answer(self, connection, base, identifier, headers, model):
        if self._take("hangs"):
            await asyncio.sleep(3600)
        if self._take("resets"):
            connection.abort()
            return
        if self._take("errors"):
            connection.answer(500, [*base, (b"X-Response-Signature", b"s")], b"error")
            return
        if self._take("strays"):
            other = [(b"X-Attempt-Id", b"other"), (b"X-Response-Signature", b"s")]
            connection.answer(200, other, b"for another")
        signed = list(base)
        if not self._take("unsigned"):
            signature = f"{self.name}.{identifier}".encode()
            signed.append((b"X-Response-Signature", signature))
        if model:
            await self._stream(connection, signed, headers)
        else:
            body = f"answer of {self.name} to {identifier}".encode()
            connection.answer(200, signed, body)
        if self._take("extras"):
            connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")

    async def _stream(self, connection, headers, asked):
        first = int(asked.get("last-event-id") or 0) + 1
        does_break = self._take("truncates")
        connection.write_head(200, headers)
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if does_break and number == first + 2:
                connection.write(event[:7])
                await asyncio.sleep(EVENT_SECONDS)
                connection.abort()
                return
            connection.write(event)
            await asyncio.sleep(self.faults.slow_events)
        connection.end()
