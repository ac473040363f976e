"""
rosemarypath.platform.duties
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls to the platform's API that one daemon at a time makes for a subject.
"""

import asyncio
import time
from dataclasses import dataclass

import msgspec

from rosemarypath.errors import ConnectError, ResponseError
from rosemarypath.httpclient import encode_request

__all__ = ["DutyClient", "DutyResult"]

USAGE_PATH = b"/usage"
SCALE_PATH = b"/scale"
HOLDER = b"X-Duty-Holder"
TOKEN = b"X-Fencing-Token"
# The API may be slow. A call reaches it when it is sent, however late its answer is.
ANSWER_TIMEOUT_SECONDS = 3.0
CONNECT_TIMEOUT_SECONDS = 0.5
MAX_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True)
class DutyResult:
    """
    Result of a call; `status` is the HTTP status, 0 if no answer came.

    A call without an answer may have been carried out. `is_sent` is false where no
    call was sent, because there was no fencing token or no connection.
    """

    status: int = 0
    is_sent: bool = True

    @property
    def is_answered(self):
        """Return whether the API answered."""
        return self.status != 0

    @property
    def is_accepted(self):
        """Return whether the call was carried out."""
        return 200 <= self.status < 300

    @property
    def is_refused(self):
        """Return whether the API answered that it did not carry the call out."""
        return self.is_answered and not self.is_accepted


class DutyClient:
    """
    Client of the API at `address` (``host:port``).

    `pool` is the `ConnectionPool` to use. Each call names `machine` as its holder. All
    daemons together may send `calls_per_second`, of which this one uses its share. A
    call waits until it is within that share.

    The argument `token` of each call is a callable that returns the fencing token, 0 if
    the call must not be sent. It is called last before sending.
    """

    def __init__(self, pool, address, machine, calls_per_second):
        self._pool = pool
        self._address = address
        self._machine = machine
        self._calls_per_second = calls_per_second
        self._share = 1.0
        self._next_at = float("-inf")

    def set_share(self, share):
        """Set which share of the calls of all daemons this one may send."""
        self._share = share

    async def report_usage(self, token, window, counts):
        """Report the requests begun in `window` by customer; return a `DutyResult`."""
        document = {"window": window, "counts": counts}
        return await self._call(token, USAGE_PATH, document)

    async def set_back_end_count(self, token, service, zone, count):
        """Order the number of back ends of a service in a zone; see `report_usage`."""
        document = {"service": service, "zone": zone, "desired": count}
        return await self._call(token, SCALE_PATH, document)

    async def _call(self, token, path, document):
        await self._wait_for_turn()
        try:
            # A connection kept since an earlier call may have been cut silently.
            connection = await self._pool.acquire(
                self._address, time.monotonic(), True, CONNECT_TIMEOUT_SECONDS
            )
        except ConnectError:
            return DutyResult(is_sent=False)
        try:
            number = token()
            if not number:
                return DutyResult(is_sent=False)
            connection.send(self._encode(number, path, document), b"POST")
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                head = await connection.head()
                await connection.read_all(MAX_ANSWER_BYTES)
        except (ResponseError, TimeoutError):
            return DutyResult()
        finally:
            connection.abort()
            self._pool.release(connection, time.monotonic())
        return DutyResult(head.status)

    def _encode(self, number, path, document):
        headers = [
            (b"Host", self._address.encode()),
            (b"Content-Type", b"application/json"),
            (HOLDER, self._machine.encode()),
            (TOKEN, str(number).encode()),
        ]
        return encode_request(b"POST", path, headers, msgspec.json.encode(document))

    async def _wait_for_turn(self):
        """Wait until a call is within this daemon's share; turns are in order."""
        at = time.monotonic()
        turn = max(at, self._next_at)
        self._next_at = turn + 1.0 / max(self._calls_per_second * self._share, 0.01)
        if turn > at:
            await asyncio.sleep(turn - at)
