"""A small deployment on loopback addresses for the scripts of the third review."""

import asyncio
import copy
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.platformstore import PlatformStoreStandIn  # noqa: E402
from standins.replica import EngineState, Replica  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "callers.example"
KEY, SECOND_KEY = "key-of-the-farm", "second-key-of-the-farm"
TENANT = "farm"
ZONES = ["anjar-east", "anjar-west", "bhachau-yard", "gandhidham-store"]
# As on the sheet of the deployment kesariya-dry.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "quotaWindowS": 8,
    "quotaOver": 0.1,
    "quotaSlack": 17000,
    "coldOver": 1.5,
    "coldSlack": 5,
    "evacMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "requireFence": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "ceilingWindowS": 5,
    "ceilingOver": 1.1,
    "version_ms": 5000,
    "ttl_max_s": 5,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class Store(PlatformStoreStandIn):
    """The project's stand-in; a write that changes nothing gets no new revision."""

    def put(self, kind, name, spec):
        known = self._kinds.get(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        return super().put(kind, name, copy.deepcopy(spec))


def route(name, service, kind, **fields):
    """Return a route of the configuration; its prefix is ``/NAME/``."""
    entry = {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind}
    entry.update(timeoutMs=3000, targetLatencyMs=400, priority=2, service=service)
    entry.update(maxAttempts=1, public=False, sticky=False, resumable=False)
    return {**entry, **fields}


def plain_service(name):
    """Return a service without engines."""
    entry = {"name": name, "healthPath": "/health", "maxConns": 110}
    return {**entry, "coldStartS": 0.0, "coldPerS": 0.0}


def engine_service(name, places=22):
    """Return a service of model engines, as the stand-in has them."""
    model = {"name": "base", "weightsMb": 65100.0, "loadS": 1.4}
    model.update(adapters=3000, adapterMb=12.0)
    engine = {"slots": 64, "kvCacheTokens": 122633, "models": [model]}
    engine.update(weightsMb=66700.0, maxAdapters=places, loadsPerS=4.2)
    entry = {"name": name, "healthPath": "/health", "maxConns": 370}
    return {**entry, "coldStartS": 3.0, "coldPerS": 15.0, "engine": engine}


def tenant(keys, rate=43600, burst=43600):
    """Return the tenant of the deployment with its keys."""
    entry = {"name": TENANT, "apiKeys": list(keys), "priority": 1}
    entry.update(unit="tokens", plainTokens=200, ratePerS=rate, burst=burst)
    return entry


class Daemon:
    """One entry machine: its addresses, settings file and process."""

    def __init__(self, lab, number):
        self.lab = lab
        self.name = f"edge-{number}"
        self.ip = f"{lab.net}.{10 + number}"
        self.zone = ZONES[number % len(ZONES)]
        self.path = lab.folder / f"{self.name}.json"
        self.process = None
        self.front = f"{self.ip}:{lab.ports['front']}"
        self.ready = f"{self.ip}:{lab.ports['ready']}"
        self.directory = f"{self.ip}:{lab.ports['directory']}"

    def write_settings(self, **changes):
        """Write the settings file, with `changes` at its top level."""
        listen = {"front": self.front, "ready": self.ready}
        listen.update(control="", directory=self.directory)
        first = self.lab.ports["peers"]
        limits = {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100}
        limits.update(bandwidthMbps=1000.0, diskMb=0)
        settings = {
            "nodeName": self.name,
            "role": "edge",
            "machineClass": "edge",
            "serves": ["edge", "directory"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "kutch",
            "zones": {zone: "kutch" for zone in ZONES},
            "listen": listen,
            "portRange": [first, first + 15],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": limits,
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "retry", "engine", "tenants"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.lab.store.address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            **changes,
        }
        part = self.path.with_suffix(".new")
        part.write_text(json.dumps(settings), encoding="utf-8")
        part.replace(self.path)

    async def start(self):
        """Start the process as the deploy file does; its log goes to a file."""
        if not self.path.exists():
            self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "ROSEMARYPATH_CONFIG": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.lab.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.lab.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def is_running(self):
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def log_text(self):
        """Return what the process has written so far."""
        return (self.lab.folder / f"{self.name}.log").read_text(errors="replace")


class Lab:
    """The deployment: a store, replicas and daemons; writes ``record.txt``."""

    def __init__(self, folder, daemons=8, seconds=110.0):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_path = Path(folder).resolve() / "record.txt"
        self.record_path.write_text("", encoding="utf-8")
        self._began = time.monotonic()
        self._count = 0
        self.seconds = seconds
        self._temporary = tempfile.TemporaryDirectory(prefix="review3-")
        self.folder = Path(self._temporary.name)
        self.command = deploy_command()
        self.net, self.ports = free_addresses(daemons + 20)
        self.store = Store(f"{self.net}.2:{self.ports['store']}")
        self.replicas = {}
        self.daemons = [Daemon(self, number) for number in range(daemons)]

    def note(self, text):
        """Write one line with the time since the start to the record."""
        with open(self.record_path, "a", encoding="utf-8") as record:
            record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    async def add_replica(self, name, service, engine=None, replica_class=Replica):
        """Start a replica and register it in the store."""
        number = len(self.replicas)
        address = f"{self.net}.{100 + number}:{self.ports['replica']}"
        replica = replica_class(name, address, engine)
        await replica.start()
        self.replicas[name] = replica
        zone = ZONES[number % len(ZONES)]
        self.store.put("servers", name, replica.store_entry(service, zone))
        return replica

    def put_configuration(self, spec):
        """Write the configuration; the store's answer is its acknowledgement."""
        self.store.put("config", "main", spec)
        self.note(f"operator: configuration {spec['version']} acknowledged")
        return time.monotonic()

    async def start_daemons(self):
        """Start all daemons and wait until all are ready and know each other."""
        for daemon in self.daemons:
            await daemon.start()
        until = time.monotonic() + 20.0
        while time.monotonic() < until:
            answers = await asyncio.gather(
                *(self.call(d.ready, "GET", "/api/ready") for d in self.daemons)
            )
            lists = [await self.resolve(daemon) for daemon in self.daemons]
            if all(status == 200 for status, _, _ in answers) and all(
                len(addresses) == len(self.daemons) for addresses in lists
            ):
                self.note(f"{len(self.daemons)} daemons are ready")
                return
            await asyncio.sleep(0.3)
        raise CannotRunError("the daemons did not become ready")

    async def resolve(self, daemon):
        """Return the addresses that a daemon's directory names."""
        path = f"/api/resolve?name={HOST}&region=kutch&zone={daemon.zone}"
        status, _, body = await self.call(daemon.directory, "GET", path)
        return json.loads(body)["addresses"] if status == 200 else []

    async def call(self, address, method, path, headers=(), body=b"", timeout=4.0):
        """Send one request on a new connection; return status, headers and body.

        The status is 0 if the connection failed, or ended before the answer did.
        """
        writer = None
        try:
            async with asyncio.timeout(timeout):
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
                lines += [f"{name}: {value}" for name, value in headers]
                if body:
                    lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                return await read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, {}, b""
        finally:
            if writer is not None:
                writer.transport.abort()

    async def request(self, daemon, path, key=KEY, method="GET", extra=(), **options):
        """Send a caller's request to a daemon and record it with its answer."""
        self._count += 1
        attempt = f"{random.getrandbits(64):016x}"
        headers = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "3000")]
        if key:
            headers.append(("Authorization", f"Bearer {key}"))
        headers += extra
        status, answer, body = await self.call(
            daemon.front, method, path, headers, **options
        )
        shown = " ".join(f"{name}: {value}" for name, value in extra)[:120]
        self.note(f"{daemon.name} {method} {path} key={key} {shown} -> {status}")
        return attempt, status, answer, body

    def runs(self, attempt):
        """Return the names of the replicas that ran a request, once for each run."""
        return [
            name
            for name, replica in self.replicas.items()
            for _ in range(replica.count_runs(attempt))
        ]

    async def close(self):
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()
        for replica in self.replicas.values():
            replica.close()
        self.store.close()
        self._temporary.cleanup()


class CannotRunError(Exception):
    """The case could not be played, so that it tells nothing."""


def deploy_command():
    """Return the words of the line ``run`` of the deploy file."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.partition('"')[2].rpartition('"')[0].split()
    raise CannotRunError("no command in the deploy file")


def free_addresses(count):
    """Return the first three numbers of free loopback addresses, and free ports."""
    names = ["front", "ready", "directory", "store", "replica", "store2"]
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        first = random.randrange(20000, 30000, 40)
        ports = {name: first + 20 + number for number, name in enumerate(names)}
        ports["peers"] = first
        sockets = []
        try:
            for number in range(2, count):
                for port in [*ports.values(), 9464]:
                    probe = socket.socket()
                    sockets.append(probe)
                    probe.bind((f"{net}.{number}", port))
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
        return net, ports
    raise CannotRunError("no free addresses")


async def read_answer(reader):
    """Return status, headers and whole body of an answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    status = int(first.split()[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return status, headers, body
    length = int(headers.get("content-length", 0))
    return status, headers, await reader.readexactly(length)


def run_case(folder, play, daemons=8, seconds=110.0):
    """Play a case: ``await play(lab)`` returns whether the rule held."""

    async def main():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        lab = Lab(folder, daemons, seconds)
        try:
            await lab.store.start()
            async with asyncio.timeout(seconds):
                return HELD if await play(lab) else BROKEN
        except asyncio.CancelledError:
            lab.note("ended by a signal")
            return NOT_RUN
        except Exception as error:  # A fault of the script shows nothing.
            lab.note(f"cannot run: {type(error).__name__}: {error}")
            return NOT_RUN
        finally:
            await lab.close()

    result = asyncio.run(main())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result])
    return result


__all__ = [
    "EngineState",
    "Lab",
    "Replica",
    "engine_service",
    "plain_service",
    "route",
    "run_case",
    "tenant",
]
