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
from rosemarypath.platform.fields import (
    require_address,
    require_list,
    require_number,
    require_text,
    whole,
)

__all__ = ["SERVER_KIND", "decode_models", "decode_server", "split_version"]

SERVER_KIND = "servers"  # the platform's name for back ends
READY = "ready"
DRAINING = "draining"
MS_PER_SECOND = 1000.0
MAX_COLD_MS = 24 * 3600 * 1000  # a day; a back end that starts for longer is broken
MAX_REMAINING_MS = 24 * 3600 * 1000
MAX_SLOTS = 1_000_000
MAX_DIGITS = 15


def decode_server(stored):
    """
    Return the `BackEndEntry` in a stored object; ``None`` if it describes no back end.

    Objects of other writers may lack fields, or have other types or states.
    """
    spec = stored.spec
    if not isinstance(spec, dict):
        return None
    try:
        return _decode_entry(require_text(stored.name), spec)
    except (KeyError, ValueError):
        return None


def _decode_entry(name, spec):
    state = spec["state"]
    if state not in (READY, DRAINING):
        return None
    is_engine = "models" in spec
    remaining_ms = spec.get("remainingMs")
    if remaining_ms is not None:
        remaining_ms = require_number(remaining_ms, MAX_REMAINING_MS)
    cold_ms = require_number(spec.get("coldRemainingMs") or 0, MAX_COLD_MS)
    return BackEndEntry(
        back_end=BackEnd(
            name=name,
            address=require_address(spec["address"]),
            zone=require_text(spec["zone"]),
            kind=ENGINE if is_engine else SERVICE,
            serves=require_text(spec["service"]),
            # "slots" counts requests that run at once, not adapters.
            capacity=whole(spec["slots"], 0, MAX_SLOTS),
        ),
        is_draining=state == DRAINING,
        cold_seconds=cold_ms / MS_PER_SECOND,
        started_at_ms=whole(spec.get("born") or 0),
        order_count=whole(spec.get("sequence") or 0),
        models=decode_models(spec.get("models")),
        remaining_seconds=(
            None if remaining_ms is None else remaining_ms / MS_PER_SECOND
        ),
    )


def decode_models(entries):
    """
    Return a tuple of `LoadedModel` for a list of models, empty for ``None``.

    Each entry of the list has its adapters as NAME@VERSION. Raises `KeyError` or
    `ValueError` if an entry is unreadable.
    """
    return tuple(_decode_model(entry) for entry in require_list(entries))


def _decode_model(entry):
    if not isinstance(entry, dict):
        raise ValueError("expected a model")
    adapters = require_list(entry.get("adapters"))
    return LoadedModel(
        require_text(entry["name"]),
        whole(entry["version"]),
        dict(split_version(text) for text in adapters),
    )


def split_version(text):
    """Return name and version of NAME@VERSION; the version is 0 if it is missing."""
    name, _, version = require_text(text).partition("@")
    if not version:
        return name, 0
    if not version.isascii() or not version.isdigit() or len(version) > MAX_DIGITS:
        raise ValueError("expected a version after @")
    return name, int(version)
