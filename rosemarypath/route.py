"""
rosemarypath.route
~~~~~~~~~~~~~~~~~~

Adapters and the routes that lead requests to them or to plain services.
"""

import msgspec

__all__ = ["Adapter", "Route"]


class Adapter(msgspec.Struct, frozen=True, kw_only=True):
    """An adapter of one base model, in the version now in force."""

    name: str
    model: str
    version: str

    @property
    def engine_name(self):
        """
        Return the name under which engines load this version.

        >>> Adapter(name="rose", model="base", version="3").engine_name
        'rose@3'
        """
        return f"{self.name}@{self.version}"


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """
    What a caller names in a request, and where that leads.

    Options:

    `adapter`
        Adapter name; empty for a route to a plain service.
    `service`
        Service name; empty for a route to an adapter.
    `customer`
        The only customer that may use it; empty for an open route.
    `idempotent`
        Whether a call may be repeated after an unknown outcome (default false).
    `claim`
        Whether an ``Idempotency-Key`` is claimed in the object API (default false).
    `deadline`
        Seconds a request may take in all (default 60).
    """

    name: str
    adapter: str = ""
    service: str = ""
    customer: str = ""
    idempotent: bool = False
    claim: bool = False
    deadline: float = 60.0
