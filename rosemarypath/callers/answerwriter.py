"""
rosemarypath.callers.answerwriter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Writes the answers to the requests of one connection.
"""

import asyncio
import socket
import struct
from http import HTTPStatus

__all__ = ["AnswerWriter"]

MAX_UNSENT_BYTES = 1024 * 1024  # a caller that reads too slowly is disconnected
CHUNK_END = b"0\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER for zero seconds


class AnswerWriter(asyncio.Protocol):
    """
    The part of a `CallerConnection` that writes answers.

    `has_answered` is set once bytes of the answer to the present request were sent.
    """

    _unsent_head = b""
    _current_request = None

    def __init__(self, listener):
        self._listener = listener
        self._transport = None
        self._loop = asyncio.get_running_loop()
        self._reader_wait = None  # set while the caller leaves answers unread
        self._is_chunked = False
        self._ends_with_connection = False
        self._is_answered = False
        self._is_closing = False
        self.has_answered = False

    @property
    def is_open(self):
        """Return whether answers can still be sent."""
        return not (self._is_closing or self._transport.is_closing())

    @property
    def _has_unsent(self):
        """Return whether bytes that were written wait to be sent."""
        return self._transport.get_write_buffer_size() > 0

    def pause_writing(self):
        self._reader_wait = self._loop.create_future()

    def resume_writing(self):
        wait, self._reader_wait = self._reader_wait, None
        if wait is not None and not wait.done():
            wait.set_result(None)

    def write_head(self, status, headers, content_length=None, closes=False):
        """
        Begin an answer; the head is sent together with the first bytes of the body.

        `content_length` is the length of the body. With ``None`` the body is sent in
        chunks, or ends with the connection if the caller doesn't support chunks. With
        `closes` the connection is closed after the answer.
        """
        request = self._current_request
        is_last = self._listener.is_stopping and not self._has_next
        closes = closes or is_last or not request.keep_alive
        lines = [b"HTTP/1.1 %d %b" % (status, _reason_phrase(status))]
        lines += [b"%b: %b" % pair for pair in headers]
        self._is_chunked = self._ends_with_connection = False
        if content_length is not None:
            lines.append(b"Content-Length: %d" % content_length)
        elif request.accepts_chunked:
            self._is_chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        else:
            self._ends_with_connection = closes = True
        if closes:
            lines.append(b"Connection: close")
            request.keep_alive = False
        self._unsent_head = b"\r\n".join(lines) + b"\r\n\r\n"

    def write(self, data):
        """Send a part of the body, preceded by the head if that is still unsent."""
        if self._is_chunked and data:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if self._unsent_head:
            data = self._unsent_head + data
            self._unsent_head = b""
        self.has_answered = True
        if not self.is_open:
            return
        # A whole answer may be larger; only what is added to too much drops the caller.
        is_behind = self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES
        self._transport.write(data)
        if is_behind:
            self.abort()

    def end(self):
        """Complete the answer: send an unsent head and, in chunks, the last chunk."""
        data = self._unsent_head + (CHUNK_END if self._is_chunked else b"")
        self._unsent_head = b""
        self.has_answered = self._is_answered = True
        if data and self.is_open:
            self._transport.write(data)

    def fail(self, status, headers):
        """
        End a request whose handling failed.

        It is answered with `status` if nothing of an answer was sent. An incomplete
        answer is broken off; a complete one stands.
        """
        if not self.has_answered:
            self.answer(status, headers)
        elif not self._is_answered:
            self.abort()

    def answer(self, status, headers, body=b"", closes=False):
        """Send a complete answer."""
        self.write_head(status, headers, len(body), closes)
        self.write(body if self._current_request.method != b"HEAD" else b"")
        self.end()

    def abort(self):
        """
        Drop the connection at once, so that a partial answer looks incomplete.

        It is reset where an orderly end would complete the answer.
        """
        is_partial = not self._is_answered or self._has_unsent
        if self._ends_with_connection and is_partial:
            self._reset_on_close()
        self._transport.abort()

    def _reset_on_close(self):
        if not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _wait_for_reader(self):
        """
        Wait until the caller has read most of the answers; return whether it did.

        Otherwise callers that read nothing would each have all answers to the requests
        that they sent at once kept for them.
        """
        try:
            async with asyncio.timeout(self._listener.limits.idle_timeout):
                await self._reader_wait
        except TimeoutError:
            self.abort()
            return False
        return True


def _reason_phrase(status):
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
