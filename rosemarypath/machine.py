"""
rosemarypath.machine
~~~~~~~~~~~~~~~~~~~~

Entry machines, as recorded in the roster.
"""

import secrets

import msgspec

__all__ = ["DRAINING", "UP", "Machine", "is_address", "new_incarnation"]

UP = "up"
DRAINING = "draining"
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_ADDRESS_LENGTH = 1024


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """
    One incarnation of a daemon on an entry machine.

    Options:

    `name`
        Stable name from the settings.
    `incarnation`
        Random identifier, new at each start.
    `zone`
        Name of the machine's zone.
    `callers_address`
        ``host:port`` where callers connect by HTTP.
    `peers_address`
        ``host:port`` where other daemons connect.
    `state`
        ``up`` or ``draining`` (default ``up``).
    `witnesses`
        Identities of the daemons that are this one's witnesses (default none).
    `bandwidth`
        Mbit/s of its network link; 0 if unknown (default).
    """

    name: str
    incarnation: str
    zone: str
    callers_address: str
    peers_address: str
    state: str = UP
    witnesses: tuple[str, ...] = ()
    bandwidth: float = 0.0

    @property
    def identity(self):
        """Return ``name/incarnation``, unique over all starts of all daemons."""
        return f"{self.name}/{self.incarnation}"


def new_incarnation():
    """Return a random identifier for one start of a daemon."""
    return secrets.token_hex(4)


def is_address(text):
    """
    Return whether a text is ``host:port`` with a port to connect to.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1:99999")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    is_host = host.isprintable() and 0 < len(text) <= MAX_ADDRESS_LENGTH
    return bool(host) and is_host and is_number and 0 < int(port) <= MAX_PORT
