"""
rosemarypath.backendclient
~~~~~~~~~~~~~~~~~~~~~~~~~~

Management client of a back end, used by its owner: loads and unloads adapters and reads
reports. Commands carry the owner's fencing token.
"""

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec

__all__ = ["COMMAND_TIMEOUT_SECONDS", "BackEndClient", "BackEndReport"]

COMMAND_TIMEOUT_SECONDS = 1.0
LOAD_TIMEOUT_SECONDS = 15.0
FENCE_HEADER = "X-Fence"


@dataclass(frozen=True)
class BackEndReport:
    """
    A back end's report of its load, which may lag behind.

    `requests` are the identifiers of running requests, `running_adapters` the engine
    names of the adapters they use, `adapters` those of the loaded ones. `completed` is
    the number of requests completed since the start of the back end.
    """

    requests: frozenset
    running_adapters: frozenset
    adapters: tuple
    completed: int


class BackEndClient:
    """
    Sends commands to one back end and reads its reports.

    `session` is the shared `aiohttp.ClientSession`, `address` the back end's
    ``host:port``.
    """

    def __init__(self, session, address):
        self._session = session
        self._base = f"http://{address}"

    async def load(self, adapter, fence):
        """Load `adapter`; return whether the engine confirmed the load."""
        status = await self._send_command("load", adapter, fence, LOAD_TIMEOUT_SECONDS)
        return status == 200

    async def unload(self, adapter, fence):
        """Unload `adapter`; return whether the engine confirmed that it is unloaded."""
        status = await self._send_command(
            "unload", adapter, fence, COMMAND_TIMEOUT_SECONDS
        )
        return status in {200, 404}

    async def get_report(self):
        """Return the `BackEndReport`, or ``None`` when the back end does not answer."""
        document = await self._get("/load")
        if document is None:
            return None
        return BackEndReport(
            frozenset(document.get("requests", ())),
            frozenset(document.get("running_adapters", ())),
            tuple(document.get("adapters", ())),
            document.get("completed", 0),
        )

    async def loaded_adapters(self):
        """Return the engine names of the loaded adapters; ``None``: no answer."""
        document = await self._get("/v1/models")
        if document is None:
            return None
        return [entry["id"] for entry in document["data"] if "@" in entry["id"]]

    async def _send_command(self, verb, adapter, fence, timeout):
        path = f"/v1/{verb}_lora_adapter"
        document = {"lora_name": adapter, "lora_path": adapter}
        return await self._post(path, document, {FENCE_HEADER: str(fence)}, timeout)

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
                self._base + path,
                timeout=aiohttp.ClientTimeout(total=COMMAND_TIMEOUT_SECONDS),
            ) as response:
                if response.status != 200:
                    return None
                return msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, msgspec.DecodeError):
            return None
