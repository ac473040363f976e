"""
rosemarypath.platform.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes objects that operators write into the store: configuration and versions.
"""

from rosemarypath.customer import hash_key
from rosemarypath.platform.fields import (
    require_list,
    require_number,
    require_text,
    whole,
)
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
DECODING_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
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
            whole(spec["version"]),
            stored.version,
            [_decode_route(entry) for entry in _named_entries(spec["routes"])],
            [_decode_service(entry) for entry in _named_entries(spec["services"])],
            _decode_customers(spec),
            _decode_limits(spec.get("limits") or {}),
        )
    except DECODING_ERRORS as error:
        raise ValueError(f"configuration at {stored.version}: {error!r}") from error


def configuration_number(stored):
    """Return the operator's number of a configuration, 0 if it is unreadable."""
    try:
        return whole(stored.spec["version"])
    except DECODING_ERRORS:
        return 0


def decode_version(stored):
    """
    Return model, adapter and version that an object of `VERSION_KIND` announces.

    The adapter is empty for a version of the base model. Returns ``None`` if the object
    cannot be decoded.
    """
    spec = stored.spec
    try:
        adapter = spec.get("adapter")
        return (
            require_text(spec["model"]),
            require_text(adapter) if adapter else "",
            whole(spec["version"]),
        )
    except DECODING_ERRORS:
        return None


def _named_entries(value):
    """Return the entries of a list, or of an object that maps names to entries."""
    if isinstance(value, dict):
        return [{"name": name, **entry} for name, entry in value.items()]
    return value


def _decode_route(entry):
    split = entry.get("trafficSplit")
    if split:
        targets = tuple(
            (require_text(part["service"]), require_number(part["weight"]))
            for part in require_list(split)
        )
    else:
        targets = ((require_text(entry["service"]), 1.0),)
    return PathRoute(
        name=require_text(entry["name"]),
        host=require_text(entry["host"]).lower(),
        prefix=require_text(entry["pathPrefix"]),
        targets=targets,
        kind=ROUTE_KINDS[entry["kind"]],
        timeout=require_number(entry["timeoutMs"]) / MS_PER_SECOND,
        # An answer within this latency has its full benefit for the caller; for
        # streams, it is the latency of the first event.
        objective=require_number(entry.get("targetLatencyMs", 1000)) / MS_PER_SECOND,
        gap_objective=require_number(entry.get("gapAimMs") or 0) / MS_PER_SECOND,
        priority=whole(entry.get("priority", 5)),
        attempts=whole(entry.get("maxAttempts") or 1),
        is_open=bool(entry.get("public", False)),
        can_resume=bool(entry.get("resumable", False)),
    )


def _decode_service(entry):
    engine = entry.get("engine")
    return ServicePlan(
        name=require_text(entry["name"]),
        health_path=require_text(entry.get("healthPath") or "/health"),
        connections=whole(entry.get("maxConns") or 0),
        cold_seconds=require_number(entry.get("coldStartS") or 0.0),
        cold_rate=require_number(entry.get("coldPerS") or 0.0),
        engine=_decode_engine(engine) if engine else None,
        is_measured="coldStartS" not in entry,
    )


def _decode_engine(engine):
    models = require_list(engine.get("models"))
    return EnginePlan(
        slots=whole(engine.get("slots") or 1),
        kv_tokens=whole(engine.get("kvCacheTokens") or 0),
        models={
            require_text(model["name"]): require_number(model["weightsMb"])
            for model in models
        },
        adapter_mb={
            m["name"]: require_number(m.get("adapterMb") or 0.0) for m in models
        },
        weights_mb=require_number(engine.get("weightsMb") or 0.0),
        adapter_places=whole(engine.get("maxAdapters") or 0),
        loads_per_second=require_number(engine.get("loadsPerS") or 0.0),
        host_mb=require_number(engine.get("hostMb") or 0.0),
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
            name=require_text(entry["name"]),
            priority=None if priority is None else whole(priority),
            budget=Budget(
                rate=require_number(entry.get("ratePerS") or 0.0),
                burst=require_number(entry.get("burst") or 0.0),
                counts_tokens=entry.get("unit") == "tokens",
                plain_tokens=whole(entry.get("plainTokens") or 1),
            ),
        )
        for key in require_list(entry.get("apiKeys")):
            customers[hash_key(require_text(key))] = contract
    return customers


def _decode_limits(limits):
    default = IngressLimits()
    return IngressLimits(
        header_bytes=whole(limits.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=whole(limits.get("maxBodyBytes") or default.body_bytes),
        header_timeout=require_number(limits.get("headerTimeoutMs") or 3000)
        / MS_PER_SECOND,
        idle_timeout=require_number(limits.get("idleTimeoutMs") or 15000)
        / MS_PER_SECOND,
    )
