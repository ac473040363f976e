"""
rosemarypath.routing
~~~~~~~~~~~~~~~~~~~~

Routing table of one configuration: routes, customers, services and limits.
"""

from dataclasses import dataclass, field

import msgspec
import xxhash

from rosemarypath.customer import hash_key

__all__ = [
    "EnginePlan",
    "IngressLimits",
    "PathRoute",
    "RoutingTable",
    "SAFE",
    "STREAM",
    "ServicePlan",
    "UNSAFE",
]

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"


class PathRoute(msgspec.Struct, frozen=True, kw_only=True):
    """
    Route of the requests for one host below one path prefix.

    Options:

    `targets`
        Pairs of service name and weight.
    `kind`
        ``safe``, ``unsafe`` or ``stream``.
    `timeout`
        Seconds within which a request gets its final answer.
    `objective`
        Service-level objective: seconds to the first byte.
    `gap_objective`
        Service-level objective: seconds between two events; 0 for none.
    `priority`
        0 is the most urgent.
    `attempts`
        Maximum of back ends that may run one request.
    `is_open`
        Whether requests need no key.
    `can_resume`
        Whether a broken stream may be resumed at another back end.
    """

    name: str
    host: str
    prefix: str
    targets: tuple
    kind: str
    timeout: float
    objective: float
    gap_objective: float = 0.0
    priority: int = 5
    attempts: int = 1
    is_open: bool = False
    can_resume: bool = False

    @property
    def is_idempotent(self):
        """Return whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.can_resume)

    def service_for(self, request):
        """Return the service of the request identifier, the same at each call."""
        if len(self.targets) == 1:
            return self.targets[0][0]
        total = sum(weight for _, weight in self.targets)
        point = xxhash.xxh32_intdigest(request.encode()) / 2**32 * total
        for service, weight in self.targets:
            point -= weight
            if point < 0:
                return service
        return self.targets[-1][0]


class EnginePlan(msgspec.Struct, frozen=True, kw_only=True):
    """
    Capacity of the engines of a service, and what they load.

    `models` and `adapter_mb` map base models and adapters to their size in MB.
    `slots` is the number of requests that one engine runs at once, `kv_tokens` the size
    of its key-value cache in tokens; `adapter_places` and `weights_mb` limit the
    adapters and weights that it has loaded. `loads_per_second` is the limit of the
    weight store for all engines. `host_mb` is the memory in which an engine keeps
    copies of weights that it had lately, 0 where unknown.
    """

    slots: int = 1
    kv_tokens: int = 0
    models: dict = {}
    adapter_mb: dict = {}
    weights_mb: float = 0.0
    adapter_places: int = 0
    loads_per_second: float = 0.0
    host_mb: float = 0.0

    @property
    def kept_adapters(self):
        """Return how many adapters an engine can reload from its own memory."""
        largest = max(self.adapter_mb.values(), default=0.0)
        if largest <= 0.0:
            return 0
        left = self.host_mb - sum(self.models.values())
        return max(0, int(left / largest))


class ServicePlan(msgspec.Struct, frozen=True, kw_only=True):
    """
    One service.

    `connections` limits the connections of all callers to one back end; `cold_rate` is
    the limit for a cold back end in requests per second (0: no limit), and
    `cold_seconds` how long a back end is cold. `is_measured` is set where the
    configuration declares no cold start at all, so that the daemons find out by
    themselves what a back end can carry.
    """

    name: str
    health_path: str = "/health"
    connections: int = 0
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    engine: EnginePlan | None = None
    is_measured: bool = False


class IngressLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on callers: sizes in bytes and time-outs in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """
    Token bucket of a customer over all machines.

    `rate` and `burst` are in tokens (or requests, where `counts_tokens` is false);
    a rate of 0 means no limit. A request that does not state its size counts as
    `plain_tokens`.
    """

    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 1


class Contract(msgspec.Struct, frozen=True, kw_only=True):
    """A customer's name, budget and priority (``None``: that of the route)."""

    name: str
    budget: Budget = Budget()
    priority: int | None = None

    def cost_of(self, tokens):
        """Return the cost of a request of `tokens` (0: not stated) to the budget."""
        if not self.budget.counts_tokens:
            return 1
        return tokens or self.budget.plain_tokens


@dataclass(frozen=True)
class RoutingTable:
    """
    One version of the configuration, indexed for lookups.

    `customers` maps the hash of each key to its `Contract`.
    """

    version: int
    revision: int
    routes: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    customers: dict = field(default_factory=dict)
    needs_keys: bool = False
    limits: IngressLimits = IngressLimits()

    @classmethod
    def from_parts(cls, version, revision, routes, services, customers, limits):
        """
        Build a table.

        `routes` and `services` are iterables, `customers` maps key hashes to
        contracts, or is ``None`` where the configuration has no customers.
        """
        by_host = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        for entries in by_host.values():
            entries.sort(key=lambda route: len(route.prefix), reverse=True)
        return cls(
            version,
            revision,
            by_host,
            {service.name: service for service in services},
            customers or {},
            customers is not None,
            limits,
        )

    def find_route(self, host, path):
        """Return the `PathRoute` with the longest prefix of `path`, or ``None``."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key):
        """Return the `Contract` that holds `key`, or ``None``."""
        return self.customers.get(hash_key(key))
