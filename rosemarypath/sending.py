"""
rosemarypath.sending
~~~~~~~~~~~~~~~~~~~~

One send of a request to a back end, and following its answer to the end.
"""

import asyncio

from rosemarypath.clock import now
from rosemarypath.errors import ConnectError, ResponseError
from rosemarypath.httpclient import encode_request
from rosemarypath.outcome import NotRun, Unknown
from rosemarypath.requestcontext import Progress
from rosemarypath.routing import STREAM

__all__ = ["Sender"]

FIRST_EVENT_SILENCE = 1.6  # seconds; callers leave a silent stream after about 2.4
GAP_SILENCE = 1.2  # seconds between two events after which a stream moves on
ANSWER_SILENCE_SHARE = 0.5  # part of the time after which an idempotent call moves on
ANSWER_SILENCE_LEAST = 0.7  # seconds; a slow but sound back end answers before
UNREACHABLE_WEIGHT = 2.0  # failures that a refused connection counts as
OTHER_WEIGHT = 4.0  # the same for an address that another back end has now
REJECTED_WEIGHT = 0.5  # the same for a request that a back end did not take
REJECTED_RETRY = 0.3  # seconds after which a full back end has room again
UNREACHABLE_RETRY = 0.1  # seconds; another back end is asked meanwhile
MISDIRECTED = 421


class Sender:
    """
    Sends requests.

    Options:

    `dialect`
        Writes and judges headers.
    `pool`
        The `ConnectionPool`.
    `fleet`
        The `FleetView`.
    `log`, `metrics`
        The `DecisionLog` and the counters.
    """

    def __init__(self, dialect, pool, fleet, log, metrics):
        self._dialect = dialect
        self._pool = pool
        self._fleet = fleet
        self._log = log
        self._metrics = metrics

    async def send(self, context, state, connection):
        """Send the request once; return ``None`` when the answer was sent."""
        started = now()
        demand = context.demand
        is_fresh = not context.route.is_idempotent
        try:
            upstream = await self._pool.acquire(
                state.back_end.address, started, is_fresh
            )
        except ConnectError as error:
            state.note_failure(now(), UNREACHABLE_WEIGHT)
            self._note_end(context, state, "unreachable", started, error.message)
            context.excluded.add(state.name)
            return NotRun(503, "unreachable", error.message, UNREACHABLE_RETRY, True)
        context.sends += 1
        context.visited.append(state.name)
        state.begin(demand, started)
        progress = Progress()
        try:
            return await self._exchange(context, state, upstream, connection, progress)
        finally:
            if not progress.is_whole:
                upstream.abort()
            self._pool.release(upstream, now())
            state.end(demand, progress.has_first, now())

    async def _exchange(self, context, state, upstream, connection, progress):
        started = now()
        is_stream = context.route.kind == STREAM
        silence = self._first_silence(context, started)
        try:
            upstream.send(
                self._encode(context, state, started),
                context.request.method,
                lambda reply: self._answer_head(reply, context, state).is_ours,
            )
            async with asyncio.timeout(silence):
                reply = await upstream.head()
        except ResponseError as error:
            return self._lost(context, state, started, "broken", error.message)
        except TimeoutError:
            return self._lost(context, state, started, "silent", "no answer")
        head = self._answer_head(reply, context, state)
        if head.has_not_run:
            return self._rejected(context, state, head, started)
        if is_stream and head.is_success:
            return await self._follow(
                context, state, upstream, connection, progress, head, started
            )
        return await self._whole(
            context, state, upstream, connection, progress, head, started
        )

    def _first_silence(self, context, at):
        left = context.left(at)
        if not context.route.is_idempotent:
            return left
        if context.route.kind == STREAM:
            return min(left, FIRST_EVENT_SILENCE)
        return min(left, max(ANSWER_SILENCE_LEAST, left * ANSWER_SILENCE_SHARE))

    def _encode(self, context, state, at):
        request = context.request
        headers = self._dialect.forwarded_headers(
            request.headers,
            context.demand,
            state.back_end,
            context.customer.name if context.customer else "",
            context.priority,
            context.left(at),
            context.events.last_event,
        )
        return encode_request(request.method, request.path, headers, request.body)

    def _answer_head(self, reply, context, state):
        return self._dialect.answer_head(reply, context.id, state.back_end)

    async def _whole(
        self, context, state, upstream, connection, progress, head, started
    ):
        """Read a whole answer, then pass it on."""
        try:
            async with asyncio.timeout(context.left(now())):
                body = await upstream.read_all()
        except ResponseError as error:
            return self._lost(context, state, started, "broken", error.message)
        except TimeoutError:
            return self._lost(context, state, started, "silent", "answer not complete")
        progress.is_whole = True
        if 200 <= head.status < 300 and not head.is_signed:
            return self._lost(context, state, started, "broken", "no signature")
        if head.status >= 500:
            if context.route.is_idempotent and context.head is None:
                context.failure = (head, body)
                return self._lost(context, state, started, "failed", str(head.status))
        else:
            state.note_success(now(), now() - started)
        if context.head is not None:
            return self._lost(context, state, started, "broken", "not a stream")
        context.note_event(now())
        connection.answer(head.status, head.headers, body)
        self._note_end(context, state, "answered", started, str(head.status))
        return None

    async def _follow(
        self, context, state, upstream, connection, progress, head, started
    ):
        """Pass on the events of a stream as they arrive."""
        events = context.events
        events.restart()
        silence = self._first_silence(context, now())
        gap = GAP_SILENCE if context.route.can_resume else 1e9
        try:
            while True:
                left = context.left(now())
                async with asyncio.timeout(min(left, silence)):
                    data = await upstream.read()
                if not data:
                    break
                whole = events.feed(data)
                if events.is_too_long:
                    return self._lost(
                        context, state, started, "broken", "endless event"
                    )
                if not whole:
                    continue
                context.note_event(now())
                if not progress.has_first:
                    progress.has_first = True
                    state.note_first_byte(context.demand)
                    state.note_success(now(), now() - started)
                    silence = gap
                self._pass_on(context, connection, head, whole)
        except ResponseError as error:
            return self._lost(context, state, started, "broken", error.message)
        except TimeoutError:
            return self._lost(context, state, started, "silent", "no further event")
        progress.is_whole = True
        self._pass_on(context, connection, head, events.rest)
        connection.end()
        self._note_end(context, state, "answered", started, "stream")
        return None

    @staticmethod
    def _pass_on(context, connection, head, data):
        if context.head is None:
            context.head = head
            connection.write_head(head.status, head.headers)
        if data:
            connection.write(data)

    def _lost(self, context, state, started, how, message):
        """Record an answer that did not come whole; return an `Unknown`."""
        state.note_failure(now())
        self._note_end(context, state, how, started, message)
        if len(set(context.visited)) < context.route.attempts:
            context.excluded.add(state.name)
        status = 504 if context.left(now()) <= 0.0 else 502
        return Unknown(status, how, message)

    def _rejected(self, context, state, head, started):
        """Record that a back end says it did not run the request."""
        self._note_end(context, state, "rejected", started, str(head.status))
        if head.is_other_back_end:
            state.note_failure(now(), OTHER_WEIGHT)
            context.excluded.add(state.name)
        elif head.status == MISDIRECTED:
            state.adapters.pop(context.demand.held_name, None)
            self._fleet.note_missing(state, context.demand.held_name)
        else:
            state.note_failure(now(), REJECTED_WEIGHT)
            if len(set(context.visited)) < context.route.attempts:
                context.excluded.add(state.name)
        return NotRun(503, "rejected", "the back end is full", REJECTED_RETRY, True)

    def _note_end(self, context, state, event, started, message):
        seconds = now() - started
        self._metrics.observe(event, context.route.kind, seconds)
        self._log.write(
            "send",
            event,
            request=context.id,
            back_end=state.name,
            sends=context.sends,
            events=context.events.count,
            seconds=round(seconds, 4),
            first=round((context.first_at or now()) - context.request.arrived, 4),
            gap=round(context.worst_gap, 4),
            detail=message,
        )
