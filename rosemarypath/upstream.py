"""
rosemarypath.upstream
~~~~~~~~~~~~~~~~~~~~~

HTTP client for requests to back ends, with time-outs, tagged outcomes and resumption of
streams.
"""

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
import msgspec

from rosemarypath.backendclient import FENCE_HEADER
from rosemarypath.bounded import read_bounded
from rosemarypath.httpclient import FINAL_STATUSES
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
MAX_RESUMES = 3  # of one stream
EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
TAIL_BYTES = 1024  # of the end of a stream, which contains the event with the usage
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
    """
    A stream ended early and could not be resumed.

    `is_silent` is true after a time-out, false after a lost connection.
    """

    def __init__(self, message, is_silent):
        super().__init__(message)
        self.is_silent = is_silent


@dataclass(frozen=True)
class UpstreamRequest:
    """
    One request to a back end.

    Options:

    `address`
        The back end's ``host:port``.
    `method`, `path`, `body`
        HTTP method, path and body.
    `headers`
        Allow-listed headers; the caller's key is never among them.
    `request_id`
        Identifier of the request.
    `fence`
        Fencing token of the seat.
    `deadline`
        Time of the monotonic clock by which the response must be complete.
    `can_resume`
        Whether the back end keeps requests by their identifier, so that streams can be
        resumed and results polled (default false).
    """

    address: str
    method: str
    path: str
    body: bytes
    request_id: str
    fence: int
    deadline: float
    headers: dict = field(default_factory=dict)
    can_resume: bool = False

    @property
    def url(self):
        """Return the URL to request."""
        return f"http://{self.address}{self.path}"


@dataclass(frozen=True)
class UpstreamResponse:
    """
    The response of a back end.

    `body` is that of a complete response. `http_response` is the open
    `aiohttp.ClientResponse` of a streamed one, otherwise ``None``.
    """

    status: int
    content_type: str
    body: bytes = b""
    http_response: object = None


class UpstreamClient:
    """
    Sends one daemon's requests to back ends.

    A request that the back end cannot resume uses a new connection, unless it is
    streamed; all others use pooled connections. `timing` is the settings' `Timing`.
    """

    def __init__(self, timing):
        self._timing = timing
        self._pooled_session = None
        self._unpooled_session = None

    def start(self):
        """Create the client sessions; must be called in the running event loop."""
        self._pooled_session = self._new_session(force_close=False)
        self._unpooled_session = self._new_session(force_close=True)

    async def close(self):
        """Close all connections."""
        await self._pooled_session.close()
        await self._unpooled_session.close()

    @property
    def session(self):
        """Return the pooled client session, also used for commands to back ends."""
        return self._pooled_session

    @staticmethod
    def _new_session(force_close):
        connector = aiohttp.TCPConnector(limit=0, force_close=force_close)
        return aiohttp.ClientSession(connector=connector, auto_decompress=False)

    async def send(self, request):
        """
        Send `request` and wait for the complete response.

        Returns an `UpstreamResponse` with its body, a `NotRun` or an `Unknown`. The
        result is polled each time a resumable request was silent for an interval.
        """
        session = self._pooled_session if request.can_resume else self._unpooled_session
        task = asyncio.create_task(self._send_and_read(session, request))
        interval = self._timing.between_bytes
        if not request.can_resume:
            interval = self._timing.first_byte
        try:
            while True:
                remaining = max(0.0, request.deadline - time.monotonic())
                await asyncio.wait({task}, timeout=min(interval, remaining))
                if task.done():
                    return task.result()
                if time.monotonic() >= request.deadline:
                    return Unknown(504, "deadline", "the deadline passed")
                if not request.can_resume:
                    return Unknown(504, "silent", "the back end fell silent")
                outcome = await self._poll_result(request)
                if outcome is not None:
                    return outcome
        finally:
            task.cancel()

    async def open_stream(self, request):
        """
        Send `request` and wait for the start of a streamed response.

        Returns an `UpstreamResponse` with an open stream, a `NotRun` or an `Unknown`.
        """
        try:
            response = await self._send_request(
                self._pooled_session, request, self._timing.first_byte
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return _connection_failure(error)
        except asyncio.TimeoutError:
            return await self._resume_unanswered(request)
        except aiohttp.ClientError as error:
            return Unknown(502, "back_end_lost", f"the connection broke ({error!r})")
        if response.status == 200:
            content_type = response.headers.get("Content-Type", "text/event-stream")
            return UpstreamResponse(200, content_type, http_response=response)
        body = await self._read_body(response)
        return _outcome_of_response(response.status, body, response.headers)

    async def stream_body(self, request, response):
        """
        Yield the bytes of a streamed response in whole events.

        A broken stream is resumed after the last event delivered. Raises
        `BrokenStreamError` if that fails.
        """
        http_response = response.http_response
        delivered = 0
        resumes = 0
        is_complete = False
        while True:
            error = None
            partial = b""
            try:
                async for chunk in http_response.content.iter_any():
                    partial += chunk
                    end = partial.rfind(EVENT_SEPARATOR)
                    if end < 0:
                        continue
                    whole_events, partial = partial[: end + 2], partial[end + 2 :]
                    delivered += whole_events.count(EVENT_SEPARATOR)
                    yield whole_events
                    is_complete = whole_events.endswith(DONE_EVENT)
                error = BrokenStreamError("the stream ended early", False)
            except asyncio.TimeoutError:
                error = BrokenStreamError("the stream fell silent", True)
            except aiohttp.ClientError as cause:
                error = BrokenStreamError(f"the stream broke ({cause!r})", False)
            finally:
                http_response.close()
            if is_complete:
                return
            resumes += 1
            if resumes > MAX_RESUMES or time.monotonic() >= request.deadline:
                raise error
            http_response = await self._resume(request, delivered)
            if http_response is None:
                raise error
            _log.info(
                "resumed request {} after {} events", request.request_id, delivered
            )

    async def cancel(self, request):
        """Ask the back end to cancel `request`; failures are logged and ignored."""
        if not request.can_resume:
            return
        url = f"http://{request.address}/v1/requests/{request.request_id}/cancel"
        try:
            async with self._pooled_session.post(
                url, timeout=self._total_timeout(CONNECT_TIMEOUT_SECONDS)
            ):
                pass
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            _log.debug("cancelling request {} failed: {!r}", request.request_id, error)

    async def _send_and_read(self, session, request):
        remaining = max(0.1, request.deadline - time.monotonic())
        try:
            response = await self._send_request(session, request, remaining)
            body = await self._read_body(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return _connection_failure(error)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return Unknown(502, "back_end_lost", f"the connection broke ({error!r})")
        return _outcome_of_response(response.status, body, response.headers)

    async def _send_request(self, session, request, first_byte):
        headers = {
            **request.headers,
            "X-Request-Id": request.request_id,
            FENCE_HEADER: str(request.fence),
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=self._timing.between_bytes if request.can_resume else None,
        )
        async with asyncio.timeout(first_byte):
            response = await session.request(
                request.method,
                request.url,
                data=request.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            )
        if response.status not in FINAL_STATUSES:
            response.close()
            raise aiohttp.ClientPayloadError(f"answer with status {response.status}")
        return response

    async def _read_body(self, response):
        try:
            return await read_bounded(response)
        finally:
            response.release()

    async def _resume_unanswered(self, request):
        """Fetch the stream of a request that got no response, by a new connection."""
        response = await self._resume(request, 0)
        if response is None:
            return Unknown(504, "silent", "the back end fell silent")
        return UpstreamResponse(200, "text/event-stream", http_response=response)

    async def _resume(self, request, delivered):
        """Return a response that starts after `delivered` events, or ``None``."""
        if not request.can_resume:
            return None
        url = f"http://{request.address}/v1/requests/{request.request_id}/stream"
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=self._timing.between_bytes
        )
        try:
            response = await self._unpooled_session.get(
                url, params={"after": str(delivered)}, timeout=timeout
            )
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None
        if response.status != 200:
            response.close()
            return None
        return response

    async def _poll_result(self, request):
        """
        Poll the result of a request by a new connection.

        Returns its outcome, or ``None`` while it is running.
        """
        url = f"http://{request.address}/v1/requests/{request.request_id}"
        try:
            async with self._unpooled_session.get(
                url, timeout=self._total_timeout(CONNECT_TIMEOUT_SECONDS)
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
    def _total_timeout(seconds):
        return aiohttp.ClientTimeout(total=seconds)


@dataclass(frozen=True)
class Usage:
    """Tokens of one response: `generated`, and `total` including the prompt."""

    generated: int
    total: int


def usage_from_stream(tail):
    """
    Return the `Usage` in the last bytes of a stream, or ``None``.

    >>> event = b'data: {"usage":{"completion_tokens":2,"total_tokens":7}}\\n\\n'
    >>> usage_from_stream(event)
    Usage(generated=2, total=7)
    """
    for line in reversed(tail.split(EVENT_SEPARATOR)):
        if b'"usage"' in line and line.startswith(b"data: "):
            return usage_from_body(line[len(b"data: ") :])
    return None


def usage_from_body(body):
    """Return the `Usage` in a JSON body, or ``None``."""
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
    """
    Return the outcome for the status, body and headers of a complete response.

    A known refusal code proves that the request did not run; any other status from 500
    leaves that unknown.
    """
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
