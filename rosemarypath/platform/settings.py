"""
rosemarypath.platform.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the settings file that the platform writes for each process.
"""

import os

import msgspec

from rosemarypath.edgesettings import EdgeSettings
from rosemarypath.errors import SettingsError

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "ROSEMARYPATH_CONFIG"
MS_PER_SECOND = 1000.0


def read_settings(path=None):
    """
    Return the `EdgeSettings` in the file `path`; raises `SettingsError`.

    Without `path`, the environment variable `SETTINGS_VARIABLE` names the file.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            document = msgspec.json.decode(file.read())
    except OSError as error:
        raise SettingsError(
            f"settings file '{path}': {error.strerror}",
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
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise SettingsError(
            f"a field of the settings is missing or has a wrong type ({error!r})",
            "compare them with docs/settings.md",
        ) from error


def _decode_document(document):
    listen = document["listen"]
    bounds = document.get("bounds") or {}
    limits = document.get("limits") or {}
    ports = document["portRange"]
    return EdgeSettings(
        machine=document["nodeName"],
        zone=document["zone"],
        region=document.get("region", ""),
        zones=dict(document.get("zones") or {}),
        callers_address=listen.get("front", ""),
        readiness_address=listen.get("ready", ""),
        directory_address=listen.get("directory", ""),
        peers_address=f"{document['ip']}:{int(ports[0])}",
        store_address=document["platform"]["address"],
        lease=bounds.get("leaseMs", 3000) / MS_PER_SECOND,
        stop_grace=float(bounds.get("graceS", 8)),
        # "heartbeatMs" is the renewal period of the back ends' entries, not the period
        # of the daemons' heartbeats.
        entry_renewal=document.get("heartbeatMs", 1200) / MS_PER_SECOND,
        drain=bounds.get("drainMs", 2000) / MS_PER_SECOND,
        retry_ratio=float(bounds.get("retryBudgetRatio", 0.2)),
        retry_slack=float(bounds.get("retryBudgetSlack", 50)),
        retry_window=float(bounds.get("budgetWindowS", 10)),
        cold_factor=float(bounds.get("coldOver", 1.5)),
        version_bound=bounds.get("version_ms", 5000) / MS_PER_SECOND,
        checks_fences=bool(bounds.get("requireFence", False)),
        address_lifetime=float(bounds.get("ttl_max_s", 5)),
        bandwidth=float(limits.get("bandwidthMbps") or 0.0),
    )
