"""
bench.ports
~~~~~~~~~~~

Allocates loopback ports that test fleets of other processes do not use.
"""

import random
import socket

__all__ = ["HOST", "PortBlock", "free_ports"]

HOST = "127.0.0.1"
PORT_RANGE = (10000, 32000)
BLOCK_PORTS = 500


class PortBlock:
    """
    A block of loopback ports that only this process allocates from.

    Its first port stays bound as a lock, so that fleets of other processes use other
    blocks. All blocks lie below the system's ephemeral ports, which it assigns to
    outgoing connections.
    """

    def __init__(self):
        starts = list(range(*PORT_RANGE, BLOCK_PORTS))
        random.shuffle(starts)
        for start in starts:
            self._lock = socket.socket()
            try:
                self._lock.bind((HOST, start))
            except OSError:
                self._lock.close()
                continue
            self._ports = iter(range(start + 1, start + BLOCK_PORTS))
            return
        raise OSError("no block of loopback ports is free; stop other fleets")

    def allocate_port(self):
        """Return the next port that can be bound, or ``None`` if none is left."""
        for port in self._ports:
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port
        return None


_blocks = []


def free_ports(count):
    """Return `count` loopback ports that this process has not allocated before."""
    ports = []
    while len(ports) < count:
        port = _blocks[-1].allocate_port() if _blocks else None
        if port is None:
            _blocks.append(PortBlock())
        else:
            ports.append(port)
    return ports
