"""
rosemarypath.callers.callerbudget
~~~~~~~~~~~~~~~~~~~~~~~~~

Bound on the bytes that a process holds for callers: heads, bodies, requests read ahead.

Load: hundreds of callers send bodies at once, most stop just short of their end.
"""

import asyncio
from math import inf

from rosemarypath.bytebudget import ByteBudget

__all__ = ["MEMORY_SHARE", "CallerBudget"]

# Share of the memory. A body is copied once when its back end doesn't take it at once,
# and as much is reserved for answers.
MEMORY_SHARE = 0.125
# Share of the bound from which reading pauses. All connections that are readable in one
# turn of the event loop may still read once.
PAUSE_SHARE = 0.75
MAX_READ_BYTES = 64 * 1024  # read at once from a connection
# Requests of this size are read even while others wait, so that ordinary callers are
# served beside a crowd with large bodies.
UNPAUSED_BYTES = 64 * 1024
PAUSE_SECONDS = 1.0  # without relief, after which the largest request is refused


class CallerBudget(ByteBudget):
    """
    The `ByteBudget` of all callers' connections, which pauses reading before its bound.

    `memory` is the process's memory in bytes. Holders are the connections, with the
    bytes of their requests that have not begun to run, and are refused when the bound
    is passed. Requests under way count (`add_running`), but are never refused.

    Bodies that wait for each other cannot wait for good: the oldest request that is
    being received is only paused for requests under way, and each `PAUSE_SECONDS`
    without relief the largest one is refused. State is bounded by the number of
    connections.
    """

    _subject = "callers' requests"

    def __init__(self, memory=inf):
        super().__init__(memory * MEMORY_SHARE, uncounted=0)
        self._share = self.capacity
        self._pause_at = self.capacity
        self._paused = {}  # connections in the order in which they were paused
        self._timer = None
        self._has_relieved = False  # since the timer was started
        self._largest = 0  # bytes that one request may take

    def set_limits(self, limits):
        """Leave room for one request of the largest size that `limits` allow."""
        largest = limits.body_bytes + limits.header_bytes + MAX_READ_BYTES
        self._largest = largest
        self.capacity = max(self._share, 2.0 * largest)
        self._pause_at = min(self.capacity * PAUSE_SHARE, self.capacity - largest)
        self._relieve()

    def set_held(self, holder, count):
        super().set_held(holder, count)
        if self._paused:
            self._relieve()

    def add_running(self, count):
        """Count `count` more bytes, or fewer if negative, of requests under way."""
        self.total += count
        self._enforce_capacity()
        if self._paused:
            self._relieve()

    def pause_large(self):
        """
        Where little room is left, pause all large requests but the oldest.

        They are paused together, as those that are readable in the same turn of the
        event loop would pass the bound before each pauses itself.
        """
        if self.total < self._pause_at:
            return
        oldest = self._oldest
        for holder, count in self._held.items():
            is_large = count > UNPAUSED_BYTES and holder.is_receiving
            if is_large and holder is not oldest and holder not in self._paused:
                self._paused[holder] = None
                holder.pause_reading()
        if self._paused and self._timer is None:
            self._start_timer()

    def forget(self, holder):
        """Count nothing of a connection that has ended."""
        self._paused.pop(holder, None)
        self.set_held(holder, 0)

    @property
    def _oldest(self):
        """
        Return the connection whose request has been received for longest.

        While there is no room for all of its request, as others are under way, there is
        none: it waits for them, which end without its help.
        """
        for holder, count in self._held.items():
            if holder.is_receiving:
                has_room = self.total + self._largest - count <= self.capacity
                return holder if has_room else None
        return None

    def _relieve(self):
        """Let as many connections read as there is room for, and the oldest always."""
        room = self._pause_at - self.total
        while self._paused and room > 0:
            self._resume(next(iter(self._paused)))
            room -= MAX_READ_BYTES
        oldest = self._oldest if self._paused else None
        if oldest in self._paused:
            self._resume(oldest)

    def _resume(self, holder):
        self._has_relieved = True
        del self._paused[holder]
        holder.resume_reading()

    def _start_timer(self):
        self._has_relieved = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(PAUSE_SECONDS, self._end_pause)

    def _end_pause(self):
        self._timer = None
        is_stuck = self.total >= self._pause_at and not self._has_relieved
        if self._paused and is_stuck and self._held:
            self._reject_largest()
        self._relieve()
        if self._paused:
            self._start_timer()
