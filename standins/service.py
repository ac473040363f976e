"""
standins.service
~~~~~~~~~~~~~~~~

A plain service: a ledger or booking desk whose calls have lasting effects.
"""

import asyncio

from rosemarypath.httpserver import json_response
from standins.faults import Faults
from standins.process import build_parser, run_stand_in

__all__ = ["PlainService", "main"]


class PlainService:
    """
    Counts what each call did.

    Switches: ``refuse`` answers 503 without effect, ``delay`` waits that many seconds
    first, ``lose_answers`` takes effect and never answers that many times.
    """

    def __init__(self, history):
        self._history = history
        self._done = 0
        self.faults = Faults({"refuse": False, "delay": 0.0, "lose_answers": 0})

    def add_routes(self, server):
        """Serve every path on `server`."""
        self.faults.add_routes(server)
        server.add("GET", "/load", self._show_load)
        server.add("POST", "/*", self._run)
        server.add("PUT", "/*", self._run)
        server.add("GET", "/*", self._run)

    async def _show_load(self, request):
        return json_response(200, {"completed": self._done})

    async def _run(self, request):
        body = await request.read() or b""
        headers = b" ".join(n + b":" + v for n, v in request.headers)
        if b"rp-" in headers + body or b"authorization" in headers.lower():
            self._history.write("key_seen")
        if self.faults["refuse"]:
            return json_response(503, {"error": {"code": "not_now"}})
        if self.faults["delay"]:
            await asyncio.sleep(self.faults["delay"])
        self._done += 1
        request_id = _header(request, b"X-Request-Id")
        self._history.write(
            "request_start",
            request=request_id,
            adapter="",
            customer=_header(request, b"X-Customer"),
            idempotency_key=_header(request, b"Idempotency-Key"),
            method=request.method,
        )
        if self.faults["lose_answers"] > 0:
            self.faults._values["lose_answers"] -= 1
            await self.faults.hang()
        return json_response(200, {"done": self._done, "request": request_id})


def _header(request, name):
    return (request.get_first_header(name) or b"").decode()


def main(args=None):
    """Run the stand-in as a process; return its exit code."""
    options = build_parser("plain service stand-in").parse_args(args)
    return run_stand_in(
        options, lambda server, history: PlainService(history).add_routes(server)
    )


if __name__ == "__main__":
    raise SystemExit(main())
