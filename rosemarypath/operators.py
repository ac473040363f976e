"""
rosemarypath.operators
~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP API of a daemon: status, explanations and service levels.
"""

import time

from rosemarypath.httpserver import json_response
from rosemarypath.ownedresources import back_end_resource, budget_resource

__all__ = ["OperatorsApi"]


class OperatorsApi:
    """
    Request handlers for the command-line tool.

    `daemon` is the `Daemon` that they report on.
    """

    def __init__(self, daemon):
        self._daemon = daemon

    def add_routes(self, server):
        """Add the routes of the operators' API to `server`."""
        server.add("GET", "/status", self._status)
        server.add("GET", "/adoption", self._adoption)
        server.add("GET", "/explain/{name}", self._explain)
        server.add("GET", "/levels", self._levels)

    async def _status(self, request):
        daemon = self._daemon
        now = time.monotonic()
        membership = daemon.membership
        return json_response(
            200,
            {
                "machine": daemon.settings.machine,
                "identity": membership.identity,
                "zone": daemon.settings.zone,
                "in_standing": membership.has_lease(now),
                "draining": membership.is_draining,
                "roster_revision": membership.roster.revision,
                "barrier": membership.ownership.barrier,
                "configuration_revision": daemon.config_replica.revision,
                "accepted_revision": daemon.revision_sync.accepted_revision,
                "is_relay": daemon.revision_sync.is_relay,
                "witnesses": sorted(membership.lease.witnesses),
                "waiting_for": daemon.revision_sync.outdated_members(),
                "fenced": sorted(membership.fencing.fenced),
                "machines": [
                    {"name": m.name, "zone": m.zone, "state": m.state}
                    for m in membership.roster.machines.values()
                ],
                "in_flight": daemon.entry.in_flight,
                "seats_held": daemon.seats.held_count,
                "back_ends": [
                    _describe_broker(broker)
                    for broker in daemon.owned_resources.brokers.values()
                ],
                "store_calls": dict(daemon.store.calls),
                "link_counts": dict(daemon.mesh.counts),
                "counts": dict(daemon.metrics.counts),
            },
        )

    async def _adoption(self, request):
        report = await self._daemon.revision_sync.fetch_adoption_report()
        if report is None:
            return json_response(503, {"error": "no relay answers; try again"})
        return json_response(
            200,
            {
                "adopted": report.adopted,
                "fenced": list(report.fenced),
                "accepted": report.accepted,
            },
        )

    async def _explain(self, request):
        """Return the outcome of a recent request, or the back ends of a route."""
        name = request.route_values["name"]
        daemon = self._daemon
        recent = daemon.recent_requests.get(name)
        if recent is not None:
            return json_response(200, {"request": name, **recent})
        route = daemon.config_replica.current.routes.get(name)
        if route is None:
            message = f"neither a route nor a recent request of this machine: {name}"
            return json_response(404, {"error": message})
        return json_response(200, self._explain_route(route))

    def _explain_route(self, route):
        daemon = self._daemon
        now = time.monotonic()
        ownership = daemon.membership.ownership
        adapter = daemon.config_replica.current.adapters.get(route.adapter)
        engine_name = adapter.engine_name if adapter is not None else ""
        ranked = daemon.rank_back_ends(route, engine_name, now)
        return {
            "route": route.name,
            "customer": route.customer or "(open)",
            "adapter": engine_name,
            "service": route.service,
            "in_standing": daemon.membership.has_lease(now),
            "budget_owner": ownership.owner_of(budget_resource(route.customer)),
            "back_ends": [
                {
                    "name": back_end.name,
                    "zone": back_end.zone,
                    "owner": ownership.owner_of(back_end_resource(back_end.name)),
                }
                for back_end in ranked
            ],
            "out_of_service": [
                back_end.name
                for back_end in daemon.back_ends_for(route)
                if not daemon.is_in_service(back_end.name)
            ],
        }

    async def _levels(self, request):
        return json_response(200, self._daemon.levels.document(time.time()))


def _describe_broker(broker):
    return {
        "name": broker.back_end.name,
        "limit": broker.seat_limit,
        "seats": len(broker.seats),
        "queued": broker.queue_length,
        "adapters": broker.loaded_adapters,
    }
