"""
standins.wire
~~~~~~~~~~~~~

Forwards TCP connections between processes, and emulates network faults on them.
"""

import asyncio
import fnmatch
import json

import msgspec

from rosemarypath.httpserver import HttpServer, json_response
from standins.process import build_parser, run_until_stopped

__all__ = ["Wire", "WireController", "main"]

PASS = "pass"
CUT = "cut"
SILENT = "silent"
HUSH = "hush"
MODES = {PASS, CUT, SILENT, HUSH}
READ_BYTES = 65536


class Wire:
    """
    A TCP proxy from one listening address to one target.

    Options:

    `name`
        ``SOURCE>TARGET``.
    `listen`, `target`
        The addresses as ``host:port``.

    Modes:

    - ``pass``: forward all data
    - ``cut``: close the open connections and refuse new ones
    - ``silent``: keep the connections open, but discard their data; a connection that
      lost data stays silent
    - ``hush``: silence the open connections permanently, forward new ones
    """

    def __init__(self, name, listen, target):
        self._listen = listen
        self._target = target
        self._connections = set()
        self._server = None
        self.name = name
        self.mode = PASS

    async def start(self):
        """Start listening."""
        host, port = self._listen.rsplit(":", 1)
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def set_mode(self, mode):
        """Apply `mode` to the open and to new connections."""
        self.mode = PASS if mode == HUSH else mode
        for connection in list(self._connections):
            if mode == CUT:
                connection.close()
            elif mode == HUSH:
                connection.is_silenced = True

    async def _accept(self, reader, writer):
        if self.mode == CUT:
            writer.close()
            return
        host, port = self._target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        connection = _Connection(self, (writer, target_writer))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.copy(reader, target_writer),
                connection.copy(target_reader, writer),
            )
        finally:
            self._connections.discard(connection)
            connection.close()


class _Connection:
    """A forwarded connection: one socket to the client, one to the target."""

    def __init__(self, wire, writers):
        self._wire = wire
        self._writers = writers
        self.is_silenced = False

    def close(self):
        for writer in self._writers:
            writer.close()

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                if self.is_silenced or self._wire.mode == SILENT:
                    self.is_silenced = True
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        if not self.is_silenced:
            self.close()


class WireController:
    """All wires of a fleet; ``POST /set`` sets the mode of matching names."""

    def __init__(self, wires):
        self._wires = wires

    def add_routes(self, server):
        """Serve ``POST /set`` on `server`."""
        server.add("POST", "/set", self._set)

    async def start(self):
        """Start listening on all wires."""
        for wire in self._wires:
            await wire.start()

    async def _set(self, request):
        command = msgspec.json.decode(await request.read())
        if command["mode"] not in MODES:
            return json_response(400, {"error": f"use one of {sorted(MODES)}"})
        matching = [w for w in self._wires if fnmatch.fnmatch(w.name, command["match"])]
        for wire in matching:
            wire.set_mode(command["mode"])
        return json_response(200, {"wires": len(matching)})


def main(args=None):
    """Run the emulator as a process; return its exit code."""
    parser = build_parser("wires between processes")
    parser.add_argument("--wires", required=True, metavar="FILE")
    options = parser.parse_args(args)
    with open(options.wires, encoding="utf-8") as file:
        wires = [Wire(**entry) for entry in json.load(file)]

    async def serve():
        server = HttpServer(options.listen)
        controller = WireController(wires)
        controller.add_routes(server)
        await controller.start()
        await run_until_stopped(server)

    asyncio.run(serve())
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
