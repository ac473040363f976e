"""
rosemarypath.seatbroker
~~~~~~~~~~~~~~~~~~~~~~~

The owner's side of one back end: grants seats, loads and evicts adapters.
"""

import asyncio
import time
from dataclasses import replace

from rosemarypath.adapterslots import AdapterSlots
from rosemarypath.backend import ENGINE
from rosemarypath.backendclient import COMMAND_TIMEOUT_SECONDS
from rosemarypath.log import get_logger
from rosemarypath.messages import SeatReply
from rosemarypath.policies import SeatRequest, get_policy_by_name
from rosemarypath.ramp import Ramp
from rosemarypath.seatwait import SeatWaitAverage

__all__ = ["BUSY", "NOT_OWNER", "OUT_OF_SERVICE", "REBUILDING", "SeatBroker"]

BUSY = "busy"
NOT_OWNER = "not_owner"
OUT_OF_SERVICE = "out_of_service"
REBUILDING = "rebuilding"
REPORT_SECONDS = 1.0
AUDIT_REPORTS = 10
MISSED_REPORTS = 2
STALL_SECONDS = 0.05

_log = get_logger("seats")


class _Asked:
    """
    A waiting ask of `holder`, with the future that its handler awaits.

    `saw_all_taken` tells whether all seats were taken at some time while it waited.
    """

    def __init__(self, request, holder, future):
        self.request = request
        self.holder = holder
        self.future = future
        self.saw_all_taken = False


class _Seat:
    """A seat in use; `missed` counts the reports that did not list its request."""

    def __init__(self, request, holder, granted_at):
        self.request = request
        self.holder = holder
        self.granted_at = granted_at
        self.missed = 0


class SeatBroker:
    """
    Seats, queue and adapter slots of one owned back end.

    Options:

    `back_end`
        The `BackEnd`.
    `client`
        The `BackEndClient` to it.
    `get_fence`
        Function that returns the present fencing number, or ``None`` when this daemon
        may not act now.
    `acquire_permit`
        Asynchronous function that acquires a load permit and returns a function that
        gives it back.
    `policy`
        Name of the seat policy.
    `history`
        The event history.
    `is_member`
        Function that tells whether an identity may still hold seats.
    `ask_held`
        Asynchronous function that returns the requests that an identity holds seats
        for, or ``None`` when it does not answer.
    """

    def __init__(
        self,
        back_end,
        client,
        get_fence,
        acquire_permit,
        policy,
        history,
        is_member,
        ask_held,
    ):
        self._client = client
        self._get_fence = get_fence
        self._is_member = is_member
        self._ask_held = ask_held
        self._policy = get_policy_by_name(policy)()
        self._history = history
        self._slots = AdapterSlots(
            back_end,
            client,
            self._policy,
            get_fence,
            acquire_permit,
            lambda: [asked.request for asked in self._waiting.values()],
            lambda: self._pump(time.monotonic()),
        )
        self._ramp = Ramp(back_end.cold_capacity, back_end.capacity)
        self._seat_wait = SeatWaitAverage()
        self._seats = {}
        self._waiting = {}
        self._completed = 0
        self._missed = 0
        self._is_ready = False
        self._is_open = True
        self._tasks = set()
        self.back_end = back_end

    @property
    def free(self):
        """Return the seats that are free; negative while the ramp has shrunk."""
        return self._ramp.limit - len(self._seats)

    @property
    def limit(self):
        """Return how many requests the back end may run now."""
        return self._ramp.limit

    @property
    def seats(self):
        """Return the `SeatRequest` of each seat in use, by request."""
        return {request_id: seat.request for request_id, seat in self._seats.items()}

    @property
    def adapters(self):
        """Return the engine names of the adapters that are loaded."""
        return self._slots.loaded

    @property
    def queued(self):
        """Return how many requests wait."""
        return len(self._waiting)

    def start(self, collect_held):
        """
        Begin as a new owner.

        `collect_held` is an asynchronous function that returns a list of
        ``(SeatRequest, holder)`` with all seats held on the back end, after every
        member has answered or is fenced.
        """
        self._spawn(self._run(collect_held))

    def stop(self):
        """End the tasks and refuse what waits."""
        self._slots.stop()
        for task in list(self._tasks):
            task.cancel()
        self._refuse_all(NOT_OWNER)

    def update(self, back_end):
        """Put a changed `back_end` rule in force."""
        self.back_end = back_end
        self._slots.back_end = back_end
        self._ramp.resize(back_end.cold_capacity, back_end.capacity)

    def set_open(self, is_open):
        """Take new requests or, with ``False``, refuse them all."""
        if self._is_open and not is_open:
            self._refuse_all(OUT_OF_SERVICE)
        self._is_open = is_open

    async def ask(self, message, holder, weight):
        """Answer a `SeatAsk` with a `SeatReply`, after waiting if need be."""
        if not self._is_open:
            return self._refusal(OUT_OF_SERVICE, message.adapter)
        if not self._is_ready:
            return self._refusal(REBUILDING, message.adapter)
        if message.request in self._seats:
            seat = self._seats[message.request]
            seat.request = replace(seat.request, attempt=message.attempt)
            return self._grant_reply(message.adapter, 0.0)
        now = time.monotonic()
        request = SeatRequest(
            message.request,
            message.customer,
            message.adapter,
            message.tokens,
            weight,
            now - message.waited,
            message.attempt,
        )
        future = asyncio.get_running_loop().create_future()
        asked = _Asked(request, holder, future)
        self._waiting[message.request] = asked
        self._pump(now)
        try:
            async with asyncio.timeout(message.patience):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()
            return self._refusal(BUSY, message.adapter)
        finally:
            if self._waiting.get(message.request) is asked:
                del self._waiting[message.request]

    def release(self, message):
        """End the seat or the wait that a `SeatRelease` names."""
        now = time.monotonic()
        asked = self._waiting.get(message.request)
        if asked is not None and asked.request.attempt <= message.attempt:
            del self._waiting[message.request]
            if not asked.future.done():
                asked.future.set_result(self._refusal(BUSY, asked.request.adapter))
        seat = self._seats.get(message.request)
        if seat is not None and seat.request.attempt <= message.attempt:
            del self._seats[message.request]
            self._slots.end_use(seat.request.adapter, now)
            if message.outcome == "ran":
                self._ramp.complete(message.seconds, message.tokens)
            elif message.outcome == "broken":
                self._note_restart("a request broke")
            elif message.outcome == "adapter_missing":
                self._slots.mark_unloaded(seat.request.adapter)
        self._pump(now)

    def _pump(self, now):
        """Seat whom the policy chooses, then start the loads it wants."""
        if not self._is_ready or self._get_fence() is None:
            return
        while self.free > 0 and self._waiting:
            waiting = [asked.request for asked in self._waiting.values()]
            request = self._policy.choose_request(waiting, self._slots.is_ready, now)
            if request is None:
                break
            self._seat(request, now)
        if self.free <= 0:
            for asked in self._waiting.values():
                asked.saw_all_taken = True
        self._slots.wake_loaders()

    def _seat(self, request, now):
        asked = self._waiting.pop(request.request_id)
        if asked.future.done():
            return
        self._policy.record_grant(request, now)
        self._seats[request.request_id] = _Seat(request, asked.holder, now)
        self._slots.begin_use(request.adapter, now)
        waited = now - request.queued_at
        load_wait = 0.0
        if asked.saw_all_taken or waited <= STALL_SECONDS:
            self._seat_wait.add(waited)
        else:
            load_wait = waited
        asked.future.set_result(self._grant_reply(request.adapter, load_wait))

    async def _run(self, collect_held):
        """Rebuild the state after taking over, then follow the reports."""
        if not self.back_end.fences:
            await asyncio.sleep(COMMAND_TIMEOUT_SECONDS)
        now = time.monotonic()
        for request, holder in await collect_held():
            self._seats[request.request_id] = _Seat(request, holder, now)
            self._slots.begin_use(request.adapter, now)
        if self.back_end.kind == ENGINE:
            await self._slots.refresh_loaded()
            self._slots.start()
        self._adopt_orphans(await self._client.get_report(), now)
        self._ramp.assume(len(self._seats))
        self._is_ready = True
        self._history.write(
            "owner_ready", back_end=self.back_end.name, seats=len(self._seats)
        )
        reports = 0
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            self._take_report(await self._client.get_report())
            reports += 1
            if reports % AUDIT_REPORTS == 0:
                await self._audit()

    def _adopt_orphans(self, report, now):
        """Count the requests that run and that no member holds."""
        for request_id in report.requests if report is not None else ():
            if request_id not in self._seats:
                request = SeatRequest(request_id, "", "", 0, 1.0, now)
                self._seats[request_id] = _Seat(request, "", now)

    def _reclaim(self, report, now):
        """End the seats whose holder is fenced once their request has ended."""
        for request_id, seat in list(self._seats.items()):
            if request_id in report.requests or self._is_member(seat.holder):
                seat.missed = 0
                continue
            seat.missed += 1
            if seat.missed >= MISSED_REPORTS:
                del self._seats[request_id]
                self._slots.end_use(seat.request.adapter, now)

    async def _audit(self):
        """End the seats whose holder, asked again, does not know of them."""
        started = time.monotonic()
        old = {
            request_id: seat
            for request_id, seat in self._seats.items()
            if started - seat.granted_at > AUDIT_REPORTS * REPORT_SECONDS
        }
        for holder in {seat.holder for seat in old.values()}:
            held = await self._ask_held(holder)
            for request_id, seat in old.items():
                is_lost = held is not None and request_id not in held
                if seat.holder == holder and is_lost:
                    self._seats.pop(request_id, None)
                    self._slots.end_use(seat.request.adapter, started)
        self._pump(time.monotonic())

    def _take_report(self, report):
        if report is None:
            self._missed += 1
            if self._missed == MISSED_REPORTS:
                self._note_restart("it does not answer")
            return
        self._missed = 0
        if report.completed < self._completed:
            self._note_restart("its counters began anew")
        self._completed = report.completed
        now = time.monotonic()
        self._reclaim(report, now)
        self._pump(now)

    def _note_restart(self, reason):
        """Start over: little capacity, and no adapter taken for loaded."""
        _log.info("{} starts anew: {}", self.back_end.name, reason)
        self._completed = 0
        self._ramp.fail()
        if self.back_end.kind == ENGINE:
            self._spawn(self._slots.refresh_loaded())

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refuse_all(self, reason):
        for asked in list(self._waiting.values()):
            if not asked.future.done():
                asked.future.set_result(self._refusal(reason, asked.request.adapter))
        self._waiting.clear()

    def _refusal(self, reason, adapter):
        return self._reply(False, reason, 0, adapter, 0.0)

    def _grant_reply(self, adapter, load_wait):
        fence = self._get_fence()
        if fence is None:
            return self._refusal(NOT_OWNER, adapter)
        return self._reply(True, "", fence, adapter, load_wait)

    def _reply(self, granted, reason, fence, adapter, load_wait):
        is_ready = self._slots.is_ready
        waiting = [asked.request.adapter for asked in self._waiting.values()]
        has_queue = self.free <= 0 or any(is_ready(name) for name in waiting)
        return SeatReply(
            granted,
            reason,
            fence,
            self._seat_wait.expected_wait(has_queue),
            is_ready(adapter),
            load_wait,
        )
