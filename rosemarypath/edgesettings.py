"""
rosemarypath.edgesettings
~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of a daemon on the users' platform.
"""

from dataclasses import dataclass, field, fields

__all__ = ["DutySettings", "EdgeSettings"]


@dataclass(frozen=True)
class DutySettings:
    """
    Duties of the daemons: calls to the platform's API by one daemon at a time.

    Options:

    `address`
        ``host:port`` of the API.
    `names`
        Names of the duties, as registered in `rosemarypath.duties`.
    `calls_per_second`
        How many such calls the API accepts from all daemons together.
    `usage_window`
        Length of a window of usage reports.
    `usage_due`
        How long after the end of a window its report is due.
    """

    address: str
    names: tuple = ()
    calls_per_second: float = 50.0
    usage_window: float = 5.0
    usage_due: float = 10.0


@dataclass(frozen=True)
class EdgeSettings:
    """
    Settings of one daemon on the users' platform; times are in seconds.

    Options:

    `machine`, `zone`, `region`, `zones`
        The machine's name, zone and region; `zones` maps zone names to regions.
    `callers_address`, `readiness_address`, `directory_address`, `peers_address`
        ``host:port`` on which the daemon listens; empty if it doesn't serve this.
    `store_address`
        ``host:port`` of the platform's object store.
    `lease`
        How long the holder of an engine lease must have been silent before the next
        holder sends commands.
    `stop_grace`
        Time between SIGTERM and SIGKILL.
    `entry_renewal`
        Time between two renewals of a back end's entry in the store. The entry lapses
        after three.
    `drain`
        How long a back end still accepts requests after it began to leave.
    `retry_ratio`, `retry_slack`, `retry_window`
        Limit on the retries to one service by all machines: within `retry_window`, the
        share `retry_ratio` of the requests plus `retry_slack`.
    `cold_factor`
        Factor by which requests to a cold back end may exceed its announced rate.
    `version_bound`
        How long after the announcement of a newer adapter version requests may still
        start on an older one.
    `checks_fences`
        Whether back ends refuse commands with an old fencing token.
    `address_lifetime`
        The longest time for which callers may cache an answer of the directory.
    `bandwidth`
        Mbit/s of the machine's network link; 0 if unknown.
    `memory`
        Megabytes that the process may use.
    `duties`
        The `DutySettings`, ``None`` where the platform has no such API.
    `zone_tolerance`
        The number of zones that may be lost at once without a lack of room.
    `descriptors`
        File descriptors that the process may use; 0 if unknown.
    """

    machine: str
    zone: str
    region: str
    callers_address: str
    readiness_address: str
    directory_address: str
    peers_address: str
    store_address: str
    zones: dict = field(default_factory=dict)
    lease: float = 3.0
    stop_grace: float = 8.0
    entry_renewal: float = 1.2
    drain: float = 2.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window: float = 10.0
    cold_factor: float = 1.5
    version_bound: float = 5.0
    checks_fences: bool = False
    address_lifetime: float = 5.0
    bandwidth: float = 0.0
    memory: float = 300.0
    duties: DutySettings | None = None
    zone_tolerance: int = 0
    descriptors: float = 0.0

    def changed_names(self, other):
        """Return the names of the settings that differ from those of `other`."""
        names = [setting.name for setting in fields(self)]
        return [n for n in names if getattr(self, n) != getattr(other, n)]
