"""
bench.datapath
~~~~~~~~~~~~~~

Measures what a daemon adds to a streamed answer: its processor time per forwarded
event and the time to the first byte, compared with a direct request to the engine.
"""

import argparse
import asyncio
import json
import sys
import tempfile
import time
from statistics import median

import aiohttp

from bench.fleet import Fleet, FleetPlan
from bench.usage import read_usage

__all__ = ["main"]

TOKENS = 200
STREAMS = 8


async def stream_once(session, url, headers, payload):
    """Return ``(seconds to the first byte, events)`` of one streamed answer."""
    started = time.perf_counter()
    first = None
    events = 0
    async with session.post(url, data=json.dumps(payload), headers=headers) as response:
        async for chunk in response.content.iter_any():
            first = first or time.perf_counter() - started
            events += chunk.count(b"\n\n")
    return first, events


async def measure(fleet, rounds):
    """
    Alternate between rounds of direct streams and of streams through the daemon.

    Return the daemon's processor seconds per event, and the median seconds to the first
    byte of direct streams and of streams through the daemon. One warm-up round comes
    first and isn't counted.
    """
    engine = fleet.addresses["engine-1"]
    entry = fleet.callers_address("entry-1")
    headers = {"Content-Type": "application/json"}
    caller_headers = {**headers, "Authorization": f"Bearer {fleet.secrets['c']}"}
    payload = {"stream": True, "max_tokens": TOKENS, "messages": []}
    pid = fleet.process("entry-1").pid
    direct, proxied = [], []
    events = 0
    cpu_seconds = 0.0
    async with aiohttp.ClientSession() as session:
        for round_number in range(rounds + 1):
            url = f"http://{engine}/v1/chat/completions"
            direct_payload = {**payload, "model": "base"}
            direct_results = await asyncio.gather(
                *(
                    stream_once(
                        session,
                        url,
                        {
                            **headers,
                            "X-Request-Id": f"d{round_number}-{n}",
                        },
                        direct_payload,
                    )
                    for n in range(STREAMS)
                )
            )
            before = read_usage(pid).cpu
            url = f"http://{entry}/v1/chat/completions"
            proxied_results = await asyncio.gather(
                *(
                    stream_once(
                        session, url, caller_headers, {**payload, "model": "a0"}
                    )
                    for _ in range(STREAMS)
                )
            )
            if round_number:
                cpu_seconds += read_usage(pid).cpu - before
                events += sum(count for _, count in proxied_results)
                direct += [first for first, _ in direct_results]
                proxied += [first for first, _ in proxied_results]
    return cpu_seconds / events, median(direct), median(proxied)


def main(args=None):
    """Print the measurements; return the exit code."""
    parser = argparse.ArgumentParser(
        description="measure what a daemon adds to a streamed answer"
    )
    parser.add_argument("--rounds", type=int, default=4)
    options = parser.parse_args(args)
    plan = FleetPlan(
        machines=1,
        engines=1,
        services=0,
        adapters=1,
        zones=("zone-a",),
        customers={"c": {"rate": 1000000, "burst": 2000000}},
        engine_options={
            "capacity": 16,
            "cold-capacity": 16,
            "step-ms": 4,
            "fences": "no",
        },
        engine_rule={"capacity": 16, "cold_capacity": 16, "fences": "no"},
    )
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(plan, directory) as fleet:
            fleet.wait_until_stable()
            per_event, direct, proxied = asyncio.run(measure(fleet, options.rounds))
    print(f"processor time per forwarded event: {per_event * 1e6:.0f} us")
    print(
        f"time to first byte: direct {direct * 1000:.1f} ms, "
        f"through the daemon {proxied * 1000:.1f} ms"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
