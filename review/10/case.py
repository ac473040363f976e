"""
Opens many connections whose chunked bodies stop just short of their end.

Ordinary callers must still get answers.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.lab import (  # noqa: E402
    Replica,
    answer_ok,
    call,
    encode,
    main,
    route,
    service,
)

DAEMONS = 2
MAX_FDS = 1638  # of the smallest machines on the users' pages
CROWD = 730  # connections to each daemon
OBSERVED_SECONDS = 9.0
PAUSE_SECONDS = 0.3
CALLER_SECONDS = 1.0  # for which a caller waits for a connection, and tries another
CHUNKS = b"1\r\nx\r\n" * 20


async def open_crowd(daemon):
    """Return connections whose requests lack the last chunk of their bodies."""
    host, port = daemon.front.split(":")
    writers = []
    for number in range(CROWD):
        headers = [("X-Attempt-Id", f"crowd-{number}"), ("X-Deadline-Ms", "12000")]
        headers.append(("Transfer-Encoding", "chunked"))
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode("POST", "/orders/1", headers) + CHUNKS)
        writers.append(writer)
    return writers


async def ask(lab, number):
    """Send an ordinary request, to one daemon after the other; return if answered."""
    for daemon in lab.daemons:
        headers = [
            ("X-Attempt-Id", f"{number}-{daemon.name}"),
            ("X-Deadline-Ms", "3000"),
        ]
        data = encode("GET", "/stock/1", headers, key="key-2")
        answer = await call(daemon.front, data, CALLER_SECONDS)
        lab.record.write(f"request {number} to {daemon.name}: {answer} {answer.why}")
        if answer.status:
            return True
    return False


async def play(lab):
    """Return whether more than half of the ordinary callers got an answer."""
    lab.max_fds = MAX_FDS
    replica = Replica("ledger-1", "ledger", answer_ok)
    routes = [
        route("orders", "/orders/", "unsafe", "ledger"),
        route("stock", "/stock/", "safe", "ledger"),
    ]
    await lab.start(routes, [service("ledger")], [replica], DAEMONS)
    crowd = []
    if lab.is_disturbed:
        for daemon in lab.daemons:
            crowd += await open_crowd(daemon)
    lab.record.write(f"{len(crowd)} connections are open")
    answered = []
    for number in range(int(OBSERVED_SECONDS / PAUSE_SECONDS)):
        answered.append(await ask(lab, number))
        await asyncio.sleep(PAUSE_SECONDS)
    states = [await daemon.is_ready() for daemon in lab.daemons]
    lab.record.write(f"{sum(answered)} of {len(answered)} answered; ready: {states}")
    for writer in crowd:
        writer.transport.abort()
    return sum(answered) > len(answered) / 2


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
