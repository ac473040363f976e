"""
rosemarypath.execution
~~~~~~~~~~~~~~~~~~~~~~

One caller's request on its way: contract, budget, seat, back end and back.
"""

import asyncio
import hashlib
import time
from dataclasses import dataclass, field

import msgspec

from rosemarypath.backend import ENGINE
from rosemarypath.errors import ConflictError, RosemarypathError
from rosemarypath.outcome import NotRun, Unknown
from rosemarypath.seatclient import Seat
from rosemarypath.upstream import (
    TAIL_BYTES,
    BrokenStreamError,
    UpstreamRequest,
    UpstreamResponse,
    usage_from_body,
    usage_from_stream,
)

__all__ = ["CallerRequest", "RequestExecution"]

CLAIMS = "claims"
RETRY_PAUSE = 0.05


@dataclass(frozen=True)
class CallerRequest:
    """
    What a caller asks for, already parsed.

    Options:

    `request`
        Identifier given to the request.
    `customer`, `key_digest`
        Who asks, and the hash of the key (empty on open routes).
    `route`
        The `Route` that the caller named.
    `tokens`
        The most tokens it can use; 0 for plain services.
    `document`
        The parsed body of an engine's request, or ``None``.
    """

    request: str
    customer: str
    key_digest: str
    route: object
    method: str
    path: str
    tokens: int = 0
    document: dict | None = None
    body: bytes = b""
    stream: bool = False
    idempotency_key: str = ""
    headers: dict = field(default_factory=dict)


class RequestExecution:
    """
    The path of one `CallerRequest` through the daemon's parts.

    `daemon` gives access to the parts; `arrived` is the time of arrival.
    """

    def __init__(self, daemon, order, arrived):
        self._daemon = daemon
        self._order = order
        self._until = arrived + order.route.deadline
        self._reservation = None
        self._seat = None
        self._call = None
        self._claimed = False
        self._started = 0.0
        self.waited_for_load = 0.0

    async def open(self):
        """
        Bring the request to a back end.

        Returns an `UpstreamResponse`, a `NotRun` or an `Unknown`. After an
        `UpstreamResponse` with a stream, `follow` must be used up.
        """
        outcome = None
        try:
            outcome = await self._prepare()
            if outcome is None:
                outcome = await self._run()
            return outcome
        except asyncio.CancelledError:
            self._abandon()
            raise
        finally:
            if not (
                isinstance(outcome, UpstreamResponse) and outcome.response is not None
            ):
                self._finish(outcome)

    async def follow(self, answer):
        """Yield the bytes of a stream; raises `BrokenStreamError`."""
        tail = b""
        events = 0
        first_at = None
        outcome = "cancelled"
        try:
            async for chunk in self._daemon.upstream.follow(self._call, answer):
                first_at = first_at or time.monotonic()
                tail = (tail + chunk)[-TAIL_BYTES:]
                events += chunk.count(b"\n\n")
                yield chunk
            outcome = "ran"
            if events > 1:
                gap = (time.monotonic() - first_at) / (events - 1)
                self._daemon.record_token_gap(self._order, gap)
        except BrokenStreamError as error:
            outcome = "silent" if error.is_silent else "broken"
            raise
        finally:
            usage = usage_from_stream(tail)
            if outcome != "ran":
                self._abandon()
            self._settle_budget(self._order.tokens if usage is None else usage.total)
            self._leave(outcome, events if usage is None else usage.generated)

    async def _prepare(self):
        """Reserve tokens and claim the idempotency key; return a refusal or None."""
        order = self._order
        if order.customer and order.tokens:
            reserved = await self._daemon.budgets.reserve(
                order.customer, order.request, order.tokens, self._until
            )
            if isinstance(reserved, NotRun):
                return reserved
            self._reservation = reserved
        self._daemon.history.write(
            "admitted",
            request=order.request,
            customer=order.customer,
            key=order.key_digest,
            route=order.route.name,
            tokens=order.tokens,
            revision=self._daemon.config_replica.revision,
        )
        if order.route.claim and order.idempotency_key:
            return await self._claim()
        return None

    async def _run(self):
        """Try back ends until one answers or no retry is allowed."""
        daemon = self._daemon
        daemon.retries.earn()
        may_have_run = False
        while True:
            outcome = await self._attempt()
            if isinstance(outcome, UpstreamResponse):
                return outcome
            can_retry = isinstance(outcome, NotRun) and outcome.can_retry
            if isinstance(outcome, Unknown):
                may_have_run = True
                can_retry = self._order.route.idempotent
            has_time = time.monotonic() + RETRY_PAUSE < self._until
            if not (can_retry and has_time and daemon.retries.spend()):
                break
            daemon.metrics.count("retries")
            await asyncio.sleep(RETRY_PAUSE)
        if may_have_run and isinstance(outcome, NotRun):
            return Unknown(outcome.status, outcome.code, outcome.message)
        return outcome

    async def _attempt(self):
        """Take a seat and make one call."""
        daemon = self._daemon
        order = self._order
        adapter = self._adapter()
        if isinstance(adapter, NotRun):
            return adapter
        seat = await daemon.seats.acquire(
            order.request,
            order.customer,
            adapter,
            max(1, order.tokens),
            lambda now: daemon.rank_back_ends(order.route, adapter, now),
            self._until,
        )
        if not isinstance(seat, Seat):
            return seat
        self._seat = seat
        self.waited_for_load += seat.waited_for_load
        now = time.monotonic()
        refusal = daemon.find_refusal(order, now) or self._changed(
            adapter, seat.back_end
        )
        if refusal is not None:
            self._leave("not_run", 0)
            return refusal
        self._call = self._new_call(seat, adapter)
        self._started = now
        daemon.annotate_request(
            order.request,
            route=order.route.name,
            customer=order.customer,
            adapter=adapter,
            back_end=seat.back_end.name,
            fence=seat.fence,
        )
        daemon.history.write(
            "sent",
            request=order.request,
            back_end=seat.back_end.name,
            adapter=adapter,
            fence=seat.fence,
            revision=daemon.config_replica.revision,
        )
        outcome = await self._send()
        self._note(outcome)
        return outcome

    def _adapter(self):
        """Return the engine name of the adapter in force, or a `NotRun`."""
        route = self._order.route
        if not route.adapter:
            return ""
        adapter = self._daemon.config_replica.current.adapters.get(route.adapter)
        if adapter is None:
            return NotRun(404, "unknown_model", f"'{route.name}' leads nowhere")
        return adapter.engine_name

    def _changed(self, adapter, back_end):
        """Return a refusal when the configuration moved on while waiting."""
        daemon = self._daemon
        if self._adapter() != adapter or not daemon.is_in_service(back_end.name):
            return NotRun(
                503, "configuration_changed", "the route has changed", 0.1, True
            )
        return None

    def _new_call(self, seat, adapter):
        order = self._order
        body = order.body
        if order.document is not None:
            body = msgspec.json.encode({**order.document, "model": adapter})
        customer = self._daemon.config_replica.current.customers.get(order.customer)
        headers = {
            **order.headers,
            "X-Customer": order.customer,
            "X-Priority": str(customer.priority if customer else 1),
            "X-Deadline": f"{self._until - time.monotonic():.3f}",
        }
        return UpstreamRequest(
            self._daemon.settings.dial_address(seat.back_end.address),
            order.method,
            order.path,
            body,
            order.request,
            seat.fence,
            self._until,
            headers,
            can_resume=seat.back_end.kind == ENGINE,
        )

    async def _send(self):
        if self._order.stream:
            return await self._daemon.upstream.open_stream(self._call)
        return await self._daemon.upstream.send_whole(self._call)

    def _note(self, outcome):
        """Tell the owner how the attempt went, and end what may still run."""
        if isinstance(outcome, Unknown):
            self._abandon()
        if isinstance(outcome, UpstreamResponse):
            if outcome.response is None:
                usage = usage_from_body(outcome.body)
                self._leave("ran", usage.generated if usage is not None else 1)
            return
        if outcome.code == "adapter_not_loaded":
            self._leave("adapter_missing", 0)
        elif outcome.code in {"restarting", "fell_over", "back_end_unreachable"}:
            self._leave("broken", 0)
        elif isinstance(outcome, Unknown) and outcome.code == "back_end_lost":
            self._leave("broken", 0)
        else:
            self._leave("not_run", 0)

    def _leave(self, outcome, tokens):
        """Give the seat back, once."""
        if self._seat is None:
            return
        seconds = time.monotonic() - self._started
        self._daemon.seats.release(self._seat, outcome, int(tokens), seconds)
        self._seat = None

    def _finish(self, outcome):
        """Settle the budget and the claim of a request that has no open stream."""
        used = self._order.tokens
        is_proven_idle = isinstance(outcome, NotRun) or self._call is None
        if isinstance(outcome, UpstreamResponse):
            usage = usage_from_body(outcome.body)
            used = used if usage is None else usage.total
        elif is_proven_idle:
            used = 0
            if self._claimed:
                self._daemon.spawn(self._drop_claim())
        self._leave("not_run", 0)
        self._settle_budget(used)

    def _settle_budget(self, used):
        if self._reservation is not None:
            self._daemon.budgets.settle_reservation(
                self._order.customer, self._reservation, int(used)
            )
            self._reservation = None

    def _abandon(self):
        """Cancel the back end's request, whose answer nobody takes any more."""
        if self._call is not None:
            self._daemon.spawn(self._daemon.upstream.cancel(self._call))

    def _claim_name(self):
        text = f"{self._order.customer}\0{self._order.idempotency_key}"
        return hashlib.sha256(text.encode()).hexdigest()

    async def _claim(self):
        """Claim the idempotency key; return a refusal or ``None``."""
        store = self._daemon.store
        spec = {"request": self._order.request, "route": self._order.route.name}
        try:
            await store.create(CLAIMS, self._claim_name(), spec)
        except ConflictError:
            return Unknown(
                409,
                "idempotency_key_in_use",
                "an earlier request with this Idempotency-Key may have run",
            )
        except RosemarypathError:
            return NotRun(
                503, "claim_unavailable", "the Idempotency-Key cannot be claimed", 1.0
            )
        self._claimed = True
        return None

    async def _drop_claim(self):
        """Free the idempotency key of a request that is proven not to have run."""
        try:
            await self._daemon.store.delete(CLAIMS, self._claim_name())
        except RosemarypathError:
            return
