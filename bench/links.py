"""
bench.links
~~~~~~~~~~~

Measures the processor time of requests over the link between two daemons.
"""

import asyncio
import sys
import time

from bench.ports import free_ports
from rosemarypath.link import Mesh
from rosemarypath.messages import SeatAsk, SeatReply

__all__ = ["main", "seconds_per_request"]

REQUEST_COUNT = 3000
CONCURRENCY_LEVELS = (1, 8)


async def seconds_per_request(parallel):
    """Return the processor seconds of a request and its reply, at both ends."""
    ports = free_ports(2)
    first, second = (Mesh(f"n/{port}", f"127.0.0.1:{port}") for port in ports)
    first.set_address(second.identity, f"127.0.0.1:{ports[1]}")
    second.on(SeatAsk, lambda sender, message: SeatReply(True, "", 1))
    await first.start()
    await second.start()
    message = SeatAsk("engine-1", "0" * 24, "customer", "adapter@1", 100, 1.0, 0.0, 1)
    await first.ask(second.identity, message, 2.0)
    started = time.process_time()

    async def send_requests():
        for _ in range(REQUEST_COUNT // parallel):
            await first.ask(second.identity, message, 2.0)

    await asyncio.gather(*(send_requests() for _ in range(parallel)))
    cpu_seconds = time.process_time() - started
    await first.stop()
    await second.stop()
    return cpu_seconds / REQUEST_COUNT


def main():
    """Print the measurements; return the exit code."""
    for parallel in CONCURRENCY_LEVELS:
        seconds = asyncio.run(seconds_per_request(parallel))
        print(f"{parallel} concurrent: {seconds * 1e6:.0f} us per request, both ends")
    return 0


if __name__ == "__main__":
    sys.exit(main())
