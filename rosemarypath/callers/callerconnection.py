"""
rosemarypath.callers.callerconnection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One connection of a caller; a task answers its requests in order.
"""

import asyncio
import itertools
import select
import socket

from rosemarypath.callers.callerbudget import MAX_READ_BYTES
from rosemarypath.callers.connectiontimers import HEADER, IDLE
from rosemarypath.callers.requestreader import MAX_PIPELINED_REQUESTS, RequestReader

__all__ = ["CallerConnection"]

FIRST_REQUEST_SECONDS = 0.5  # in which a new connection's first request is expected
INTERNAL_ERROR = 500


class CallerConnection(RequestReader):
    """
    A connection from a caller.

    `listener` is the `Listener` that accepted it. `is_busy` is set while a request is
    being handled, `has_answered` once bytes of the answer to that request were sent.
    `RequestReader` reads requests, `ConnectionTimers` keeps the time limits and
    `AnswerWriter` writes answers.
    """

    def __init__(self, listener):
        super().__init__(listener)
        self._task = None
        self._opened_at = self._loop.time()

    @property
    def is_idle(self):
        """Return whether nothing is being read, answered, sent or closed."""
        is_in_use = self.is_busy or self._has_next or self._is_closing
        return not (is_in_use or self._has_unsent or self._expects_first)

    @property
    def _expects_first(self):
        """Return whether it is so new that its first request is on its way."""
        age = self._loop.time() - self._opened_at
        return self._is_unused and age < FIRST_REQUEST_SECONDS

    @property
    def _has_unread(self):
        """Return whether bytes wait in the socket."""
        poller = select.poll()
        poller.register(self._transport.get_extra_info("socket"), select.POLLIN)
        return bool(poller.poll(0))

    @property
    def can_be_dropped(self):
        """Return whether an idle connection has nothing more to send or to read."""
        return not (self._is_closing or self._has_unsent or self._has_unread)

    def connection_made(self, transport):
        self._transport = transport
        transport.max_size = MAX_READ_BYTES
        if not self._listener.connection_limit.admit(self):
            self._listener.on_refused("connections", "no descriptor is left")
            transport.abort()
            return
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._listener.connections.add(self)
        self._set_timer(IDLE)
        self._task = self._loop.create_task(self._serve())

    def eof_received(self):
        return False

    def connection_lost(self, exc):
        self._listener.connection_limit.remove(self)
        if self._task is None:  # It was refused.
            self._parser = None
            return
        self._listener.connections.discard(self)
        self._listener.budget.forget(self)
        if self._dropped_bytes and not self._is_rejected:
            self._listener.on_dropped(self._dropped_bytes)
        self._cancel_timer()
        self._task.cancel()
        # The parser and the task refer to this object, which would keep the requests
        # until a full garbage collection.
        self._task = self._parser = self._request = None
        self._body = b""
        self._requests.clear()

    def close_if_idle(self):
        """Close unless a request is being read or answered, or is on its way."""
        is_in_use = self.is_busy or self._has_next or self._expects_first
        if not (is_in_use or self._has_unread):
            self.close()

    def drop_idle(self):
        """Close at once, in favor of a new connection."""
        self._listener.on_dropped_idle()
        self.abort()

    async def _serve(self):
        for count in itertools.count(1):
            while not self._requests:
                self._has_requests.clear()
                await self._has_requests.wait()
            if self._reader_wait is not None and not await self._wait_for_reader():
                return
            if not await self._serve_next():
                return
            if count % MAX_PIPELINED_REQUESTS == 0:
                await asyncio.sleep(0)  # A handler may answer without waiting.

    async def _serve_next(self):
        """
        Answer the next request; return whether the connection goes on.

        The request is let go of at the end, as the next one may be long in coming.
        """
        request = self._requests.popleft()
        if len(self._requests) == MAX_PIPELINED_REQUESTS:
            self._update_reading()
        self._current_request = request
        self.is_busy = True
        self.has_answered = self._is_answered = False
        self._queued_bytes -= request.size
        budget = self._listener.budget
        budget.set_held(self, self._held_bytes)
        budget.add_running(request.size)
        try:
            await self._handle(request)
        finally:
            budget.add_running(-request.size)
        self.is_busy = False
        self._current_request = None
        if not request.keep_alive or request.status:
            self.close()
            return False
        if self._requests:
            return True
        is_in_head = self._request is not None and not self._is_in_body
        self._set_timer(HEADER if is_in_head else IDLE)
        if self._request is None:
            self._listener.connection_limit.mark_idle(self)
        if self._is_in_body:
            self._continue_body()
        return True

    async def _handle(self, request):
        try:
            await self._listener.handle(request, self)
        except Exception as error:  # A bug must not leave a caller waiting.
            self._listener.on_error(error)
            self.fail(INTERNAL_ERROR, [])
