"""
rosemarypath.route
~~~~~~~~~~~~~~~~~~

Adapters, and the routes by which requests reach adapters or plain services.
"""

import msgspec

__all__ = ["Adapter", "Route"]


class Adapter(msgspec.Struct, frozen=True, kw_only=True):
    """The current version of a LoRA adapter for the base model `model`."""

    name: str
    model: str
    version: str

    @property
    def engine_name(self):
        """
        Return the name by which engines load this version.

        >>> Adapter(name="rose", model="base", version="3").engine_name
        'rose@3'
        """
        return f"{self.name}@{self.version}"


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """
    Maps the name in a caller's request to an adapter or a plain service.

    Options:

    `adapter`
        Adapter name; empty for a route to a plain service.
    `service`
        Service name; empty for a route to an adapter.
    `customer`
        The only customer that may use the route; empty if any may.
    `idempotent`
        Whether a request may be retried after an unknown outcome (default false).
    `claim`
        Whether an ``Idempotency-Key`` is recorded in the object API before the request
        runs, so that no other request runs with it (default false).
    `deadline`
        Seconds that a request may take in total (default 60).
    """

    name: str
    adapter: str = ""
    service: str = ""
    customer: str = ""
    idempotent: bool = False
    claim: bool = False
    deadline: float = 60.0
