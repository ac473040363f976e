"""
rosemarypath.backend
~~~~~~~~~~~~~~~~~~~~

Back ends: the model engines and plain services that requests are routed to.
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
        Requests it runs at once just after its start (default 2).
    `slots`
        Adapters it can have loaded at once; engines only (default 8).
    `fences`
        Whether it refuses orders with an old fencing token (default true).
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
    """A base model loaded at an engine; `adapters` maps loaded adapters to versions."""

    name: str
    version: int
    adapters: dict


class BackEndEntry(msgspec.Struct, frozen=True, kw_only=True):
    """
    Entry of one back end in the platform's list.

    Options:

    `is_draining`
        Whether it is draining and accepts no new requests.
    `cold_seconds`
        Seconds for which it stays cold after the entry was written (default 0).
    `started_at_ms`
        Time of its start in Unix milliseconds; 0 where unknown.
    `order_count`
        Orders that an engine had accepted since its start; 0 where unknown.
    `models`
        The `LoadedModel` objects of an engine.
    `remaining_seconds`
        Seconds after the entry was written until the back end is taken away, whatever
        it runs; ``None`` without such a notice.
    """

    back_end: BackEnd
    is_draining: bool = False
    cold_seconds: float = 0.0
    started_at_ms: int = 0
    order_count: int = 0
    models: tuple = ()
    remaining_seconds: float | None = None

    @property
    def has_notice(self):
        """Return whether the back end is to be taken away at a known time."""
        return self.is_draining and self.remaining_seconds is not None
