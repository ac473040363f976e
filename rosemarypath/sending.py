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
from rosemarypath.requestcontext import Send
from rosemarypath.routing import STREAM

__all__ = ["WITHDRAWN", "Sender"]

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
WITHDRAWN = "withdrawn"  # the back end may not get the request any more


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
        send = Send(context, state, now(), connection)
        is_fresh = not context.route.is_idempotent
        try:
            send.upstream = await self._pool.acquire(
                state.back_end.address, send.started, is_fresh
            )
        except ConnectError as error:
            return self._unreachable(send, error.message)
        # The time to connect is no part of the answer's.
        send.connect_seconds = now() - send.started
        send.started = now()
        if not self._fleet.accepts_request(state, send.started):
            return self._withdrawn(send)
        context.sends += 1
        context.tried.append(state.name)
        state.begin_request(context.demand, send.started)
        try:
            return await self._exchange(send)
        finally:
            if not send.is_complete:
                send.upstream.abort()
            self._pool.release(send.upstream, now())
            state.end_request(context.demand, send.has_first_event, now())

    async def _exchange(self, send):
        context = send.context
        try:
            send.upstream.send(
                self._encode(send),
                context.request.method,
                lambda reply: self._answer_head(send, reply).matches_request,
            )
            async with asyncio.timeout(self._first_silence(context, send.started)):
                reply = await send.upstream.head()
        except ResponseError as error:
            return self._lost(send, "broken", error.message)
        except TimeoutError:
            return self._lost(send, "silent", "no answer")
        send.head = self._answer_head(send, reply)
        if send.head.has_not_run:
            return self._rejected(send)
        if context.route.kind == STREAM and send.head.is_success:
            return await self._follow(send)
        return await self._whole(send)

    def _first_silence(self, context, at):
        left = context.remaining(at)
        if not context.route.is_idempotent:
            return left
        if context.route.kind == STREAM:
            return min(left, FIRST_EVENT_SILENCE)
        return min(left, max(ANSWER_SILENCE_LEAST, left * ANSWER_SILENCE_SHARE))

    def _encode(self, send):
        context = send.context
        request = context.request
        headers = self._dialect.forwarded_headers(
            request.headers,
            context.demand,
            send.state.back_end,
            context.customer.name if context.customer else "",
            context.priority,
            context.remaining(send.started),
            context.events.last_event_id,
        )
        return encode_request(request.method, request.path, headers, request.body)

    def _answer_head(self, send, reply):
        return self._dialect.decode_answer_head(
            reply, send.context.id, send.state.back_end
        )

    async def _whole(self, send):
        """Read a whole answer, then pass it on."""
        context, head = send.context, send.head
        try:
            async with asyncio.timeout(context.remaining(now())):
                body = await send.upstream.read_all()
        except ResponseError as error:
            return self._lost(send, "broken", error.message)
        except TimeoutError:
            return self._lost(send, "silent", "answer not complete")
        send.is_complete = True
        if 200 <= head.status < 300 and not head.is_signed:
            return self._lost(send, "broken", "no signature")
        if head.status >= 500:
            if context.route.is_idempotent and context.head is None:
                context.failure = (head, body)
                return self._lost(send, "failed", str(head.status))
        else:
            send.state.note_success(now(), now() - send.started)
        if context.head is not None:
            return self._lost(send, "broken", "not a stream")
        context.note_event(now())
        send.caller.answer(head.status, head.headers, body)
        self._note_end(send, "answered", str(head.status))
        return None

    async def _follow(self, send):
        """Pass on the events of a stream as they arrive."""
        context = send.context
        events = context.events
        events.drop_partial()
        silence = self._first_silence(context, now())
        gap = GAP_SILENCE if context.route.can_resume else float("inf")
        try:
            while True:
                async with asyncio.timeout(min(context.remaining(now()), silence)):
                    data = await send.upstream.read()
                if not data:
                    break
                whole = events.feed(data)
                if events.is_too_long:
                    return self._lost(send, "broken", "endless event")
                if not whole:
                    continue
                context.note_event(now())
                if not send.has_first_event:
                    self._note_first(send)
                    silence = gap
                self._pass_on(send, whole)
        except ResponseError as error:
            return self._lost(send, "broken", error.message)
        except TimeoutError:
            return self._lost(send, "silent", "no further event")
        send.is_complete = True
        self._pass_on(send, events.partial)
        send.caller.end()
        self._note_end(send, "answered", "stream")
        return None

    @staticmethod
    def _note_first(send):
        """Record that the prompt was read and the first event came."""
        send.has_first_event = True
        send.state.note_first_byte(send.context.demand)
        send.state.note_success(now(), now() - send.started)

    @staticmethod
    def _pass_on(send, data):
        if send.context.head is None:
            send.context.head = send.head
            send.caller.write_head(send.head.status, send.head.headers)
        if data:
            send.caller.write(data)

    def _unreachable(self, send, message):
        """Record that no connection could be made; return a `NotRun`."""
        send.state.note_failure(now(), UNREACHABLE_WEIGHT)
        self._note_end(send, "unreachable", message)
        send.context.excluded.add(send.state.name)
        return NotRun(503, "unreachable", message, UNREACHABLE_RETRY, True)

    def _withdrawn(self, send):
        """Record that the back end stopped taking work while it was connected to."""
        self._pool.release(send.upstream, now())
        self._note_end(send, WITHDRAWN, "")
        return NotRun(503, WITHDRAWN, "the back end left", UNREACHABLE_RETRY, True)

    def _lost(self, send, how, message):
        """Record an answer that did not come whole; return an `Unknown`."""
        send.state.note_failure(now())
        self._note_end(send, how, message)
        self._exclude_if_others_may(send)
        status = 504 if send.context.remaining(now()) <= 0.0 else 502
        return Unknown(status, how, message)

    def _rejected(self, send):
        """Record that a back end says it did not run the request."""
        context, state, head = send.context, send.state, send.head
        self._note_end(send, "rejected", str(head.status))
        if head.is_other_back_end:
            state.note_failure(now(), OTHER_WEIGHT)
            context.excluded.add(state.name)
        elif head.status == MISDIRECTED:
            state.adapters.pop(context.demand.adapter_key, None)
            self._fleet.note_missing(state, context.demand.adapter_key)
        else:
            state.note_failure(now(), REJECTED_WEIGHT)
            self._exclude_if_others_may(send)
        return NotRun(503, "rejected", "the back end is full", REJECTED_RETRY, True)

    @staticmethod
    def _exclude_if_others_may(send):
        """Ask another back end next, unless the route allows no further one."""
        context = send.context
        if len(set(context.tried)) < context.route.attempts:
            context.excluded.add(send.state.name)

    def _note_end(self, send, event, message):
        context = send.context
        seconds = now() - send.started
        self._metrics.observe(event, context.route.kind, seconds)
        self._log.write(
            "send",
            event,
            request=context.id,
            back_end=send.state.name,
            sends=context.sends,
            events=context.events.event_count,
            seconds=round(seconds, 4),
            connecting=round(send.connect_seconds, 4),
            first=round((context.first_event_at or now()) - context.request.arrived, 4),
            gap=round(context.longest_gap, 4),
            detail=message,
        )
