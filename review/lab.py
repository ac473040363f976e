"""
review.lab
~~~~~~~~~~

Runs daemons as processes before stand-ins of the store and of replicas, for the
scripts of the second review.

All addresses are loopback addresses; each daemon has one of its own, as the port of its
metrics is fixed.
"""

import asyncio
import json
import os
import random
import resource
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from standins.platformstore import PlatformStoreStandIn  # noqa: E402

HOST = "floor.example"
MODEL = "base"
START_SECONDS = 20.0
STOP_SECONDS = 12.0
LIMIT_SECONDS = 110.0  # of a whole script
MAX_FDS = 4100  # of a machine, as the users' page on deployment has it
# An uncaught exception ends Python with 1, so that `run.sh` gets 3 for a broken rule.
HELD, BROKEN, CANNOT_RUN = 0, 3, 2


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """The lines of `record.txt`, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text):
        """Write one line to the file and to standard output."""
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        print(line, flush=True)
        print(line, file=self._file, flush=True)


class Request:
    """A request as a replica received it."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def id(self):
        """Return the identifier of the attempt."""
        return self.headers.get("x-attempt-id", "")


class Replica:
    """
    A replica at a loopback address; it reads one request at a time on a connection.

    ``await run(request, writer)`` answers each request that the replica runs, and
    returns whether the connection goes on. `runs` lists the requests that were run.
    """

    def __init__(self, name, service, run, is_engine=False, adapters=()):
        self._run = run
        self._server = None
        self._order_count = 0
        self.name = name
        self.service = service
        self.is_engine = is_engine
        self.adapters = list(adapters)
        self.address = ""
        self.born = 1_700_000_000_000
        self.runs = []

    async def start(self):
        """Listen at a free port, or again at the one that it had."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    @property
    def entry(self):
        """Return what the replica registers in the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "anjar-east",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._order_count,
            "born": self.born,
        }
        if self.is_engine:
            entry["models"] = self._models()
        return entry

    def _models(self):
        adapters = [f"{name}@1" for name in self.adapters]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    async def _serve(self, reader, writer):
        try:
            while await self._serve_next(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_next(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        method, path, _ = first.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if path == "/api/report":
            self._answer_report(writer)
            return True
        if path == "/api/order":
            self._answer_order(writer, json.loads(body))
            return True
        request = Request(method, path, headers, body)
        if headers.get("x-expect-instance") != self.name:
            own = [("X-Attempt-Id", request.id), ("X-Instance-Id", self.name)]
            write_answer(writer, 421, [*own, ("X-Not-Executed", "1")])
            return True
        self.runs.append(request)
        return await self._run(request, writer)

    def _answer_report(self, writer):
        document = {"stage": "unified", "models": self._models(), "busy": False}
        document |= {"sequence": self._order_count, "waiting": 0, "running": 0}
        document |= {"kvUsed": 0, "kvTotal": 100000, "handles": 0, "coming": []}
        write_answer(writer, 200, [], json.dumps(document).encode())

    def _answer_order(self, writer, order):
        """Carry out an order to load or unload an adapter at once."""
        if order.get("expected", self._order_count) != self._order_count:
            write_answer(writer, 409, [])
            return
        adapter = order.get("adapter")
        is_load = order["operation"] == "load"
        if (adapter in self.adapters) == is_load:
            write_answer(writer, 200, [])
            return
        self._order_count += 1
        if is_load:
            self.adapters.append(adapter)
        else:
            self.adapters.remove(adapter)
        write_answer(writer, 202 if is_load else 200, [])

    def close(self):
        """Stop listening."""
        self._server.close()


def write_answer(writer, status, headers, body=b""):
    """Write a whole answer with its length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def signed(request):
    """Return the headers of an answer to a request that was run."""
    return [("X-Attempt-Id", request.id), ("X-Response-Signature", f"s.{request.id}")]


async def answer_ok(request, writer):
    """Answer a request with a small body."""
    write_answer(writer, 200, signed(request), b"done")
    return True


class Answer:
    """
    What a caller received.

    `status` is 0 without an answer; `is_complete` tells whether the body is whole.
    """

    def __init__(self, status=0, headers=None, body=b"", is_complete=False, why=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete
        self.why = why

    def __str__(self):
        whole = "complete" if self.is_complete else f"incomplete {self.why}".strip()
        return f"status {self.status}, {len(self.body)} bytes, {whole}"


async def read_answer(reader):
    """Return the next `Answer` on a connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    status = int(first.split(" ")[1])
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        return Answer(status, headers, body, False, repr(error))
    return Answer(status, headers, body, True)


async def call(address, data, seconds=5.0):
    """Send `data` on a new connection; return the `Answer`, without status if none."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            return await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return Answer(why=type(error).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()


def encode(method, path, headers, body=b"", key="key-1"):
    """Return the bytes of a request by an ordinary caller."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def route(name, prefix, kind, service, **fields):
    """Return a route of the configuration."""
    entry = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind}
    entry |= {"service": service, "timeoutMs": 12000, "targetLatencyMs": 600}
    entry |= {"priority": 0, "maxAttempts": 2, "public": False, "sticky": False}
    return entry | {"resumable": False, "gapAimMs": 300} | fields


def service(name, is_engine=False):
    """Return a service of the configuration."""
    entry = {"name": name, "healthPath": "/health", "maxConns": 370, "protocol": "h1"}
    entry |= {"tls": False, "coldStartS": 0.0, "coldPerS": 0.0}
    if is_engine:
        model = {"name": MODEL, "weightsMb": 65100.0, "loadS": 1.4}
        model |= {"adapters": 3000, "adapterMb": 12.0, "warmS": 0.45, "diskS": 0.59}
        entry["engine"] = {"slots": 64, "kvCacheTokens": 123033, "models": [model]}
        entry["engine"] |= {"weightsMb": 66700.0, "maxAdapters": 22, "loadsPerS": 3.0}
    return entry


def tenant(name, key):
    """Return a tenant of the configuration, with the quota of the users' example."""
    entry = {"name": name, "apiKeys": [key], "priority": 1, "unit": "tokens"}
    return entry | {"plainTokens": 200, "ratePerS": 33734, "burst": 33734}


def configuration(routes, services, version=7):
    """Return the operator's configuration."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    tenants = [tenant(f"tenant-{n}", f"key-{n}") for n in (1, 2, 3)]
    document = {"version": version, "routes": routes, "services": services}
    return document | {"limits": limits, "tenants": tenants}


class Daemon:
    """A daemon as a process, started as the deployment file says."""

    def __init__(self, lab, number, host):
        self._lab = lab
        self._path = Path(lab.folder) / f"settings-{number}.json"
        self.name = f"edge-anjar-east-{number}"
        self.host = host
        self.front, self.ready = f"{host}:8221", f"{host}:8224"
        self.directory = f"{host}:8220"
        self.process = None

    def settings(self):
        """Return the settings, as the users' page on deployment shows them."""
        bounds = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000}
        bounds |= {"ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8}
        bounds |= {"configApplyMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10}
        bounds |= {"retryBudgetSlack": 56, "coldOver": 1.5, "coldSlack": 5}
        bounds |= {"leaseMs": 3000, "version_ms": 5000, "ttl_max_s": 5}
        bounds |= {"requireFence": False, "quotaWindowS": 8, "evacMs": 5000}
        limits = {"cpuShare": 0.537, "cores": 2, "memoryMb": 300}
        limits["maxFds"] = self._lab.max_fds
        return {
            "nodeName": self.name,
            "role": "edge",
            "machineClass": "edge",
            "serves": ["edge", "directory"],
            "ip": self.host,
            "zone": "anjar-east",
            "region": "kutch",
            "zones": {"anjar-east": "kutch"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "directory": self.directory,
            },
            "portRange": [7600, 7615],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": limits | {"bandwidthMbps": 1000.0, "diskMb": 0},
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": bounds,
            "platform": {"address": self._lab.store.address, "form": "objects"},
        }

    async def start(self, stdout=None, stderr=None):
        """
        Start the process; it is ready some tenths of a second later.

        Its logs go to a file unless descriptors are given for them.
        """
        self._path.write_text(json.dumps(self.settings()))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["edge"]["run"])
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["ROSEMARYPATH_CONFIG"] = str(self._path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = open(Path(self._lab.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=env,
            stdout=log if stdout is None else stdout,
            stderr=log if stderr is None else stderr,
            preexec_fn=self._limit_descriptors,
        )
        log.close()

    def _limit_descriptors(self):
        count = self._lab.max_fds
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def is_ready(self, seconds=1.0):
        """Return whether the daemon tells the platform that it is ready."""
        data = f"GET /api/ready HTTP/1.1\r\nHost: {self.ready}\r\n\r\n".encode()
        return (await call(self.ready, data, seconds)).status == 200

    async def wait_until_ready(self):
        """Wait until the daemon is ready; raises `CannotRunError`."""
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            if not self.is_running:
                break
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} does not become ready")

    async def stop(self):
        """Kill the process, if it runs."""
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Lab:
    """
    A store, replicas and daemons; all of them end with it.

    `max_fds` is the number of descriptors of a machine.
    """

    def __init__(self, folder, record):
        self._replicas = []
        self.daemons = []
        self.max_fds = MAX_FDS
        self.folder = folder
        self.record = record
        self.store = PlatformStoreStandIn(f"127.0.0.1:{free_port()}")
        self.is_disturbed = os.environ.get("TROUBLE", "1") != "0"

    async def start(self, routes, services, replicas, daemon_count):
        """Start everything and wait until all daemons are ready."""
        await self.store.start()
        for replica in replicas:
            self._replicas.append(replica)
            await replica.start()
            self.store.put("servers", replica.name, replica.entry)
        self.store.put("config", "main", configuration(routes, services))
        net = random.randrange(1, 250), random.randrange(1, 250)
        for number in range(1, daemon_count + 1):
            host = f"127.{net[0]}.{net[1]}.{number}"
            self.daemons.append(Daemon(self, number, host))
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_until_ready()

    async def stop(self):
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            await daemon.stop()
        for replica in self._replicas:
            replica.close()
        self.store.close()


def free_port():
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def main(folder, play):
    """
    Run ``await play(lab)``, which returns whether the rule held; return the exit code.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard < MAX_FDS:
        print(f"needs {MAX_FDS} descriptors")
        return CANNOT_RUN
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    record = Record(Path(folder) / "record.txt")
    record.write("with" if os.environ.get("TROUBLE", "1") != "0" else "without trouble")
    return asyncio.run(_run(record, play))


async def _run(record, play):
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(folder, record)
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                has_held = await play(lab)
        except (CannotRunError, OSError, TimeoutError) as error:
            record.write(f"cannot run: {error!r}")
            return CANNOT_RUN
        finally:
            await lab.stop()
    record.write("the rule held" if has_held else "the rule was broken")
    return HELD if has_held else BROKEN
