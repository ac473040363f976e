"""
rosemarypath.backend
~~~~~~~~~~~~~~~~~~~~

Back ends: model engines and plain services that requests are routed to.
"""

import msgspec

__all__ = ["ENGINE", "SERVICE", "BackEnd", "BackEndEntry", "LoadedModel"]

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


class LoadedModel(msgspec.Struct, frozen=True):
    """A base model that an engine holds; `adapters` maps names to versions."""

    name: str
    version: int
    adapters: dict


class BackEndEntry(msgspec.Struct, frozen=True, kw_only=True):
    """
    What the platform's list says of one back end.

    Options:

    `is_leaving`
        Whether it takes no new work.
    `cold_seconds`
        How long it stays cold from when the entry was written (default 0).
    `born`
        When it started, in Unix milliseconds; 0 where unknown.
    `models`
        The `LoadedModel` entries of an engine.
    """

    back_end: BackEnd
    is_leaving: bool = False
    cold_seconds: float = 0.0
    born: int = 0
    models: tuple = ()
