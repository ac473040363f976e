"""
tests.test_streamends
~~~~~~~~~~~~~~~~~~~~~

Streams that end as whole, and streams that only seem to.
"""

import asyncio

import pytest

from rosemarypath.clock import now
from rosemarypath.errors import ResponseError
from rosemarypath.httpclient import encode_request
from tests.edgefleet import running_fleet
from tests.test_faultyanswers import open_stream, read_until_cut
from tests.test_forwarding import WHOLE, ran
from tests.test_sending import prefer_first_engine, silence

EVENT_SECONDS = 0.2
MARK = b"\xef\xbb\xbf"  # byte order mark
LINE_ENDS = [b"\n", b"\r\n", b"\r"]
FRAMINGS = {
    "chunks": {},
    "length": {"has_length": True},
    "connection": {"unframed": True},
}
CUT_EVENTS = [b"i", b"id: 3\nd", b"id: 3\ndata: piece 3\n", b"\n: a\n: b"]
LAST_BYTES = [b"", b"\n", b"\n\n", b": done\n", b": done\n\n", b"\n: a\n:\n"]


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


async def ask(fleet, path=b"/ask/x"):
    return await fleet.call(path, id="s", method=b"POST", model=True)


@pytest.mark.parametrize("cut_event", CUT_EVENTS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_that_ends_inside_an_event_is_resumed(framing, cut_event):
    """Review, case 10: chunks or a length made such an end pass for the stream's."""

    async def scenario(fleet):
        reply = await ask(fleet)
        assert (reply.status, reply.body) == (200, WHOLE)
        assert ran(fleet.engines, "s") in (2, 3)

    play(scenario, cuts=1, cut_event=cut_event, **FRAMINGS[framing])


@pytest.mark.parametrize("cut_event", CUT_EVENTS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_that_ends_inside_an_event_is_not_complete(framing, cut_event):
    """Review, case 10, on a route whose streams may not be resumed."""

    async def scenario(fleet):
        connection, head = await open_stream(fleet, b"/once/x")
        assert head.status == 200
        received = await read_until_cut(connection)
        assert received == WHOLE[: WHOLE.index(b"id: 3")]
        assert ran(fleet.engines, "s") == 1

    play(scenario, cuts=1, cut_event=cut_event, **FRAMINGS[framing])


@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_that_ends_inside_its_first_event_is_no_answer(framing):
    async def scenario(fleet):
        assert (await ask(fleet, b"/once/x")).status == 502
        assert ran(fleet.engines, "s") == 1
        for engine in fleet.engines:
            engine.faults.cuts = 1
        reply = await ask(fleet)
        assert (reply.status, reply.body) == (200, WHOLE)

    play(scenario, cuts=1, cut_at=0, **FRAMINGS[framing])


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_resumed_stream_that_ends_inside_an_event_is_resumed_again(framing):
    async def scenario(fleet):
        reply = await ask(fleet)
        assert (reply.status, reply.body) == (200, WHOLE)
        assert [engine.count_runs("s") for engine in fleet.engines] in ([1, 2], [2, 1])

    play(scenario, cuts=1, **FRAMINGS[framing])


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_whose_answers_all_end_inside_an_event_is_not_complete(framing):
    async def scenario(fleet):
        with pytest.raises(ResponseError):
            await ask(fleet)

    play(scenario, cuts=99, **FRAMINGS[framing])


@pytest.mark.parametrize("last_bytes", LAST_BYTES)
@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_what_may_follow_the_last_event_leaves_a_stream_complete(
    framing, line_end, last_bytes
):
    """Empty lines and comments belong to no event."""

    async def scenario(fleet):
        for path in (b"/ask/x", b"/once/x"):
            reply = await ask(fleet, path)
            whole = (WHOLE + last_bytes).replace(b"\n", line_end)
            assert (reply.status, reply.body) == (200, whole)
        assert ran(fleet.engines, "s") == 2

    options = {"line_end": line_end, "last_bytes": last_bytes, **FRAMINGS[framing]}
    play(scenario, **options)


@pytest.mark.parametrize("framing", ["chunks", "length"])
def test_an_answer_that_is_no_event_stream_ends_where_its_framing_says(framing):
    """Only text/event-stream, or no type at all, is judged by its events."""

    async def scenario(fleet):
        for path in (b"/ask/x", b"/once/x"):
            reply = await ask(fleet, path)
            assert (reply.status, reply.body) == (200, b'{"a": 1}')
        assert ran(fleet.engines, "s") == 2

    options = {"cuts": 9, "cut_at": 0, "cut_event": b'{"a": 1}'}
    play(scenario, media_type=b"application/json", **options, **FRAMINGS[framing])


@pytest.mark.parametrize(
    "media_type", [b"text/event-stream", b"Text/Event-Stream; a=b"]
)
def test_a_named_event_stream_that_ends_inside_an_event_is_not_complete(media_type):
    async def scenario(fleet):
        connection, _ = await open_stream(fleet, b"/once/x")
        await read_until_cut(connection)

    play(scenario, cuts=1, media_type=media_type)


@pytest.mark.parametrize("path, status", [(b"/read/x", 200), (b"/write/x", 502)])
def test_an_event_stream_on_another_route_is_judged_by_its_events(path, status):
    async def scenario(fleet):
        for ledger in fleet.ledgers:
            ledger.faults.cut_answers = 1
        reply = await fleet.call(path, id="s", method=b"POST")
        assert reply.status == status
        assert b"piece" not in reply.body
        assert ran(fleet.ledgers, "s") == (3 if status == 200 else 1)

    play(scenario)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_engine_that_ends_inside_its_first_event_has_not_taken_a_stream(framing):
    """The silent engine was given up for one that had answered nothing whole."""

    async def scenario(fleet):
        prefer_first_engine(fleet)
        silence(fleet.engines[:1], "silences")
        cutting = fleet.engines[1].faults
        cutting.cuts, cutting.cut_at = 99, 0
        for name, value in FRAMINGS[framing].items():
            setattr(cutting, name, value)
        reply = await ask(fleet)
        assert (reply.status, reply.body) == (200, WHOLE)
        assert fleet.engines[0].count_runs("s") == 1

    play(scenario)


def test_an_event_stream_that_was_cut_takes_no_request_of_another_route():
    async def scenario(fleet):
        states = fleet.daemons[0]._fleet.back_ends.states
        states[fleet.ledgers[1].name].record_failure(now(), 5.0)
        silence(fleet.ledgers[:1], "silences")
        fleet.ledgers[1].faults.cut_answers = 99
        reply = await fleet.call(b"/read/x", id="s")
        assert reply.status == 200
        assert reply.body.startswith(f"answer of {fleet.ledgers[0].name}".encode())
        assert fleet.ledgers[0].count_runs("s") == 1

    play(scenario)


def test_a_resumed_answer_without_length_and_events_is_no_end_of_the_stream():
    """The events of the answers before counted as its own."""

    async def scenario(fleet):
        prefer_first_engine(fleet)
        first, second = (engine.faults for engine in fleet.engines)
        first.cuts = second.cuts = 1
        second.unframed, second.cut_at, second.cut_event = True, 0, b""
        reply = await ask(fleet)
        assert (reply.status, reply.body) == (200, WHOLE)
        assert [engine.count_runs("s") for engine in fleet.engines] in ([1, 2], [2, 1])

    play(scenario)


async def read_until_end(fleet, path):
    """Read a stream as HTTP/1.0, whose end is that of the connection."""
    host, port = fleet.settings[0].callers_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = encode_request(b"POST", path, fleet.headers(id="s", model=True))
    writer.write(head.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    try:
        async with asyncio.timeout(3.0):
            return await reader.read(-1)
    finally:
        writer.close()


@pytest.mark.parametrize("fault", ["cuts", "truncates"])
def test_a_broken_stream_without_framing_ends_with_a_reset(fault):
    """An orderly end of the connection is the end of such an answer."""

    async def scenario(fleet):
        with pytest.raises(ConnectionResetError):
            await read_until_end(fleet, b"/once/x")

    play(scenario, **{fault: 1})


def test_a_whole_stream_without_framing_ends_in_order():
    async def scenario(fleet):
        for path in (b"/ask/x", b"/once/x"):
            answer = await read_until_end(fleet, path)
            assert answer.endswith(b"\r\n\r\n" + WHOLE)

    play(scenario)


def test_a_byte_order_mark_comes_first_or_not_at_all():
    """Before a later event it would be a part of its first field."""

    async def scenario(fleet):
        prefer_first_engine(fleet)
        fleet.engines[0].faults.cuts = 1
        reply = await ask(fleet)
        assert (reply.status, reply.body) == (200, MARK + WHOLE)

    play(scenario, first_bytes=MARK)


def test_a_stream_cut_while_another_engine_is_asked_is_resumed_there():
    """The other engine was given up, and asked anew, though it had begun."""

    async def scenario(fleet):
        prefer_first_engine(fleet)
        first, second = fleet.engines
        silence([first], "silences")
        silence([second], "late_begins", 0.2)
        task = asyncio.ensure_future(ask(fleet))
        await fleet.until(lambda: second.count_runs("s") == 1)
        for connection in first._listener.connections:
            if connection.is_busy:
                connection.write(b"id: 3\nd")
                connection.end()
        reply = await task
        assert (reply.status, reply.body) == (200, WHOLE)
        assert [engine.count_runs("s") for engine in fleet.engines] == [1, 1]

    play(scenario)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_is_complete_only_if_it_ends_between_events(framing):
    """One stream for each byte at which it may end."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.faults.slow_events = 0.0
        for end in range(1, len(WHOLE)):
            for engine in fleet.engines:
                engine.faults.cuts, engine.faults.cut_at = 1, 0
                engine.faults.cut_event = WHOLE[:end]
            received = b""
            connection, head = await open_stream(fleet, b"/once/x")
            try:
                while data := await connection.read():
                    received += data
            except ResponseError:
                assert WHOLE[:end].startswith(received)
                assert not WHOLE[:end].endswith(b"\n\n")
            else:
                assert (head.status == 200) == WHOLE[:end].endswith(b"\n\n")
                assert received == (WHOLE[:end] if head.status == 200 else b"")
            connection.abort()

    play(scenario, **FRAMINGS[framing])
