"""
rosemarypath.seatbroker
~~~~~~~~~~~~~~~~~~~~~~~

Seat broker of one back end: grants seats, loads and evicts adapters.

A seat is the permission to run one request on a back end; the number of seats limits
its concurrency. Exactly one daemon, the owner, runs the broker of a back end; entry
daemons ask it for seats with `SeatAsk` messages.
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
REPORT_INTERVAL_SECONDS = 1.0
REPORTS_PER_AUDIT = 10
MAX_MISSED_REPORTS = 2
LOAD_WAIT_THRESHOLD_SECONDS = 0.05  # longer waits with free seats are waits for a load

_log = get_logger("seats")


class _QueuedRequest:
    """
    A `SeatRequest` of the daemon `holder` that waits for a seat.

    `future` is resolved with the `SeatReply`. `saw_all_seats_taken` is true once all
    seats were in use while it waited.
    """

    def __init__(self, request, holder, future):
        self.request = request
        self.holder = holder
        self.future = future
        self.saw_all_seats_taken = False


class _Seat:
    """
    A seat in use, held by the daemon `holder`.

    `missing_reports` counts the back end's consecutive reports without its request.
    """

    def __init__(self, request, holder, granted_at):
        self.request = request
        self.holder = holder
        self.granted_at = granted_at
        self.missing_reports = 0


class SeatBroker:
    """
    Grants the seats of one owned back end and manages its queue and adapter slots.

    Options:

    `back_end`
        The `BackEnd`.
    `client`
        The `BackEndClient` for it.
    `get_fence`
        Function that returns the current fencing token, or ``None`` while this daemon
        may not act as the owner.
    `acquire_permit`
        Asynchronous function that acquires a load permit and returns a function that
        releases it.
    `policy`
        Name of the seat policy.
    `history`
        The event history.
    `is_member`
        Function that returns whether the daemon with an identity may still hold seats.
    `get_held_requests`
        Asynchronous function that returns the identifiers of the requests for which
        the daemon with an identity holds seats, or ``None`` if it does not answer.
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
        get_held_requests,
    ):
        self._client = client
        self._get_fence = get_fence
        self._is_member = is_member
        self._get_held_requests = get_held_requests
        self._policy = get_policy_by_name(policy)()
        self._history = history
        self._slots = AdapterSlots(
            back_end,
            client,
            self._policy,
            get_fence,
            acquire_permit,
            lambda: [queued.request for queued in self._queue.values()],
            lambda: self._grant_free_seats(time.monotonic()),
        )
        self._ramp = Ramp(back_end.cold_capacity, back_end.capacity)
        self._seat_wait = SeatWaitAverage()
        self._seats = {}
        self._queue = {}
        self._completed = 0
        self._missed_reports = 0
        self._is_ready = False
        self._is_accepting = True
        self._tasks = set()
        self.back_end = back_end

    @property
    def free_seats(self):
        """Return the number of free seats; negative if the limit fell below the use."""
        return self._ramp.limit - len(self._seats)

    @property
    def seat_limit(self):
        """Return how many requests the back end may run at once now."""
        return self._ramp.limit

    @property
    def seats(self):
        """Return the `SeatRequest` of each seat in use, by request identifier."""
        return {request_id: seat.request for request_id, seat in self._seats.items()}

    @property
    def loaded_adapters(self):
        """Return the engine names of the loaded adapters, sorted."""
        return self._slots.loaded

    @property
    def queue_length(self):
        """Return how many requests wait for a seat."""
        return len(self._queue)

    def start(self, collect_held_seats):
        """
        Rebuild the state of the previous owner, then grant seats.

        `collect_held_seats` is an asynchronous function that returns a list of
        ``(SeatRequest, holder)`` with all seats held on the back end, after every
        member has answered or is fenced.
        """
        self._spawn(self._rebuild_and_poll(collect_held_seats))

    def stop(self):
        """Cancel the background tasks and refuse all waiting requests."""
        self._slots.stop()
        for task in list(self._tasks):
            task.cancel()
        self._refuse_all(NOT_OWNER)

    def update(self, back_end):
        """Apply a changed `back_end` definition."""
        self.back_end = back_end
        self._slots.back_end = back_end
        self._ramp.resize(back_end.cold_capacity, back_end.capacity)

    def set_accepting(self, is_accepting):
        """Accept new requests or, with ``False``, refuse new and waiting ones."""
        if self._is_accepting and not is_accepting:
            self._refuse_all(OUT_OF_SERVICE)
        self._is_accepting = is_accepting

    async def request_seat(self, message, holder, weight):
        """
        Return the `SeatReply` to a `SeatAsk`, waiting for a seat if necessary.

        `holder` is the identity of the asking daemon, `weight` the customer's share.
        """
        if not self._is_accepting:
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
        queued = _QueuedRequest(request, holder, future)
        self._queue[message.request] = queued
        self._grant_free_seats(now)
        try:
            async with asyncio.timeout(message.max_wait):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()
            return self._refusal(BUSY, message.adapter)
        finally:
            if self._queue.get(message.request) is queued:
                del self._queue[message.request]

    def release(self, message):
        """
        End the seat or the waiting request named by a `SeatRelease`.

        A release of an earlier attempt than the recorded one is ignored.
        """
        now = time.monotonic()
        queued = self._queue.get(message.request)
        if queued is not None and queued.request.attempt <= message.attempt:
            del self._queue[message.request]
            if not queued.future.done():
                queued.future.set_result(self._refusal(BUSY, queued.request.adapter))
        seat = self._seats.get(message.request)
        if seat is not None and seat.request.attempt <= message.attempt:
            del self._seats[message.request]
            self._slots.end_use(seat.request.adapter, now)
            if message.outcome == "ran":
                self._ramp.record_completion(message.seconds, message.tokens)
            elif message.outcome == "broken":
                self._handle_restart("a request could not be completed on it")
            elif message.outcome == "adapter_missing":
                self._slots.mark_unloaded(seat.request.adapter)
        self._grant_free_seats(now)

    def _grant_free_seats(self, now):
        """Grant free seats in the policy's order, then let the loaders run."""
        if not self._is_ready or self._get_fence() is None:
            return
        while self.free_seats > 0 and self._queue:
            waiting = [queued.request for queued in self._queue.values()]
            request = self._policy.choose_request(waiting, self._slots.is_ready, now)
            if request is None:
                break
            self._grant_seat(request, now)
        if self.free_seats <= 0:
            for queued in self._queue.values():
                queued.saw_all_seats_taken = True
        self._slots.wake_loaders()

    def _grant_seat(self, request, now):
        """
        Grant `request` a seat and resolve its future.

        Its wait counts as one for a seat if all seats were in use meanwhile, else as
        one for the load of its adapter.
        """
        queued = self._queue.pop(request.request_id)
        if queued.future.done():
            return
        self._policy.record_grant(request, now)
        self._seats[request.request_id] = _Seat(request, queued.holder, now)
        self._slots.begin_use(request.adapter, now)
        waited = now - request.queued_at
        load_wait = 0.0
        if queued.saw_all_seats_taken or waited <= LOAD_WAIT_THRESHOLD_SECONDS:
            self._seat_wait.add(waited)
        else:
            load_wait = waited
        queued.future.set_result(self._grant_reply(request.adapter, load_wait))

    async def _rebuild_and_poll(self, collect_held_seats):
        """Rebuild the state as a new owner, then poll the back end's reports."""
        if not self.back_end.fences:
            # The back end does not check fencing tokens, so commands of the previous
            # owner may still take effect within their time-out.
            await asyncio.sleep(COMMAND_TIMEOUT_SECONDS)
        now = time.monotonic()
        for request, holder in await collect_held_seats():
            self._seats[request.request_id] = _Seat(request, holder, now)
            self._slots.begin_use(request.adapter, now)
        if self.back_end.kind == ENGINE:
            await self._slots.refresh_loaded()
            self._slots.start()
        self._adopt_unheld_requests(await self._client.get_report(), now)
        self._ramp.start_from(len(self._seats))
        self._is_ready = True
        self._history.write(
            "owner_ready", back_end=self.back_end.name, seats=len(self._seats)
        )
        reports = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            self._process_report(await self._client.get_report())
            reports += 1
            if reports % REPORTS_PER_AUDIT == 0:
                await self._audit_seats()

    def _adopt_unheld_requests(self, report, now):
        """Occupy a seat for each running request that no member holds a seat for."""
        for request_id in report.requests if report is not None else ():
            if request_id not in self._seats:
                request = SeatRequest(request_id, "", "", 0, 1.0, now)
                self._seats[request_id] = _Seat(request, "", now)

    def _reclaim_seats(self, report, now):
        """
        End seats of former members whose requests have ended.

        A request has ended when it is missing from consecutive reports.
        """
        for request_id, seat in list(self._seats.items()):
            if request_id in report.requests or self._is_member(seat.holder):
                seat.missing_reports = 0
                continue
            seat.missing_reports += 1
            if seat.missing_reports >= MAX_MISSED_REPORTS:
                del self._seats[request_id]
                self._slots.end_use(seat.request.adapter, now)

    async def _audit_seats(self):
        """
        Ask the holders of old seats for their seats and end those they don't list.

        This recovers seats whose `SeatRelease` was lost.
        """
        started = time.monotonic()
        old = {
            request_id: seat
            for request_id, seat in self._seats.items()
            if started - seat.granted_at > REPORTS_PER_AUDIT * REPORT_INTERVAL_SECONDS
        }
        for holder in {seat.holder for seat in old.values()}:
            held = await self._get_held_requests(holder)
            for request_id, seat in old.items():
                is_lost = held is not None and request_id not in held
                if seat.holder == holder and is_lost:
                    self._seats.pop(request_id, None)
                    self._slots.end_use(seat.request.adapter, started)
        self._grant_free_seats(time.monotonic())

    def _process_report(self, report):
        """Apply a `BackEndReport`, or ``None`` if the back end did not answer."""
        if report is None:
            self._missed_reports += 1
            if self._missed_reports == MAX_MISSED_REPORTS:
                self._handle_restart("it did not answer consecutive polls")
            return
        self._missed_reports = 0
        if report.completed < self._completed:
            self._handle_restart("its counter of completed requests decreased")
        self._completed = report.completed
        now = time.monotonic()
        self._reclaim_seats(report, now)
        self._grant_free_seats(now)

    def _handle_restart(self, reason):
        """Reset the seat limit and read the loaded adapters again."""
        _log.info("treating {} as restarted: {}", self.back_end.name, reason)
        self._completed = 0
        self._ramp.reset()
        if self.back_end.kind == ENGINE:
            self._spawn(self._slots.refresh_loaded())

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refuse_all(self, reason):
        for queued in list(self._queue.values()):
            if not queued.future.done():
                queued.future.set_result(self._refusal(reason, queued.request.adapter))
        self._queue.clear()

    def _refusal(self, reason, adapter):
        return self._reply(False, reason, 0, adapter, 0.0)

    def _grant_reply(self, adapter, load_wait):
        fence = self._get_fence()
        if fence is None:
            return self._refusal(NOT_OWNER, adapter)
        return self._reply(True, "", fence, adapter, load_wait)

    def _reply(self, granted, reason, fence, adapter, load_wait):
        is_ready = self._slots.is_ready
        waiting = [queued.request.adapter for queued in self._queue.values()]
        has_queue = self.free_seats <= 0 or any(is_ready(name) for name in waiting)
        return SeatReply(
            granted,
            reason,
            fence,
            self._seat_wait.expected_wait(has_queue),
            is_ready(adapter),
            load_wait,
        )
