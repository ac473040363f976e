"""
rosemarypath.execution
~~~~~~~~~~~~~~~~~~~~~~

Execution of one caller's request: reserves tokens, acquires a seat, sends the request
to the back end and returns its response.
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

CLAIM_KIND = "claims"
RETRY_PAUSE_SECONDS = 0.05


@dataclass(frozen=True)
class CallerRequest:
    """
    A parsed and authenticated request of a caller.

    Options:

    `request_id`
        Identifier assigned by the daemon.
    `customer`, `key_digest`
        Name of the customer and hash of the caller's key (empty without a key).
    `route`
        The `Route` that the caller named.
    `method`, `path`, `headers`
        What to send to the back end; the headers are allow-listed.
    `tokens`
        Upper bound of the tokens it can use; 0 for plain services.
    `document`
        The parsed body of a completion request; ``None`` for plain services.
    `body`
        The body of a request to a plain service.
    `stream`
        Whether the response is streamed (default false).
    `idempotency_key`
        Value of the header ``Idempotency-Key``, or empty.
    """

    request_id: str
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
    Runs one `CallerRequest`.

    `daemon` is the `Daemon` with the components to use; `arrived_at` the time of
    arrival on the monotonic clock, from which the route's deadline counts.
    """

    def __init__(self, daemon, caller_request, arrived_at):
        self._daemon = daemon
        self._caller_request = caller_request
        self._deadline = arrived_at + caller_request.route.deadline
        self._reservation = None
        self._seat = None
        self._upstream_request = None
        self._has_claim = False
        self._sent_at = 0.0
        self.waited_for_load = 0.0

    async def run(self):
        """
        Send the request to a back end, with retries where they are allowed.

        Returns an `UpstreamResponse`, a `NotRun` or an `Unknown`. If the response is
        streamed, the caller must exhaust or close `stream_body`, which settles the
        budget and releases the seat.
        """
        outcome = None
        try:
            outcome = await self._admit()
            if outcome is None:
                outcome = await self._run_with_retries()
            return outcome
        except asyncio.CancelledError:
            self._cancel_upstream()
            raise
        finally:
            if not (
                isinstance(outcome, UpstreamResponse)
                and outcome.http_response is not None
            ):
                self._settle_request(outcome)

    async def stream_body(self, response):
        """
        Yield the bytes of a streamed response.

        Raises `BrokenStreamError` if the stream ends early and can't be resumed.
        """
        tail = b""
        events = 0
        first_at = None
        outcome = "cancelled"
        try:
            async for chunk in self._daemon.upstream.stream_body(
                self._upstream_request, response
            ):
                first_at = first_at or time.monotonic()
                tail = (tail + chunk)[-TAIL_BYTES:]
                events += chunk.count(b"\n\n")
                yield chunk
            outcome = "ran"
            if events > 1:
                gap = (time.monotonic() - first_at) / (events - 1)
                self._daemon.record_token_gap(self._caller_request, gap)
        except BrokenStreamError as error:
            outcome = "silent" if error.is_silent else "broken"
            raise
        finally:
            usage = usage_from_stream(tail)
            if outcome != "ran":
                self._cancel_upstream()
            self._settle_budget(
                self._caller_request.tokens if usage is None else usage.total
            )
            self._release_seat(outcome, events if usage is None else usage.generated)

    async def _admit(self):
        """
        Reserve tokens and claim the idempotency key.

        Returns the `NotRun` or `Unknown` that refuses the request, or ``None``.
        """
        caller_request = self._caller_request
        if caller_request.customer and caller_request.tokens:
            reserved = await self._daemon.budgets.reserve(
                caller_request.customer,
                caller_request.request_id,
                caller_request.tokens,
                self._deadline,
            )
            if isinstance(reserved, NotRun):
                return reserved
            self._reservation = reserved
        self._daemon.history.write(
            "admitted",
            request=caller_request.request_id,
            customer=caller_request.customer,
            key=caller_request.key_digest,
            route=caller_request.route.name,
            tokens=caller_request.tokens,
            revision=self._daemon.config_replica.revision,
        )
        if caller_request.route.claim and caller_request.idempotency_key:
            return await self._claim_idempotency_key()
        return None

    async def _run_with_retries(self):
        """
        Make attempts until one gets a response or no retry is allowed.

        After an attempt with an unknown outcome the result is never a `NotRun`.
        """
        daemon = self._daemon
        daemon.retries.deposit()
        may_have_run = False
        while True:
            outcome = await self._attempt_once()
            if isinstance(outcome, UpstreamResponse):
                return outcome
            can_retry = isinstance(outcome, NotRun) and outcome.can_retry
            if isinstance(outcome, Unknown):
                may_have_run = True
                can_retry = self._caller_request.route.idempotent
            has_time = time.monotonic() + RETRY_PAUSE_SECONDS < self._deadline
            if not (can_retry and has_time and daemon.retries.try_withdraw()):
                break
            daemon.metrics.count("retries")
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        if may_have_run and isinstance(outcome, NotRun):
            return Unknown(outcome.status, outcome.code, outcome.message)
        return outcome

    async def _attempt_once(self):
        """Acquire a seat and send the request once."""
        daemon = self._daemon
        caller_request = self._caller_request
        adapter = self._adapter_name()
        if isinstance(adapter, NotRun):
            return adapter
        seat = await daemon.seats.acquire(
            caller_request.request_id,
            caller_request.customer,
            adapter,
            max(1, caller_request.tokens),
            lambda now: daemon.rank_back_ends(caller_request.route, adapter, now),
            self._deadline,
        )
        if not isinstance(seat, Seat):
            return seat
        self._seat = seat
        self.waited_for_load += seat.waited_for_load
        now = time.monotonic()
        refusal = daemon.find_refusal(caller_request, now) or self._check_configuration(
            adapter, seat.back_end
        )
        if refusal is not None:
            self._release_seat("not_run", 0)
            return refusal
        self._upstream_request = self._create_upstream_request(seat, adapter)
        self._sent_at = now
        daemon.annotate_request(
            caller_request.request_id,
            route=caller_request.route.name,
            customer=caller_request.customer,
            adapter=adapter,
            back_end=seat.back_end.name,
            fence=seat.fence,
        )
        daemon.history.write(
            "sent",
            request=caller_request.request_id,
            back_end=seat.back_end.name,
            adapter=adapter,
            fence=seat.fence,
            revision=daemon.config_replica.revision,
        )
        outcome = await self._send()
        self._record_outcome(outcome)
        return outcome

    def _adapter_name(self):
        """Return the engine name of the adapter's current version, or a `NotRun`."""
        route = self._caller_request.route
        if not route.adapter:
            return ""
        adapter = self._daemon.config_replica.current.adapters.get(route.adapter)
        if adapter is None:
            return NotRun(404, "unknown_model", f"'{route.name}' leads nowhere")
        return adapter.engine_name

    def _check_configuration(self, adapter, back_end):
        """Return a `NotRun` if the configuration changed while waiting for a seat."""
        daemon = self._daemon
        if self._adapter_name() != adapter or not daemon.is_in_service(back_end.name):
            return NotRun(
                503, "configuration_changed", "the route has changed", 0.1, True
            )
        return None

    def _create_upstream_request(self, seat, adapter):
        caller_request = self._caller_request
        body = caller_request.body
        if caller_request.document is not None:
            body = msgspec.json.encode({**caller_request.document, "model": adapter})
        customer = self._daemon.config_replica.current.customers.get(
            caller_request.customer
        )
        headers = {
            **caller_request.headers,
            "X-Customer": caller_request.customer,
            "X-Priority": str(customer.priority if customer else 1),
            "X-Deadline": f"{self._deadline - time.monotonic():.3f}",
        }
        return UpstreamRequest(
            self._daemon.settings.dial_address(seat.back_end.address),
            caller_request.method,
            caller_request.path,
            body,
            caller_request.request_id,
            seat.fence,
            self._deadline,
            headers,
            can_resume=seat.back_end.kind == ENGINE,
        )

    async def _send(self):
        if self._caller_request.stream:
            return await self._daemon.upstream.open_stream(self._upstream_request)
        return await self._daemon.upstream.send(self._upstream_request)

    def _record_outcome(self, outcome):
        """Release the seat with the outcome; cancel a request that may still run."""
        if isinstance(outcome, Unknown):
            self._cancel_upstream()
        if isinstance(outcome, UpstreamResponse):
            if outcome.http_response is None:
                usage = usage_from_body(outcome.body)
                self._release_seat("ran", usage.generated if usage is not None else 1)
            return
        if outcome.code == "adapter_not_loaded":
            self._release_seat("adapter_missing", 0)
        elif outcome.code in {"restarting", "fell_over", "back_end_unreachable"}:
            self._release_seat("broken", 0)
        elif isinstance(outcome, Unknown) and outcome.code == "back_end_lost":
            self._release_seat("broken", 0)
        else:
            self._release_seat("not_run", 0)

    def _release_seat(self, outcome, tokens):
        """Release the seat if one is held."""
        if self._seat is None:
            return
        seconds = time.monotonic() - self._sent_at
        self._daemon.seats.release(self._seat, outcome, int(tokens), seconds)
        self._seat = None

    def _settle_request(self, outcome):
        """
        Settle the budget and the claim of a request without an open stream.

        A request that is proven not to have run costs no tokens, and its idempotency
        key can be used again.
        """
        used = self._caller_request.tokens
        did_not_run = isinstance(outcome, NotRun) or self._upstream_request is None
        if isinstance(outcome, UpstreamResponse):
            usage = usage_from_body(outcome.body)
            used = used if usage is None else usage.total
        elif did_not_run:
            used = 0
            if self._has_claim:
                self._daemon.spawn(self._release_claim())
        self._release_seat("not_run", 0)
        self._settle_budget(used)

    def _settle_budget(self, used):
        if self._reservation is not None:
            self._daemon.budgets.settle_reservation(
                self._caller_request.customer, self._reservation, int(used)
            )
            self._reservation = None

    def _cancel_upstream(self):
        """Cancel the request at the back end, as its response is not needed."""
        if self._upstream_request is not None:
            self._daemon.spawn(self._daemon.upstream.cancel(self._upstream_request))

    def _claim_name(self):
        text = (
            f"{self._caller_request.customer}\0{self._caller_request.idempotency_key}"
        )
        return hashlib.sha256(text.encode()).hexdigest()

    async def _claim_idempotency_key(self):
        """Claim the idempotency key in the object store; return a refusal or None."""
        store = self._daemon.store
        spec = {
            "request": self._caller_request.request_id,
            "route": self._caller_request.route.name,
        }
        try:
            await store.create(CLAIM_KIND, self._claim_name(), spec)
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
        self._has_claim = True
        return None

    async def _release_claim(self):
        """Delete the claim of a request that is proven not to have run."""
        try:
            await self._daemon.store.delete(CLAIM_KIND, self._claim_name())
        except RosemarypathError:
            return
