"""
review.harness
~~~~~~~~~~~~~~

A small deployment for the review's scripts: the daemons as separate processes, the
store and the replicas as stand-ins in this process, all on loopback addresses.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

from rosemarypath.errors import ConnectError, ResponseError
from rosemarypath.httpclient import Connection, encode_request
from standins import replica as replica_module
from standins.platformstore import PlatformStoreStandIn
from standins.replica import EngineState, Replica

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
replica_module.LOAD_SECONDS = 0.25  # of an adapter, as on the sheet
RUN_SECONDS = 110.0  # a script may take 120 s
READY_SECONDS = 20.0
MEMORY_MB = 300
MAX_BODY_BYTES = 4194304
METRICS_PORT = 9464  # the deploy file names the same port
FRONT, READY, DIRECTORY, CONTROL, PEERS = 8221, 8224, 8220, 8229, 7600
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
SERVICE = "huvo11a"
MODEL = "base"
PATH = b"/lohu930/2f"
SYSTEM_PART = "e4402b7d"  # the first part of all prompts
ZONES = ["moshi", "hai", "rombo", "lower-moshi"]
REGION = "kilimanjaro"
PASSED_VARIABLES = ["PATH", "HOME", "LANG"]

# As on the sheet of zamu-ops.
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
    "retryBudgetSlack": 58,
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
ROUTE = {
    "name": "r-26tta82",
    "host": HOST,
    "pathPrefix": "/lohu930/",
    "kind": "streaming",
    "timeoutMs": 12000,
    "targetLatencyMs": 600,
    "priority": 0,
    "service": SERVICE,
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapAimMs": 300,
}
PLAIN_SERVICE = "wuno96b"
PLAIN_PATH = b"/cufi504/fi50/2f"
PLAIN_ROUTE = {
    "name": "r-8m82thh",
    "host": HOST,
    "pathPrefix": "/cufi504/",
    "kind": "safe",
    "timeoutMs": 800,
    "targetLatencyMs": 100,
    "priority": 2,
    "service": PLAIN_SERVICE,
    "maxAttempts": 2,
    "public": False,
}
ENGINE = {
    "slots": 64,
    "kvCacheTokens": 123033,
    "models": [
        {
            "name": MODEL,
            "weightsMb": 65100.0,
            "loadS": 1.4,
            "adapters": 3000,
            "adapterMb": 12.0,
        }
    ],
    "weightsMb": 66700.0,
    "maxAdapters": 22,
    "loadsPerS": 3.0,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE, PLAIN_ROUTE],
    "services": [
        {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConns": 370,
            "coldStartS": 3.0,
            "coldPerS": 15.0,
            "engine": ENGINE,
        },
        {"name": PLAIN_SERVICE, "healthPath": "/health", "maxConns": 110},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": MAX_BODY_BYTES,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
}


class CannotRunError(Exception):
    """The case could not be played, which tells nothing about the rule."""


def has_trouble():
    """Return whether the disruption is played; it is not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


class Network:
    """
    Loopback hosts whose addresses start with `start`, which no other run uses.

    The last of them stays bound until `release`, as a lock against other runs.
    """

    def __init__(self):
        networks = list(range(16, 240))
        random.shuffle(networks)
        for network in networks:
            self._lock = socket.socket()
            try:
                self._lock.bind((f"127.{network}.255.254", METRICS_PORT))
            except OSError:
                self._lock.close()
                continue
            self.start = f"127.{network}"
            return
        raise CannotRunError("no loopback network is free")

    def release(self):
        """Let other runs use the hosts."""
        self._lock.close()


class Record:
    """Writes what was sent, answered and run to a file; times are since its start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started

    def write(self, event, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {event} {text}".rstrip() + "\n")

    def close(self):
        """Close the file."""
        self._file.close()


class Daemon:
    """One daemon, a process started by the command of the deploy file."""

    def __init__(self, name, ip, zone, seeds, store_address, folder):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["edge"]["run"].split(" ")
        self._settings = Path(folder) / f"{name}.json"
        self._log = Path(folder) / f"{name}.log"
        self._process = None
        self.name = name
        self.front = f"{ip}:{FRONT}"
        self.ready = f"{ip}:{READY}"
        self._settings.write_text(
            json.dumps(_settings(name, ip, zone, seeds, store_address))
        )

    def start(self):
        """Start the process."""
        environment = {n: os.environ[n] for n in PASSED_VARIABLES if n in os.environ}
        environment["ROSEMARYPATH_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def hang_up(self):
        """Send SIGHUP: the settings file has changed."""
        self._process.send_signal(signal.SIGHUP)

    def freeze(self):
        """Stop the process until `thaw`."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Continue the process."""
        self._process.send_signal(signal.SIGCONT)

    def resident_mib(self):
        """Return the memory of the process in MiB, 0 if it does not run."""
        if self._process.poll() is not None:
            return 0.0
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def processor_seconds(self):
        """Return the processor time that the process has taken."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _settings(name, ip, zone, seeds, store_address):
    """Return a settings file as the platform writes it."""
    return {
        "nodeName": name,
        "role": "edge",
        "machineClass": "edge",
        "serves": ["edge", "directory"],
        "ip": ip,
        "zone": zone,
        "region": REGION,
        "zones": {zone: REGION for zone in ZONES},
        "listen": {
            "front": f"{ip}:{FRONT}",
            "ready": f"{ip}:{READY}",
            "directory": f"{ip}:{DIRECTORY}",
        },
        "portRange": [PEERS, PEERS + 15],
        "seeds": seeds,
        "bootstrap": True,
        "inTolerance": False,
        "limits": {
            "cpuShare": 0.537,
            "cores": 2,
            "memoryMb": MEMORY_MB,
            "maxFds": 4100,
            "bandwidthMbps": 1000.0,
            "diskMb": 0,
        },
        "dataDir": None,
        "discovery": "platform",
        "entry": "directory",
        "heartbeatMs": 1200,
        "contracts": ["base", "engine", "tenants", "places", "platform"],
        "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
        "bounds": BOUNDS,
        "platform": {
            "address": store_address,
            "form": "objects",
            "writesPerS": 400,
            "readsPerS": 2000,
            "historyS": 20,
            "valueBytes": 1048576,
            "ttlMinMs": 1000,
        },
    }


class Deployment:
    """
    Some daemons, the store and the model replicas.

    `daemons` and `replicas` are lists; `record` is the `Record`.
    """

    def __init__(self, record, folder, daemon_count, replica_count, plain_count):
        self._network = Network()
        network = self._network.start
        self.record = record
        self.store = PlatformStoreStandIn(f"{network}.9.1:8225")
        self.daemons = []
        for number in range(daemon_count):
            name, zone = f"edge-{number + 1}", ZONES[number % len(ZONES)]
            ip = f"{network}.1.{number + 1}"
            seeds = [f"{network}.1.{n + 1}:{CONTROL}" for n in range(3)]
            daemon = Daemon(name, ip, zone, seeds, self.store.address, folder)
            self.daemons.append(daemon)
        self.replicas = [
            Replica(
                f"i-{number + 1}", f"{network}.8.{number + 1}:8080", EngineState(22)
            )
            for number in range(replica_count)
        ]
        self.plain_replicas = [
            Replica(f"p-{number + 1}", f"{network}.7.{number + 1}:8080")
            for number in range(plain_count)
        ]
        self._request_count = 0

    async def start(self):
        """Start everything and wait until all daemons are ready."""
        await self.store.start()
        for replica in self.replicas + self.plain_replicas:
            await replica.start()
            self.announce(replica)
        self.store.put("config", "main", CONFIGURATION)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await self.until_ready(daemon)
        self.record.write("ready", daemons=len(self.daemons))

    def entry(self, replica, cold_ms=0):
        """Return the entry that a replica writes about itself now."""
        if replica.engine is None:
            return replica.store_entry(PLAIN_SERVICE, ZONES[0])
        entry = replica.store_entry(SERVICE, ZONES[0], cold_ms=cold_ms)
        return {**entry, "slots": ENGINE["slots"]}

    def announce(self, replica, cold_ms=0):
        """Write the entry of a replica into the store."""
        self.store.put("servers", replica.name, self.entry(replica, cold_ms))

    async def until_ready(self, daemon):
        """Wait until the daemon answers that it is ready."""
        head = encode_request(b"GET", b"/api/ready", [(b"Host", b"platform")])
        try:
            async with asyncio.timeout(READY_SECONDS):
                while await self._status(daemon.ready, head) != 200:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise CannotRunError(f"{daemon.name} does not get ready") from None

    async def request(self, daemon, adapter="", seconds=12.0, part="5c1e07a2"):
        """
        Send one streaming request to a daemon; return its id and the status.

        `part` is the part of the prompt that others may share. The status is 0 if no
        complete answer came.
        """
        name = self._next_id()
        own = f"{self._request_count:08x}"
        model = f"{MODEL}/{adapter}" if adapter else MODEL
        headers = [
            (b"Host", HOST.encode()),
            (b"X-Attempt-Id", name.encode()),
            (b"X-Model", model.encode()),
            (b"X-Token-Usage", b"100,30"),
            (b"X-Prompt-Prefix", f"{SYSTEM_PART}:40,{part}:20,{own}:40".encode()),
            (b"X-Deadline-Ms", b"%d" % int(seconds * 1000)),
            (b"Authorization", b"Bearer " + KEY.encode()),
        ]
        data = encode_request(b"POST", PATH, headers, b"{}")
        self.record.write("sent", request=name, to=daemon.name, model=model)
        status = await self._status(daemon.front, data, seconds)
        self.record.write("answered", request=name, status=status)
        return name, status

    async def plain_request(self, daemon, seconds=1.5, body=b""):
        """
        Send one request for the plain service; return its id and the status.

        One with a `body` is a POST.
        """
        name = self._next_id()
        headers = [
            (b"Host", HOST.encode()),
            (b"X-Attempt-Id", name.encode()),
            (b"X-Deadline-Ms", b"%d" % int(seconds * 1000)),
            (b"Authorization", b"Bearer " + KEY.encode()),
        ]
        method = b"POST" if body else b"GET"
        data = encode_request(method, PLAIN_PATH, headers, body)
        self.record.write("sent", request=name, to=daemon.name, body=len(body))
        status = await self._status(daemon.front, data, seconds)
        self.record.write("answered", request=name, status=status)
        return name, status

    def _next_id(self):
        self._request_count += 1
        return f"a{self._request_count:05d}"

    async def _status(self, address, data, seconds=1.0):
        try:
            connection = await Connection.open(address)
        except ConnectError:
            return 0
        try:
            async with asyncio.timeout(seconds):
                connection.send(data)
                head = await connection.head()
                await connection.read_all()
                return head.status
        except (ResponseError, TimeoutError):
            return 0
        finally:
            connection.abort()

    def close(self):
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            daemon.kill()
        for replica in self.replicas + self.plain_replicas:
            replica.close()
        self.store.close()
        self._network.release()


@asynccontextmanager
async def running_deployment(record, daemon_count, replica_count, plain_count=0):
    """Run a `Deployment`."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(
            record, folder, daemon_count, replica_count, plain_count
        )
        try:
            await deployment.start()
            yield deployment
        finally:
            deployment.close()


def play(case, folder):
    """
    Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    ``await case(record)`` returns the texts of what broke the rule.
    """
    record = Record(Path(folder) / "record.txt")
    record.write("start", trouble=int(has_trouble()))

    async def run():
        async with asyncio.timeout(RUN_SECONDS):
            return await case(record)

    try:
        broken = asyncio.run(run())
    except (CannotRunError, OSError, TimeoutError) as error:
        record.write("could not run", why=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    else:
        for text in broken:
            record.write("broken", rule=text)
            print(f"broken: {text}")
        record.write("end", broken=len(broken))
        sys.exit(BROKEN if broken else HELD)
    finally:
        record.close()
