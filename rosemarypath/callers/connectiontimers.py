"""
rosemarypath.callers.connectiontimers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Time limits on one connection: heads, bodies, silence, and the wait after its end.
"""

from rosemarypath.callers.answerwriter import AnswerWriter

__all__ = ["HEADER", "IDLE", "ConnectionTimers"]

# After the last answer, what the caller still sends is read for so long: in all, and
# since its last byte.
LINGER_SECONDS = 1.5
LINGER_SILENCE_SECONDS = 0.5
REQUEST_TIMEOUT = 408
SERVICE_UNAVAILABLE = 503
RETRY_SECONDS = 1.0  # after a refusal for lack of memory
EXPECTS_CONTINUE = b"100-continue"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
IDLE = "idle_timeout"  # names of the limits that timers look at
HEADER = "header_timeout"


class ConnectionTimers(AnswerWriter):
    """The part of a `CallerConnection` that keeps its time limits and closes it."""

    def __init__(self, listener):
        super().__init__(listener)
        self._timer = None
        self._timer_limit = IDLE
        self._timer_started = 0.0
        # When the present body is due; None before it is waited for.
        self._body_due = None
        self._closing_since = 0.0  # when the last answer had been sent
        self._received_at = 0.0  # when further bytes came after that
        self._dropped_bytes = 0  # of these

    @property
    def _timer_due(self):
        """Return when the timer is due under the limits in force."""
        due = self._timer_started + getattr(self._listener.limits, self._timer_limit)
        if self._is_in_body and self._body_due is not None:
            return min(due, self._body_due)
        return due

    def close(self):
        """
        Close the connection after all written bytes have been sent.

        The sending side is closed first, and what the caller still sends is dropped.
        Closing a socket with unread bytes resets the connection, and the caller would
        lose what it has not read yet.
        """
        if not self.is_open:
            return
        self._is_closing = True
        self._cancel_timer()
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError as error:  # The caller has reset the connection just now.
            self._listener.on_error(error)
            self._transport.abort()
            return
        self._closing_since = self._received_at = self._loop.time()
        self._linger()

    def _await_body(self):
        """Set the time at which the rest of the present request is due."""
        request = self._request
        seconds = self._listener.time_limit(request)
        if seconds is None:
            seconds = self._listener.limits.idle_timeout
        self._body_due = request.arrived + seconds
        self._set_timer(IDLE)
        self._continue_body()

    def _continue_body(self):
        """Ask for a body that its caller holds back, once it is its turn."""
        request = self._request
        if self.is_busy or self._requests or self._body or self._is_rejected:
            return
        expects = request.header(b"expect").lower() == EXPECTS_CONTINUE
        if expects and request.accepts_chunked:
            self._transport.write(CONTINUE)

    def _linger(self):
        """Close the socket once the caller has stopped sending, or after a time."""
        now = self._loop.time()
        if self._has_unsent:
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

    def _set_timer(self, limit):
        """Start the timer for the limit of this name."""
        self._cancel_timer()
        self._timer_limit = limit
        self._timer_started = self._loop.time()
        self._timer = self._loop.call_at(self._timer_due, self._on_timer)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self):
        self._timer = None
        if self.is_busy or self._requests:
            return
        if self._request is None and self._has_unsent:
            self._set_timer(IDLE)
        elif self._timer_due > self._loop.time():
            self._timer = self._loop.call_at(self._timer_due, self._on_timer)
        elif self._request is not None:
            if self._is_paused:
                self._reject(SERVICE_UNAVAILABLE, RETRY_SECONDS)
            else:
                self._reject(REQUEST_TIMEOUT)
        else:
            self.close()
