"""
rosemarypath.engineclient
~~~~~~~~~~~~~~~~~~~~~~~~~

Orders that a back end's owner gives to it, each with the owner's fencing number.
"""

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec

__all__ = ["ORDER_TIMEOUT", "EngineOrders", "LoadReport"]

ORDER_TIMEOUT = 1.0
LOAD_TIMEOUT = 15.0
FENCE_HEADER = "X-Fence"


@dataclass(frozen=True)
class LoadReport:
    """
    A back end's lagging report.

    `requests` are the identifiers it runs, `running_adapters` the engine names they
    use, `adapters` those it holds, `completed` counts since its last start.
    """

    requests: frozenset
    running_adapters: frozenset
    adapters: tuple
    completed: int


class EngineOrders:
    """
    Orders to one back end.

    `session` is the shared client session, `address` the back end's ``host:port``.
    """

    def __init__(self, session, address):
        self._session = session
        self._base = f"http://{address}"

    async def load(self, adapter, fence):
        """Load `adapter`; return whether the engine holds it now."""
        status = await self._order("load", adapter, fence, LOAD_TIMEOUT)
        return status == 200

    async def unload(self, adapter, fence):
        """Evict `adapter`; return whether the engine let go of it."""
        status = await self._order("unload", adapter, fence, ORDER_TIMEOUT)
        return status in {200, 404}

    async def report(self):
        """Return the `LoadReport`, or ``None`` when the back end does not answer."""
        document = await self._get("/load")
        if document is None:
            return None
        return LoadReport(
            frozenset(document.get("requests", ())),
            frozenset(document.get("running_adapters", ())),
            tuple(document.get("adapters", ())),
            document.get("completed", 0),
        )

    async def loaded(self):
        """Return the engine names held now, or ``None`` when there is no answer."""
        document = await self._get("/v1/models")
        if document is None:
            return None
        return [entry["id"] for entry in document["data"] if "@" in entry["id"]]

    async def _order(self, verb, adapter, fence, timeout):
        path = f"/v1/{verb}_lora_adapter"
        order = {"lora_name": adapter, "lora_path": adapter}
        return await self._post(path, order, {FENCE_HEADER: str(fence)}, timeout)

    async def _post(self, path, document, headers, timeout):
        try:
            async with self._session.post(
                self._base + path,
                data=msgspec.json.encode(document),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None

    async def _get(self, path):
        try:
            async with self._session.get(
                self._base + path, timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT)
            ) as response:
                if response.status != 200:
                    return None
                return msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, msgspec.DecodeError):
            return None
