"""
tests.test_sending
~~~~~~~~~~~~~~~~~~

Back ends that fall silent for a while: which answers go on, and which are replaced.
"""

import asyncio

import pytest

from standins import replica
from tests.edgefleet import running_fleet
from tests.test_forwarding import WHOLE

SILENT_SECONDS = 1.9  # longer than any time after which another back end is asked
DEADLINE_MS = 6000


def play(scenario):
    """Run ``scenario(fleet)`` with a new fleet."""

    async def run():
        async with running_fleet() as fleet:
            await scenario(fleet)

    asyncio.run(run())


def silence(replicas, fault, seconds=SILENT_SECONDS):
    """Let the next request at each replica meet a silence of `seconds`."""
    for silent in replicas:
        silent.faults.silent_seconds = seconds
        setattr(silent.faults, fault, 1)


async def leave_only_first(fleet, replicas):
    """Remove all but the first of `replicas`, and wait until that is known."""
    for other in replicas[1:]:
        fleet.store.remove("servers", other.name)
    service = "oracle" if replicas is fleet.engines else "ledger"
    view = fleet.daemons[0]._fleet
    await fleet.until(
        lambda: len(view.usable_states(service, asyncio.get_running_loop().time())) == 1
    )


async def ask(fleet, id="s"):
    return await fleet.call(
        b"/ask/x", id=id, method=b"POST", model=True, deadline=DEADLINE_MS
    )


@pytest.mark.parametrize("fault", ["silences", "late_begins"])
def test_a_silent_stream_that_no_other_engine_can_take_over_is_not_cut(fault):
    async def scenario(fleet):
        await leave_only_first(fleet, fleet.engines)
        silence(fleet.engines[:1], fault)
        reply = await ask(fleet)
        assert (reply.status, reply.body) == (200, WHOLE)
        assert fleet.engines[0].count_runs("s") == 1

    play(scenario)


def test_a_silent_answer_that_no_other_back_end_can_take_over_is_not_given_up():
    async def scenario(fleet):
        await leave_only_first(fleet, fleet.ledgers)
        silence(fleet.ledgers[:1], "silences")
        reply = await fleet.call(b"/read/x", id="s")
        assert reply.status == 200
        assert fleet.ledgers[0].count_runs("s") == 1

    play(scenario)


@pytest.mark.parametrize("fault", ["silences", "late_begins"])
def test_a_silent_stream_is_not_cut_when_the_retry_budget_is_used_up(fault):
    async def scenario(fleet):
        view = fleet.daemons[0]._fleet
        view.withdraw_retry = lambda service, now: False
        silence(fleet.engines, fault)
        reply = await ask(fleet)
        assert (reply.status, reply.body) == (200, WHOLE)
        assert sum(engine.count_runs("s") for engine in fleet.engines) == 1

    play(scenario)


@pytest.mark.parametrize("fault", ["silences", "late_begins"])
def test_a_stream_that_stays_silent_is_resumed_at_another_engine(fault):
    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        silence(fleet.engines, fault, seconds=30.0)
        fleet.engines[0].faults.silences = fleet.engines[0].faults.late_begins = 0
        for number in range(4):
            started = loop.time()
            reply = await ask(fleet, id=f"s{number}")
            assert (reply.status, reply.body) == (200, WHOLE)
            assert loop.time() - started < 2.4  # after which callers leave
        assert not getattr(fleet.engines[1].faults, fault)

    play(scenario)


def test_a_stream_that_goes_on_while_an_adapter_is_loaded_elsewhere_stays(monkeypatch):
    monkeypatch.setattr(replica, "LOAD_SECONDS", 0.8)

    async def scenario(fleet):
        first = await fleet.call(b"/ask/x", method=b"POST", adapter="a1")
        assert first.status == 200
        silence(fleet.engines, "silences", seconds=1.6)
        options = {"method": b"POST", "adapter": "a1", "deadline": DEADLINE_MS}
        reply = await fleet.call(b"/ask/x", id="s", **options)
        assert (reply.status, reply.body) == (200, WHOLE)
        assert sum(engine.count_runs("s") for engine in fleet.engines) == 1

    play(scenario)
