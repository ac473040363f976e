"""
bench.slopes
~~~~~~~~~~~~

Measures how the resource usage of one daemon grows with the size and load of the
fleet, and fits a straight line to each series of measurements. docs/CAPACITY.md uses
the slopes.
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
WARM_UP_SECONDS = 3.0


def fleet_plan(**overrides):
    """Return the `FleetPlan` that all series share, with `overrides` of its fields."""
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
    return FleetPlan(**{**plan, **overrides})


def read_all_usage(fleet):
    """Return ``{machine name: Usage}`` of all daemons of the fleet."""
    return {
        name: read_usage(fleet.process(name).pid, fleet.status(name))
        for name in fleet.machine_names
    }


def measure(plan, seconds, rate=0.0, changes=0.0, max_tokens=32):
    """
    Run a fleet for `seconds` and return ``(usage, changes per second)``.

    `usage` is the mean of its daemons' `Usage.rates_since`. `rate` is the number of
    requests per second to the whole fleet. `changes` is the highest number of rule
    changes per second; fewer are made if the store takes long to answer.
    """
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(plan, directory) as fleet:
            fleet.wait_until_stable(60)
            callers = None
            if rate:
                callers = start_callers(fleet, rate, seconds + 4, max_tokens)
            time.sleep(WARM_UP_SECONDS)
            before = read_all_usage(fleet)
            started = time.monotonic()
            change_count = 0
            while time.monotonic() - started < seconds:
                if changes:
                    change_count += 1
                    change_version(fleet, change_count)
                time.sleep(1.0 / changes if changes else 0.5)
            elapsed = time.monotonic() - started
            after = read_all_usage(fleet)
            if callers is not None:
                callers.wait()
    rates = [after[name].rates_since(before[name], elapsed) for name in after]
    usage = Usage(
        **{
            field: mean(getattr(rate, field) for rate in rates)
            for field in Usage.__dataclass_fields__
        }
    )
    return usage, change_count / elapsed


def change_version(fleet, number):
    """Set the version of an adapter to `number` in the rules."""

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
    """Start a process that sends `rate` requests per second for `seconds`."""
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
    arguments = ["-m", "bench.callers", "--plan", str(path), "--history", history]
    return subprocess.Popen([sys.executable, *arguments])


def measure_series(seconds, selected_names):
    """
    Measure the selected series, or all if `selected_names` is empty.

    Yield ``(name, x, Usage)`` for each point of a series; `x` is the size or rate that
    the series varies.
    """
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
        for size in sizes if not selected_names or name in selected_names else ():
            usage, changes = measure(seconds=seconds, **options(size))
            yield name, changes or size, usage


def fit_lines(points):
    """
    Return ``{field: (slope, intercept)}`` for each field of `Usage`.

    These are least-squares fits of straight lines through `points`.
    """
    sizes = [x for x, _ in points]
    return {
        field: tuple(
            float(v)
            for v in numpy.polyfit(sizes, [getattr(u, field) for _, u in points], 1)
        )
        for field in Usage.__dataclass_fields__
    }


def main(args=None):
    """Measure the series, write them as JSON and return the exit code."""
    parser = argparse.ArgumentParser(
        description="measure how the usage of a daemon grows"
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--output", default="runs/slopes.json")
    parser.add_argument(
        "--series", action="append", help="measure only this series (can be repeated)"
    )
    options = parser.parse_args(args)
    points_by_series = {}
    for name, x, usage in measure_series(options.seconds, options.series):
        points_by_series.setdefault(name, []).append((x, usage))
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
            "lines": fit_lines(points),
        }
        for name, points in points_by_series.items()
    }
    path = Path(options.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=2))
    for name, entry in document.items():
        slope, intercept = entry["lines"]["cpu"]
        print(
            f"slope {name}: cpu {100 * slope:.4f} % each, {100 * intercept:.2f} % at 0"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
