"""
tests.test_seatbroker
~~~~~~~~~~~~~~~~~~~~~

The seat broker of one back end, with a fake client in place of an engine.
"""

import asyncio

from rosemarypath.backend import BackEnd
from rosemarypath.backendclient import BackEndReport
from rosemarypath.history import History
from rosemarypath.messages import SeatAsk, SeatRelease
from rosemarypath.policies import SeatRequest
from rosemarypath.seatbroker import (
    BUSY,
    NOT_OWNER,
    OUT_OF_SERVICE,
    REBUILDING,
    SeatBroker,
)


class FakeClient:
    """Commands that succeed at once; `running` are the adapters reported in use."""

    def __init__(self):
        self.loaded = []
        self.running = frozenset()

    async def load(self, adapter, fence):
        self.loaded.append(adapter)
        return True

    async def unload(self, adapter, fence):
        self.loaded.remove(adapter)
        return True

    async def loaded_adapters(self):
        return list(self.loaded)

    async def get_report(self):
        return BackEndReport(frozenset(), self.running, tuple(self.loaded), 0)


async def acquire_permit(name):
    return lambda: None


def seat_ask(request, adapter="a@1", attempt=1, max_wait=0.2):
    return SeatAsk("e", request, "c", adapter, 10, max_wait, 0.0, attempt)


def seat_release(request, attempt=1, outcome="ran"):
    return SeatRelease("e", request, outcome, 10, 0.1, attempt)


def with_broker(check, held=(), slots=2, get_fence=lambda: 7):
    """Run ``check(broker, client)`` after the broker has rebuilt its state."""

    async def collect_held_seats():
        return held

    async def run():
        back_end = BackEnd(
            name="e",
            address="h:1",
            zone="z",
            kind="engine",
            serves="m",
            capacity=4,
            cold_capacity=2,
            slots=slots,
        )
        client = FakeClient()
        broker = SeatBroker(
            back_end,
            client,
            get_fence,
            acquire_permit,
            "fair",
            History(),
            lambda identity: True,
            lambda identity: collect_held_seats(),
        )
        assert (
            await broker.request_seat(seat_ask("early"), "n/1", 1.0)
        ).reason == REBUILDING
        broker.start(collect_held_seats)
        await asyncio.sleep(0.01)
        try:
            await check(broker, client)
        finally:
            broker.stop()

    asyncio.run(run())


def test_seat_is_granted_after_a_load():
    async def check(broker, client):
        reply = await broker.request_seat(seat_ask("r"), "n/1", 1.0)
        assert (reply.granted, reply.fence, client.loaded) == (True, 7, ["a@1"])

    with_broker(check)


def test_cold_back_end_grants_no_more_than_its_cold_capacity():
    async def check(broker, client):
        for request in ("r1", "r2"):
            assert (await broker.request_seat(seat_ask(request), "n/1", 1.0)).granted
        assert (await broker.request_seat(seat_ask("r3"), "n/1", 1.0)).reason == BUSY
        broker.release(seat_release("r1"))
        assert (await broker.request_seat(seat_ask("r3"), "n/1", 1.0)).granted

    with_broker(check)


def test_adapter_in_use_is_not_evicted():
    async def check(broker, client):
        assert (await broker.request_seat(seat_ask("r1"), "n/1", 1.0)).granted
        assert not (
            await broker.request_seat(seat_ask("r2", "b@1"), "n/1", 1.0)
        ).granted
        broker.release(seat_release("r1"))
        assert (
            await broker.request_seat(seat_ask("r2", "b@1", max_wait=2.0), "n/1", 1.0)
        ).granted
        assert client.loaded == ["b@1"]

    with_broker(check, slots=1)


def test_adapter_that_the_engine_reports_in_use_is_not_evicted():
    async def check(broker, client):
        assert (await broker.request_seat(seat_ask("r1"), "n/1", 1.0)).granted
        broker.release(seat_release("r1"))
        client.running = frozenset({"a@1"})
        assert not (
            await broker.request_seat(seat_ask("r2", "b@1"), "n/1", 1.0)
        ).granted
        assert client.loaded == ["a@1"]

    with_broker(check, slots=1)


def test_late_release_of_an_earlier_attempt_is_ignored():
    async def check(broker, client):
        assert (await broker.request_seat(seat_ask("r", attempt=1), "n/1", 1.0)).granted
        assert (await broker.request_seat(seat_ask("r", attempt=2), "n/1", 1.0)).granted
        broker.release(seat_release("r", attempt=1, outcome="not_run"))
        assert set(broker.seats) == {"r"}
        broker.release(seat_release("r", attempt=2))
        assert broker.seats == {}

    with_broker(check)


def test_new_owner_counts_the_seats_that_are_held():
    seat_request = SeatRequest("old", "c", "a@1", 10, 1.0, 0.0, 5)

    async def check(broker, client):
        assert set(broker.seats) == {"old"}
        assert broker.free_seats == 1

    with_broker(check, held=[(seat_request, "n/1")])


def test_failed_request_resets_the_seat_limit():
    async def check(broker, client):
        for number in range(10):
            await broker.request_seat(seat_ask(f"r{number}"), "n/1", 1.0)
            broker.release(seat_release(f"r{number}"))
        assert broker.seat_limit > 2
        await broker.request_seat(seat_ask("last"), "n/1", 1.0)
        broker.release(seat_release("last", outcome="broken"))
        assert broker.seat_limit == 2

    with_broker(check)


def test_back_end_out_of_service_refuses_requests():
    async def check(broker, client):
        broker.set_accepting(False)
        assert (
            await broker.request_seat(seat_ask("r"), "n/1", 1.0)
        ).reason == OUT_OF_SERVICE
        broker.set_accepting(True)
        assert (await broker.request_seat(seat_ask("r"), "n/1", 1.0)).granted

    with_broker(check)


def test_owner_that_may_not_act_grants_no_seats():
    fences = [7]

    async def check(broker, client):
        assert (await broker.request_seat(seat_ask("r1"), "n/1", 1.0)).granted
        fences[0] = None
        assert not (await broker.request_seat(seat_ask("r2"), "n/1", 1.0)).granted
        assert (
            await broker.request_seat(seat_ask("r1", attempt=2), "n/1", 1.0)
        ).reason == NOT_OWNER

    with_broker(check, get_fence=lambda: fences[0])


def test_slots_of_a_restarted_engine_are_free_again():
    async def check(broker, client):
        for request in ("r1", "r2"):
            assert (await broker.request_seat(seat_ask(request), "n/1", 1.0)).granted
        client.loaded.clear()
        broker.release(seat_release("r1", outcome="broken"))
        await asyncio.sleep(0.01)
        broker.release(seat_release("r2"))
        assert (await broker.request_seat(seat_ask("r3", "b@1"), "n/1", 1.0)).granted

    with_broker(check, slots=1)
