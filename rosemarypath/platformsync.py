"""
rosemarypath.platformsync
~~~~~~~~~~~~~~~~~~~~~~~~~

Updates the daemon's view of the fleet from the objects in the platform's store.

These objects are written by the operator and by the back ends.
"""

from rosemarypath.clock import lease_now, now
from rosemarypath.faultlog import FaultLog, shortened
from rosemarypath.scheduling.standstills import Standstills

__all__ = ["PlatformSync"]

UNREADABLE = "unreadable entry"


class PlatformSync:
    """
    Applies changes of the platform's objects in the store to the `FleetView`.

    Options:

    `store_cache`
        The `StoreCache`.
    `dialect`
        Decodes the platform's objects.
    `fleet`
        The `FleetView`.
    `log`
        The `DecisionLog`.
    ``on_limits(limits)``
        Called with the `IngressLimits` of each new configuration.
    """

    def __init__(self, store_cache, dialect, fleet, log, on_limits):
        self._store_cache = store_cache
        self._dialect = dialect
        self._fleet = fleet
        self._log = log
        self._on_limits = on_limits
        self._has_read_versions = False
        self._standstills = Standstills(lease_now())
        self._configuration_faults = FaultLog(log, "configuration")
        self._server_faults = FaultLog(log, "servers")
        self._version_faults = FaultLog(log, "versions")
        add = store_cache.add
        self._configuration = add(
            dialect.configuration_kind,
            self._on_configuration,
            self._outranks_configuration,
        )
        self._servers = add(dialect.server_kind, self._on_servers, self._outranks_entry)
        self._versions = add(dialect.version_kind, self._on_versions, _outranks_absent)
        self._evacuations = add(
            dialect.evacuation_kind, self._on_evacuations, _outranks_absent
        )

    @property
    def is_complete(self):
        """Return whether a configuration, the back ends and versions are known."""
        is_read = self._servers.is_known and self._versions.is_known
        return self._fleet.table is not None and is_read

    def note_running(self, lease_now):
        """Note that the daemon runs; called with every heartbeat."""
        self._standstills.note_running(lease_now)

    def _outranks_configuration(self, former, restored):
        """Return whether the operator wrote `former` later than `restored`."""
        number = self._dialect.configuration_number
        if former is None or restored is None:
            return restored is None
        return number(former) > number(restored)

    def _outranks_entry(self, former, restored):
        """
        Return whether `former` tells more of a back end than an older copy's entry.

        A restart and the departure of a back end are later than any state before.
        """
        if former is None or restored is None:
            return True
        known = self._dialect.decode_server(former)
        entry = self._dialect.decode_server(restored)
        if known is None or entry is None:
            return entry is None
        return entry.started_at_ms <= known.started_at_ms and not entry.is_draining

    def _on_configuration(self, changed, removed):
        name = self._dialect.configuration_name
        stored = self._configuration.objects.get(name)
        if stored is None:
            return
        try:
            table = self._dialect.decode_configuration(stored)
        except ValueError as error:
            self._configuration_faults.update(name, str(error))
            return
        if not self._fleet.set_routing_table(table, now()):
            return
        self._on_limits(table.limits)
        self._log.write(
            "configuration",
            "adopted",
            version=table.version,
            revision=table.revision,
            routes=sum(len(routes) for routes in table.routes.values()),
            keys=len(table.customers),
        )

    def _on_servers(self, changed, removed):
        for name in changed:
            self._update_back_end(name, now())
        for name in removed:
            self._remove_back_end(name, "removed")
        self._server_faults.forget(removed)

    def _update_back_end(self, name, at):
        entry = self._dialect.decode_server(self._servers.objects[name])
        known = self._fleet.back_ends.states.get(name)
        self._server_faults.update(name, UNREADABLE if entry is None else "")
        if entry is None:
            if known is not None:
                self._remove_back_end(name, UNREADABLE)
            return
        was_draining = known is not None and known.entry.is_draining
        self._fleet.set_back_end(entry, at)
        if known is None or was_draining != entry.is_draining:
            self._log.write(
                "servers",
                "leaving" if entry.is_draining else "seen",
                name=name,
                service=entry.back_end.serves,
                zone=entry.back_end.zone,
                revision=self._servers.revision,
                **_notice_fields(entry),
            )

    def _remove_back_end(self, name, why):
        at = now()
        may_be_lapse = self._fleet.remove_back_end(name, at)
        self._log.write(
            "servers",
            "removed",
            name=name,
            why=why,
            may_be_lapse=may_be_lapse,
            reachable=round(self._store_cache.availability.reachable_seconds(at), 3),
            revision=self._servers.revision,
        )

    def _on_versions(self, changed, removed):
        versions = {}
        for name in changed:
            decoded = self._dialect.decode_version(self._versions.objects[name])
            self._version_faults.update(name, UNREADABLE if decoded is None else "")
            if decoded is None:
                continue
            model, adapter, version = decoded
            versions[f"{model}/{adapter}" if adapter else model] = version
        self._version_faults.forget(removed)
        changed_at = self._standstills.changed_at(lease_now())
        # What the first read lists may have been announced long before it.
        self._fleet.set_versions(
            versions, changed_at if self._has_read_versions else float("-inf")
        )
        self._has_read_versions = True
        for name, version in versions.items():
            self._log.write("versions", "announced", name=name, version=version)

    def _on_evacuations(self, changed, removed):
        zones = frozenset(self._evacuations.objects)
        self._fleet.back_ends.evacuated_zones = zones
        self._log.write(
            "evacuations", "zones", out=[shortened(z) for z in sorted(zones)]
        )


def _notice_fields(entry):
    """Return the log field of a notice, if the entry has one."""
    if entry.remaining_seconds is None:
        return {}
    return {"remaining": entry.remaining_seconds}


def _outranks_absent(former, restored):
    """Return whether an older copy lacks the object `former`."""
    return restored is None
