"""
rosemarypath.edgesettings
~~~~~~~~~~~~~~~~~~~~~~~~~

What a daemon on the users' platform is told at its start.
"""

from dataclasses import dataclass, field, fields

__all__ = ["EdgeSettings"]


@dataclass(frozen=True)
class EdgeSettings:
    """
    Settings of one daemon on the users' platform; times are in seconds.

    Options:

    `machine`, `zone`, `region`, `zones`
        Its name and place; `zones` maps zone names to regions.
    `callers_address`, `readiness_address`, `directory_address`, `peers_address`
        ``host:port`` where it listens; empty where it does not serve that.
    `store_address`
        The platform's object store.
    `lease`
        How long an order holder must have been silent before the next one orders.
    `stop_grace`
        Time between SIGTERM and SIGKILL.
    `entry_renewal`
        How often a back end renews its entry in the store; it lapses after three.
    `drain`
        How long a back end that leaves still takes work.
    `retry_ratio`, `retry_slack`, `retry_window`
        The bound on repeated sends, over all machines, to one service.
    `cold_factor`
        How far above its announced rate a cold back end may be asked.
    `version_bound`
        How long after the announcement of a newer version an older one may begin.
    `checks_fences`
        Whether back ends refuse orders with an old fencing token.
    `address_lifetime`
        The longest time callers may keep an answer of the directory.
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

    def changed_names(self, other):
        """Return the names of the settings that differ from those of `other`."""
        names = [setting.name for setting in fields(self)]
        return [n for n in names if getattr(self, n) != getattr(other, n)]
