"""
standins.weightstore
~~~~~~~~~~~~~~~~~~~~

The rate-limited weight store: loads take a quarter second, longer when crowded.
"""

import asyncio
import time

from rosemarypath.httpserver import json_response
from standins.faults import Faults
from standins.process import build_parser, run_stand_in

__all__ = ["WeightStore", "main"]

LOAD_SECONDS = 0.25
FULL_SPEED_IN_FLIGHT = 8


class WeightStore:
    """
    Serves weights at a bounded rate.

    Switches: ``down`` answers 503, ``slowdown`` multiplies the time of a load.

    `rate` is in loads per second; loads above it wait for their turn.
    """

    def __init__(self, rate, history):
        self._rate = rate
        self._history = history
        self._in_flight = 0
        self._next_turn = 0.0
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
            turn = max(now, self._next_turn)
            self._next_turn = turn + 1.0 / self._rate
            crowding = max(1.0, self._in_flight / FULL_SPEED_IN_FLIGHT)
            self._history.write(
                "weights",
                adapter=request.route_values["name"],
                in_flight=self._in_flight,
                waited=turn - now,
            )
            seconds = LOAD_SECONDS * crowding * self.faults["slowdown"]
            await asyncio.sleep(turn - now + seconds)
        finally:
            self._in_flight -= 1
        return json_response(200, {})


def main(args=None):
    """Run the stand-in as a process; return its exit code."""
    parser = build_parser("weight store stand-in")
    parser.add_argument("--rate", type=float, default=4.0)
    options = parser.parse_args(args)

    def add_routes(server, history):
        WeightStore(options.rate, history).add_routes(server)

    return run_stand_in(options, add_routes)


if __name__ == "__main__":
    raise SystemExit(main())
