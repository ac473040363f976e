"""
bench.fleet
~~~~~~~~~~~

Runs a whole fleet on one machine: daemons and stand-ins as separate processes.
"""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from bench.ports import HOST, free_ports
from rosemarypath.customer import hash_key, new_key
from rosemarypath.rules import format_rule

__all__ = ["Fleet", "FleetPlan"]

READY_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 30.0
ASKED_BY = "the fleet's plan"


@dataclass(frozen=True)
class FleetPlan:
    """
    Size and settings of a fleet.

    Options:

    `machines`, `engines`, `services`
        Numbers of daemons, engines and replicas of the plain service.
    `zones`
        Names of the zones; machines and back ends are assigned to them in turn.
    `adapters`
        Number of adapters, named ``a0``, ``a1`` and so on.
    `customers`
        Maps the name of each customer to the options of its rule.
    `engine_options`, `engine_rule`
        Command-line options of the engines' processes, and options of their rules.
    `weight_rate`
        Adapter loads per second that the weight store serves.
    `policy`, `timing`
        Settings of the daemons: name of the seat policy, and timing values.
    `wired`
        Whether the daemons connect through proxies that can cut the connections
        (`standins.wire`).
    `deadline`
        Deadline of the routes, in seconds.
    `open_routes`
        Number of adapters, counted from the last, whose routes name no customer.
    `mutant`
        Name of the mechanism that is disabled in the daemons (see `proofs.mutants`);
        empty for none.
    """

    machines: int = 2
    engines: int = 2
    services: int = 1
    zones: tuple = ("zone-a", "zone-b")
    adapters: int = 4
    customers: dict = field(default_factory=dict)
    engine_options: dict = field(default_factory=dict)
    engine_rule: dict = field(default_factory=dict)
    weight_rate: float = 4.0
    policy: str = "fair"
    wired: bool = False
    timing: dict = field(default_factory=dict)
    deadline: float = 30.0
    open_routes: int = 0
    mutant: str = ""


class Fleet:
    """
    Starts, controls and stops the processes of one fleet.

    `plan` is its `FleetPlan`; settings, logs and event histories are written to
    `directory`. As a context manager it starts the fleet and stops it at the end.
    """

    def __init__(self, plan, directory):
        self._directory = Path(directory)
        self._directory.mkdir(parents=True, exist_ok=True)
        self._processes = {}
        self._dial_addresses = {}
        self.plan = plan
        self.addresses = {}
        self.secrets = {}
        self.spare_secrets = {}
        self.extra_rules = []

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *exc_info):
        self.stop()

    @property
    def machine_names(self):
        """Return the names of the entry machines."""
        return [f"entry-{number}" for number in range(1, self.plan.machines + 1)]

    @property
    def engine_names(self):
        """Return the names of the engines."""
        return [f"engine-{number}" for number in range(1, self.plan.engines + 1)]

    @property
    def service_names(self):
        """Return the names of the replicas of the plain service."""
        return [f"service-{number}" for number in range(1, self.plan.services + 1)]

    @property
    def directory(self):
        """Return the directory of the fleet's files."""
        return self._directory

    @property
    def histories(self):
        """Return the sorted paths of all event histories."""
        return sorted(self._directory.glob("*.jsonl"))

    def customer_of(self, number):
        """Return the customer that owns adapter `number`."""
        customers = list(self.plan.customers)
        return customers[number % len(customers)]

    def zone_of(self, name):
        """Return the zone of a machine or a back end."""
        number = int(name.rsplit("-", 1)[1])
        return self.plan.zones[(number - 1) % len(self.plan.zones)]

    def callers_address(self, name):
        """Return the ``host:port`` at which a machine serves callers."""
        return self.addresses[name]

    def operators_address(self, name):
        """Return the ``host:port`` at which a machine serves operators."""
        return self.addresses[f"{name}/operators"]

    def start(self):
        """Start the stand-ins, apply the rules, then start the daemons."""
        self._choose_addresses()
        if self.plan.wired:
            self._start_wires()
        self.start_stand_ins()
        rules = self._directory / "fleet.rules"
        rules.write_text("\n".join([*self.rules(), *self.extra_rules]) + "\n")
        self.run_cli("apply", str(rules), "--object-api", self.addresses["object-api"])
        for name in self.machine_names:
            self.start_machine(name)
        for name in self.machine_names:
            self.wait_ready(name)

    def stop(self):
        """Terminate all processes: the daemons first, then the stand-ins they use."""
        stand_ins = [n for n in self._processes if n not in self.machine_names]
        for names in (self.machine_names, stand_ins):
            self._terminate_all([n for n in names if n in self._processes])

    def _terminate_all(self, names):
        for name in names:
            if self._processes[name].poll() is None:
                self.resume(name)
                self._processes[name].terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for name in names:
            process = self._processes[name]
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()

    def start_stand_ins(self):
        """Start the object API, the weight store and all back ends."""
        self._spawn_stand_in("object-api", "objectapi")
        rate = ["--rate", str(self.plan.weight_rate)]
        self._spawn_stand_in("weight-store", "weightstore", rate)
        for name in self.engine_names:
            self.start_engine(name)
        for name in self.service_names:
            self._spawn_stand_in(name, "service")
        for name in ["object-api", "weight-store", *self.back_end_names()]:
            self.wait_ready(name)

    def back_end_names(self):
        """Return the names of all back ends."""
        return [*self.engine_names, *self.service_names]

    def start_engine(self, name):
        """Start the stand-in of one engine."""
        words = ["--weight-store", self.addresses["weight-store"]]
        for option, value in self.plan.engine_options.items():
            words += [f"--{option}", str(value)]
        self._spawn_stand_in(name, "engine", words)

    def start_machine(self, name):
        """Start the daemon of one machine."""
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(name)))
        words = ["-m", "rosemarypath.daemon"]
        if self.plan.mutant:
            words = ["-m", "proofs.mutants", self.plan.mutant]
        self._spawn(name, [sys.executable, *words, "--settings", str(path)])

    def kill(self, name):
        """Kill a process with SIGKILL, as a crash would, and wait for its end."""
        self._processes[name].kill()
        self._processes[name].wait()

    def terminate(self, name):
        """Send SIGTERM to a process; return its `Popen`."""
        self._processes[name].terminate()
        return self._processes[name]

    def pause(self, name):
        """Suspend a process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Resume a suspended process."""
        self._processes[name].send_signal(signal.SIGCONT)

    def process(self, name):
        """Return the `Popen` of a process."""
        return self._processes[name]

    def set_faults(self, name, **switches):
        """Set fault switches of a stand-in, such as ``down`` or ``stall``."""
        self.post(self.addresses[name], "/faults", switches)

    def post(self, address, path, document):
        """Send `document` as JSON in a POST request; return the parsed answer."""
        request = urllib.request.Request(
            f"http://{address}{path}",
            data=json.dumps(document).encode(),
            headers={"Content-Type": "application/json"},
            method="POST",
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            return json.loads(response.read())

    def get(self, address, path):
        """Return the parsed JSON answer to a GET request."""
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as response:
            return json.loads(response.read())

    def status(self, name):
        """Return the status of a machine, or ``None`` when it does not answer."""
        try:
            return self.get(self.operators_address(name), "/status")
        except (OSError, urllib.error.URLError):
            return None

    def wait_until_stable(self, timeout=20.0):
        """
        Wait until all running machines hold leases and own all back ends together.

        Raises `TimeoutError` after `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self._is_stable():
                return
            time.sleep(0.1)
        raise TimeoutError(
            "the machines did not acquire leases and all back ends in time"
        )

    def run_cli(self, *words):
        """Run a command of the command-line tool; return the completed process."""
        return subprocess.run(
            [sys.executable, "-m", "rosemarypath.cmdline", *words],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def rules(self):
        """Return the lines of the rules file, with new keys for all customers."""
        plan = self.plan
        lines = [format_rule("zone", zone, {}, ASKED_BY) for zone in plan.zones]
        limits = {"loads_per_second": plan.weight_rate, "in_flight": 8}
        lines.append(format_rule("weight-store", "store", limits, ASKED_BY))
        lines += [self._back_end_rule(name) for name in self.back_end_names()]
        lines += self._customer_rules()
        lines += self._adapter_rules()
        return lines

    def _back_end_rule(self, name):
        options = {"address": self.addresses[name], "zone": self.zone_of(name)}
        if name in self.engine_names:
            options.update(kind="engine", serves="base", **self.plan.engine_rule)
        else:
            options.update(kind="service", serves="ledger", capacity=64)
            options.update(cold_capacity=64)
        return format_rule("backend", name, options, ASKED_BY)

    def _customer_rules(self):
        lines = []
        for customer, options in self.plan.customers.items():
            lines.append(format_rule("customer", customer, options, ASKED_BY))
            self.secrets[customer] = new_key()
            self.spare_secrets[customer] = new_key()
            secrets = (self.secrets[customer], self.spare_secrets[customer])
            for number, secret in enumerate(secrets, start=1):
                values = {"digest": hash_key(secret), "customer": customer}
                name = f"{customer}-{number}"
                lines.append(format_rule("key", name, values, ASKED_BY))
        return lines

    def _adapter_rules(self):
        lines = []
        customers = list(self.plan.customers)
        for number in range(self.plan.adapters):
            values = {"model": "base", "version": "1"}
            lines.append(format_rule("adapter", f"a{number}", values, ASKED_BY))
            values = {
                "adapter": f"a{number}",
                "idempotent": "yes",
                "deadline": self.plan.deadline,
            }
            if number < self.plan.adapters - self.plan.open_routes:
                values["customer"] = self.customer_of(number)
            lines.append(format_rule("route", f"a{number}", values, ASKED_BY))
        if self.plan.services:
            for customer in customers:
                values = {
                    "service": "ledger",
                    "customer": customer,
                    "claim": "yes",
                    "deadline": self.plan.deadline,
                }
                lines.append(
                    format_rule("route", f"dispatch-{customer}", values, ASKED_BY)
                )
        return lines

    def _choose_addresses(self):
        names = ["wires", "object-api", "weight-store", *self.back_end_names()]
        for name in self.machine_names:
            names += [name, f"{name}/peers", f"{name}/operators"]
        for name, port in zip(names, free_ports(len(names))):
            self.addresses[name] = f"{HOST}:{port}"

    def set_wires(self, match, mode):
        """Set the mode of the proxies whose name, ``SOURCE>TARGET``, matches."""
        self.post(self.addresses["wires"], "/set", {"match": match, "mode": mode})

    def _start_wires(self):
        targets = ["object-api", *self.back_end_names()]
        targets += [f"{name}/peers" for name in self.machine_names]
        pairs = [
            (name, target)
            for name in self.machine_names
            for target in targets
            if not target.startswith(f"{name}/")
        ]
        wires = []
        for (source, target), port in zip(pairs, free_ports(len(pairs))):
            listen = f"{HOST}:{port}"
            self._dial_addresses.setdefault(source, {})[self.addresses[target]] = listen
            wires.append(
                {
                    "name": f"{source}>{target}",
                    "listen": listen,
                    "target": self.addresses[target],
                }
            )
        path = self._directory / "wires.json"
        path.write_text(json.dumps(wires))
        self._spawn_stand_in("wires", "wire", ["--wires", str(path)])
        self.wait_ready("wires")

    def _settings(self, name):
        return {
            "dial": self._dial_addresses.get(name, {}),
            "machine": name,
            "zone": self.zone_of(name),
            "callers_address": self.addresses[name],
            "peers_address": self.addresses[f"{name}/peers"],
            "operators_address": self.addresses[f"{name}/operators"],
            "object_api": self.addresses["object-api"],
            "history": str(self._directory / f"{name}.jsonl"),
            "policy": self.plan.policy,
            "timing": dict(self.plan.timing),
        }

    def _spawn_stand_in(self, name, module, words=()):
        base = [sys.executable, "-m", f"standins.{module}"]
        base += ["--listen", self.addresses[name], "--name", name]
        base += ["--history", str(self._directory / f"{name}.jsonl")]
        self._spawn(name, [*base, *words])

    def _spawn(self, name, command):
        log = open(self._directory / f"{name}.log", "ab")
        self._processes[name] = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()

    def wait_ready(self, name):
        """Wait until a process prints ``ready``; raises `RuntimeError` if not."""
        line = self._processes[name].stdout.readline()
        if line.strip() != b"ready":
            log = (self._directory / f"{name}.log").read_text()
            raise RuntimeError(f"{name} did not start: {log[-2000:]}")

    def _is_stable(self):
        running = [n for n in self.machine_names if self._processes[n].poll() is None]
        statuses = [self.status(name) for name in running]
        if not all(s is not None and s["in_standing"] for s in statuses):
            return False
        owned = {b["name"] for s in statuses for b in s["back_ends"]}
        same_barrier = all(s["barrier"] == s["roster_revision"] for s in statuses)
        return same_barrier and owned >= set(self.back_end_names())
