"""
rosemarypath.httpserver
~~~~~~~~~~~~~~~~~~~~~~~

Serves a blacksheep application with uvicorn in a running asyncio event loop.
"""

import asyncio
import contextlib

import msgspec
import uvicorn
from blacksheep import Application, Content, Request, Response
from blacksheep.server.routing import Router
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from rosemarypath.callers.callerconnection import FIRST_REQUEST_SECONDS
from rosemarypath.callers.connectiontimers import (
    LINGER_SECONDS,
    LINGER_SILENCE_SECONDS,
)

__all__ = ["HttpServer", "json_response", "wait_for_disconnect"]

HEADER_TIMEOUT_SECONDS = 10.0
KEEP_ALIVE_SECONDS = 30
BACKLOG = 1024
# uvicorn counts ticks of 0.1 s, of which a tick of TICK_SECONDS stands for five; like
# uvicorn's, the counter wraps around after 24 hours.
TICK_SECONDS = 0.5
TICK_INCREMENT = 5
TICK_COUNTER_LIMIT = 864000
RECEIVE_KEY = "rosemarypath.receive"  # ASGI scope entry with the receive function


def json_response(status, document, headers=()):
    """Return a `Response` with `document` encoded as JSON."""
    pairs = [(name.encode(), value.encode()) for name, value in headers]
    content = Content(b"application/json", msgspec.json.encode(document))
    return Response(status, pairs, content)


async def wait_for_disconnect(request):
    """Wait until the caller of `request` disconnects; its body must have been read."""
    receive = request.scope[RECEIVE_KEY]
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


class _LingeringTransport:
    """
    Closes a connection as `CallerConnection.close` does.

    The sending side is closed first, after all written bytes have been sent, and what
    the caller still sends is dropped. uvicorn closes the transport itself, from many
    places.
    """

    def __init__(self, transport, loop):
        self._transport = transport
        self._loop = loop
        self._timer = None
        self._is_closing = False
        self._closing_since = 0.0  # when the last answer had been sent
        self._received_at = 0.0  # when further bytes came after that

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def is_closing(self):
        return self._is_closing or self._transport.is_closing()

    def write(self, data):
        if not self._is_closing:
            self._transport.write(data)

    def close(self):
        if self.is_closing():
            return
        self._is_closing = True
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:  # The caller has reset the connection just now.
            self._transport.abort()
            return
        self._closing_since = self._received_at = self._loop.time()
        self._linger()

    def on_dropped(self):
        """Record that the caller still sends."""
        self._received_at = self._loop.time()

    def cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _linger(self):
        """Close the socket once the caller has stopped sending, or after a time."""
        now = self._loop.time()
        if self._transport.get_write_buffer_size() > 0:
            self._closing_since = now
        due = min(
            self._closing_since + LINGER_SECONDS,
            max(self._closing_since, self._received_at) + LINGER_SILENCE_SECONDS,
        )
        if due > now:
            self._timer = self._loop.call_at(due, self._linger)
        else:
            self._timer = None
            self._transport.close()


class _ConnectionProtocol(HttpToolsProtocol):
    """
    A connection that is closed without a reset.

    It is also closed if its first request head is not received in time.
    """

    _header_timer = None
    _head_due = 0.0  # until when a stop waits for a request head, 0 for none
    _is_stopping = False

    def connection_made(self, transport):
        self._head_due = self.loop.time() + FIRST_REQUEST_SECONDS
        super().connection_made(_LingeringTransport(transport, self.loop))
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_SECONDS, self.transport.close
        )

    def data_received(self, data):
        if self.transport.is_closing():
            self.transport.on_dropped()
        else:
            super().data_received(data)

    def on_message_begin(self):
        self._head_due = self.loop.time() + FIRST_REQUEST_SECONDS
        super().on_message_begin()

    def on_headers_complete(self):
        self._head_due = 0.0
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
        super().on_headers_complete()
        if self._is_stopping:
            self.cycle.keep_alive = False

    def connection_lost(self, exc):
        if self._header_timer is not None:
            self._header_timer.cancel()
        self.transport.cancel_timer()
        super().connection_lost(exc)

    def shutdown(self):
        """Close once idle; a request that is new or begun may still arrive."""
        self._is_stopping = True
        if self.loop.time() < self._head_due:
            self.loop.call_at(self._head_due, self.shutdown)
        else:
            super().shutdown()


class _EmbeddedServer(uvicorn.Server):
    """Leaves signal handling to the embedding process, and wakes up less often."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield

    async def main_loop(self):
        """Tick twice a second, not ten times, to save idle daemons CPU time."""
        counter = 0
        while not await self.on_tick(counter):
            counter = (counter + TICK_INCREMENT) % TICK_COUNTER_LIMIT
            await asyncio.sleep(TICK_SECONDS)


class HttpServer:
    """
    One HTTP listener.

    Options:

    `address`
        ``host:port`` to listen on.
    `application`
        The blacksheep `Application` to serve (default: a new one).
    """

    def __init__(self, address, application=None):
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._server = None
        self._task = None
        self.application = application or Application(router=Router())

    def add(self, method, path, handler):
        """Call ``await handler(request)`` for requests with `method` and `path`."""

        async def handle(request: Request):
            return await handler(request)

        self.application.router.add(method, path, handle)

    async def start(self):
        """Start to listen; raises `OSError` if the address cannot be bound."""
        await self.application.start()
        config = uvicorn.Config(
            self._asgi,
            host=self._host,
            port=self._port,
            loop="asyncio",
            interface="asgi3",
            http=_ConnectionProtocol,
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            backlog=BACKLOG,
        )
        self._server = _EmbeddedServer(config)
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            if self._task.done():
                raise OSError(f"cannot listen on {self._host}:{self._port}")
            await asyncio.sleep(0.005)

    async def stop(self, grace=None):
        """
        Stop listening and wait until the requests in flight have ended.

        `grace` limits the wait, in seconds (default: no limit).
        """
        if self._server is None:
            return
        self._server.config.timeout_graceful_shutdown = grace
        self._server.should_exit = True
        await self._task

    async def _asgi(self, scope, receive, send):
        scope[RECEIVE_KEY] = receive
        await self.application(scope, receive, send)
