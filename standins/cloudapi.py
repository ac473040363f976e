"""
standins.cloudapi
~~~~~~~~~~~~~~~~~

Emulates the platform's API for duties: records the calls, with faults that tests switch
on.
"""

import asyncio
import time
from dataclasses import dataclass

import msgspec

from rosemarypath.callers.listener import Listener
from rosemarypath.routing import IngressLimits

__all__ = ["CloudApiStandIn", "DutyCall"]


@dataclass(frozen=True)
class DutyCall:
    """
    One call as the API received it, at `at` in Unix seconds.

    `status` is what it was answered, 0 if it was not.
    """

    at: float
    path: str
    holder: str
    token: int
    document: dict
    status: int


class CloudApiStandIn:
    """
    The API at `address`; `calls` lists the `DutyCall` records.

    `fault` applies to every call: empty for none, ``busy`` (answers 429), ``error``
    (answers 503), ``silent`` (never answers) or ``slow`` (answers after `delay`
    seconds). All but the first and the last leave calls without effect.
    """

    def __init__(self, address):
        self._listener = Listener(address, self._handle, IngressLimits())
        self.address = address
        self.calls = []
        self.fault = ""
        self.delay = 0.5

    async def start(self):
        """Start listening."""
        await self._listener.start()

    def close(self):
        """Stop listening."""
        self._listener.close()

    def accepted(self, path="/usage"):
        """Return the calls at `path` that had an effect."""
        return [c for c in self.calls if c.path == path and c.status == 200]

    async def _handle(self, request, connection):
        statuses = {"": 200, "slow": 200, "busy": 429, "error": 503, "silent": 0}
        status = statuses[self.fault]
        headers = {name.lower(): value for name, value in request.headers}
        call = DutyCall(
            time.time(),
            request.path.decode(),
            headers[b"x-duty-holder"].decode(),
            int(headers[b"x-fencing-token"]),
            msgspec.json.decode(request.body),
            status,
        )
        self.calls.append(call)
        if self.fault == "slow":
            await asyncio.sleep(self.delay)
        if not status:
            await asyncio.sleep(3600)
        connection.answer(status, [], b"{}")
