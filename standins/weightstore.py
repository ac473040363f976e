"""
standins.weightstore
~~~~~~~~~~~~~~~~~~~~

Emulates the rate-limited weight store: a load takes 0.25 s, longer with more than 8 at
once.
"""

import asyncio
import time

from rosemarypath.httpserver import json_response
from standins.faults import Faults
from standins.process import build_parser, run_stand_in

__all__ = ["WeightStore", "main"]

LOAD_SECONDS = 0.25
MAX_FULL_SPEED_LOADS = 8


class WeightStore:
    """
    Serves weights at a bounded rate.

    `rate` is in loads per second; loads above it are delayed.

    Faults, set by ``POST /faults``: ``down`` answers 503, ``slowdown`` multiplies the
    duration of a load.
    """

    def __init__(self, rate, history):
        self._rate = rate
        self._history = history
        self._in_flight = 0
        self._next_start = 0.0
        self.faults = Faults({"down": False, "slowdown": 1.0})

    def add_routes(self, server):
        """Serve ``GET /weights/NAME`` on `server`."""
        server.add("GET", "/weights/{name}", self._serve)
        self.faults.add_routes(server)

    async def _serve(self, request):
        if self.faults["down"]:
            return json_response(503, {"error": {"code": "down"}})
        self._in_flight += 1
        try:
            now = time.monotonic()
            start_time = max(now, self._next_start)
            self._next_start = start_time + 1.0 / self._rate
            load_factor = max(1.0, self._in_flight / MAX_FULL_SPEED_LOADS)
            self._history.write(
                "weights",
                adapter=request.route_values["name"],
                in_flight=self._in_flight,
                waited=start_time - now,
            )
            seconds = LOAD_SECONDS * load_factor * self.faults["slowdown"]
            await asyncio.sleep(start_time - now + seconds)
        finally:
            self._in_flight -= 1
        return json_response(200, {})


def main(args=None):
    """Run the emulator as a process; return its exit code."""
    parser = build_parser("weight store stand-in")
    parser.add_argument("--rate", type=float, default=4.0)
    options = parser.parse_args(args)

    def add_routes(server, history):
        WeightStore(options.rate, history).add_routes(server)

    return run_stand_in(options, add_routes)


if __name__ == "__main__":
    raise SystemExit(main())
