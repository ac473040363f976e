"""
rosemarypath.platform.servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes what back ends write of themselves into the platform's store.
"""

from rosemarypath.backend import (
    ENGINE,
    SERVICE,
    BackEnd,
    BackEndEntry,
    LoadedModel,
)

__all__ = ["SERVER_KIND", "decode_models", "decode_server", "split_version"]

SERVER_KIND = "servers"
READY = "ready"
DRAINING = "draining"
MILLISECONDS = 1000.0


def decode_server(stored):
    """
    Return the `BackEndEntry` of an entry; ``None`` where it names no back end.

    An entry of another writer may lack fields, hold other types or other states.
    """
    spec = stored.spec
    if not isinstance(spec, dict):
        return None
    try:
        return _decode(stored.name, spec)
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _decode(name, spec):
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
            zone=_text(spec["zone"]),
            kind=ENGINE if is_engine else SERVICE,
            serves=_text(spec["service"]),
            capacity=int(spec["slots"]),
        ),
        is_leaving=state == DRAINING,
        cold_seconds=(spec.get("coldRemainingMs") or 0) / MILLISECONDS,
        born=int(spec.get("born") or 0),
        models=decode_models(spec.get("models") or ()),
    )


def decode_models(entries):
    """Return the `LoadedModel` tuple of a list of models with NAME@VERSION adapters."""
    return tuple(
        LoadedModel(
            _text(entry["name"]),
            int(entry["version"]),
            dict(split_version(text) for text in entry.get("adapters") or ()),
        )
        for entry in entries
    )


def split_version(text):
    """Return name and version of NAME@VERSION; version 0 where none is named."""
    name, _, version = text.partition("@")
    return name, int(version or 0)


def _text(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f"a name is {value!r}")
    return value
