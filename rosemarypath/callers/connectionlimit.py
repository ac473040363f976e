"""
rosemarypath.callers.connectionlimit
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bound on the connections that callers hold open, derived from the file descriptors.

Load: callers open connections without end, most of which stay idle.
"""

from math import inf

__all__ = ["ConnectionLimit"]

RESERVED_DESCRIPTORS = 200  # for files
# Of the others; the rest is for links and for connections to back ends, as a request
# under way takes one of each.
CALLERS_SHARE = 0.5
MAX_TRIED = 8  # idle connections looked at for one new connection


class ConnectionLimit:
    """
    Counts the open connections of all listeners; `capacity` bounds them.

    State is one entry for each open connection.
    """

    def __init__(self, capacity=inf):
        self._open = set()
        self._idle = {}  # in the order in which they became idle
        self.capacity = capacity

    @classmethod
    def from_descriptors(cls, count):
        """Return the limit of a process with `count` descriptors; 0 if unknown."""
        if not count:
            return cls()
        return cls(max(1, int((count - RESERVED_DESCRIPTORS) * CALLERS_SHARE)))

    @property
    def count(self):
        """Return the number of open connections."""
        return len(self._open)

    def admit(self, connection):
        """
        Count a new connection, which is idle; return whether there is room for it.

        Where there is none, the connection that has been idle for longest is dropped.
        """
        if len(self._open) >= self.capacity and not self._drop_idle():
            return False
        self._open.add(connection)
        self._idle[connection] = None
        return True

    def mark_idle(self, connection):
        """Record that nothing is received or answered on `connection` from now on."""
        if connection in self._open:
            self._idle[connection] = None

    def mark_in_use(self, connection):
        """Record that a request is received or answered on `connection`."""
        self._idle.pop(connection, None)

    def remove(self, connection):
        """Count a connection no more, as it has ended."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def _drop_idle(self):
        for _, connection in zip(range(MAX_TRIED), self._idle):
            if connection.can_be_dropped:
                self.remove(connection)
                connection.drop_idle()
                return True
        return False
