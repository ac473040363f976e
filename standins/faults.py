"""
standins.faults
~~~~~~~~~~~~~~~

Switches for the faults of one stand-in, set over HTTP.
"""

import asyncio

import msgspec

from rosemarypath.httpserver import json_response

__all__ = ["Faults"]

HANG_SECONDS = 3600.0


class Faults:
    """
    Named switches with values, set by ``POST /faults`` as a JSON object.

    Options:

    `defaults`
        Maps each switch to its value when nothing is wrong.
    """

    def __init__(self, defaults):
        self._defaults = dict(defaults)
        self._values = dict(defaults)

    def __getitem__(self, name):
        return self._values[name]

    def add_routes(self, server):
        """Serve ``GET /faults`` and ``POST /faults`` on `server`."""
        server.add("GET", "/faults", self._show)
        server.add("POST", "/faults", self._change)

    async def hang(self):
        """Wait for an hour, as a connection that fell silent does."""
        await asyncio.sleep(HANG_SECONDS)

    async def _show(self, request):
        return json_response(200, self._values)

    async def _change(self, request):
        changes = msgspec.json.decode(await request.read())
        unknown = sorted(set(changes) - set(self._defaults))
        if unknown:
            return json_response(400, {"error": f"unknown switches: {unknown}"})
        self._values.update(changes)
        return json_response(200, self._values)
