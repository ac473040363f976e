"""
rosemarypath.upstream
~~~~~~~~~~~~~~~~~~~~~

Calls to back ends: bounded waits, tagged outcomes, resumed streams.
"""

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
import msgspec

from rosemarypath.backendclient import FENCE_HEADER
from rosemarypath.bounded import read_bounded
from rosemarypath.log import get_logger
from rosemarypath.outcome import NotRun, Unknown

__all__ = [
    "BrokenStreamError",
    "UpstreamClient",
    "UpstreamRequest",
    "UpstreamResponse",
    "Usage",
    "usage_from_body",
    "usage_from_stream",
]

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_RESUMES = 3
EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
TAIL_BYTES = 1024
REFUSAL_STATUSES = {404, 409, 429, 503}
REFUSAL_CODES = {
    "restarting",
    "old_fence",
    "overloaded",
    "adapter_not_loaded",
    "fell_over",
    "not_now",
}

_log = get_logger("upstream")


class BrokenStreamError(Exception):
    """A stream ended early and could not be resumed; `is_silent` tells how."""

    def __init__(self, message, is_silent):
        super().__init__(message)
        self.is_silent = is_silent


@dataclass(frozen=True)
class UpstreamRequest:
    """
    One call to a back end.

    Options:

    `address`
        The back end's ``host:port``.
    `method`, `path`, `body`
        What to send.
    `headers`
        The allow-listed headers to send; a caller's key is never among them.
    `request`
        The request's identifier.
    `fence`
        The fencing number of the seat.
    `until`
        The deadline, on the monotonic clock.
    `can_resume`
        Whether the back end resumes requests by their identifier.
    """

    address: str
    method: str
    path: str
    body: bytes
    request: str
    fence: int
    until: float
    headers: dict = field(default_factory=dict)
    can_resume: bool = False

    @property
    def url(self):
        """Return the URL to call."""
        return f"http://{self.address}{self.path}"


@dataclass(frozen=True)
class UpstreamResponse:
    """
    A back end's answer.

    `response` is open while the answer is streamed; `body` holds a whole answer.
    """

    status: int
    content_type: str
    body: bytes = b""
    response: object = None


class UpstreamClient:
    """
    Calls to back ends by one daemon.

    `timing` is the settings' `Timing`.
    """

    def __init__(self, timing):
        self._timing = timing
        self._pooled = None
        self._fresh = None

    def start(self):
        """Create the client sessions; call it inside the loop."""
        self._pooled = self._new_session(force_close=False)
        self._fresh = self._new_session(force_close=True)

    async def close(self):
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()

    @property
    def session(self):
        """Return the pooled session, for orders to engines."""
        return self._pooled

    @staticmethod
    def _new_session(force_close):
        connector = aiohttp.TCPConnector(limit=0, force_close=force_close)
        return aiohttp.ClientSession(connector=connector, auto_decompress=False)

    async def send_whole(self, call):
        """Return an `UpstreamResponse` with its body, a `NotRun` or an `Unknown`."""
        session = self._pooled if call.can_resume else self._fresh
        task = asyncio.create_task(self._post_whole(session, call))
        bound = self._timing.between_bytes
        if not call.can_resume:
            bound = self._timing.first_byte
        try:
            while True:
                left = max(0.0, call.until - time.monotonic())
                await asyncio.wait({task}, timeout=min(bound, left))
                if task.done():
                    return task.result()
                if time.monotonic() >= call.until:
                    return Unknown(504, "deadline", "the deadline passed")
                if not call.can_resume:
                    return Unknown(504, "silent", "the back end fell silent")
                outcome = await self._ask_for_answer(call)
                if outcome is not None:
                    return outcome
        finally:
            task.cancel()

    async def open_stream(self, call):
        """Return an `UpstreamResponse` with a stream, a `NotRun` or an `Unknown`."""
        try:
            response = await self._request(self._pooled, call, self._timing.first_byte)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return _connection_failure(error)
        except asyncio.TimeoutError:
            return await self._resume_unanswered(call)
        except aiohttp.ClientError as error:
            return Unknown(502, "back_end_lost", f"the connection broke ({error!r})")
        if response.status == 200:
            content_type = response.headers.get("Content-Type", "text/event-stream")
            return UpstreamResponse(200, content_type, response=response)
        body = await self._read_body(response)
        return _outcome_of_response(response.status, body, response.headers)

    async def follow(self, call, answer):
        """
        Yield the bytes of a stream in whole events, resuming it when it breaks.

        Raises `BrokenStreamError` when it cannot be resumed.
        """
        response = answer.response
        delivered = 0
        tries = 0
        is_whole = False
        while True:
            error = None
            held = b""
            try:
                async for chunk in response.content.iter_any():
                    held += chunk
                    end = held.rfind(EVENT_SEPARATOR)
                    if end < 0:
                        continue
                    ready, held = held[: end + 2], held[end + 2 :]
                    delivered += ready.count(EVENT_SEPARATOR)
                    yield ready
                    is_whole = ready.endswith(DONE_EVENT)
                error = BrokenStreamError("the stream ended early", False)
            except asyncio.TimeoutError:
                error = BrokenStreamError("the stream fell silent", True)
            except aiohttp.ClientError as cause:
                error = BrokenStreamError(f"the stream broke ({cause!r})", False)
            finally:
                response.close()
            if is_whole:
                return
            tries += 1
            if tries > MAX_RESUMES or time.monotonic() >= call.until:
                raise error
            response = await self._resume(call, delivered)
            if response is None:
                raise error
            _log.info("request {} is resumed after {} events", call.request, delivered)

    async def cancel(self, call):
        """Tell the back end to end a request whose caller has gone."""
        if not call.can_resume:
            return
        url = f"http://{call.address}/v1/requests/{call.request}/cancel"
        try:
            async with self._pooled.post(
                url, timeout=self._bound(CONNECT_TIMEOUT_SECONDS)
            ):
                pass
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            _log.debug("cancelling {} failed: {!r}", call.request, error)

    async def _post_whole(self, session, call):
        left = max(0.1, call.until - time.monotonic())
        try:
            response = await self._request(session, call, left)
            body = await self._read_body(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return _connection_failure(error)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return Unknown(502, "back_end_lost", f"the connection broke ({error!r})")
        return _outcome_of_response(response.status, body, response.headers)

    async def _request(self, session, call, first_byte):
        headers = {
            **call.headers,
            "X-Request-Id": call.request,
            FENCE_HEADER: str(call.fence),
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=self._timing.between_bytes if call.can_resume else None,
        )
        async with asyncio.timeout(first_byte):
            return await session.request(
                call.method,
                call.url,
                data=call.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            )

    async def _read_body(self, response):
        try:
            return await read_bounded(response)
        finally:
            response.release()

    async def _resume_unanswered(self, call):
        """Look by a new connection for a request whose answer never began."""
        response = await self._resume(call, 0)
        if response is None:
            return Unknown(504, "silent", "the back end fell silent")
        return UpstreamResponse(200, "text/event-stream", response=response)

    async def _resume(self, call, delivered):
        """Return a response that goes on after `delivered` events, or ``None``."""
        if not call.can_resume:
            return None
        url = f"http://{call.address}/v1/requests/{call.request}/stream"
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=self._timing.between_bytes
        )
        try:
            response = await self._fresh.get(
                url, params={"after": str(delivered)}, timeout=timeout
            )
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None
        if response.status != 200:
            response.close()
            return None
        return response

    async def _ask_for_answer(self, call):
        """Ask by a new connection how a silent request stands; ``None``: it runs."""
        url = f"http://{call.address}/v1/requests/{call.request}"
        try:
            async with self._fresh.get(
                url, timeout=self._bound(CONNECT_TIMEOUT_SECONDS)
            ) as response:
                body = await read_bounded(response)
                status = response.status
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return Unknown(502, "back_end_lost", "the back end cannot be reached")
        if status != 200:
            return Unknown(502, "back_end_lost", "the back end lost the request")
        document = msgspec.json.decode(body)
        if document["state"] != "ended":
            return None
        answer = msgspec.json.encode(document["answer"])
        return UpstreamResponse(200, "application/json", body=answer)

    @staticmethod
    def _bound(seconds):
        return aiohttp.ClientTimeout(total=seconds)


@dataclass(frozen=True)
class Usage:
    """Tokens of one answer: those `generated` and the `total` with the prompt's."""

    generated: int
    total: int


def usage_from_stream(tail):
    """
    Return the `Usage` that the end of a stream reports; ``None`` without any.

    >>> event = b'data: {"usage":{"completion_tokens":2,"total_tokens":7}}\\n\\n'
    >>> usage_from_stream(event)
    Usage(generated=2, total=7)
    """
    for line in reversed(tail.split(EVENT_SEPARATOR)):
        if b'"usage"' in line and line.startswith(b"data: "):
            return usage_from_body(line[len(b"data: ") :])
    return None


def usage_from_body(body):
    """Return the `Usage` that a JSON answer reports; ``None`` without any."""
    try:
        usage = msgspec.json.decode(body).get("usage") or {}
        return Usage(usage["completion_tokens"], usage["total_tokens"])
    except (msgspec.DecodeError, AttributeError, KeyError):
        return None


def _connection_failure(error):
    return NotRun(
        503, "back_end_unreachable", f"cannot connect ({error})", 1.0, can_retry=True
    )


def _outcome_of_response(status, body, headers):
    """Turn a back end's status and body into an outcome."""
    if status in REFUSAL_STATUSES:
        code = _error_code(body)
        if code in REFUSAL_CODES:
            message = f"the back end refused ({code})"
            return NotRun(503, code, message, 1.0, can_retry=True)
    if status >= 500:
        return Unknown(502, "back_end_failed", f"the back end answered {status}")
    content_type = headers.get("Content-Type", "application/json")
    return UpstreamResponse(status, content_type, body=body)


def _error_code(body):
    try:
        return msgspec.json.decode(body)["error"]["code"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""
