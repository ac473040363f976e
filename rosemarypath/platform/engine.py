"""
rosemarypath.platform.engine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls to model engines: orders to load or unload models and adapters, and reports.
"""

import time
from dataclasses import dataclass

import msgspec

from rosemarypath.errors import ConnectError, ResponseError
from rosemarypath.platform.documents import decode_document
from rosemarypath.platform.feedback import decode_feedback
from rosemarypath.platform.fields import require_list, whole
from rosemarypath.platform.servers import decode_models, split_version

__all__ = ["EngineClient", "EngineReport", "OrderResult"]

ORDER_PATH = b"/api/order"
REPORT_PATH = b"/api/report"
ORDER_TIMEOUT_SECONDS = 0.3  # an engine answers an order within a few ms
REPORT_TIMEOUT_SECONDS = 0.6
MAX_REPORT_BYTES = 1024 * 1024  # several times the largest report of an engine
ACCEPTED = 202
ALREADY_DONE = 200
LOAD = "load"
UNLOAD = "unload"


@dataclass(frozen=True)
class OrderResult:
    """
    Result of an order; `status` is the HTTP status, 0 if no answer came.

    An order without an answer may still be carried out later.
    """

    status: int = 0

    @property
    def is_answered(self):
        """Return whether the engine answered."""
        return self.status != 0

    @property
    def is_accepted(self):
        """Return whether the order is being carried out."""
        return self.status == ACCEPTED

    @property
    def is_already_done(self):
        """Return whether the engine was already in the ordered state."""
        return self.status == ALREADY_DONE

    @property
    def is_conflict(self):
        """Return whether another order was accepted in between."""
        return self.status == 409


@dataclass(frozen=True)
class EngineReport:
    """
    State of an engine, which may be some hundred ms old.

    `order_count` counts the orders accepted since its start. `loading_adapters` maps
    the adapters that are being loaded to their versions. `is_busy` is set while a model
    is being loaded or unloaded. `started_at_ms` is in Unix milliseconds, 0 where
    unknown.
    """

    models: tuple
    loading_adapters: dict
    order_count: int
    is_busy: bool
    running: int
    waiting: int
    kv_used: int
    kv_total: int
    started_at_ms: int = 0


class EngineClient:
    """
    Client of the engines' management calls.

    `pool` is the `ConnectionPool` to use; each order names `machine` as its sender.
    ``on_feedback(back_end, feedback, sent_at)`` is called with the `Feedback` in each
    answer of an engine.
    """

    def __init__(self, pool, machine, on_feedback=lambda *arguments: None):
        self._pool = pool
        self._machine = machine
        self._on_feedback = on_feedback

    async def load(self, back_end, model, adapter, version, fence, expected):
        """
        Order `back_end` to load a model, or one of its adapters; return `OrderResult`.

        Version 0 stands for the newest. `fence` is the fencing token of the lease on
        the engine. Unless `expected` is ``None``, the engine refuses the order when its
        `order_count` differs from it.
        """
        document = _order_document(LOAD, model, adapter, version)
        return await self._send_order(back_end, document, fence, expected)

    async def unload(self, back_end, model, adapter, fence, expected):
        """Order `back_end` to unload a model or an adapter; see `load`."""
        document = _order_document(UNLOAD, model, adapter)
        return await self._send_order(back_end, document, fence, expected)

    async def report(self, back_end):
        """Return the `EngineReport`, or ``None`` if no readable one was received."""
        headers = [(b"Host", back_end.address.encode())]
        headers.append((b"X-Expect-Instance", back_end.name.encode()))
        try:
            reply = await self._call(
                back_end, b"GET", REPORT_PATH, headers, b"", REPORT_TIMEOUT_SECONDS
            )
        except (ConnectError, ResponseError):
            return None
        return decode_report(reply.body) if reply.status == 200 else None

    async def _send_order(self, back_end, document, fence, expected):
        # "holder" is the machine that holds the lease on the engine.
        document["holder"] = self._machine
        document["fencingToken"] = fence
        if expected is not None:
            document["expected"] = expected
        headers = [
            (b"Host", back_end.address.encode()),
            (b"Content-Type", b"application/json"),
            (b"X-Expect-Instance", back_end.name.encode()),
        ]
        body = msgspec.json.encode(document)
        try:
            reply = await self._call(
                back_end, b"POST", ORDER_PATH, headers, body, ORDER_TIMEOUT_SECONDS
            )
        except (ConnectError, ResponseError):
            return OrderResult()
        return OrderResult(reply.status)

    async def _call(self, back_end, method, path, headers, body, timeout):
        """Return the `Reply`; raises `ConnectError` and `ResponseError`."""
        sent_at = time.monotonic()
        reply = await self._pool.call(
            back_end.address,
            method,
            path,
            headers,
            body,
            timeout,
            sent_at,
            MAX_REPORT_BYTES,
        )
        feedback = decode_feedback(reply, back_end)
        if feedback is not None:
            self._on_feedback(back_end, feedback, sent_at)
        return reply


def _order_document(operation, model, adapter, version=0):
    """Return the part of an order's body that names its operation and target."""
    document = {"operation": operation, "model": model}
    if adapter:
        document["adapter"] = adapter
    if version:
        document["version"] = version
    return document


def decode_report(body):
    """
    Return the `EngineReport` in `body`, or ``None`` if it cannot be decoded.

    The field ``sequence`` is the number of accepted orders, ``coming`` lists the
    adapters being loaded as NAME@VERSION, ``born`` is the start in Unix milliseconds.
    """
    try:
        document = decode_document(body)
        if not isinstance(document, dict) or not isinstance(document["models"], list):
            return None
        coming = require_list(document.get("coming"))
        return EngineReport(
            models=decode_models(document["models"]),
            loading_adapters=dict(split_version(text) for text in coming),
            order_count=whole(document["sequence"]),
            is_busy=bool(document.get("busy", False)),
            running=whole(document.get("running", 0)),
            waiting=whole(document.get("waiting", 0)),
            kv_used=whole(document.get("kvUsed", 0)),
            kv_total=whole(document.get("kvTotal", 0)),
            started_at_ms=whole(document.get("born") or 0),
        )
    except (msgspec.DecodeError, KeyError, ValueError):
        return None
