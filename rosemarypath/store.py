"""
rosemarypath.store
~~~~~~~~~~~~~~~~~~

Client of the platform's object API.
"""

import asyncio
import secrets
from collections import Counter

import aiohttp
import msgspec

from rosemarypath.bounded import read_bounded
from rosemarypath.errors import (
    ConflictError,
    NotFoundError,
    StoreUnavailableError,
    VersionGoneError,
)
from rosemarypath.stored import StoredObject

__all__ = ["StoreClient", "StoredObject"]

API_PREFIX = "/apis/rosemarypath/v1"
CALL_TIMEOUT_SECONDS = 2.0
WATCH_SECONDS = 1.5
MAX_WATCH_SILENCE_SECONDS = 2.0
WRITER_ANNOTATION = "writer"


def _parse_object(document):
    metadata = document["metadata"]
    return StoredObject(
        metadata["name"],
        int(metadata["resourceVersion"]),
        document["spec"],
        metadata.get("annotations", {}).get(WRITER_ANNOTATION, ""),
    )


class StoreClient:
    """
    Client of the object API at `address` (``host:port``).

    `calls` counts the calls by type: read, write and watch.

    Options:

    `timeout`
        Seconds one call may take (default 2).
    """

    def __init__(self, address, timeout=CALL_TIMEOUT_SECONDS):
        self._base = f"http://{address}{API_PREFIX}"
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session = None
        self.calls = Counter()

    async def close(self):
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, kind, name):
        """Return the `StoredObject`; raises `NotFoundError`."""
        return _parse_object(await self._call("GET", f"/{kind}/{name}"))

    async def list(self, kind):
        """Return all objects of `kind` and the version of that list."""
        document = await self._call("GET", f"/{kind}")
        objects = [_parse_object(item) for item in document["items"]]
        return objects, int(document["metadata"]["resourceVersion"])

    async def create(self, kind, name, spec):
        """
        Create an object; raises `ConflictError` when it exists already.

        If the response is lost, the object is read to find out whether it was written.
        """
        return await self._write("POST", kind, name, f"/{kind}", spec, 0)

    async def update(self, kind, name, spec, version):
        """
        Replace an object; raises `ConflictError` unless `version` is the newest.

        A lost response is handled as by `create`.
        """
        return await self._write("PUT", kind, name, f"/{kind}/{name}", spec, version)

    async def delete(self, kind, name):
        """Remove an object; raises `NotFoundError` when there is none."""
        await self._call("DELETE", f"/{kind}/{name}")

    async def watch(self, kind, version):
        """
        Yield each `StoredObject` of `kind` changed after `version`, for 1.5 seconds.

        The server ends each watch after this time, so that a watch without events can
        be told from a dead connection. Raises `VersionGoneError` when `version` is too
        old, `StoreUnavailableError` when the connection breaks or is silent.
        """
        self.calls["watch"] += 1
        parameters = {
            "watch": "1",
            "resourceVersion": str(version),
            "timeoutSeconds": str(WATCH_SECONDS),
        }
        timeout = aiohttp.ClientTimeout(
            sock_connect=CALL_TIMEOUT_SECONDS, sock_read=MAX_WATCH_SILENCE_SECONDS
        )
        try:
            async with self._get_session().get(
                f"{self._base}/{kind}", params=parameters, timeout=timeout
            ) as response:
                if response.status == 410:
                    raise VersionGoneError(
                        f"version {version} of {kind} is no longer available",
                        "list it again",
                    )
                if response.status != 200:
                    raise self._unavailable(
                        f"watch of {kind}: status {response.status}"
                    )
                async for line in response.content:
                    event = msgspec.json.decode(line)
                    if event["type"] != "BOOKMARK":
                        yield _parse_object(event["object"])
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            raise self._unavailable(f"watch of {kind} failed ({error!r})") from error

    async def _write(self, method, kind, name, path, spec, version):
        writer = secrets.token_hex(8)
        metadata = {"name": name, "annotations": {WRITER_ANNOTATION: writer}}
        if version:
            metadata["resourceVersion"] = str(version)
        document = {"kind": kind, "metadata": metadata, "spec": spec}
        try:
            return _parse_object(await self._call(method, path, document))
        except StoreUnavailableError:
            stored = await self._find(kind, name)
            if stored is not None and stored.writer == writer:
                return stored
            raise

    async def _find(self, kind, name):
        try:
            return await self.get(kind, name)
        except NotFoundError:
            return None

    async def _call(self, method, path, document=None):
        self.calls["read" if method == "GET" else "write"] += 1
        body = None if document is None else msgspec.json.encode(document)
        try:
            async with self._get_session().request(
                method, self._base + path, data=body
            ) as response:
                payload = await read_bounded(response)
                status = response.status
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise self._unavailable(f"{method} {path} failed ({error!r})") from error
        if status == 404:
            raise NotFoundError(f"there is no {path}", "create it first")
        if status == 409:
            raise ConflictError(
                f"{path} was changed by another writer", "read it and retry"
            )
        if status not in range(200, 400):
            raise self._unavailable(f"{method} {path}: status {status}")
        return msgspec.json.decode(payload)

    def _get_session(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        return self._session

    @staticmethod
    def _unavailable(message):
        return StoreUnavailableError(
            f"object API: {message}", "check its address and that it is up"
        )
