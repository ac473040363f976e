"""
proofs.run
~~~~~~~~~~

Runs a fleet of daemons under load while injecting random faults, then checks the
recorded event histories. A seed determines the load and the plan of the faults.
"""

import argparse
import json
import shutil
import subprocess
import sys
import threading
import time
from pathlib import Path

from bench.fleet import Fleet, FleetPlan
from proofs.events import Run
from proofs.faults import draw_plan, get_fault_by_name
from proofs.operator import Operator
from proofs.rules import check_all
from rosemarypath.history import History

__all__ = ["FaultyRun", "main"]

RECOVERY_SECONDS = 8.0
STOP_TIMEOUT_SECONDS = 60.0
RESTARTED_MACHINES = 3
RESTART_SECONDS = 4.0
MAX_SHOWN_VIOLATIONS = 5
CUSTOMERS = {
    "dryers": {"rate": 1500, "burst": 3000, "weight": 2},
    "dealers": {"rate": 600, "burst": 1200},
    "farmers": {"rate": 600, "burst": 1200, "priority": 0},
    "elders": {"rate": 300, "burst": 900},
    "clerks": {"rate": 60, "burst": 300},
}
REQUEST_SHARES = {"dryers": 5, "dealers": 3, "farmers": 3, "elders": 2, "clerks": 3}
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
MAX_TOKENS = 24


def fleet_plan(machines=9, mutant=""):
    """Return the plan of the fleet; `mutant` names one to run instead of the daemon."""
    return FleetPlan(
        machines=machines,
        engines=6,
        services=4,
        zones=ZONES,
        adapters=60,
        open_routes=4,
        customers=CUSTOMERS,
        engine_options={"step-ms": 15},
        wired=True,
        timing={"first_byte": 4.0, "between_bytes": 2.0},
        deadline=20.0,
        mutant=mutant,
    )


class FaultyRun:
    """
    One run of load and faults on a fleet that has been started.

    Options:

    `fleet`
        The running `Fleet`.
    `seed`
        The seed of the random faults and load.
    `rate`
        The load in requests per second.
    `faults`
        Names of the faults to inject (default all but those ``by_name``).
    """

    def __init__(self, fleet, seed, rate=25.0, faults=None):
        self._seed = seed
        self._rate = rate
        self._history = History(str(fleet.directory / "operator.jsonl"), "operator")
        self._stop_count = 0
        self._threads = []
        self.fleet = fleet
        self.operator = Operator(fleet, self._history)
        self.plan = draw_plan(seed, fleet, faults)

    def execute(self):
        """Run the load and the faults; return when all of them have ended."""
        self._record_fleet()
        length = max(f.at + f.seconds for f in self.plan) + RECOVERY_SECONDS
        callers = self._start_callers(length + RESTARTED_MACHINES * RESTART_SECONDS)
        self._inject_faults(time.monotonic())
        self._restart_machines()
        callers.wait()
        self.operator.wait()
        for thread in self._threads:
            thread.join(STOP_TIMEOUT_SECONDS)
        self._history.close()

    def _restart_machines(self):
        """Restart some machines in turn, so that every run includes planned stops."""
        for thread in self._threads:
            thread.join(STOP_TIMEOUT_SECONDS)
        for name in self.fleet.machine_names[:RESTARTED_MACHINES]:
            self.start_stopping(name)
            self.wait_until_stopped(name)
            self.restart_machine(name)

    def restart_machine(self, name):
        """Start a daemon that has ended, without waiting until it is ready."""

        def restart():
            if self.fleet.process(name).poll() is None:
                return
            self.fleet.start_machine(name)
            try:
                self.fleet.wait_ready(name)
            except RuntimeError as error:
                print(error, file=sys.stderr)

        thread = threading.Thread(target=restart, daemon=True)
        thread.start()
        self._threads.append(thread)

    def start_stopping(self, name):
        """Ask a daemon to stop gracefully; record when the stop begins and ends."""
        self._stop_count += 1
        stop = self._stop_count
        process = self.fleet.process(name)
        if process.poll() is not None:
            return
        address = self.fleet.callers_address(name)
        self._history.write("stop_begun", machine=name, stop=stop, address=address)
        process.terminate()

        def wait():
            process.wait(STOP_TIMEOUT_SECONDS)
            self._history.write("stop_ended", machine=name, stop=stop)

        thread = threading.Thread(target=wait, daemon=True)
        thread.start()
        self._threads.append(thread)

    def wait_until_stopped(self, name):
        """Wait until a daemon has stopped; raises `subprocess.TimeoutExpired`."""
        self.fleet.process(name).wait(STOP_TIMEOUT_SECONDS)

    def _inject_faults(self, started):
        """Begin and end each planned fault at its time after `started`."""
        steps = []
        for planned in self.plan:
            steps.append((planned.at, "begin", planned))
            steps.append((planned.at + planned.seconds, "end", planned))
        for at, step, planned in sorted(steps, key=lambda s: s[0]):
            time.sleep(max(0.0, started + at - time.monotonic()))
            self._history.write(
                f"fault_{step}", fault=planned.name, target=planned.target
            )
            fault = get_fault_by_name(planned.name)()
            try:
                getattr(fault, step)(self, planned.target)
            except OSError as error:
                self._history.write("fault_failed", error=repr(error))

    def _record_fleet(self):
        """Record what the rules need: limits, zones and owners of routes."""
        plan = self.fleet.plan
        for customer, options in plan.customers.items():
            self._history.write(
                "contract",
                customer=customer,
                rate=options["rate"],
                burst=options["burst"],
            )
        for name in self.fleet.back_end_names():
            zone = self.fleet.zone_of(name)
            self._history.write("back_end_zone", back_end=name, zone=zone)
        for number in range(plan.adapters - plan.open_routes):
            owner = self.fleet.customer_of(number)
            self._history.write("route_owner", route=f"a{number}", customer=owner)

    def _start_callers(self, seconds):
        """Start the process that sends requests for `seconds`; return its `Popen`."""
        plan = {
            "machines": [
                self.fleet.callers_address(name) for name in self.fleet.machine_names
            ],
            "seed": self._seed,
            "rate": self._rate,
            "seconds": seconds,
            "tries": 6,
            "customers": self._caller_customers(),
        }
        path = self.fleet.directory / "callers.json"
        path.write_text(json.dumps(plan))
        history = self.fleet.directory / "callers.jsonl"
        words = ["--plan", str(path), "--history", str(history)]
        return subprocess.Popen([sys.executable, "-m", "bench.callers", *words])

    def _caller_customers(self):
        """
        Return the customers in the callers' plan, once for each of their keys.

        A small share of their requests is for routes of other customers.
        """
        plan = self.fleet.plan
        entries = []
        for name in plan.customers:
            models = [
                f"a{n}"
                for n in range(plan.adapters)
                if self.fleet.customer_of(n) == name
                or n >= plan.adapters - plan.open_routes
            ]
            entry = {
                "name": name,
                "secret": self.fleet.secrets[name],
                "share": REQUEST_SHARES.get(name, 1),
                "models": models,
                "service": f"dispatch-{name}",
                "trespass": [f"a{n}" for n in range(5)],
                "trespass_share": 0.02,
                "service_share": 0.25,
                "max_tokens": MAX_TOKENS,
                "prompts": 4,
                "prompt_bytes": 120,
            }
            entries.append(entry)
            spare = {"secret": self.fleet.spare_secrets[name], "share": 0.5}
            entries.append({**entry, **spare})
        return entries


def prove(seed, directory, machines=9, faults=None, rate=25.0, mutant="", quiet=False):
    """Run a fleet in `directory`, which is replaced; return all verdicts."""
    directory = Path(directory)
    if directory.exists():
        shutil.rmtree(directory)
    with Fleet(fleet_plan(machines, mutant), directory) as fleet:
        fleet.wait_until_stable()
        run = FaultyRun(fleet, seed, rate, faults)
        for planned in () if quiet else run.plan:
            print(
                f"{planned.at:6.1f} s {planned.name} {planned.target} "
                f"for {planned.seconds:.1f} s",
                flush=True,
            )
        run.execute()
    return check_all(Run.from_directory(directory))


def main(args=None):
    """Check all rules for one seed; return 0 if all held, else 1."""
    parser = argparse.ArgumentParser(description="check the safety rules under faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--directory", default="runs/proofs")
    parser.add_argument("--machines", type=int, default=9)
    parser.add_argument("--rate", type=float, default=25.0)
    parser.add_argument("--fault", action="append", help="inject only these faults")
    parser.add_argument(
        "--check",
        action="store_true",
        help="only check the histories of a finished run",
    )
    options = parser.parse_args(args)
    directory = Path(options.directory) / f"seed-{options.seed}"
    if options.check:
        verdicts = check_all(Run.from_directory(directory))
    else:
        verdicts = prove(
            options.seed, directory, options.machines, options.fault, options.rate
        )
    return _print_verdicts(verdicts, directory)


def _print_verdicts(verdicts, directory):
    failed = False
    for verdict in verdicts:
        print(verdict)
        for violation in verdict.violations[:MAX_SHOWN_VIOLATIONS]:
            print(f"    {violation}")
        failed = failed or verdict.state != "held"
    print(f"histories: {directory}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
