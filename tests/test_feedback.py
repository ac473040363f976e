"""
tests.test_feedback
~~~~~~~~~~~~~~~~~~~

Back ends that tell in their answers that they leave, or want a pause.
"""

import asyncio

import pytest

from rosemarypath.backend import BackEnd
from rosemarypath.demand import Feedback
from rosemarypath.httpclient import Reply
from rosemarypath.platform.feedback import decode_feedback
from tests.edgefleet import running_fleet
from tests.test_ratelimits import call_often

BACK_END = BackEnd(name="i-1", address="h:1", zone="z", kind="engine", serves="s")
PAUSE_SLACK_SECONDS = 0.5  # after the answer, from which on a pause has to hold
PAUSE_SLACK_REQUESTS = 2  # in the rest of a pause, from one machine


def play(scenario, daemons=3):
    """Run ``scenario(fleet, clock)`` with a new fleet."""

    async def run():
        async with running_fleet(daemons) as fleet:
            await scenario(fleet, asyncio.get_running_loop().time)

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["engine", "service"])
def test_a_back_end_that_says_it_leaves_gets_no_more_requests(kind):
    async def scenario(fleet, clock):
        if kind == "engine":
            options = {"path": b"/ask/x", "method": b"POST", "adapter": "a1"}
            replicas = fleet.engines
        else:
            options = {"path": b"/read/x"}
            replicas = fleet.ledgers
        await call_often(fleet, 1.0, **options)
        leaving = max(replicas, key=lambda replica: len(replica.requests))
        leaving.faults.is_leaving = True
        told_at = clock()
        replies = await call_often(fleet, 4.0, **options)
        last = max(request.received_at for request in leaving.requests)
        assert last <= told_at + fleet.settings[0].drain
        assert {reply.status for reply in replies} == {200}

    play(scenario)
