"""
Lets a replica end one answer of fifty inside an event, with a proper last chunk.

A caller must not get that as a complete stream.
"""

import asyncio
import re
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.lab import (  # noqa: E402
    MODEL,
    Replica,
    call,
    encode,
    main,
    route,
    service,
    signed,
)

STREAMS = 400  # half of them on each route
EVENTS = 6
EVENT_SECONDS = 0.005
ANSWERS_PER_FAULT = 50  # the users' pages: x (.02) of the answers, share (.5)
LAST_CHUNK = b"0\r\n\r\n"


def event(number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream(lab, is_faulty):
    """Return a replica's function that answers with a stream of events."""
    counts = {"answers": 0}

    async def answer(request, writer):
        counts["answers"] += 1
        is_cut = is_faulty and counts["answers"] % ANSWERS_PER_FAULT == 0
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in signed(request))]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            if is_cut and number == 4:
                lab.record.write(f"{request.id}: the replica stops inside an event")
                writer.write(chunk(event(number)[:9]) + LAST_CHUNK)
                return True
            writer.write(chunk(event(number)))
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(LAST_CHUNK)
        return True

    return answer


def is_kept(answer):
    """Return whether the pieces that came are in order, and all if it is complete."""
    numbers = [int(n) for n in re.findall(rb"data: piece (\d+)\n\n", answer.body)]
    whole = list(range(1, EVENTS + 1))
    if answer.status != 200 or not answer.is_complete:
        return numbers == whole[: len(numbers)]
    return numbers == whole


async def play(lab):
    """Return whether all streams that ended as complete were whole."""
    replicas = [
        Replica("oracle-1", "oracle", stream(lab, lab.is_disturbed), True),
        Replica("oracle-2", "oracle", stream(lab, False), True),
    ]
    prefixes = {"/chat/": True, "/queue/": False}
    routes = [
        route(f"r{prefix}", prefix, "streaming", "oracle", resumable=can_resume)
        for prefix, can_resume in prefixes.items()
    ]
    await lab.start(routes, [service("oracle", True)], replicas, 1)
    has_held = True
    for number in range(STREAMS):
        prefix = list(prefixes)[number * len(prefixes) // STREAMS]
        headers = [("X-Attempt-Id", f"stream-{number}"), ("X-Deadline-Ms", "12000")]
        headers += [("X-Model", MODEL), ("X-Token-Usage", "300,30")]
        headers.append(("X-Prompt-Prefix", f"5c1e:200,{number:x}:100"))
        data = encode("POST", f"{prefix}1", headers, b"prompt")
        answer = await call(lab.daemons[0].front, data, 10.0)
        if not is_kept(answer) or not answer.is_complete:
            lab.record.write(f"stream-{number} at {prefix}: {answer}: {answer.body}")
        has_held &= is_kept(answer)
    lab.record.write(f"{STREAMS} streams, runs {[len(r.runs) for r in replicas]}")
    return has_held


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
