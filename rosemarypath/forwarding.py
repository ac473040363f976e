"""
rosemarypath.forwarding
~~~~~~~~~~~~~~~~~~~~~~~

Forwards a request: admission, choice, adapter load, send, and permitted retries.
"""

import asyncio

from rosemarypath.admission import stopping_refusal
from rosemarypath.clock import lease_now, now
from rosemarypath.enginecontroller import LoadOutcome
from rosemarypath.outcome import NotRun, Unknown
from rosemarypath.placement import Placement, RoomWait, missing_places
from rosemarypath.scheduling.choice import ChoiceFacts, Refusal, choose_back_end
from rosemarypath.scheduling.quarantine import CLEAR
from rosemarypath.sending import Sender
from rosemarypath.sendresults import LIMITED, WITHDRAWN

__all__ = ["Forwarder"]

NOT_SENT = frozenset({"unreachable", LIMITED, WITHDRAWN})  # no back end got the request
MAX_SENDS = 6  # per request, including those that a back end rejected
RESERVED_SENDS = 2  # of these, for requests whose back end fails
RESEND_PAUSE_SECONDS = 0.02  # before another send, after a rejected one
RESEND_PAUSE_GROWTH = 3.0  # with each rejection of a stream under way
MAX_RESEND_PAUSE_SECONDS = 0.4
POLL_SECONDS = 0.1  # between two checks whether a stream under way can be sent again
MAX_LOAD_WAIT_SECONDS = 1.5  # several loads from a busy store; then another engine
MIN_LOAD_WAIT_SECONDS = 0.05  # as long as a load from the engine's own memory takes
HOLDER_POLL_SECONDS = 0.1  # between two checks whether an engine can load again


class Forwarder:
    """
    Forwards callers' requests to back ends and answers them.

    Options:

    `dialect`
        Encodes and decodes headers.
    `pool`
        The `ConnectionPool`.
    `fleet`
        The `FleetView`: configuration, back ends, budgets and adapter loads.
    `admission`
        The `Admission`.
    `log`, `metrics`
        The `DecisionLog` and the counters.
    """

    def __init__(self, dialect, pool, fleet, admission, log, metrics):
        self._dialect = dialect
        self._fleet = fleet
        self._admission = admission
        self._placement = Placement(
            fleet, lambda *facts: self._choose_back_end(*facts), log, metrics
        )
        self._sender = Sender(
            dialect,
            pool,
            fleet,
            log,
            metrics,
            self._prepare_retry,
            self._withdraw_retry,
        )
        self._log = log
        self._metrics = metrics
        self._scopes = set()  # one `asyncio.Timeout` for each request under way

    def end_requests(self):
        """
        End the requests under way with what is known of them; return their number.

        One that was not sent, or that each back end rejected, is refused as not run.
        """
        loop = asyncio.get_running_loop()
        for scope in self._scopes:
            scope.reschedule(loop.time())
        return len(self._scopes)

    async def handle(self, request, connection):
        """Answer one request on its caller's connection."""
        try:
            await self._handle(request, connection)
        except Exception as error:  # A bug must not leave a caller waiting.
            self._log.write("entry", "error", detail=repr(error))
            self._metrics.count("errors")
            outcome = Unknown(502, "internal", "internal error")
            request_id = self._dialect.request_id(request.headers)
            self._answer_outcome(request, connection, outcome, request_id)

    async def _handle(self, request, connection):
        if request.status:
            self._log.write("entry", "rejected", status=request.status)
            headers = request.refusal_headers
            connection.answer(request.status, headers, closes=True)
            return
        context = self._admission.admit(request)
        if isinstance(context, NotRun):
            request_id = self._dialect.request_id(request.headers)
            self._answer_outcome(request, connection, context, request_id)
            return
        outcome = None
        is_counted = self._fleet.room.begin_request(context)
        try:
            outcome = await self._run_until_stop(context, connection)
        except asyncio.CancelledError:
            self._log_disconnect(context)
            raise
        finally:
            context.end_wait()
            self._sender.discard_prepared(context)
            if is_counted:
                self._fleet.room.end_request(context)
            self._admission.record_duration(context, outcome)
        failure = outcome.code if outcome else context.failure_code
        self._metrics.record_request(context, failure)
        if outcome is not None:
            self._admission.refund_if_not_run(context, outcome)
            self._answer_outcome(request, connection, outcome, context.id)

    def _log_disconnect(self, context):
        """Log what a request was waiting for when its caller disconnected."""
        self._log.write(
            "entry",
            "left",
            request=context.id,
            stage=context.stage,
            back_end=context.stage_back_end,
            waited=round(now() - context.stage_at, 4),
            events=context.events.event_count,
        )

    async def _run_until_stop(self, context, connection):
        """Try back ends until `end_requests` is called; return as `_try_back_ends`."""
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scopes.add(scope)
                return await self._try_back_ends(context, connection)
        except TimeoutError:
            if not scope.expired():
                raise
            return self._final_outcome(context, stopping_refusal(), connection)
        finally:
            self._scopes.discard(scope)

    async def _try_back_ends(self, context, connection):
        """Try back ends; return ``None`` after an answer was sent, else the outcome."""
        while True:
            at = now()
            if context.remaining(at) <= 0.0:
                return _timeout_outcome(context)
            verdict = self._verdict(context, at)
            if verdict.blocked_suspect:
                outcome = _blocked_outcome(verdict)
                return self._final_outcome(context, outcome, connection)
            if verdict.seconds > 0.0:
                context.enter_stage("quarantine", "", at)
                await asyncio.sleep(min(verdict.seconds, context.remaining(at)))
                continue
            choice = self._choose(context, at)
            if isinstance(choice, RoomWait):
                await self._placement.wait(context, choice)
                continue
            if isinstance(choice, NotRun):
                return self._final_outcome(context, choice, connection)
            if isinstance(choice, Refusal):
                if self._should_wait_for_load(context, choice, at):
                    await self._wait_for_holder(context, at)
                    continue
                # A stream that was in a crash may have caused it, and gets no wait.
                if at < context.wait_end and not context.was_in_crash:
                    await self._wait_for_back_end(context, at)
                    continue
                outcome = self._no_back_end_outcome(context, choice)
                return self._final_outcome(context, outcome, connection)
            if choice.needs_load:
                context.enter_stage("load", choice.state.name, at)
                await self._load_adapter(context, choice.state)
                continue
            self._placement.record_send(context, choice.state.name)
            context.enter_stage("send", choice.state.name, at)
            outcome = await self._sender.send(context, choice.state, connection)
            while context.prepared is not None:
                prepared, context.prepared = context.prepared, None
                context.enter_stage("send", prepared.state.name, now())
                outcome = await self._sender.run(prepared, connection)
            if outcome is None:
                return None
            if isinstance(outcome, Unknown):
                context.may_have_run = True
            if not await self._await_retry(context, outcome):
                return self._final_outcome(context, outcome, connection)
            if outcome.code == "rejected":
                await asyncio.sleep(self._resend_pause(context, now()))

    @staticmethod
    def _resend_pause(context, at):
        """
        Return the seconds to wait after a rejection.

        They grow for a stream that its caller has begun to receive, as it cannot be
        refused any more.
        """
        if context.head is None:
            return RESEND_PAUSE_SECONDS
        pause = RESEND_PAUSE_SECONDS * RESEND_PAUSE_GROWTH ** (context.rejections - 1)
        return min(pause, MAX_RESEND_PAUSE_SECONDS, max(0.0, context.wait_end - at))

    def _verdict(self, context, at):
        """Return the `Verdict` on the request; its body is hashed only if needed."""
        quarantine = self._fleet.quarantine
        if not quarantine.has_suspects:
            return CLEAR
        return quarantine.verdict(context.suspects, at)

    def _should_wait_for_load(self, context, refusal, at):
        """Return whether an engine may be able to load again in time."""
        if refusal.reason != "cannot_load" or context.load_patience(at) <= 0.0:
            return False
        return bool(context.load_blocked) or self._fleet.is_starting(at)

    @staticmethod
    async def _wait_for_holder(context, at):
        """Wait until engines that could not load are tried again."""
        context.load_blocked.clear()
        context.enter_stage("holder", "", at)
        await asyncio.sleep(HOLDER_POLL_SECONDS)
        context.load_seconds += HOLDER_POLL_SECONDS

    async def _wait_for_back_end(self, context, at):
        """
        Wait until back ends of a stream under way are tried again.

        These include the ones that failed before, as no other one can take it now.
        """
        context.load_blocked.clear()
        context.excluded.clear()
        await self._wait(context, "back_end", at)

    @staticmethod
    async def _wait(context, stage, at):
        """Wait for what a stream under way needs before it is sent again."""
        context.enter_stage(stage, "", at)
        await asyncio.sleep(min(POLL_SECONDS, max(0.0, context.wait_end - at)))

    def _final_outcome(self, context, outcome, connection):
        """
        Return the outcome to answer with.

        ``None`` means that a failure which a back end had answered was passed on.
        """
        if context.failure is not None and context.head is None:
            head, body = context.failure
            connection.answer(head.status, head.headers, body)
            self._log.write("entry", "passed", request=context.id, status=head.status)
            return None
        if isinstance(outcome, NotRun) and context.may_have_run:
            return Unknown(502, outcome.code, outcome.message)
        return outcome

    async def _prepare_retry(self, send):
        """
        Return a `Send` to another back end than the silent one of `send`.

        Returns ``None`` if none can take it over now. If one would have to load the
        adapter first, it is loaded here, and the next call decides.
        """
        context, at = send.context, now()
        if context.counted_sends >= MAX_SENDS - RESERVED_SENDS:
            return None
        if not self._fleet.has_retry(context.service, at):
            return None
        if self._verdict(context, at).is_held:
            return None
        declined = {n for n, until in context.not_offered_until.items() if until > at}
        choice = self._choose_back_end(context, at, declined | {send.state.name})
        if isinstance(choice, Refusal):
            if context.head is not None:
                context.excluded.clear()  # for the next call
            return None
        if choice.needs_load:
            await self._load_adapter(context, choice.state)
            return None
        prepared = await self._sender.prepare(context, choice.state)
        return None if isinstance(prepared, NotRun) else prepared

    def _withdraw_retry(self, context):
        """Withdraw a retry for a request that has an answer to wait for."""
        is_granted = self._fleet.withdraw_retry(
            context.service, now(), is_optional=True
        )
        if is_granted:
            self._metrics.count("retries")
        return is_granted

    def _choose(self, context, at):
        """Return where to send, a wait for room, or why the request is refused."""
        if self._fleet.room.is_measured(context.service):
            return self._placement.choose(context, at)
        return self._choose_back_end(context, at)

    def _choose_back_end(self, context, at, excluded=(), load_blocked=frozenset()):
        demand = context.demand
        states = self._fleet.usable_states(context.service, at)
        adapter = demand.adapter_key
        facts = ChoiceFacts(
            zone=self._fleet.zone,
            version=self._fleet.newest_version(adapter),
            oldest_version=self._fleet.oldest_version(adapter, lease_now()),
            excluded=self._excluded_back_ends(context, states).union(excluded),
            load_blocked=self._fleet.load_blocked_engines(states, at)
            | context.load_blocked
            | load_blocked,
            load_failures=self._fleet.recent_load_failures(at),
            cold_rate_limits=self._fleet.cold_rate_limits(states, at),
            load_patience=context.load_patience(at),
            limited=self._fleet.limited_names(states),
            measured=self._fleet.measured_service(context.service, states, at),
        )
        return choose_back_end(states, demand, facts, at)

    @staticmethod
    def _excluded_back_ends(context, states):
        """Return the names of the back ends that must not get the request again."""
        excluded = frozenset(context.excluded)
        if len(set(context.tried)) < context.route.attempts:
            return excluded
        names = {state.name for state in states}
        return excluded | (names - set(context.tried))

    async def _load_adapter(self, context, state):
        demand = context.demand
        started = now()
        seconds = min(MAX_LOAD_WAIT_SECONDS, context.load_patience(started))
        context.begin_wait(state)
        missing = missing_places(state, started)
        outcome = await self._fleet.ensure_loaded(
            state, demand.model, demand.adapter, max(MIN_LOAD_WAIT_SECONDS, seconds)
        )
        context.load_seconds += now() - started
        self._placement.record_load(
            context, missing, now() - started, outcome.is_loaded
        )
        version = self._fleet.newest_version(demand.adapter_key)
        if outcome.is_loaded and state.adapters.get(demand.adapter_key, -1) < version:
            # The next choice would be to load it here again, without any wait.
            outcome = LoadOutcome(False, "not_recorded")
        if not outcome.is_loaded:
            context.load_blocked.add(state.name)
            context.end_wait()
        self._log.write(
            "load",
            "loaded" if outcome.is_loaded else "lost",
            request=context.id,
            engine=state.name,
            adapter=demand.adapter,
            why=outcome.reason,
            seconds=round(now() - started, 4),
        )

    async def _await_retry(self, context, outcome):
        """Return whether to try again, once the retry budget has a retry for it."""
        if not _is_retryable(context, outcome, now()):
            return False
        # The request never reached a back end, so the retry budget does not apply.
        if isinstance(outcome, NotRun) and outcome.code in NOT_SENT:
            return True
        while not self._fleet.withdraw_retry(context.service, now()):
            if now() >= context.wait_end:
                self._metrics.count("retries.over_budget")
                return False
            await self._wait(context, "retry", now())
        self._metrics.count("retries")
        return True

    def _no_back_end_outcome(self, context, refusal):
        if context.may_have_run:
            return Unknown(
                502, refusal.reason, "no further back end available for a retry"
            )
        return NotRun(503, refusal.reason, "no back end available", refusal.retry_after)

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
        headers = self._dialect.refusal_headers(request_id)
        if isinstance(outcome, NotRun) and outcome.retry_after:
            headers.append((b"Retry-After", b"%.3f" % outcome.retry_after))
        connection.fail(outcome.status, headers)


def _is_retryable(context, outcome, now):
    """
    Return whether a request may be sent again, as far as it decides itself.

    A stream under way is limited by its time, not by how often it was turned away.
    """
    if context.counted_sends >= MAX_SENDS or context.remaining(now) <= 0.0:
        return False
    has_begun = context.head is not None
    if has_begun and outcome.code == "rejected" and now >= context.wait_end:
        return False
    return context.route.is_idempotent or not isinstance(outcome, Unknown)


def _blocked_outcome(verdict):
    if verdict.is_request:
        return NotRun(
            503,
            "blocked_request",
            "the request crashes back ends",
            log_fields=(
                ("suspect", verdict.blocked_suspect),
                ("crashes", verdict.crashes),
            ),
        )
    facts = (("prompt_part", verdict.blocked_suspect), ("crashes", verdict.crashes))
    return NotRun(
        503,
        "blocked_prompt",
        "a part of the prompt crashes engines",
        verdict.seconds,
        log_fields=facts,
    )


def _timeout_outcome(context):
    if context.may_have_run:
        return Unknown(504, "deadline", "deadline exceeded")
    return NotRun(503, "deadline", "no back end available before the deadline")
