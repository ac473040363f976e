"""
tests.test_streamends
~~~~~~~~~~~~~~~~~~~~~

Streams that end as whole, and streams that only seem to.
"""

import asyncio

import pytest

from tests.edgefleet import running_fleet
from tests.test_faultyanswers import open_stream
from tests.test_forwarding import WHOLE

EVENT_SECONDS = 0.2
LINE_ENDS = [b"\n", b"\r\n", b"\r"]


def play(scenario, **faults):
    """Run ``scenario(fleet)`` with a new fleet whose engines have these faults."""

    async def run():
        async with running_fleet() as fleet:
            for engine in fleet.engines:
                for name, value in faults.items():
                    setattr(engine.faults, name, value)
            await scenario(fleet)

    asyncio.run(run())


@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("path", [b"/ask/x", b"/once/x"])
def test_events_are_passed_on_as_they_come_whatever_ends_their_lines(path, line_end):
    """A stream with CR line ends was held back, and given up as silent."""

    async def scenario(fleet):
        connection, head = await open_stream(fleet, path)
        assert head.status == 200
        first = await connection.read()
        assert first == b"id: 1\ndata: piece 1\n\n".replace(b"\n", line_end)
        assert any("s" in engine.running for engine in fleet.engines)
        rest = await connection.read_all()
        assert first + rest == WHOLE.replace(b"\n", line_end)
        assert sum(engine.count_runs("s") for engine in fleet.engines) == 1

    play(scenario, line_end=line_end, slow_events=EVENT_SECONDS)
