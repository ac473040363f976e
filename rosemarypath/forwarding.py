"""
rosemarypath.forwarding
~~~~~~~~~~~~~~~~~~~~~~~

A request's way: decode, authenticate, admit, choose, send, follow, settle.
"""

import asyncio
from dataclasses import dataclass, field

from rosemarypath.choice import ChoiceFacts, Refusal, choose_back_end
from rosemarypath.clock import now
from rosemarypath.demand import BadRequestError
from rosemarypath.errors import ConnectError, ResponseError
from rosemarypath.events import EventSplitter
from rosemarypath.httpclient import encode_request
from rosemarypath.outcome import NotRun, Unknown
from rosemarypath.routing import STREAM

__all__ = ["Course", "Forwarder"]

MOST_SENDS = 6  # sends of one request, rejected ones included
RESEND_PAUSE = 0.02  # seconds before a back end that rejected a request is asked again
LOAD_WAIT_SHARE = 0.6  # part of the time left that a request waits for a load
PLACE_WAIT = 1.0  # seconds; streams that end free places of adapters by then
PLACE_PAUSE = 0.1  # seconds between two looks for a place
FIRST_EVENT_SILENCE = 1.6  # seconds; callers leave a silent stream after about 2.4
GAP_SILENCE = 1.2  # seconds between two events after which a stream moves on
ANSWER_SILENCE_SHARE = 0.5  # part of the time after which an idempotent call moves on
ANSWER_SILENCE_LEAST = 0.7  # seconds; a slow but sound back end answers before
END_MARGIN = 0.02  # seconds before the deadline at which the final answer goes out
RETRY_AFTER_UNKNOWN_CONFIGURATION = 0.3  # seconds; a fresh daemon knows it by then
UNREADABLE = {400, 408, 413, 431}


@dataclass
class Course:
    """One request on its way."""

    request: object
    demand: object
    route: object
    service: str
    customer: object
    until: float
    sends: int = 0
    may_have_run: bool = False
    visited: list = field(default_factory=list)
    excluded: set = field(default_factory=set)
    unloadable: set = field(default_factory=set)
    head: object = None
    failure: tuple | None = None
    events: object = None
    waits_since: float | None = None
    first_at: float | None = None
    last_at: float = 0.0
    worst_gap: float = 0.0
    priority: int = 5

    @property
    def id(self):
        """Return the request's identifier."""
        return self.demand.request

    def note_event(self, at):
        """Record that events are passed on at the time `at`."""
        if self.first_at is None:
            self.first_at = at
        else:
            self.worst_gap = max(self.worst_gap, at - self.last_at)
        self.last_at = at

    def left(self, at):
        """Return the seconds left at the time `at`."""
        return self.until - at


class Forwarder:
    """
    Answers callers' requests by way of back ends.

    Options:

    `dialect`
        Decodes and writes headers.
    `pool`
        The `ConnectionPool`.
    `fleet`
        The `FleetView`: configuration, back ends, budgets and loads as known here.
    `log`, `metrics`
        The `DecisionLog` and the counters.
    """

    def __init__(self, dialect, pool, fleet, log, metrics):
        self._dialect = dialect
        self._pool = pool
        self._fleet = fleet
        self._log = log
        self._metrics = metrics

    async def handle(self, request, connection):
        """Answer one request on its caller's connection; nothing is raised."""
        try:
            await self._handle(request, connection)
        except Exception as error:  # A fault here must not leave a caller waiting.
            self._log.write("entry", "error", detail=repr(error))
            self._metrics.count("errors")
            connection.abort()

    async def _handle(self, request, connection):
        if request.status:
            self._log.write("entry", "rejected", status=request.status)
            connection.answer(request.status, [], closes=True)
            return
        course = self._admit(request)
        if isinstance(course, NotRun):
            self._answer_outcome(request, connection, course, "")
            return
        try:
            outcome = await self._run(course, connection)
        except asyncio.CancelledError:
            self._log.write("entry", "left", request=course.id)
            raise
        if outcome is not None:
            self._settle(course, outcome)
            self._answer_outcome(request, connection, outcome, course.id)

    def _admit(self, request):
        """Return the `Course` of a request that may run, else a `NotRun`."""
        table = self._fleet.table
        if table is None:
            wait = RETRY_AFTER_UNKNOWN_CONFIGURATION
            return NotRun(503, "no_configuration", "not configured yet", wait)
        if self._fleet.refuses_new:
            return NotRun(503, "stopping", "this machine is stopping", 0.05)
        try:
            demand = self._dialect.decode_demand(request.headers)
        except BadRequestError as error:
            return NotRun(400, "bad_request", str(error))
        host = request.header(b"host").partition(b":")[0].decode("latin-1").lower()
        path = request.path.partition(b"?")[0].decode("latin-1")
        route = table.find_route(host, path)
        if route is None:
            return NotRun(404, "no_route", f"no route for '{host}{path}'")
        customer = None
        if table.needs_keys and not route.is_open:
            customer = table.find_customer(demand.key) if demand.key else None
            if customer is None:
                return NotRun(401, "unknown_key", "the key is not known")
        return self._with_budget(request, demand, route, customer)

    def _with_budget(self, request, demand, route, customer):
        at = now()
        service = route.service_for(demand.request)
        timeout = min(demand.deadline, route.timeout)
        course = Course(
            request,
            demand,
            route,
            service,
            customer,
            request.arrived + timeout - END_MARGIN,
            events=EventSplitter(demand.last_event),
            priority=_priority(route, customer),
        )
        if customer is not None:
            wait = self._fleet.take_budget(customer, _cost(customer, demand), at)
            if wait > 0.0:
                self._log.write(
                    "entry",
                    "refused",
                    request=demand.request,
                    why="over_budget",
                    customer=customer.name,
                    wait=round(wait, 3),
                )
                self._metrics.count("refused.over_budget")
                return NotRun(429, "over_budget", "over the rate", wait)
        self._fleet.note_request(service)
        self._log.write(
            "entry",
            "admitted",
            request=demand.request,
            route=route.name,
            customer=customer.name if customer else "",
            adapter=demand.adapter,
            tokens=demand.tokens,
            version=self._fleet.table.version,
        )
        return course

    async def _run(self, course, connection):
        """Try back ends until the answer is sent (``None``) or an outcome stands."""
        while True:
            at = now()
            if course.left(at) <= 0.0:
                return _timed_out(course)
            choice = self._choose(course, at)
            if isinstance(choice, Refusal):
                if self._may_wait_for_load(course, choice, at):
                    course.unloadable.clear()
                    await asyncio.sleep(PLACE_PAUSE)
                    continue
                outcome = self._no_back_end(course, choice)
                return self._final(course, outcome, connection)
            if choice.needs_load:
                await self._load(course, choice.state)
                continue
            outcome = await self._attempt(course, choice.state, connection)
            if outcome is None:
                return None
            if isinstance(outcome, Unknown):
                course.may_have_run = True
            if not self._may_send_again(course, outcome):
                return self._final(course, outcome, connection)
            if outcome.code == "rejected":
                await asyncio.sleep(RESEND_PAUSE)

    def _may_wait_for_load(self, course, refusal, at):
        """Return whether a place or a holder of orders may still turn up in time."""
        if refusal.reason != "cannot_load" or course.left(at) < PLACE_WAIT:
            return False
        if not course.unloadable and not self._fleet.is_fresh(at):
            return False
        if course.waits_since is None:
            course.waits_since = at
        return at - course.waits_since < PLACE_WAIT

    def _final(self, course, outcome, connection):
        """Return the outcome to answer with, ``None`` when a back end's was used."""
        if course.failure is not None and course.head is None:
            head, body = course.failure
            connection.answer(head.status, head.headers, body)
            return None
        if isinstance(outcome, NotRun) and course.may_have_run:
            return Unknown(502, outcome.code, outcome.message)
        return outcome

    def _choose(self, course, at):
        demand = course.demand
        states = self._fleet.usable(course.service)
        version, learned_at = self._fleet.version_of(demand.held_name)
        facts = ChoiceFacts(
            zone=self._fleet.zone,
            version=version,
            version_age=at - learned_at,
            excluded=self._excluded(course),
            unloadable=self._fleet.unloadable(states, at) | course.unloadable,
            cold_sends=self._fleet.cold_sends(course.service, at),
        )
        return choose_back_end(states, demand, facts, at)

    def _excluded(self, course):
        """Return the back ends that may not get the request any more."""
        excluded = frozenset(course.excluded)
        if len(set(course.visited)) < course.route.attempts:
            return excluded
        names = {state.name for state in self._fleet.usable(course.service)}
        return excluded | (names - set(course.visited))

    async def _load(self, course, state):
        demand = course.demand
        seconds = course.left(now()) * LOAD_WAIT_SHARE
        started = now()
        outcome = await self._fleet.ensure(
            state, demand.model, demand.adapter, max(0.05, seconds)
        )
        if not outcome.is_held:
            course.unloadable.add(state.name)
        self._log.write(
            "load",
            "loaded" if outcome.is_held else "lost",
            request=course.id,
            engine=state.name,
            adapter=demand.adapter,
            why=outcome.reason,
            seconds=round(now() - started, 4),
        )

    def _may_send_again(self, course, outcome):
        if course.sends >= MOST_SENDS or course.left(now()) <= 0.0:
            return False
        if isinstance(outcome, Unknown) and not course.route.is_idempotent:
            return False
        if isinstance(outcome, NotRun) and outcome.code == "unreachable":
            return True
        if not self._fleet.spend_retry(course.service, now()):
            self._metrics.count("retries.over_budget")
            return False
        self._metrics.count("retries")
        return True

    async def _attempt(self, course, state, connection):
        """Send the request once; return ``None`` when the answer was sent."""
        started = now()
        demand = course.demand
        is_fresh = not course.route.is_idempotent
        try:
            upstream = await self._pool.acquire(
                state.back_end.address, started, is_fresh
            )
        except ConnectError as error:
            state.note_failure(now(), 2.0)
            self._note_end(course, state, "unreachable", started, error.message)
            course.excluded.add(state.name)
            return NotRun(503, "unreachable", error.message, 0.1, can_retry=True)
        course.sends += 1
        course.visited.append(state.name)
        state.begin(demand, started)
        progress = _Progress()
        try:
            return await self._exchange(course, state, upstream, connection, progress)
        finally:
            if not progress.is_whole:
                upstream.abort()
            self._pool.release(upstream, now())
            state.end(demand, progress.has_first, now())

    async def _exchange(self, course, state, upstream, connection, progress):
        started = now()
        is_stream = course.route.kind == STREAM
        silence = self._first_silence(course, started)
        try:
            upstream.send(
                self._encode(course, state, started),
                course.request.method,
                lambda reply: self._answer_head(reply, course, state).is_ours,
            )
            async with asyncio.timeout(silence):
                reply = await upstream.head()
        except ResponseError as error:
            return self._lost(course, state, started, "broken", error.message)
        except TimeoutError:
            return self._lost(course, state, started, "silent", "no answer")
        head = self._answer_head(reply, course, state)
        if head.has_not_run:
            return self._rejected(course, state, head, started)
        if is_stream and head.is_success:
            return await self._follow(
                course, state, upstream, connection, progress, head, started
            )
        return await self._whole(
            course, state, upstream, connection, progress, head, started
        )

    def _first_silence(self, course, at):
        left = course.left(at)
        if not course.route.is_idempotent:
            return left
        if course.route.kind == STREAM:
            return min(left, FIRST_EVENT_SILENCE)
        return min(left, max(ANSWER_SILENCE_LEAST, left * ANSWER_SILENCE_SHARE))

    def _encode(self, course, state, at):
        request = course.request
        headers = self._dialect.forwarded_headers(
            request.headers,
            course.demand,
            state.back_end,
            course.customer.name if course.customer else "",
            course.priority,
            course.left(at),
            course.events.last_event,
        )
        return encode_request(request.method, request.path, headers, request.body)

    def _answer_head(self, reply, course, state):
        return self._dialect.answer_head(reply, course.id, state.back_end)

    async def _whole(
        self, course, state, upstream, connection, progress, head, started
    ):
        """Read a whole answer, then pass it on."""
        try:
            async with asyncio.timeout(course.left(now())):
                body = await upstream.read_all()
        except ResponseError as error:
            return self._lost(course, state, started, "broken", error.message)
        except TimeoutError:
            return self._lost(course, state, started, "silent", "answer not complete")
        progress.is_whole = True
        if 200 <= head.status < 300 and not head.is_signed:
            return self._lost(course, state, started, "broken", "no signature")
        if head.status >= 500:
            if course.route.is_idempotent and course.head is None:
                course.failure = (head, body)
                return self._lost(course, state, started, "failed", str(head.status))
        else:
            state.note_success(now(), now() - started)
        if course.head is not None:
            return self._lost(course, state, started, "broken", "not a stream")
        connection.answer(head.status, head.headers, body)
        self._note_end(course, state, "answered", started, str(head.status))
        return None

    async def _follow(
        self, course, state, upstream, connection, progress, head, started
    ):
        """Pass on the events of a stream as they arrive."""
        events = course.events
        events.restart()
        silence = self._first_silence(course, now())
        gap = GAP_SILENCE if course.route.can_resume else 1e9
        try:
            while True:
                left = course.left(now())
                async with asyncio.timeout(min(left, silence)):
                    data = await upstream.read()
                if not data:
                    break
                whole = events.feed(data)
                if events.is_too_long:
                    return self._lost(course, state, started, "broken", "endless event")
                if not whole:
                    continue
                course.note_event(now())
                if not progress.has_first:
                    progress.has_first = True
                    state.note_first_byte(course.demand)
                    state.note_success(now(), now() - started)
                    silence = gap
                self._pass_on(course, connection, head, whole)
        except ResponseError as error:
            return self._lost(course, state, started, "broken", error.message)
        except TimeoutError:
            return self._lost(course, state, started, "silent", "no further event")
        progress.is_whole = True
        self._pass_on(course, connection, head, events.rest)
        connection.end()
        self._note_end(course, state, "answered", started, "stream")
        return None

    @staticmethod
    def _pass_on(course, connection, head, data):
        if course.head is None:
            course.head = head
            connection.write_head(head.status, head.headers)
        if data:
            connection.write(data)

    def _lost(self, course, state, started, how, message):
        """Record an answer that did not come whole; return an `Unknown`."""
        state.note_failure(now())
        self._note_end(course, state, how, started, message)
        if len(set(course.visited)) < course.route.attempts:
            course.excluded.add(state.name)
        status = 504 if course.left(now()) <= 0.0 else 502
        return Unknown(status, how, message)

    def _rejected(self, course, state, head, started):
        """Record that a back end says it did not run the request."""
        self._note_end(course, state, "rejected", started, str(head.status))
        if head.is_other_back_end:
            state.note_failure(now(), 4.0)
            course.excluded.add(state.name)
        elif head.status == 421:
            state.adapters.pop(course.demand.held_name, None)
            self._fleet.note_missing(state, course.demand.held_name)
        else:
            state.note_failure(now(), 0.5)
            if len(set(course.visited)) < course.route.attempts:
                course.excluded.add(state.name)
        return NotRun(503, "rejected", "the back end is full", 0.3, can_retry=True)

    def _no_back_end(self, course, refusal):
        if course.may_have_run:
            return Unknown(502, refusal.reason, "no further back end may be asked")
        return NotRun(503, refusal.reason, "no back end", refusal.retry_after)

    def _settle(self, course, outcome):
        """Give the budget back for a request that did not run."""
        if isinstance(outcome, NotRun) and not course.may_have_run:
            if course.customer is not None:
                self._fleet.give_back_budget(
                    course.customer, _cost(course.customer, course.demand)
                )

    def _answer_outcome(self, request, connection, outcome, request_id):
        self._metrics.count(f"refused.{outcome.code}")
        event = "refused" if isinstance(outcome, NotRun) else "failed"
        self._log.write(
            "entry",
            event,
            request=request_id,
            why=outcome.code,
            status=outcome.status,
            message=outcome.message,
        )
        if connection.has_answered:
            connection.abort()
            return
        headers = self._dialect.refusal_headers(request_id)
        if isinstance(outcome, NotRun) and outcome.retry_after:
            headers.append((b"Retry-After", b"%.3f" % outcome.retry_after))
        connection.answer(outcome.status, headers)

    def _note_end(self, course, state, event, started, message):
        seconds = now() - started
        self._metrics.observe(event, course.route.kind, seconds)
        self._log.write(
            "send",
            event,
            request=course.id,
            back_end=state.name,
            sends=course.sends,
            events=course.events.count,
            seconds=round(seconds, 4),
            first=round((course.first_at or now()) - course.request.arrived, 4),
            gap=round(course.worst_gap, 4),
            detail=message,
        )


@dataclass
class _Progress:
    """How far one send came."""

    has_first: bool = False
    is_whole: bool = False


def _priority(route, customer):
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def _cost(customer, demand):
    """Return what the request takes from its customer's budget."""
    if not customer.budget.counts_tokens:
        return 1
    return demand.tokens or customer.budget.plain_tokens


def _timed_out(course):
    if course.may_have_run:
        return Unknown(504, "deadline", "the deadline passed")
    return NotRun(503, "deadline", "no back end was free in time")
