"""
rosemarypath.backend
~~~~~~~~~~~~~~~~~~~~

Back ends: model engines and plain services that requests are routed to.
"""

import msgspec

__all__ = ["ENGINE", "SERVICE", "BackEnd"]

ENGINE = "engine"
SERVICE = "service"


class BackEnd(msgspec.Struct, frozen=True, kw_only=True):
    """
    One replica of an engine or of a plain service.

    Options:

    `kind`
        ``engine`` or ``service``.
    `serves`
        The model of an engine, or the name of a plain service.
    `capacity`
        Requests it runs at once when warm (default 8).
    `cold_capacity`
        Requests it runs at once when fresh (default 2).
    `slots`
        Adapters it holds at once; engines only (default 8).
    `fences`
        Whether it refuses orders with an old fencing number (default true).
    """

    name: str
    address: str
    zone: str
    kind: str
    serves: str
    capacity: int = 8
    cold_capacity: int = 2
    slots: int = 8
    fences: bool = True
