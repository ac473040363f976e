"""
rosemarypath.settings
~~~~~~~~~~~~~~~~~~~~~

Reads and validates the YAML settings of a daemon.
"""

import re
from dataclasses import dataclass, field

import yaml
from cerberus import Validator

from rosemarypath.errors import SettingsError

__all__ = ["Settings", "Timing", "load_settings"]

ADDRESS = {"type": "string", "regex": r"[A-Za-z0-9.-]+:\d{1,5}"}
SECONDS = {"type": "float", "coerce": float, "min": 0.01, "max": 3600.0}

SCHEMA = {
    "machine": {"type": "string", "regex": "[A-Za-z0-9._-]+", "required": True},
    "zone": {"type": "string", "regex": "[A-Za-z0-9._-]+", "required": True},
    "callers_address": {**ADDRESS, "required": True},
    "peers_address": {**ADDRESS, "required": True},
    "operators_address": {**ADDRESS, "required": True},
    "object_api": {**ADDRESS, "required": True},
    "statsd": ADDRESS,
    "history": {"type": "string"},
    "policy": {"type": "string"},
    "log_level": {
        "type": "string",
        "allowed": ["DEBUG", "INFO", "WARNING", "ERROR"],
    },
    "log_json": {"type": "boolean"},
    "dial": {"type": "dict", "keysrules": ADDRESS, "valuesrules": ADDRESS},
    "timing": {
        "type": "dict",
        "schema": {
            "heartbeat": SECONDS,
            "lease": SECONDS,
            "margin": SECONDS,
            "first_byte": SECONDS,
            "between_bytes": SECONDS,
            "drain": SECONDS,
            "address_lifetime": SECONDS,
        },
    },
}

REMEDIES = {
    "unknown field": "remove it or correct its name; docs/settings.md lists all names",
    "required field": "add it; docs/settings.md shows an example",
}
DEFAULT_REMEDY = "correct the value as docs/settings.md describes it"


@dataclass(frozen=True)
class Timing:
    """
    Periods and timeouts of one daemon, all in seconds.

    Options:

    `heartbeat`
        Period of the heartbeats to each witness (default 0.5).
    `lease`
        Duration of the lease that an acknowledged heartbeat renews (default 1.5).
    `margin`
        How long a witness waits after the end of a lease before it reports that the
        lease has expired (default 0.3).
    `first_byte`
        Timeout for the first byte of a back end's answer (default 10).
    `between_bytes`
        Timeout between two parts of an answer (default 5).
    `drain`
        How long a stopping daemon still serves callers that have its address cached
        (default 2).
    `address_lifetime`
        How long callers may cache a list of entry machines (default 2).
    """

    heartbeat: float = 0.5
    lease: float = 1.5
    margin: float = 0.3
    first_byte: float = 10.0
    between_bytes: float = 5.0
    drain: float = 2.0
    address_lifetime: float = 2.0


@dataclass(frozen=True)
class Settings:
    """
    Settings of one daemon.

    Options:

    `machine`, `zone`
        Name of this entry machine and of its zone.
    `callers_address`, `peers_address`, `operators_address`
        Addresses to listen on for callers, other daemons and operators, as
        ``host:port``.
    `object_api`
        Address of the platform's object API.
    `statsd`
        Address of a statsd server; empty for none (default).
    `history`
        File for the event history; empty for none (default).
    `policy`
        Name of the policy that assigns seats, the request slots of back ends (default
        ``fair``).
    `log_level`, `log_json`
        Lowest level that is logged (default ``INFO``), and whether log lines are JSON.
    `dial`
        Maps addresses to the addresses to connect to instead (default empty).
    `timing`
        The `Timing`.
    """

    machine: str
    zone: str
    callers_address: str
    peers_address: str
    operators_address: str
    object_api: str
    statsd: str = ""
    history: str = ""
    policy: str = "fair"
    log_level: str = "INFO"
    log_json: bool = False
    dial: dict = field(default_factory=dict)
    timing: Timing = Timing()

    @classmethod
    def from_config(cls, document):
        """
        Return the settings in a parsed document.

        Raises the first `SettingsError` of `check_document`.
        """
        errors = check_document(document)
        if errors:
            raise errors[0]
        values = dict(document)
        values["timing"] = Timing(
            **{k: float(v) for k, v in values.pop("timing", {}).items()}
        )
        return cls(**values)

    def dial_address(self, address):
        """Return the address to connect to in order to reach `address`."""
        return self.dial.get(address, address)


def check_document(document):
    """Return a list with one `SettingsError` for each invalid entry of `document`."""
    if not isinstance(document, dict):
        remedy = "write 'name: value' lines as docs/settings.md shows"
        return [SettingsError("the settings are not a mapping", remedy)]
    validator = Validator(SCHEMA)
    validator.validate(document)
    errors = list(_flatten_errors(validator.errors))
    timing = document.get("timing")
    if not errors and isinstance(timing, dict):
        heartbeat = timing.get("heartbeat", Timing.heartbeat)
        if timing.get("lease", Timing.lease) < 2 * heartbeat:
            errors.append(
                SettingsError(
                    "timing.lease: shorter than two heartbeats",
                    "raise timing.lease or lower timing.heartbeat",
                )
            )
    return errors


def _flatten_errors(errors, prefix=""):
    """Convert cerberus' nested messages into `SettingsError` objects."""
    for name, messages in sorted(errors.items(), key=lambda item: str(item[0])):
        for message in messages:
            if isinstance(message, dict):
                yield from _flatten_errors(message, f"{prefix}{name}.")
            else:
                message = re.sub(r"\s+", " ", str(message))
                remedy = REMEDIES.get(message, DEFAULT_REMEDY)
                yield SettingsError(f"{prefix}{name}: {message}", remedy)


def load_settings(path):
    """
    Read the file `path`; return ``(settings, errors)``.

    `errors` has one `SettingsError` for each fault; `settings` is ``None`` if there are
    any.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.safe_load(file)
    except OSError as error:
        message = f"{path}: {error.strerror}"
        return None, [SettingsError(message, "name a readable file with --settings")]
    except yaml.YAMLError as error:
        message = f"{path}: not YAML ({' '.join(str(error).split())})"
        return None, [SettingsError(message, "correct the syntax")]
    errors = check_document(document)
    if errors:
        return None, errors
    return Settings.from_config(document), []
