"""
standins.service
~~~~~~~~~~~~~~~~

Emulates a plain service, such as a ledger, whose calls have lasting effects.
"""

import asyncio

from rosemarypath.httpserver import json_response
from standins.faults import Faults
from standins.process import build_parser, run_stand_in

__all__ = ["PlainService", "main"]


class PlainService:
    """
    Executes calls, counts them and writes each to the history.

    Faults, set by ``POST /faults``:

    - ``refuse``: answer 503 without executing the call
    - ``delay``: wait that many seconds before executing a call
    - ``lose_answers``: execute that many calls without answering them
    """

    def __init__(self, history):
        self._history = history
        self._completed = 0
        self.faults = Faults({"refuse": False, "delay": 0.0, "lose_answers": 0})

    def add_routes(self, server):
        """Serve calls at every path on `server`, and the load report and the faults."""
        self.faults.add_routes(server)
        server.add("GET", "/load", self._show_load)
        server.add("POST", "/*", self._execute)
        server.add("PUT", "/*", self._execute)
        server.add("GET", "/*", self._execute)

    async def _show_load(self, request):
        return json_response(200, {"completed": self._completed})

    async def _execute(self, request):
        body = await request.read() or b""
        headers = b" ".join(n + b":" + v for n, v in request.headers)
        if b"rp-" in headers + body or b"authorization" in headers.lower():
            self._history.write("key_seen")
        if self.faults["refuse"]:
            return json_response(503, {"error": {"code": "not_now"}})
        if self.faults["delay"]:
            await asyncio.sleep(self.faults["delay"])
        self._completed += 1
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
        return json_response(200, {"done": self._completed, "request": request_id})


def _header(request, name):
    return (request.get_first_header(name) or b"").decode()


def main(args=None):
    """Run the emulator as a process; return its exit code."""
    options = build_parser("plain service stand-in").parse_args(args)
    return run_stand_in(
        options, lambda server, history: PlainService(history).add_routes(server)
    )


if __name__ == "__main__":
    raise SystemExit(main())
