"""
rosemarypath.forwarding
~~~~~~~~~~~~~~~~~~~~~~~

A request's way: admit, choose, load, send, and again where that is allowed.
"""

import asyncio

from rosemarypath.choice import ChoiceFacts, Refusal, choose_back_end
from rosemarypath.clock import now
from rosemarypath.outcome import NotRun, Unknown
from rosemarypath.sending import WITHDRAWN, Sender

__all__ = ["Forwarder"]

UNSENT = frozenset({"unreachable", WITHDRAWN})
MOST_SENDS = 6  # sends of one request, rejected ones included
RESEND_PAUSE = 0.02  # seconds before a back end that rejected a request is asked again
LOAD_WAIT_SHARE = 0.6  # part of the time left that a request waits for a load
LOAD_WAIT_MOST = 1.5  # seconds; some loads from a busy store, then another engine
LOAD_WAIT_LEAST = 0.05  # seconds; a load from an engine's own memory takes as long
PLACE_WAIT = 1.0  # seconds; streams that end free places of adapters by then
PLACE_PAUSE = 0.1  # seconds between two looks for a place


class Forwarder:
    """
    Answers callers' requests by way of back ends.

    Options:

    `dialect`
        Writes and judges headers.
    `pool`
        The `ConnectionPool`.
    `fleet`
        The `FleetView`: configuration, back ends, budgets and loads as known here.
    `admission`
        The `Admission`.
    `log`, `metrics`
        The `DecisionLog` and the counters.
    """

    def __init__(self, dialect, pool, fleet, admission, log, metrics):
        self._dialect = dialect
        self._fleet = fleet
        self._admission = admission
        self._sender = Sender(dialect, pool, fleet, log, metrics)
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
        context = self._admission.admit(request)
        if isinstance(context, NotRun):
            request_id = self._dialect.request_id(request.headers)
            self._answer_outcome(request, connection, context, request_id)
            return
        try:
            outcome = await self._run(context, connection)
        except asyncio.CancelledError:
            self._note_left(context)
            raise
        failure = outcome.code if outcome else context.failure_code
        self._metrics.record_request(context, failure)
        if outcome is not None:
            self._admission.refund_if_not_run(context, outcome)
            self._answer_outcome(request, connection, outcome, context.id)

    def _note_left(self, context):
        """Log what a request waited for when its caller left."""
        self._log.write(
            "entry",
            "left",
            request=context.id,
            stage=context.stage,
            back_end=context.stage_back_end,
            waited=round(now() - context.stage_at, 4),
            events=context.events.event_count,
        )

    async def _run(self, context, connection):
        """Try back ends until the answer is sent (``None``) or an outcome stands."""
        while True:
            at = now()
            if context.remaining(at) <= 0.0:
                return _timed_out(context)
            choice = self._choose(context, at)
            if isinstance(choice, Refusal):
                if self._may_wait_for_load(context, choice, at):
                    context.load_blocked.clear()
                    context.enter_stage("place", "", at)
                    await asyncio.sleep(PLACE_PAUSE)
                    continue
                outcome = self._no_back_end(context, choice)
                return self._final(context, outcome, connection)
            if choice.needs_load:
                context.enter_stage("load", choice.state.name, at)
                await self._load(context, choice.state)
                continue
            context.enter_stage("send", choice.state.name, at)
            outcome = await self._sender.send(context, choice.state, connection)
            if outcome is None:
                return None
            if isinstance(outcome, Unknown):
                context.may_have_run = True
            if not self._may_send_again(context, outcome):
                return self._final(context, outcome, connection)
            if outcome.code == "rejected":
                await asyncio.sleep(RESEND_PAUSE)

    def _may_wait_for_load(self, context, refusal, at):
        """Return whether a place or a holder of orders may still turn up in time."""
        if refusal.reason != "cannot_load" or context.remaining(at) < PLACE_WAIT:
            return False
        if not context.load_blocked and not self._fleet.is_starting(at):
            return False
        if context.place_wait_started is None:
            context.place_wait_started = at
        return at - context.place_wait_started < PLACE_WAIT

    def _final(self, context, outcome, connection):
        """Return the outcome to answer with, ``None`` when a back end's was used."""
        if context.failure is not None and context.head is None:
            head, body = context.failure
            connection.answer(head.status, head.headers, body)
            self._log.write("entry", "passed", request=context.id, status=head.status)
            return None
        if isinstance(outcome, NotRun) and context.may_have_run:
            return Unknown(502, outcome.code, outcome.message)
        return outcome

    def _choose(self, context, at):
        demand = context.demand
        states = self._fleet.usable_states(context.service, at)
        version, learned_at = self._fleet.version_of(demand.adapter_key)
        facts = ChoiceFacts(
            zone=self._fleet.zone,
            version=version,
            version_age=at - learned_at,
            version_grace=self._fleet.version_grace,
            excluded=self._excluded(context, states),
            load_blocked=self._fleet.load_blocked_engines(states, at)
            | context.load_blocked,
            load_failures=self._fleet.recent_load_failures(at),
            cold_rate_limit=self._fleet.cold_rate_limit(context.service, at),
        )
        return choose_back_end(states, demand, facts, at)

    @staticmethod
    def _excluded(context, states):
        """Return the back ends that may not get the request any more."""
        excluded = frozenset(context.excluded)
        if len(set(context.tried)) < context.route.attempts:
            return excluded
        names = {state.name for state in states}
        return excluded | (names - set(context.tried))

    async def _load(self, context, state):
        demand = context.demand
        seconds = min(LOAD_WAIT_MOST, context.remaining(now()) * LOAD_WAIT_SHARE)
        started = now()
        outcome = await self._fleet.ensure_loaded(
            state, demand.model, demand.adapter, max(LOAD_WAIT_LEAST, seconds)
        )
        context.load_seconds += now() - started
        if not outcome.is_loaded:
            context.load_blocked.add(state.name)
        self._log.write(
            "load",
            "loaded" if outcome.is_loaded else "lost",
            request=context.id,
            engine=state.name,
            adapter=demand.adapter,
            why=outcome.reason,
            seconds=round(now() - started, 4),
        )

    def _may_send_again(self, context, outcome):
        if context.sends >= MOST_SENDS or context.remaining(now()) <= 0.0:
            return False
        if isinstance(outcome, Unknown) and not context.route.is_idempotent:
            return False
        # Neither reached a back end, so that no bound on repeated sends applies.
        if isinstance(outcome, NotRun) and outcome.code in UNSENT:
            return True
        if not self._fleet.withdraw_retry(context.service, now()):
            self._metrics.count("retries.over_budget")
            return False
        self._metrics.count("retries")
        return True

    def _no_back_end(self, context, refusal):
        if context.may_have_run:
            return Unknown(502, refusal.reason, "no further back end may be asked")
        return NotRun(503, refusal.reason, "no back end", refusal.retry_after)

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
            **dict(outcome.log_fields),
        )
        if connection.has_answered:
            connection.abort()
            return
        headers = self._dialect.refusal_headers(request_id)
        if isinstance(outcome, NotRun) and outcome.retry_after:
            headers.append((b"Retry-After", b"%.3f" % outcome.retry_after))
        connection.answer(outcome.status, headers)


def _timed_out(context):
    if context.may_have_run:
        return Unknown(504, "deadline", "the deadline passed")
    return NotRun(503, "deadline", "no back end was free in time")
