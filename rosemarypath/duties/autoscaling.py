"""
rosemarypath.duties.autoscaling
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The duty to order the number of a service's back ends in a zone.

Each pair of service and zone is a subject. Its holder decides from what the heartbeats
and the store tell anyway, and sends an order only when the number changes.
"""

import random
from math import inf

from rosemarypath.backend import ENGINE
from rosemarypath.duties import duties
from rosemarypath.scheduling.autoscaling import (
    ServiceLoad,
    ServiceScaler,
    ZoneLoad,
    ZoneNumber,
)

__all__ = ["Autoscaling"]

SETTLE_SECONDS = (
    2.0  # after a start or a takeover, until loads of all daemons are known
)
LOOK_SECONDS = 0.25  # between two looks at the load of a service, at least
# A look takes 14 µs for each back end where 40 peers report loads, measured with 4,600
# back ends; this keeps the looks at one service under 1% of a core.
LOOK_SECONDS_PER_BACK_END = 0.0015
SUBJECTS_SECONDS = 2.0  # for which the list of zones is kept
MAX_PAUSE_SECONDS = 2.0  # another holder needs a lease, of 3 s, and a wait
MIN_ORDER_SECONDS = 1.0  # between two orders for one subject
ORDERS_SHARE = 0.5  # of the API's rate; the rest is for repeats and other duties
RETRY_SECONDS = 0.5  # after the first call that was refused or unanswered
MAX_RETRY_SECONDS = 5.0
RETRY_GROWTH = 2.0


class _Service:
    """Scaler of one service, and its last load and decision."""

    def __init__(self, plan, tolerance):
        self.scaler = ServiceScaler(plan, tolerance)
        self.looked_at = -inf
        self.load = None
        self.scaling = None


class _Order:
    """
    The number ordered for one subject while this daemon holds it.

    `is_accepted` is false from a call on until one with the same number is accepted.
    """

    def __init__(self, plan, now):
        self.plan = plan
        self.token = 0
        self.performed_at = now
        self.held_since = now
        self.number = ZoneNumber(plan, now)
        self.is_accepted = True
        self.not_before = -inf
        self.pause = RETRY_SECONDS
        self.is_kept = False

    def is_of_former(self, token, now):
        """
        Return whether another daemon may have held the subject since.

        The token also changes while the holder stays the same.
        """
        return token != self.token and now - self.performed_at > MAX_PAUSE_SECONDS

    def record(self, is_accepted, gap, now):
        """Record how a call ended; `gap` is the least time between two calls."""
        self.is_accepted = is_accepted
        if is_accepted:
            self.pause = RETRY_SECONDS
            self.not_before = now + gap
            return
        self.not_before = now + max(gap, self.pause * random.uniform(0.8, 1.2))
        self.pause = min(MAX_RETRY_SECONDS, self.pause * RETRY_GROWTH)


@duties("autoscaling")
class Autoscaling:
    """
    Orders the numbers of back ends that `rosemarypath.scheduling.autoscaling` decides.

    It keeps one scaler for each service with a `ScalingPlan`, and one order for each of
    its zones.
    """

    def __init__(self, settings, fleet, store_cache, client, log, metrics):
        self._settings = settings
        self._fleet = fleet
        self._store_cache = store_cache
        self._client = client
        self._log = log
        self._metrics = metrics
        self._services = {}
        self._orders = {}
        self._subjects = {}  # name of the subject: service and zone
        self._subjects_until = -inf
        self._table = None

    @classmethod
    def from_config(cls, context):
        """Return the duty for a `DutyContext`."""
        return cls(
            context.settings,
            context.fleet,
            context.store_cache,
            context.client,
            context.log,
            context.metrics,
        )

    def subjects(self, now):
        """Return the names of the subjects: each service with a plan in each zone."""
        if now >= self._subjects_until or self._fleet.table is not self._table:
            self._find_subjects()
            self._subjects_until = now + SUBJECTS_SECONDS
        return list(self._subjects)

    async def perform(self, subject, token, now):
        """Order the number of the subject's zone if it is to change."""
        service, zone = self._subjects.get(subject, ("", ""))
        plan = self._plans().get(service)
        number = token()
        if plan is None or not number:
            return
        order = self._orders.get(subject)
        if order is None or order.plan != plan or order.is_of_former(number, now):
            order = self._orders[subject] = _Order(plan, now)
        order.token, order.performed_at = number, now
        known = self._look(service, plan, now)
        if not self._is_settled(order, now) or not self._may_look(order, subject, now):
            return
        value = self._next_value(order, known, zone, now)
        former = order.number.value
        if now < order.not_before or (value == former and order.is_accepted):
            return
        if value != former:
            order.number.set(value, now)
        await self._send(order, token, (service, zone), former, known, now)

    @staticmethod
    def _next_value(order, known, zone, now):
        """Return the number to order, the one in force if it is not to change."""
        wanted = known.scaling.numbers.get(zone)
        if wanted is None:  # The zone is lost.
            return order.number.value
        has_window = known.scaler.history.is_full(now)
        load = known.load.zones[zone]
        return order.number.next_value(wanted, load, has_window, now)

    async def _send(self, order, token, place, former, known, now):
        """Send the number in force and record what came of it."""
        service, zone = place
        value = order.number.value
        order.is_accepted = False  # if the call is cancelled
        result = await self._client.set_back_end_count(token, service, zone, value)
        order.record(result.is_accepted, self._order_gap(), now)
        event = "ordered"
        if not result.is_accepted:
            event = "refused" if result.is_refused else "unanswered"
        if not result.is_sent:
            event = "unsent"
        load = known.load.zones.get(zone, ZoneLoad())
        self._log.write(
            "autoscaling",
            event,
            service=service,
            zone=zone,
            number=value,
            former=former,
            why=known.scaling.reason,
            demand=round(known.scaling.demand, 2),
            ready=load.ready,
            cold=load.cold,
            draining=load.draining,
            running=load.running + load.leaving,
            waiting=load.waiting,
            arrivals=round(known.load.arrivals, 1),
            refusals=round(known.load.refusals, 1),
            token=order.token,
            status=result.status,
        )
        self._metrics.count(f"autoscaling.{event}")
        if result.is_accepted and value != former:
            self._metrics.count(f"autoscaling.{'rises' if value > former else 'falls'}")

    def _order_gap(self):
        """Return the least time between two orders for one subject."""
        rate = self._settings.duties.calls_per_second * ORDERS_SHARE
        return max(MIN_ORDER_SECONDS, len(self._subjects) / rate)

    def _is_settled(self, order, now):
        """Return whether the fleet has been known for some seconds."""
        is_starting = self._fleet.is_starting(now)
        return not is_starting and now - order.held_since >= SETTLE_SECONDS

    def _may_look(self, order, subject, now):
        """
        Return whether the list of back ends is up to date.

        While the store is away, new back ends could not be seen, and the ones that are
        listed may be gone, so that the number is kept.
        """
        is_stable = self._store_cache.availability.is_stable(now)
        if order.is_kept == is_stable:
            order.is_kept = not is_stable
            event = "resumed" if is_stable else "kept"
            number = order.number.value
            self._log.write("autoscaling", event, subject=subject, number=number)
        return is_stable

    def _plans(self):
        """Return the `ScalingPlan` of each service that has one."""
        table = self._fleet.table
        services = table.services.values() if table is not None else ()
        return {plan.name: plan.scaling for plan in services if plan.scaling}

    def _find_subjects(self):
        plans = self._plans()
        self._table = self._fleet.table
        zones = {(service, z) for service in plans for z in self._settings.zones}
        for state in self._fleet.back_ends.states.values():
            if state.back_end.serves in plans:
                zones.add((state.back_end.serves, state.back_end.zone))
        # A zone whose back ends are all lost stays, until its service has no plan.
        zones |= {place for place in self._subjects.values() if place[0] in plans}
        self._subjects = {
            f"{service}-{zone}".replace(".", "-"): (service, zone)
            for service, zone in sorted(zones)
        }
        self._services = {s: k for s, k in self._services.items() if s in plans}
        self._orders = {s: o for s, o in self._orders.items() if s in self._subjects}
        self._fleet.service_demand.names = frozenset(plans)

    def _look(self, service, plan, now):
        """Return the `_Service` with a load and a decision of the last moments."""
        known = self._services.get(service)
        if known is None or known.scaler.plan != plan:
            tolerance = self._settings.zone_tolerance
            known = self._services[service] = _Service(plan, tolerance)
        count = 0
        if known.load is not None:
            zones = known.load.zones.values()
            count = sum(zone.present + zone.draining for zone in zones)
        if now - known.looked_at >= max(
            LOOK_SECONDS, LOOK_SECONDS_PER_BACK_END * count
        ):
            known.looked_at = now
            known.load = self._load(service, now)
            known.scaling = known.scaler.decide(known.load, now)
        return known

    def _load(self, service, now):
        """Return the `ServiceLoad` of a service."""
        zones = {z: _Count() for s, z in self._subjects.values() if s == service}
        slots = []
        is_engine = False
        for state in self._fleet.back_ends.states.values():
            if state.back_end.serves != service:
                continue
            zone = zones.setdefault(state.back_end.zone, _Count())
            zone.add(state, now)
            slots.append(state.back_end.capacity)
            is_engine = is_engine or state.back_end.kind == ENGINE
        arrivals, refusals, tokens = self._fleet.service_demand.total(service, now)
        engine = self._fleet.engine_plan(service)
        closed = self._fleet.back_ends.evacuated_zones
        return ServiceLoad(
            zones={
                name: count.zone_load(name in closed)
                for name, count in zones.items()
                if count.has_been_used or name in self._used_zones(service)
            },
            slots=round(sum(slots) / len(slots)) if slots else 1,
            memory_tokens=engine.kv_tokens if engine is not None else 0,
            request_tokens=tokens / arrivals if arrivals > 0.0 else 0.0,
            arrivals=arrivals,
            refusals=refusals,
            reads_prompts=is_engine,
        )

    def _used_zones(self, service):
        """Return the zones of the service that had back ends at the last look."""
        known = self._services.get(service)
        return known.load.zones if known is not None and known.load else {}


class _Count:
    """Sum of the back ends of a service in one zone."""

    def __init__(self):
        self.ready = self.cold = self.draining = 0
        self.running = self.leaving = self.waiting = 0
        self.prompt_rate = 0.0

    @property
    def has_been_used(self):
        """Return whether there is any back end."""
        return bool(self.ready or self.cold or self.draining)

    def add(self, state, now):
        """Add a `BackEndState`."""
        running, _, rate = state.total_load(now)
        if state.is_leaving:
            self.draining += 1
            self.leaving += running
        elif state.is_cold(now):
            self.cold += 1
            self.running += running
        else:
            self.ready += 1
            self.running += running
        self.waiting += state.total_awaited(now)
        self.prompt_rate += rate

    def zone_load(self, is_closed):
        """Return the `ZoneLoad`."""
        return ZoneLoad(
            ready=self.ready,
            cold=self.cold,
            draining=self.draining,
            running=max(0, self.running),
            leaving=max(0, self.leaving),
            waiting=self.waiting,
            prompt_rate=self.prompt_rate,
            is_closed=is_closed,
        )
