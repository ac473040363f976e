"""
rosemarypath.sending
~~~~~~~~~~~~~~~~~~~~

Sends a request to one back end and passes its answer to the caller.
"""

import asyncio
import functools

from rosemarypath.clock import lease_now, now
from rosemarypath.crashrecorder import SERVER_ERROR, CrashRecorder
from rosemarypath.errors import AnswerTooLargeError, ConnectError, ResponseError
from rosemarypath.httpclient import encode_head
from rosemarypath.outcome import NotRun, Unknown
from rosemarypath.requestcontext import Send
from rosemarypath.routing import STREAM
from rosemarypath.sendresults import SendResults
from rosemarypath.streamends import find_stream_fault, is_cut_event_stream
from rosemarypath.takeover import Takeover

__all__ = ["Sender"]

# After such a silence an idempotent request moves to another back end, if one can take
# it over; else it stays, as a healthy back end may fall silent for a while and go on.
FIRST_EVENT_TIMEOUT_SECONDS = 1.6  # callers leave a silent stream after about 2.4 s
EVENT_GAP_TIMEOUT_SECONDS = 1.2  # between two events
ANSWER_TIMEOUT_SHARE = 0.5  # of the remaining time, for an idempotent call
MIN_ANSWER_TIMEOUT_SECONDS = 0.7  # a slow but healthy back end answers within this
# A second engine begins to answer within this time, while the first may go on; the
# users' rules allow both to work on a request for 0.4 s.
OFFER_SECONDS = 0.3
OFFER_PAUSE_SECONDS = 1.0  # until a back end that did not take a request is asked again
UNANSWERED_OFFER_PAUSE_SECONDS = 0.3  # the same if it only did not answer in time
MAX_SILENCE_SECONDS = 1.8  # longer than a sound engine is silent
GRANT_SECONDS = 0.5  # for which a send may use its grant
REMEDY = "try another back end"
SUPERSEDED = "superseded"  # the silent back end went on before another one answered


class Sender:
    """
    Sends requests to back ends.

    Options:

    `dialect`
        Encodes and decodes headers.
    `pool`
        The `ConnectionPool`.
    `fleet`
        The `FleetView`.
    `log`, `metrics`
        The `DecisionLog` and the counters.
    ``await prepare_retry(send)``
        Returns a `Send` to another back end that can take over the request of a silent
        one at once, ``None`` if there is none.
    ``withdraw_retry(context)``
        Returns whether a retry could be withdrawn from the budget.
    """

    def __init__(
        self, dialect, pool, fleet, log, metrics, prepare_retry, withdraw_retry
    ):
        self._takeover = Takeover(
            prepare_retry,
            withdraw_retry,
            self._may_send,
            self.offer,
            self._discard,
            log,
        )
        self._dialect = dialect
        self._pool = pool
        self._fleet = fleet
        self._results = SendResults(fleet, log, metrics)
        self._crashes = CrashRecorder(pool, fleet.quarantine, log)

    async def send(self, context, state, connection):
        """
        Send the request once.

        Returns ``None`` when the answer was sent to the caller, else a `NotRun` or an
        `Unknown`.
        """
        send = await self.prepare(context, state)
        if isinstance(send, NotRun):
            return send
        return await self.run(send, connection)

    async def prepare(self, context, state):
        """Acquire a grant and a connection; return a `Send`, or a `NotRun`."""
        send = Send(context, state, now())
        if self._fleet.has_limit(state):
            context.enter_stage("grant", state.name, send.started)
            seconds = await self._fleet.grants.acquire(state.incarnation)
            if seconds > 0.0:
                return self._results.limited(send, seconds)
            send.granted_at = lease_now()
            context.enter_stage("send", state.name, now())
        is_fresh = not context.route.is_idempotent
        try:
            send.upstream = await self._pool.acquire(
                state.back_end.address, send.started, is_fresh
            )
        except ConnectError as error:
            return self._results.unreachable(send, error.message)
        # The latency of the answer excludes the time to connect.
        send.connect_seconds = now() - send.started
        return send

    async def run(self, send, connection):
        """Send a prepared request, or go on with one that was taken; see `send`."""
        context = send.context
        send.caller = connection
        if not send.is_begun and not self._begin(send):
            return self._results.withdrawn(send)
        context.events = send.events
        try:
            outcome = await self._exchange(send)
            if send.has_lost_connection:
                await self._crashes.record_crash(send)
            elif send.is_complete:
                self._crashes.record_complete(send, outcome is None)
            return outcome
        except asyncio.CancelledError:
            context.may_have_run = True
            raise
        finally:
            self._end(send)

    def _begin(self, send):
        """Count a send as running; return whether it may begin."""
        context, state = send.context, send.state
        send.started = now()
        if not self._may_send(send):
            self._pool.release(send.upstream, now())
            return False
        send.is_begun = True
        send.events = context.events.resumed()
        context.sends += 1
        context.tried.append(state.name)
        state.begin_request(context.demand, send.started)
        if send.granted_at is None:
            self._fleet.rate_limits.record_send(state.incarnation, send.started)
        context.end_wait()
        return True

    def _end(self, send):
        """Release the connection of a send, and count it as ended."""
        if send.is_ended:
            return
        send.is_ended = True
        if send.is_begun and not send.is_complete:
            send.upstream.abort()
        self._pool.release(send.upstream, now())
        if send.is_begun:
            demand = send.context.demand
            send.state.end_request(demand, send.has_first_event, now())

    async def offer(self, send, former):
        """
        Send a prepared request while the silent `former` send may still be answered.

        Returns whether it was taken: the first event of a stream, or a whole answer
        that is no error, has come. No two engines may work on a request for long, so
        that an engine without an answer is given up soon, or, if the former one has
        been silent for too long by then, trusted.
        """
        context = send.context
        if not self._begin(send):
            self._results.withdrawn(send)
            return False
        try:
            outcome = await self._await_taking(send, former)
        except asyncio.CancelledError:
            context.may_have_run = True
            self._results.log_end(send, SUPERSEDED, "")
            self._end(send)
            raise
        send.is_taken = outcome is None
        context.may_have_run |= not isinstance(outcome, NotRun)
        if not send.is_taken:
            self._end(send)
        if send.has_lost_connection:
            await self._crashes.record_crash(send)
        return send.is_taken

    async def _await_taking(self, send, former):
        """Return ``None`` once the back end has taken the request, else a failure."""
        context = send.context
        is_stream = context.route.kind == STREAM
        seconds = OFFER_SECONDS if is_stream else self._first_timeout(context, now())
        try:
            async with asyncio.timeout(min(seconds, context.remaining(now()))):
                return await self._read_beginning(send, is_stream)
        except TimeoutError:
            silent_since = max(context.last_event_at, former.started)
            if is_stream and now() - silent_since >= MAX_SILENCE_SECONDS:
                return None
            pause = UNANSWERED_OFFER_PAUSE_SECONDS
            context.not_offered_until[send.state.name] = now() + pause
            self._results.log_end(send, "silent", "not taken over in time")
            return Unknown(504, "silent", "not taken over in time")

    async def _read_beginning(self, send, is_stream):
        """Read the first event or the whole answer; return a failure or ``None``."""
        pause_until = now() + OFFER_PAUSE_SECONDS
        send.context.not_offered_until[send.state.name] = pause_until
        outcome = await self._read_head(send, _receive_now)
        if outcome is not None:
            return outcome
        if not send.head.is_success or not send.head.is_signed:
            return self._results.unknown(send, "broken", str(send.head.status))
        try:
            if is_stream:
                send.first_events = await self._read_events(send)
            else:
                send.body = await self._read_body(send)
        except ResponseError as error:
            return self._broken_off(send, error)
        return None

    def discard_prepared(self, context):
        """Drop the send that was to take a request over, if it was not used."""
        if context.prepared is not None:
            self._discard(context.prepared)
            context.prepared = None

    def _discard(self, send):
        """Drop a prepared or taken send that is not needed."""
        self._end(send)
        send.context.end_wait()

    def _may_send(self, send):
        """Return whether the back end and the request are still eligible."""
        quarantine = self._fleet.quarantine
        if quarantine.has_suspects:
            verdict = quarantine.verdict(send.context.suspects, now())
            if verdict.blocked_suspect:
                return False
        is_granted = send.granted_at is not None
        if is_granted and lease_now() - send.granted_at > GRANT_SECONDS:
            return False
        return self._fleet.accepts_request(send.state, is_granted, now())

    async def _exchange(self, send):
        if send.head is None:
            outcome = await self._read_head(send, self._receive)
            if outcome is not None:
                return outcome
        if send.context.route.kind == STREAM and send.head.is_success:
            return await self._answer_stream(send)
        return await self._answer_whole(send)

    async def _read_head(self, send, receive):
        """Send the request and read the head of its answer; return any failure."""
        context = send.context
        try:
            if not send.is_sent:
                self._write_request(send)
            due = send.started + self._first_timeout(context, send.started)
            reply = await receive(send, send.upstream.head, due)
        except ResponseError as error:
            send.has_lost_connection = True
            return self._results.unknown(send, "broken", error.message)
        except TimeoutError:
            return self._results.unknown(send, "silent", "no answer before the timeout")
        send.head = self._answer_head(send, reply)
        if send.head.feedback is not None:
            self._fleet.record_feedback(
                send.state, send.head.feedback, send.started, now()
            )
        return self._results.rejected(send) if send.head.has_not_run else None

    def _write_request(self, send):
        send.is_sent = True
        send.upstream.send(
            self._encode_head(send),
            send.context.request.method,
            lambda reply: self._is_answer(send, reply),
            send.context.request.body,
        )

    async def _receive(self, send, receive, due):
        """
        Return what ``await receive()`` returns.

        Raises `TimeoutError` at the deadline, or after the time `due` as soon as
        another back end can take the request over.
        """
        at = now()
        left = min(due - at, send.context.remaining(at))
        try:
            async with asyncio.timeout(left):
                return await receive()
        except TimeoutError:
            is_final = not send.context.route.is_idempotent
            if is_final or send.context.remaining(now()) <= 0.0:
                raise
        self._results.record_silence(send)
        return await self._takeover.receive(send, receive)

    def _first_timeout(self, context, at):
        left = context.remaining(at)
        if not context.route.is_idempotent:
            return left
        if context.route.kind == STREAM:
            return min(left, FIRST_EVENT_TIMEOUT_SECONDS)
        return min(left, max(MIN_ANSWER_TIMEOUT_SECONDS, left * ANSWER_TIMEOUT_SHARE))

    def _encode_head(self, send):
        context = send.context
        request = context.request
        headers = self._dialect.forwarded_headers(
            request.headers,
            context.demand,
            send.state.back_end,
            context.customer.name if context.customer else "",
            context.priority,
            context.remaining(send.started),
            send.events.last_event_id,
        )
        length = len(request.body)
        return encode_head(request.method, request.path, headers, length)

    def _is_answer(self, send, reply):
        """Return whether a reply belongs to the request, not to an earlier one."""
        head = self._answer_head(send, reply)
        is_certain = head.is_identified or send.upstream.is_first_exchange
        return head.matches_request and is_certain

    def _answer_head(self, send, reply):
        return self._dialect.decode_answer_head(
            reply, send.context.id, send.state.back_end
        )

    async def _answer_whole(self, send):
        """Read the complete answer, then pass it to the caller."""
        context, head = send.context, send.head
        try:
            async with asyncio.timeout(context.remaining(now())):
                body = send.body
                if body is None:
                    body = await self._read_body(send)
        except ResponseError as error:
            return self._broken_off(send, error)
        except TimeoutError:
            return self._results.unknown(
                send, "silent", "answer incomplete at the deadline"
            )
        send.is_complete = True
        if 200 <= head.status < 300 and not head.is_signed:
            return self._results.unknown(send, "broken", "answer without signature")
        if context.route.kind != STREAM:
            self._fleet.record_begun(context)
        if head.status >= SERVER_ERROR:
            if context.route.is_idempotent and context.head is None:
                context.failure = (head, body)
                return self._results.unknown(send, "failed", str(head.status))
        else:
            send.state.record_success(now(), now() - send.started)
        if context.head is not None:
            return self._results.unknown(
                send, "broken", "answer to a resumed stream is not a stream"
            )
        context.record_event(now())
        send.caller.answer(head.status, head.headers, body)
        self._results.log_end(send, "answered", str(head.status))
        return None

    async def _answer_stream(self, send):
        """Pass the events of a stream to the caller as they arrive."""
        events = send.events
        gap_timeout = (
            EVENT_GAP_TIMEOUT_SECONDS if send.context.route.can_resume else float("inf")
        )
        event_due = now() + self._first_timeout(send.context, now())
        read = functools.partial(self._read_events, send)
        try:
            complete_events = send.first_events
            if complete_events is None:
                complete_events = await self._receive(send, read, event_due)
            while complete_events:
                self._pass_on(send, complete_events)
                event_due = now() + gap_timeout
                complete_events = await self._receive(send, read, event_due)
        except AnswerTooLargeError as error:
            return self._results.unknown(send, "broken", error.message)
        except ResponseError as error:
            return self._broken_off(send, error)
        except TimeoutError:
            return self._results.unknown(
                send, "silent", "no further event before the timeout"
            )
        send.is_complete = True
        self._write_stream(send, events.partial)
        send.caller.end()
        self._results.log_end(send, "answered", "stream")
        return None

    def _broken_off(self, send, error):
        """Record an answer that its back end broke off; return an `Unknown`."""
        # After an answer that its framing ended, the connection may stand.
        send.has_lost_connection = not send.upstream.is_reusable
        return self._results.unknown(send, "broken", error.message)

    @staticmethod
    async def _read_body(send):
        """Return a whole body; raises `ResponseError`, also for a cut stream."""
        body = await send.upstream.read_all()
        if is_cut_event_stream(send.head, body):
            raise ResponseError("the body ended inside an event", REMEDY)
        return body

    @staticmethod
    async def _read_events(send):
        """
        Return the next whole events, empty at the end of the stream.

        Bytes that end no event are kept. Raises `ResponseError`, also where the answer
        ended but not the stream.
        """
        while data := await send.upstream.read():
            complete_events = send.events.feed(data)
            send.upstream.keep(len(send.events.partial))
            if send.events.is_too_long:
                raise AnswerTooLargeError(
                    "event exceeds the size limit", "ask for shorter events"
                )
            if complete_events:
                return complete_events
        if fault := find_stream_fault(send):
            raise ResponseError(fault, REMEDY)
        return b""

    def _pass_on(self, send, complete_events):
        """Write whole events to the caller."""
        send.context.record_event(now())
        if not send.has_first_event:
            self._record_first_event(send)
        self._write_stream(send, complete_events)

    def _record_first_event(self, send):
        """Record the first event, at which the engine has read the prompt."""
        send.has_first_event = True
        send.began_at = now()
        self._fleet.record_begun(send.context)
        self._crashes.record_begun(send.context)
        send.state.record_first_byte(send.context.demand)
        send.state.record_success(now(), now() - send.started)

    @staticmethod
    def _write_stream(send, data):
        if send.context.head is None:
            send.context.head = send.head
            send.caller.write_head(send.head.status, send.head.headers)
        if data:
            send.caller.write(data)


async def _receive_now(send, receive, due):
    """Return what ``await receive()`` returns; the time limit is the caller's."""
    return await receive()
