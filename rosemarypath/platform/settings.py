"""
rosemarypath.platform.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the settings file that the platform writes for each process.
"""

import os

import msgspec

from rosemarypath.edgesettings import DutySettings, EdgeSettings
from rosemarypath.errors import SettingsError
from rosemarypath.faultlog import shortened
from rosemarypath.machine import is_address
from rosemarypath.platform.documents import decode_document, find_fault
from rosemarypath.platform.fields import (
    require_list,
    require_number,
    require_text,
    whole,
)

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "ROSEMARYPATH_CONFIG"
DEFAULT_MEMORY_MB = 300.0
MAX_MB = 1e9
MAX_DESCRIPTORS = 1e9
MS_PER_SECOND = 1000.0
MAX_MBPS = 1e9
MAX_ZONES = 1000
DECODING_ERRORS = (KeyError, TypeError, ValueError, IndexError, AttributeError)
MIN_WINDOW_SECONDS = 0.1
DUTY_NAMES = {"usage_report": "usage", "autoscale": "autoscaling"}
LISTENERS = ["front", "ready", "directory"]


def read_settings(path=None):
    """
    Return the `EdgeSettings` in the file `path`; raises `SettingsError`.

    Without `path`, the environment variable `SETTINGS_VARIABLE` names the file.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            document = decode_document(file.read())
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise SettingsError(
            f"settings file '{path}': {reason}",
            f"set {SETTINGS_VARIABLE} to the path of a readable file",
        ) from error
    except msgspec.DecodeError as error:
        raise SettingsError(
            f"settings file '{path}' is not JSON ({error})", "correct its syntax"
        ) from error
    return decode_settings(document)


def decode_settings(document):
    """Return the `EdgeSettings` in a parsed settings file; raises `SettingsError`."""
    try:
        return _decode_document(document)
    except DECODING_ERRORS as error:
        raise SettingsError(
            "a field of the settings is missing or has a wrong type or value "
            f"({shortened(repr(error))})",
            "compare them with docs/settings.md",
        ) from error


def _decode_document(document):
    listen = document["listen"]
    bounds = document.get("bounds") or {}
    limits = document.get("limits") or {}
    tolerance = document.get("faultTolerance") or {}
    ports = document["portRange"]
    front, ready, directory = (
        _require_address(listen[name]) if listen.get(name) else "" for name in LISTENERS
    )
    return EdgeSettings(
        machine=require_text(document["nodeName"]),
        zone=require_text(document["zone"]),
        region=_optional_text(document.get("region")),
        zones=_decode_zones(document),
        callers_address=front,
        readiness_address=ready,
        directory_address=directory,
        peers_address=_require_address(f"{document['ip']}:{whole(ports[0])}"),
        store_address=_require_address(document["platform"]["address"]),
        lease=require_number(bounds.get("leaseMs", 3000)) / MS_PER_SECOND,
        stop_grace=require_number(bounds.get("graceS", 8)),
        # "heartbeatMs" is the renewal period of the back ends' entries, not the period
        # of the daemons' heartbeats.
        entry_renewal=require_number(document.get("heartbeatMs", 1200)) / MS_PER_SECOND,
        drain=require_number(bounds.get("drainMs", 2000)) / MS_PER_SECOND,
        retry_ratio=require_number(bounds.get("retryBudgetRatio", 0.2)),
        retry_slack=require_number(bounds.get("retryBudgetSlack", 50)),
        retry_window=require_number(bounds.get("budgetWindowS", 10)),
        cold_factor=require_number(bounds.get("coldOver", 1.5)),
        version_bound=require_number(bounds.get("version_ms", 5000)) / MS_PER_SECOND,
        checks_fences=bool(bounds.get("requireFence", False)),
        address_lifetime=require_number(bounds.get("ttl_max_s", 5)),
        bandwidth=require_number(limits.get("bandwidthMbps") or 0.0, MAX_MBPS),
        memory=require_number(limits.get("memoryMb") or DEFAULT_MEMORY_MB, MAX_MB),
        descriptors=require_number(limits.get("maxFds") or 0.0, MAX_DESCRIPTORS),
        duties=_decode_duties(document.get("cloudApi"), bounds),
        zone_tolerance=whole(tolerance.get("zones") or 0, 0, MAX_ZONES),
    )


def _decode_duties(document, bounds):
    """Return the `DutySettings`, ``None`` without an API; unknown duties are left."""
    if not document:
        return None
    words = [require_text(word) for word in require_list(document.get("duties"))]
    window = require_number(bounds.get("reportWindowS", 5))
    rate = require_number(document.get("dutyPerS", 50))
    if window < MIN_WINDOW_SECONDS or not rate:
        raise ValueError("expected a length of the windows and a rate of calls")
    return DutySettings(
        address=_require_address(document["address"]),
        names=tuple(DUTY_NAMES[word] for word in words if word in DUTY_NAMES),
        calls_per_second=rate,
        usage_window=window,
        usage_due=require_number(bounds.get("usageLateS", 10)),
    )


def _decode_zones(document):
    """Return a dictionary that maps the names of zones to their regions."""
    zones = document.get("zones") or {}
    if not isinstance(zones, dict) or find_fault(zones):
        raise ValueError("expected zones with their regions")
    return zones


def _optional_text(value):
    return require_text(value) if value else ""


def _require_address(value):
    if not is_address(require_text(value)):
        raise ValueError("expected host:port")
    return value
