"""
rosemarypath.httpclient
~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 client that exposes framing, connection reuse and the end of answers exactly.

The daemon decides from these whether a request may be sent again.
"""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass

import httptools

from rosemarypath.bytebudget import ByteBudget
from rosemarypath.errors import AnswerTooLargeError, ConnectError, ResponseError

__all__ = ["FINAL_STATUSES", "Connection", "Reply", "encode_head", "encode_request"]

CONNECT_TIMEOUT_SECONDS = 1.0  # callers wait as long for a new connection
KEEPALIVE_IDLE_SECONDS = 1  # without traffic before the kernel probes the peer
KEEPALIVE_INTERVAL_SECONDS = 1  # between two probes
KEEPALIVE_PROBES = 2  # unanswered probes that end a connection
UNACKNOWLEDGED_TIMEOUT_MS = 3000  # for sent bytes, after which the connection fails
DEFAULT_IDLE_SECONDS = 1.5  # for reuse if the server announces no keep-alive timeout
# Share of the announced keep-alive timeout for which an idle connection is reused. A
# later request might reach the server while it closes the connection.
KEEP_ALIVE_SHARE = 0.5
MAX_BODY_BYTES = 16 * 1024 * 1024  # a machine has memory for several such answers
# Heads, framing and answers to other requests, received between two parts of the body.
MAX_NON_BODY_BYTES = 128 * 1024
MAX_HEADER_FIELDS = 512  # each costs far more memory than its bytes
MAX_JOINED_BODY_BYTES = 64 * 1024  # a larger body is not copied to its head
PART_BYTES = 64  # that a part of the body costs beside its content
MAX_UNREAD_BYTES = 256 * 1024  # of the body; beyond this, reading from the peer pauses
NO_BODY_STATUSES = frozenset({204, 304})
INTERIM_STATUSES = range(100, 200)  # an answer follows on the connection
FINAL_STATUSES = range(200, 600)  # no other status is an answer


@dataclass(frozen=True)
class Reply:
    """A complete answer: status, header pairs (lower-case names) and body."""

    status: int
    headers: tuple
    body: bytes

    def header(self, name):
        """Return the first value of `name` (lower-case bytes), or ``None``."""
        return next((value for key, value in self.headers if key == name), None)


def encode_request(method, path, headers, body=b""):
    """
    Return the bytes of one request; `headers` are pairs of bytes.

    `encode_head` leaves the body out.

    >>> encode_request(b"GET", b"/", [(b"Host", b"a")])
    b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n'
    """
    return encode_head(method, path, headers, len(body)) + body


def encode_head(method, path, headers, body_length):
    """Return the head of a request, whose body follows; see `encode_request`."""
    lines = [b"%b %b HTTP/1.1" % (method, path)]
    lines += [b"%b: %b" % pair for pair in headers]
    if body_length or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % body_length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def configure_socket(transport):
    """Send small writes at once, and let the kernel detect an unresponsive peer."""
    sock = transport.get_extra_info("socket")
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)


class Connection(asyncio.Protocol):
    """
    One connection to a server, which carries one exchange at a time.

    `address` is ``host:port``. An exchange is a request and its answer: call `send`,
    then `head`, then `read` until it returns ``b""``. `idle_since` is when the
    connection was last released into a pool. `budget` is the `ByteBudget` that the
    bytes of answers count towards; those of a protected connection are dropped last.
    """

    def __init__(self, address, budget=None):
        self._budget = budget or ByteBudget()
        self._kept_bytes = 0
        self._transport = None
        self._parser = None
        self._waiter = None
        self._matches = None
        self._body_parts = deque()
        self._unread_bytes = 0
        self._non_body_bytes = 0
        self._headers = []
        self._head = None
        self._error = None
        self._in_exchange = False
        self._is_discarding = False
        self._is_framed = False  # whether the head determines the end of the body
        self._is_complete = False
        self._cannot_be_reused = False
        self._idle_limit = DEFAULT_IDLE_SECONDS
        self._method = b""
        self._exchange_count = 0
        self.address = address
        self.idle_since = 0.0
        self.is_protected = False

    @classmethod
    async def open(cls, address, timeout=CONNECT_TIMEOUT_SECONDS, budget=None):
        """Connect to `address`; raises `ConnectError`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: cls(address, budget), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectError(
                f"{address}: {error!r}", "check that it runs and can be reached"
            ) from error
        return connection

    @property
    def is_open(self):
        """Return whether the connection is open, so that bytes can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_framed(self):
        """Return whether the answer's head tells where its body ends."""
        return self._is_framed

    @property
    def is_first_exchange(self):
        """Return whether no other request was sent before the present one."""
        return self._exchange_count == 1

    @property
    def unread_bytes(self):
        """Return about how much memory the unread parts of the body take."""
        return self._unread_bytes

    @property
    def is_reusable(self):
        """Return whether the last exchange is complete and no other bytes remain."""
        return (
            self.is_open
            and self._is_complete
            and self._is_framed
            and not self._cannot_be_reused
            and self._transport.get_write_buffer_size() == 0
        )

    def is_within_idle_limit(self, now):
        """Return whether the server can be expected to keep the connection at `now`."""
        return self.is_open and now - self.idle_since < self._idle_limit

    def send(self, data, method=b"GET", matches=None, body=b""):
        """
        Start an exchange by writing `data` and then `body`, one complete request.

        ``matches(head)`` is called with the head of each final answer and returns
        whether the answer belongs to this exchange; other answers are read and
        discarded. Raises `ResponseError` if the connection is closed.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._matches = matches
        self._method = method
        self._kept_bytes = 0
        self._clear_body_parts()
        self._non_body_bytes = 0
        self._head = None
        self._in_exchange = True
        self._exchange_count += 1
        self._is_complete = False
        self._is_framed = False
        if not self.is_open:
            raise self._response_error("connection closed before the request was sent")
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self._transport.write(data + body if body else data)
            return
        self._transport.write(data)
        # What the socket doesn't take at once is then copied once, not twice.
        self._transport.write(memoryview(body))

    async def head(self):
        """Wait for the answer's head: a `Reply` without body, or a `ResponseError`."""
        while self._head is None:
            if self._error is not None:
                raise self._new_error()
            await self._wait()
        return self._head

    async def read(self):
        """
        Wait for the next bytes of the body; return ``b""`` at its end.

        Raises `ResponseError` if the body is cut short.
        """
        while not self._body_parts:
            if self._is_complete:
                return b""
            if self._error is not None:
                raise self._new_error()
            await self._wait()
        data = b"".join(self._body_parts)
        self._clear_body_parts()
        return data

    async def read_all(self, max_bytes=MAX_BODY_BYTES):
        """
        Return the whole body.

        Raises `ResponseError` if it is cut short, and `AnswerTooLargeError` if it is
        larger than `max_bytes`.
        """
        parts = []
        size = 0
        while data := await self.read():
            parts.append(data)
            size += len(data)
            self.keep(size)
            if size > max_bytes:
                self.abort()
                raise AnswerTooLargeError(
                    f"{self.address}: answer body larger than {max_bytes} bytes",
                    "ask for less",
                )
        return b"".join(parts)

    def keep(self, count):
        """Count `count` bytes that were read as held until the exchange has ended."""
        self._kept_bytes = count
        self._count_bytes()

    def release_bytes(self):
        """Count and keep nothing of the exchange any more, as it has ended."""
        self._kept_bytes = 0
        self._in_exchange = False
        self._matches = self._parser = None
        self._clear_body_parts()

    def reject_held(self, message):
        """Drop the connection, as its answer takes too much memory."""
        self._cannot_be_reused = True
        if self._error is None:
            self._error = AnswerTooLargeError(
                f"{self.address}: {message}", "ask for less"
            )
        # What is left of the body must not look like all of it.
        self._is_complete = False
        self._body_parts.clear()
        self._unread_bytes = 0
        self.abort()
        self._wake()

    def abort(self):
        """Drop the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Called by the event loop.

    def connection_made(self, transport):
        self._transport = transport
        configure_socket(transport)

    def data_received(self, data):
        self._non_body_bytes += len(data)
        if not self._in_exchange or self._is_complete:
            self._cannot_be_reused = True
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._cannot_be_reused = True
            if not self._is_complete:
                self._fail(f"answer is not valid HTTP ({error!r})")
            self.abort()
        self._enforce_limits()
        self._count_bytes()
        self._wake()

    def eof_received(self):
        is_unframed = self._head is not None and not self._is_framed
        if is_unframed and not self._is_complete and self._error is None:
            self._is_complete = True
            self._cannot_be_reused = True
            self._wake()
        return False

    def connection_lost(self, exc):
        if not self._is_complete:
            self._fail(f"connection lost ({exc!r})")
        self._wake()

    # Called by the parser.

    def on_message_begin(self):
        if self._is_complete:
            self._cannot_be_reused = True
        self._headers = []

    def on_header(self, name, value):
        if len(self._headers) < MAX_HEADER_FIELDS:
            self._headers.append((name.lower(), value))
        elif not self._is_complete:
            self._cannot_be_reused = True
            self._fail(f"received over {MAX_HEADER_FIELDS} header fields")
            self.abort()

    def on_headers_complete(self):
        if self._is_complete or self._error is not None:
            return
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            return
        if status not in FINAL_STATUSES:
            self._cannot_be_reused = True
            self._fail(f"answer with the status {status:03}, which is none")
            self.abort()
            return
        head = Reply(status, tuple(self._headers), b"")
        names = {name for name, _ in self._headers}
        self._is_framed = (
            b"content-length" in names
            or b"transfer-encoding" in names
            or status in NO_BODY_STATUSES
        )
        self._is_discarding = self._matches is not None and not self._matches(head)
        if self._is_discarding:
            self._cannot_be_reused = True
            return
        self._read_keep_alive(head)
        self._head = head

    def on_body(self, data):
        # Only the answer that was waited for has a body to keep.
        is_kept = self._head is not None and self._error is None
        if is_kept and not self._is_discarding and not self._is_complete:
            self._body_parts.append(data)
            self._unread_bytes += len(data) + PART_BYTES
            self._non_body_bytes = 0

    def on_message_complete(self):
        if self._is_discarding:
            self._is_discarding = False
            return
        if self._head is not None and not self._is_complete:
            if self._is_framed:
                self._is_complete = True

    def _enforce_limits(self):
        """Fail on too many bytes outside the body; pause reading for a slow reader."""
        if self._non_body_bytes > MAX_NON_BODY_BYTES and not self._is_complete:
            self._cannot_be_reused = True
            self._fail(f"received over {MAX_NON_BODY_BYTES} bytes outside the body")
            self.abort()
        elif self._unread_bytes > MAX_UNREAD_BYTES and self.is_open:
            self._transport.pause_reading()

    def _count_bytes(self):
        self._budget.set_held(self, self._unread_bytes + self._kept_bytes)

    def _clear_body_parts(self):
        self._body_parts.clear()
        self._unread_bytes = 0
        self._count_bytes()
        if self.is_open:
            self._transport.resume_reading()

    def _read_keep_alive(self, head):
        if not self._parser.should_keep_alive():
            self._cannot_be_reused = True
        announced = head.header(b"keep-alive") or b""
        _, _, seconds = announced.partition(b"timeout=")
        digits = seconds.split(b",")[0].strip()
        if digits.isdigit():
            self._idle_limit = int(digits) * KEEP_ALIVE_SHARE

    def _response_error(self, message):
        return ResponseError(f"{self.address}: {message}", "try another back end")

    def _new_error(self):
        """
        Return the error of the exchange, to raise it.

        One that is kept would keep the frames that it has passed, with their data.
        """
        return type(self._error)(self._error.message, self._error.remedy)

    def _fail(self, message):
        if self._error is None:
            self._error = self._response_error(message)

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
