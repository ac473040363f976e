"""
rosemarypath.connectionpool
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Pool of the HTTP client's connections, and calls that wait for a whole answer.
"""

import asyncio
from collections import defaultdict

from rosemarypath.bytebudget import ByteBudget
from rosemarypath.errors import ConnectError, ResponseError
from rosemarypath.httpclient import (
    CONNECT_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    Connection,
    Reply,
    encode_request,
)

__all__ = ["ConnectionPool"]

MAX_IDLE_PER_ADDRESS = 16  # idle connections


class ConnectionPool:
    """
    Pool of connections by address; of the idle ones, the last released is reused first.

    Times (`now`) are in seconds of any one monotonic clock. `budget` is the
    `ByteBudget` of all connections together.
    """

    def __init__(self, budget=None):
        self._budget = budget or ByteBudget()
        self._idle = defaultdict(list)
        self._in_use = set()

    async def acquire(
        self, address, now, is_new=False, timeout=CONNECT_TIMEOUT_SECONDS
    ):
        """
        Return an idle connection to `address`, or a new one; raises `ConnectError`.

        With `is_new` the connection is always new.
        """
        connection = None if is_new else self._take_idle(address, now)
        if connection is None:
            connection = await Connection.open(address, timeout, self._budget)
        self._in_use.add(connection)
        return connection

    def release(self, connection, now):
        """Keep `connection` for the next exchange if it is reusable, else drop it."""
        self._in_use.discard(connection)
        connection.release_bytes()
        idle = self._idle[connection.address]
        if connection.is_reusable and len(idle) < MAX_IDLE_PER_ADDRESS:
            connection.idle_since = now
            idle.append(connection)
        else:
            connection.abort()

    def close_expired(self, now):
        """Close the connections that have been idle for too long to be reused."""
        for address, idle in list(self._idle.items()):
            kept = [c for c in idle if c.is_within_idle_limit(now)]
            for connection in idle:
                if connection not in kept:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self):
        """Drop all connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        for connection in self._in_use:
            connection.abort()
        self._idle.clear()
        self._in_use.clear()

    def drop(self, address):
        """Drop all connections to `address`; return how many were in use."""
        for connection in self._idle.pop(address, ()):
            connection.abort()
        in_use = [c for c in self._in_use if c.address == address]
        for connection in in_use:
            connection.abort()
        return len(in_use)

    async def is_refused(self, address, now, timeout):
        """Return whether `address` refuses a new connection, as nothing listens."""
        try:
            connection = await self.acquire(address, now, True, timeout)
        except ConnectError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.release(connection, now)
        return False

    async def call(
        self,
        address,
        method,
        path,
        headers,
        body,
        timeout,
        now,
        max_bytes=MAX_BODY_BYTES,
        is_protected=False,
    ):
        """
        Send one request and return the complete `Reply`.

        Raises `ConnectError` if nothing was sent, `ResponseError` if the answer is
        missing, late (after `timeout` seconds) or cut short, and `AnswerTooLargeError`
        if its body is larger than `max_bytes`. Where all answers together take too much
        memory, those of protected calls are dropped last.
        """
        connection = await self.acquire(
            address, now, timeout=min(timeout, CONNECT_TIMEOUT_SECONDS)
        )
        connection.is_protected = is_protected
        data = encode_request(method, path, headers, body)
        try:
            async with asyncio.timeout(timeout):
                connection.send(data, method)
                head = await connection.head()
                content = await connection.read_all(max_bytes)
        except TimeoutError as error:
            raise ResponseError(
                f"{address}: no answer within {timeout} s", "try again later"
            ) from error
        finally:
            self.release(connection, now)
        return Reply(head.status, head.headers, content)

    def _take_idle(self, address, now):
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_within_idle_limit(now) and connection.is_reusable:
                return connection
            connection.abort()
        return None
