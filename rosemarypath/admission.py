"""
rosemarypath.admission
~~~~~~~~~~~~~~~~~~~~~~

Admission of a request: checks the route, the key and the customer's budget.
"""

from dataclasses import replace

from rosemarypath.clock import now
from rosemarypath.demand import BadRequestError
from rosemarypath.outcome import NotRun
from rosemarypath.requestcontext import RequestContext
from rosemarypath.scheduling.roomload import clamp_rank
from rosemarypath.sse import EventSplitter

__all__ = ["Admission", "stopping_refusal"]

DEADLINE_MARGIN_SECONDS = 0.02  # the final answer is due so long before it
NO_CONFIGURATION_RETRY_SECONDS = 0.3  # a started daemon is configured by then
STOPPING_RETRY_SECONDS = 0.05  # short, as other machines accept the request


def stopping_refusal():
    """Return the `NotRun` of a request that a stopping daemon doesn't run."""
    return NotRun(503, "stopping", "this machine is stopping", STOPPING_RETRY_SECONDS)


class Admission:
    """
    Admits requests.

    Options:

    `dialect`
        Decodes headers.
    `fleet`
        The `FleetView`: configuration and budgets.
    `stop_window`
        The `StopWindow`.
    `log`, `metrics`
        The `DecisionLog` and the counters.
    """

    def __init__(self, dialect, fleet, stop_window, log, metrics):
        self._dialect = dialect
        self._fleet = fleet
        self._stop_window = stop_window
        self._log = log
        self._metrics = metrics

    def admit(self, request):
        """Return the `RequestContext` of an admitted request, else a `NotRun`."""
        table = self._fleet.table
        if table is None:
            return NotRun(
                503,
                "no_configuration",
                "no configuration received yet",
                NO_CONFIGURATION_RETRY_SECONDS,
            )
        if self._stop_window.is_closed(now()):
            return stopping_refusal()
        try:
            demand = self._dialect.decode_demand(request.headers)
        except BadRequestError as error:
            return NotRun(400, "bad_request", str(error))
        route = _find_route(table, request)
        if route is None:
            host, path = _host_and_path(request)
            return NotRun(404, "no_route", f"no route for '{host}{path}'")
        customer = None
        if table.needs_keys and not route.is_open:
            customer = table.find_customer(demand.key) if demand.key else None
            if customer is None:
                return NotRun(401, "unknown_key", "unknown key")
        deadline = request.arrived + _seconds_to_answer(demand, route)
        if not self._stop_window.accepts(route.name, deadline, now()):
            return stopping_refusal()
        return self._admit_with_budget(request, demand, route, customer, deadline)

    def time_limit(self, request):
        """
        Return the seconds in which a request must be answered.

        They count from its first byte. ``None`` stands for one that is not forwarded.
        """
        table = self._fleet.table
        route = table and _find_route(table, request)
        if not route:
            return None
        try:
            demand = self._dialect.decode_demand(request.headers)
        except BadRequestError:
            return None
        return _seconds_to_answer(demand, route)

    def _admit_with_budget(self, request, demand, route, customer, deadline):
        if customer is not None:
            refusal = self._take_budget(demand, customer)
            if refusal is not None:
                return refusal
        priority = _priority(route, customer)
        context = RequestContext(
            request,
            replace(demand, rank=clamp_rank(priority)),
            route,
            route.service_for(demand.request_id),
            customer,
            deadline,
            events=EventSplitter(demand.last_event),
            priority=priority,
        )
        self._fleet.record_request(context.service)
        self._fleet.service_demand.record_request(context.service, demand.tokens, now())
        self._log.write(
            "entry",
            "admitted",
            request=demand.request_id,
            route=route.name,
            customer=customer.name if customer else "",
            adapter=demand.adapter,
            tokens=demand.tokens,
            version=self._fleet.table.version,
        )
        return context

    def _take_budget(self, demand, customer):
        """Take the request's cost from the budget; return a `NotRun` if too low."""
        cost = customer.cost_of(demand.tokens)
        wait = self._fleet.take_budget(customer, cost, now())
        if wait <= 0.0:
            return None
        facts = (("customer", customer.name), ("cost", cost), ("wait", round(wait, 3)))
        return NotRun(
            429,
            "over_budget",
            "customer's rate exceeded",
            wait,
            log_fields=facts,
        )

    def record_duration(self, context, outcome):
        """Record how long a request took that a back end began to run."""
        if not context.sends or isinstance(outcome, NotRun):
            return
        at = now()
        seconds = at - context.request.arrived
        self._stop_window.record(context.route.name, seconds, at)

    def refund_if_not_run(self, context, outcome):
        """Refund the budget of a request that did not run, and count its refusal."""
        if not isinstance(outcome, NotRun) or context.may_have_run:
            return
        self._fleet.service_demand.record_refusal(context.service, outcome.code, now())
        if context.customer is not None:
            cost = context.customer.cost_of(context.demand.tokens)
            self._fleet.refund_budget(context.customer, cost)


def _host_and_path(request):
    host = request.header(b"host").partition(b":")[0].decode("latin-1").lower()
    return host, request.path.partition(b"?")[0].decode("latin-1")


def _find_route(table, request):
    return table.find_route(*_host_and_path(request))


def _seconds_to_answer(demand, route):
    return min(demand.deadline, route.timeout) - DEADLINE_MARGIN_SECONDS


def _priority(route, customer):
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority
