"""
standins.faults
~~~~~~~~~~~~~~~

Faults of an emulator, which tests switch on over HTTP.
"""

import asyncio

import msgspec

from rosemarypath.httpserver import json_response

__all__ = ["Faults"]

HANG_SECONDS = 3600.0


class Faults:
    """
    The current value of each named fault.

    ``POST /faults`` changes those that its JSON object names, and answers 400 to an
    unknown name.

    Options:

    `defaults`
        Maps the name of each fault to its initial value, which means no fault.
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
        """Wait for an hour, to emulate a connection that no longer answers."""
        await asyncio.sleep(HANG_SECONDS)

    async def _show(self, request):
        return json_response(200, self._values)

    async def _change(self, request):
        changes = msgspec.json.decode(await request.read())
        unknown = sorted(set(changes) - set(self._defaults))
        if unknown:
            return json_response(400, {"error": f"unknown faults: {unknown}"})
        self._values.update(changes)
        return json_response(200, self._values)
