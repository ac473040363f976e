"""
rosemarypath.callers.incomingrequest
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A request as its caller sent it.
"""

from dataclasses import dataclass, field

__all__ = ["IncomingRequest"]


@dataclass
class IncomingRequest:
    """
    One complete request.

    `path` is as sent, with its query; header names are lower-case. `accepts_chunked`
    tells whether the caller understands chunked answers (HTTP/1.1). `arrived` is the
    time of the event loop at the first byte. `status` is 0 for a valid request;
    otherwise it is the error status to answer, after which the connection is closed,
    and `retry_after` the seconds after which the caller may try again (0 for unknown).
    `size` is the number of bytes that it holds in memory.
    """

    method: bytes = b""
    path: bytes = b""
    headers: list = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    accepts_chunked: bool = True
    arrived: float = 0.0
    status: int = 0
    retry_after: float = 0.0
    size: int = 0

    @property
    def refusal_headers(self):
        """Return the headers of the answer with the error status."""
        if not self.retry_after:
            return []
        return [(b"Retry-After", b"%.3f" % self.retry_after)]

    def header(self, name):
        """Return the first value of `name` (lower-case bytes), or ``b""``."""
        return next((value for key, value in self.headers if key == name), b"")
