"""
rosemarypath.callers.listener
~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 server for callers, with one task per connection.
"""

import asyncio
import socket

from rosemarypath.callers.callerbudget import CallerBudget
from rosemarypath.callers.callerconnection import CallerConnection
from rosemarypath.callers.connectionlimit import ConnectionLimit

__all__ = ["Listener"]

ACCEPT_BACKLOG = 4096  # callers may all reconnect at once after a restart
# Accepted connections exist for some turns of the event loop before they are counted.
ACCEPTS_PER_TURN = 16
ACCEPT_TURNS = 5  # of the event loop, until it has taken up accepted connections


class Listener:
    """
    Accepts connections at `address` (``host:port``).

    Each request is answered by ``await handle(request, connection)``, with an
    `IncomingRequest` and a `CallerConnection`. `limits` are the `IngressLimits`. While
    `is_stopping` is set, each connection is closed after the answers to the requests
    that it has read.
    ``on_error(error)`` is called with an exception of the handler (default: it is given
    to the event loop's exception handler), ``on_dropped(count)`` with the number of
    bytes that a caller sent after its connection had been closed (default: nothing).
    ``time_limit(request)`` returns the seconds from its first byte in which a request
    whose head is complete must have been received, or ``None`` where the limits know no
    better (default: always).
    `budget` is the `CallerBudget` and `connection_limit` the `ConnectionLimit` of all
    listeners of the process (default: unbounded ones). ``on_refused(why, detail)`` is
    called with each request (`why` is ``memory``) or connection (``connections``) that
    they refuse, ``on_dropped_idle()`` with each connection that is closed in favor of
    a new one (default: nothing).
    """

    def __init__(
        self,
        address,
        handle,
        limits,
        on_error=None,
        time_limit=None,
        on_dropped=None,
        budget=None,
        connection_limit=None,
        on_refused=None,
        on_dropped_idle=None,
    ):
        self._address = address
        self._server = None
        self._socket = None
        self.on_error = on_error or _report_error
        self.on_dropped = on_dropped or _ignore_dropped
        self.handle = handle
        self.time_limit = time_limit or _no_time_limit
        self.limits = limits
        self.budget = budget or CallerBudget()
        self.connection_limit = connection_limit or ConnectionLimit()
        self.on_refused = on_refused or _ignore_refused
        self.on_dropped_idle = on_dropped_idle or _ignore_dropped_idle
        self.connections = set()
        self.is_stopping = False

    async def start(self):
        """Start to listen; raises `OSError` if the address cannot be bound."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._socket = socket.create_server((host, int(port)), backlog=ACCEPT_BACKLOG)
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=self._socket, backlog=ACCEPTS_PER_TURN
        )
        # asyncio takes one number for both the kernel's backlog and its own turns.
        self._socket.listen(ACCEPT_BACKLOG)

    async def refuse_connections(self):
        """Stop accepting connections, after those that callers have opened."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        accepted = self._accept_waiting()
        self._server.close()
        for sock in accepted:
            await loop.connect_accepted_socket(lambda: CallerConnection(self), sock)

    def _accept_waiting(self):
        """Return the sockets of the connections that wait to be accepted."""
        accepted = []
        while True:
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return accepted
            except OSError as error:  # The caller has reset the connection just now.
                self.on_error(error)
                return accepted
            sock.setblocking(False)
            accepted.append(sock)

    def close_idle(self):
        """Close the connections on which no request is read, answered or expected."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_unread(self):
        """Refuse the requests that are still being received."""
        for connection in list(self.connections):
            connection.refuse_unread()

    @property
    def is_idle(self):
        """Return whether no request is read, answered or expected, and all is sent."""
        return all(connection.is_idle for connection in self.connections)

    def close(self):
        """Stop accepting connections and drop the open ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


def _ignore_dropped(count):
    pass


def _ignore_refused(why, detail):
    pass


def _ignore_dropped_idle():
    pass


def _no_time_limit(request):
    return None


def _report_error(error):
    context = {"message": "a request's handler failed", "exception": error}
    asyncio.get_running_loop().call_exception_handler(context)
