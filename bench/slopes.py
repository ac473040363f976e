"""
bench.slopes
~~~~~~~~~~~~

Measures what one daemon uses against the size of the fleet, for docs/CAPACITY.md.
"""

import argparse
import asyncio
import json
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from statistics import mean

import numpy

from bench.fleet import Fleet, FleetPlan
from bench.usage import Usage, read_usage
from rosemarypath.rulestore import change_rule, set_option
from rosemarypath.store import StoreClient

__all__ = ["main", "measure"]

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
CUSTOMERS = {f"c{n}": {"rate": 100000, "burst": 200000} for n in range(5)}
WARM_SECONDS = 3.0


def fleet_plan(**changes):
    """Return the plan that the series vary."""
    plan = {
        "machines": 4,
        "engines": 4,
        "services": 0,
        "adapters": 20,
        "zones": ZONES,
        "customers": CUSTOMERS,
        "engine_rule": {"slots": 64, "capacity": 64, "cold_capacity": 64},
        "engine_options": {
            "slots": 64,
            "capacity": 64,
            "cold-capacity": 64,
            "step-ms": 20,
        },
        "weight_rate": 50.0,
    }
    return FleetPlan(**{**plan, **changes})


def snapshot(fleet):
    """Return the `Usage` of each daemon, by name."""
    return {
        name: read_usage(fleet.process(name).pid, fleet.status(name))
        for name in fleet.machine_names
    }


def measure(plan, seconds, rate=0.0, changes=0.0, max_tokens=32):
    """
    Run a fleet for `seconds`; return the mean `Usage` a second of its daemons, and
    how many rules were changed a second.

    `rate` is in requests, `changes` the most rules to change a second.
    """
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(plan, directory) as fleet:
            fleet.wait_in_standing(60)
            callers = None
            if rate:
                callers = start_callers(fleet, rate, seconds + 4, max_tokens)
            time.sleep(WARM_SECONDS)
            before = snapshot(fleet)
            started = time.monotonic()
            made = 0
            while time.monotonic() - started < seconds:
                if changes:
                    made += 1
                    change_version(fleet, made)
                time.sleep(1.0 / changes if changes else 0.5)
            elapsed = time.monotonic() - started
            after = snapshot(fleet)
            if callers is not None:
                callers.wait()
    rates = [after[name].since(before[name], elapsed) for name in after]
    usage = Usage(
        **{
            field: mean(getattr(rate, field) for rate in rates)
            for field in Usage.__dataclass_fields__
        }
    )
    return usage, made / elapsed


def change_version(fleet, number):
    """Give an adapter a new version."""

    async def change():
        store = StoreClient(fleet.addresses["object-api"])
        try:
            await change_rule(
                store,
                "adapter",
                f"a{number % fleet.plan.adapters}",
                lambda line: set_option(line, "version", str(number), "bench"),
            )
        finally:
            await store.close()

    asyncio.run(change())


def start_callers(fleet, rate, seconds, max_tokens):
    """Start a process of callers."""
    customers = [
        {
            "name": name,
            "secret": fleet.secrets[name],
            "share": 1,
            "models": [
                f"a{n}"
                for n in range(fleet.plan.adapters)
                if fleet.customer_of(n) == name
            ][:20],
            "service": "",
            "service_share": 0,
            "max_tokens": max_tokens,
            "prompts": 4,
            "prompt_bytes": 120,
        }
        for name in fleet.plan.customers
    ]
    plan = {
        "machines": [fleet.callers_address(name) for name in fleet.machine_names],
        "seed": 1,
        "rate": rate,
        "seconds": seconds,
        "tries": 2,
        "customers": customers,
    }
    path = Path(fleet.directory) / "callers.json"
    path.write_text(json.dumps(plan))
    history = str(Path(fleet.directory) / "callers.jsonl")
    words = ["-m", "bench.callers", "--plan", str(path), "--history", history]
    return subprocess.Popen([sys.executable, *words])


def series(seconds, wanted):
    """Yield ``(name, x, Usage)`` for each point of the series that are wanted."""
    for name, sizes, options in (
        ("daemons", (2, 8, 16, 24), lambda n: {"plan": fleet_plan(machines=n)}),
        ("adapters", (20, 3000, 15000), lambda n: {"plan": fleet_plan(adapters=n)}),
        (
            "back ends a daemon",
            (1, 4, 8),
            lambda n: {"plan": fleet_plan(engines=4 * n)},
        ),
        (
            "changes a second",
            (0.5, 4),
            lambda n: {"plan": fleet_plan(adapters=3000), "changes": n},
        ),
        (
            "requests a second and daemon",
            (2, 6, 12),
            lambda n: {"plan": fleet_plan(), "rate": 4 * n, "max_tokens": 3},
        ),
        (
            "tokens a request at 6 a second and daemon",
            (3, 63, 123),
            lambda n: {"plan": fleet_plan(), "rate": 24, "max_tokens": n},
        ),
    ):
        for size in sizes if not wanted or name in wanted else ():
            usage, changes = measure(seconds=seconds, **options(size))
            yield name, changes or size, usage


def fitted(points):
    """Return ``{field: (slope, start)}`` of straight lines through `points`."""
    sizes = [x for x, _ in points]
    return {
        field: tuple(
            float(v)
            for v in numpy.polyfit(sizes, [getattr(u, field) for _, u in points], 1)
        )
        for field in Usage.__dataclass_fields__
    }


def main(args=None):
    """Measure all series; return the exit code."""
    parser = argparse.ArgumentParser(description="measure the slopes of CAPACITY.md")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--output", default="runs/slopes.json")
    parser.add_argument("--series", action="append", help="measure these alone")
    options = parser.parse_args(args)
    found = {}
    for name, x, usage in series(options.seconds, options.series):
        found.setdefault(name, []).append((x, usage))
        print(
            f"{name} {x:g}: cpu {100 * usage.cpu:.2f} %, memory {usage.memory:.1f} MB, "
            f"sent {usage.bytes_sent / 1000:.2f} KB/s in {usage.batches_sent:.1f} "
            f"batches/s, store {usage.store_reads:.2f} reads/s "
            f"{usage.store_writes:.2f} writes/s {usage.store_watches:.2f} watches/s",
            flush=True,
        )
    document = {
        name: {
            "points": [{"x": x, **asdict(usage)} for x, usage in points],
            "lines": fitted(points),
        }
        for name, points in found.items()
    }
    path = Path(options.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=2))
    for name, entry in document.items():
        slope, start = entry["lines"]["cpu"]
        print(f"slope {name}: cpu {100 * slope:.4f} % each, {100 * start:.2f} % at 0")
    return 0


if __name__ == "__main__":
    sys.exit(main())
