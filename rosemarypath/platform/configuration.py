"""
rosemarypath.platform.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes objects that operators write into the store: configuration and versions.
"""

from rosemarypath.customer import hash_key
from rosemarypath.routing import (
    SAFE,
    STREAM,
    UNSAFE,
    Budget,
    Contract,
    EnginePlan,
    IngressLimits,
    PathRoute,
    RoutingTable,
    ServicePlan,
)

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "EVACUATION_KIND",
    "VERSION_KIND",
    "decode_configuration",
    "decode_version",
]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
EVACUATION_KIND = "evacuations"  # one object for each evacuated zone, with its name
VERSION_KIND = "versions"
MS_PER_SECOND = 1000.0
ROUTE_KINDS = {"safe": SAFE, "unsafe": UNSAFE, "streaming": STREAM}


def decode_configuration(stored):
    """
    Return the `RoutingTable` in the object ``config/main``.

    The field ``version`` is the operator's number for the configuration;
    `stored.version` is the store's revision of the object. Raises `ValueError` if a
    field is missing or has a wrong type or value.
    """
    spec = stored.spec
    try:
        return RoutingTable.from_parts(
            int(spec["version"]),
            stored.version,
            [_decode_route(entry) for entry in _named_entries(spec["routes"])],
            [_decode_service(entry) for entry in _named_entries(spec["services"])],
            _decode_customers(spec),
            _decode_limits(spec.get("limits") or {}),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"configuration at {stored.version}: {error!r}") from error


def configuration_number(stored):
    """Return the operator's number of a configuration, 0 if it is unreadable."""
    try:
        return int(stored.spec["version"])
    except (KeyError, TypeError, ValueError):
        return 0


def decode_version(stored):
    """
    Return model, adapter and version that an object of `VERSION_KIND` announces.

    The adapter is empty for a version of the base model. Returns ``None`` if the object
    cannot be decoded.
    """
    spec = stored.spec
    try:
        return spec["model"], spec.get("adapter") or "", int(spec["version"])
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _named_entries(value):
    """Return the entries of a list, or of an object that maps names to entries."""
    if isinstance(value, dict):
        return [{"name": name, **entry} for name, entry in value.items()]
    return value


def _decode_route(entry):
    split = entry.get("trafficSplit")
    if split:
        targets = tuple((part["service"], float(part["weight"])) for part in split)
    else:
        targets = ((entry["service"], 1.0),)
    return PathRoute(
        name=entry["name"],
        host=entry["host"].lower(),
        prefix=entry["pathPrefix"],
        targets=targets,
        kind=ROUTE_KINDS[entry["kind"]],
        timeout=entry["timeoutMs"] / MS_PER_SECOND,
        # An answer within this latency has its full benefit for the caller; for
        # streams, it is the latency of the first event.
        objective=entry.get("targetLatencyMs", 1000) / MS_PER_SECOND,
        gap_objective=(entry.get("gapAimMs") or 0) / MS_PER_SECOND,
        priority=int(entry.get("priority", 5)),
        attempts=int(entry.get("maxAttempts") or 1),
        is_open=bool(entry.get("public", False)),
        can_resume=bool(entry.get("resumable", False)),
    )


def _decode_service(entry):
    engine = entry.get("engine")
    return ServicePlan(
        name=entry["name"],
        health_path=entry.get("healthPath") or "/health",
        connections=int(entry.get("maxConns") or 0),
        cold_seconds=float(entry.get("coldStartS") or 0.0),
        cold_rate=float(entry.get("coldPerS") or 0.0),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(engine):
    models = engine.get("models") or []
    return EnginePlan(
        slots=int(engine.get("slots") or 1),
        kv_tokens=int(engine.get("kvCacheTokens") or 0),
        models={model["name"]: float(model["weightsMb"]) for model in models},
        adapter_mb={m["name"]: float(m.get("adapterMb") or 0.0) for m in models},
        weights_mb=float(engine.get("weightsMb") or 0.0),
        adapter_places=int(engine.get("maxAdapters") or 0),
        loads_per_second=float(engine.get("loadsPerS") or 0.0),
    )


def _decode_customers(spec):
    """
    Return a dictionary that maps the hash of each key to its `Contract`.

    The platform calls customers tenants. Returns ``None`` if the configuration has no
    ``tenants``.
    """
    tenants = spec.get("tenants")
    if tenants is None:
        return None
    customers = {}
    for entry in _named_entries(tenants):
        priority = entry.get("priority")
        contract = Contract(
            name=entry["name"],
            priority=None if priority is None else int(priority),
            budget=Budget(
                rate=float(entry.get("ratePerS") or 0.0),
                burst=float(entry.get("burst") or 0.0),
                counts_tokens=entry.get("unit") == "tokens",
                plain_tokens=int(entry.get("plainTokens") or 1),
            ),
        )
        for key in entry.get("apiKeys") or ():
            customers[hash_key(key)] = contract
    return customers


def _decode_limits(limits):
    default = IngressLimits()
    return IngressLimits(
        header_bytes=int(limits.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=int(limits.get("maxBodyBytes") or default.body_bytes),
        header_timeout=(limits.get("headerTimeoutMs") or 3000) / MS_PER_SECOND,
        idle_timeout=(limits.get("idleTimeoutMs") or 15000) / MS_PER_SECOND,
    )
