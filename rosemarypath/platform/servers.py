"""
rosemarypath.platform.servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the entries that back ends write about themselves into the platform's store.
"""

from rosemarypath.backend import (
    ENGINE,
    SERVICE,
    BackEnd,
    BackEndEntry,
    LoadedModel,
)

__all__ = ["SERVER_KIND", "decode_models", "decode_server", "split_version"]

SERVER_KIND = "servers"  # the platform's name for back ends
READY = "ready"
DRAINING = "draining"
MS_PER_SECOND = 1000.0


def decode_server(stored):
    """
    Return the `BackEndEntry` in a stored object; ``None`` if it describes no back end.

    Objects of other writers may lack fields, or have other types or states.
    """
    spec = stored.spec
    if not isinstance(spec, dict):
        return None
    try:
        return _decode_entry(stored.name, spec)
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _decode_entry(name, spec):
    state = spec["state"]
    address = spec["address"]
    host, _, port = address.rpartition(":")
    if state not in (READY, DRAINING) or not host or not 0 < int(port) < 65536:
        return None
    is_engine = "models" in spec
    return BackEndEntry(
        back_end=BackEnd(
            name=name,
            address=address,
            zone=_require_text(spec["zone"]),
            kind=ENGINE if is_engine else SERVICE,
            serves=_require_text(spec["service"]),
            # "slots" counts requests that run at once, not adapters.
            capacity=int(spec["slots"]),
        ),
        is_draining=state == DRAINING,
        cold_seconds=(spec.get("coldRemainingMs") or 0) / MS_PER_SECOND,
        started_at_ms=int(spec.get("born") or 0),
        models=decode_models(spec.get("models") or ()),
    )


def decode_models(entries):
    """
    Return a tuple of `LoadedModel` for a list of models.

    Each entry of the list has its adapters as NAME@VERSION.
    """
    return tuple(
        LoadedModel(
            _require_text(entry["name"]),
            int(entry["version"]),
            dict(split_version(text) for text in entry.get("adapters") or ()),
        )
        for entry in entries
    )


def split_version(text):
    """Return name and version of NAME@VERSION; the version is 0 if it is missing."""
    name, _, version = text.partition("@")
    return name, int(version or 0)


def _require_text(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a name, got {value!r}")
    return value
