"""
rosemarypath.callers.requestreader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the requests of one connection, within the limits on it and on all callers.
"""

import asyncio
from collections import deque

import httptools

from rosemarypath.callers.callerbudget import UNPAUSED_BYTES
from rosemarypath.callers.connectiontimers import (
    HEADER,
    RETRY_SECONDS,
    SERVICE_UNAVAILABLE,
    ConnectionTimers,
)
from rosemarypath.callers.incomingrequest import IncomingRequest

__all__ = ["MAX_PIPELINED_REQUESTS", "RequestReader"]

MAX_PIPELINED_REQUESTS = 16  # requests read ahead on one connection
BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
FIELD_BYTES = 4  # of a field beside its name and value
# Memory that a request and each field of its head take beside their bytes.
REQUEST_BYTES = 1024
FIELD_OBJECT_BYTES = 160


class RequestReader(ConnectionTimers):
    """
    The part of a `CallerConnection` that reads requests.

    `is_busy` is set while a request is being handled. A holder of the `CallerBudget`.
    """

    def __init__(self, listener):
        super().__init__(listener)
        self._parser = httptools.HttpRequestParser(self)
        self._requests = deque()
        self._has_requests = asyncio.Event()
        self._request = None
        self._body = b""  # received of the present body; a bytearray from two parts on
        self._queued_bytes = 0  # held by `_requests`
        self._is_paused = False  # by the budget
        self._header_bytes = 0  # received of the present head; -1 once it is complete
        self._header_field_bytes = 0  # parsed of the present head: path and fields
        self._framing_bytes = 0  # received of a body since its last byte of content
        self._is_rejected = False  # no further request is read
        self._is_unused = True  # nothing was received yet
        self.is_busy = False

    @property
    def is_protected(self):
        """Return whether others are refused first."""
        return False

    @property
    def is_receiving(self):
        """Return whether a request is being received that may still be served."""
        return self._request is not None and not self._is_rejected

    @property
    def _held_bytes(self):
        """Return how much memory is held by requests that don't run yet."""
        return self._queued_bytes + (self._request.size if self.is_receiving else 0)

    @property
    def _has_next(self):
        """Return whether a further request was read, or begun to be read."""
        return self._request is not None or bool(self._requests)

    @property
    def _is_in_body(self):
        """Return whether a request is being received whose head is complete."""
        return self._request is not None and self._header_bytes < 0

    def data_received(self, data):
        self._is_unused = False
        if self._is_rejected or self._is_closing:
            self._received_at = self._loop.time()
            self._dropped_bytes += len(data) if self._is_closing else 0
            return
        if self._request is None and not self._requests and not self.is_busy:
            self._set_timer(HEADER)
            self._listener.connection_limit.mark_in_use(self)
        if self._header_bytes >= 0:
            self._header_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._ignore_upgrade()
        except httptools.HttpParserError:
            self._reject(BAD_REQUEST)
        limit = self._listener.limits.header_bytes
        if self._header_bytes > limit or self._exceeds_framing(limit):
            self._reject(HEADERS_TOO_LARGE)
        if self._is_in_body and self._body_due is None and not self._is_rejected:
            self._await_body()
        if self._request is not None:
            self._count_held()

    def _count_held(self):
        """Count what is held of requests that don't run; pause if that is too much."""
        budget = self._listener.budget
        budget.set_held(self, self._held_bytes)
        if self.is_receiving and self._held_bytes > UNPAUSED_BYTES:
            budget.pause_large()

    def _exceeds_framing(self, limit):
        """Return whether chunk extensions or trailers take over `limit` bytes."""
        return self._is_in_body and self._framing_bytes > limit

    def _ignore_upgrade(self):
        """Make the request that asked for another protocol the last one read."""
        self._is_rejected = True
        self._requests[-1].keep_alive = False

    def on_message_begin(self):
        self._request = IncomingRequest(arrived=self._loop.time(), size=REQUEST_BYTES)
        self._body_due = None
        self._body = b""

    def on_url(self, url):
        self._request.path += url
        self._request.size += len(url)
        self._header_field_bytes = len(self._request.path)

    def on_header(self, name, value):
        if self._is_in_body:  # A trailer field must not pass for one of the head.
            self._framing_bytes += len(name) + len(value) + FIELD_BYTES
            return
        self._header_field_bytes += len(name) + len(value)
        self._request.size += len(name) + len(value) + FIELD_OBJECT_BYTES
        self._request.headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._header_bytes = -1
        self._framing_bytes = 0
        if self._header_field_bytes > self._listener.limits.header_bytes:
            self._reject(HEADERS_TOO_LARGE)
            return
        request = self._request
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        request.accepts_chunked = self._parser.get_http_version() == "1.1"
        length = request.header(b"content-length")
        if length and int(length) > self._listener.limits.body_bytes:
            self._reject(CONTENT_TOO_LARGE)

    def on_body(self, data):
        if self._is_rejected:
            return
        self._timer_started = self._loop.time()
        self._framing_bytes = 0
        if len(self._body) + len(data) > self._listener.limits.body_bytes:
            self._reject(CONTENT_TOO_LARGE)
            return
        self._request.size += len(data)
        if not self._body:
            self._body = data  # Most bodies come in one part and aren't copied.
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += data

    def on_message_complete(self):
        if self._is_rejected:
            return
        request = self._request
        request.body = self._body
        self._request = None
        self._body = b""
        self._header_bytes = 0
        self._enqueue(request)
        self._count_held()

    def pause_reading(self):
        """Read nothing until there is room for more."""
        self._is_paused = True
        self._update_reading()

    def resume_reading(self):
        """Read on after `pause_reading`."""
        self._is_paused = False
        self._update_reading()

    def reject_held(self, message):
        """Refuse the next request that doesn't run yet, and drop those after it."""
        first = self._requests[0] if self._requests else self._request
        if first is None or first.status:
            return
        self._requests.clear()
        self._queued_bytes = 0
        self._request = first
        self._is_rejected = False
        self._reject(SERVICE_UNAVAILABLE, RETRY_SECONDS)
        self._listener.on_refused("memory", message)

    def refuse_unread(self):
        """Refuse a request that is still being received, as it won't be run."""
        if self._request is not None:
            self._reject(SERVICE_UNAVAILABLE)

    def _update_reading(self):
        is_full = len(self._requests) > MAX_PIPELINED_REQUESTS
        if self.is_open and (is_full or self._is_paused and not self._is_rejected):
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _enqueue(self, request):
        self._cancel_timer()
        self._requests.append(request)
        self._queued_bytes += request.size
        self._has_requests.set()
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()

    def _reject(self, status, retry_after=0.0):
        """
        Queue the request being received as invalid.

        It is answered with `status`, then the connection is closed. Any further bytes
        are ignored.
        """
        if self._is_rejected:
            return
        self._is_rejected = True
        request = self._request or IncomingRequest(arrived=self._loop.time())
        request.status = status
        request.retry_after = retry_after
        request.keep_alive = False
        request.headers.clear()
        request.body = self._body = b""
        request.size = REQUEST_BYTES
        self._enqueue(request)
        self._update_reading()
