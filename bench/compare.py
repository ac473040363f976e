"""
bench.compare
~~~~~~~~~~~~~

Compares seat policies under the same load, with a zone that leaves and returns.
"""

import argparse
import json
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from statistics import median

import yaml
from hdrh.histogram import HdrHistogram

from bench.fleet import Fleet, FleetPlan
from proofs.events import Run

__all__ = ["Trial", "main", "measures_of"]

FIRST_TOKEN_SECONDS = 1.5
RETURN_SECONDS = 10.0
SLOTS = 16
TARGETS = {
    "load_stalls": "at most half the baseline",
    "load_wait_seconds": "at most half the baseline",
    "tokens_per_step": "at least the baseline",
    "worst_served_customer": "0.9",
    "refusals_within_rate_all_up": "0",
    "refusals_within_rate_zone_out": "0.001",
    "first_token_in_time_before": "0.95",
    "first_token_in_time_zone_out": "0.95",
    "first_token_in_time_after": "0.95",
}


class Trial:
    """
    One run of a scenario with one policy.

    `scenario` is a parsed YAML file, `policy` the name of a seat policy.
    """

    def __init__(self, scenario, policy, directory, seed):
        self._scenario = scenario
        self._policy = policy
        self._directory = Path(directory)
        self._seed = seed

    def execute(self):
        """Run it and return its measures by name."""
        with Fleet(self._plan(), self._directory) as fleet:
            fleet.wait_until_stable(60)
            callers = self._start_callers(fleet)
            started = time.time()
            self._move_zone(fleet, started)
            callers.wait()
            batches = [
                fleet.get(fleet.addresses[name], "/load") for name in fleet.engine_names
            ]
        run = Run.from_directory(self._directory)
        return measures_of(run, batches, self._scenario, started)

    def _plan(self):
        scenario = self._scenario
        size = {"slots": SLOTS, "capacity": SLOTS, "cold-capacity": 2}
        return FleetPlan(
            machines=scenario["machines"],
            engines=scenario["engines"],
            services=scenario["services"],
            zones=tuple(scenario["zones"]),
            adapters=scenario["adapters"],
            customers={
                name: {"rate": c["rate"], "burst": c["burst"]}
                for name, c in scenario["customers"].items()
            },
            engine_options=size,
            engine_rule={"slots": SLOTS, "capacity": SLOTS, "cold_capacity": 2},
            weight_rate=scenario["weight_rate"],
            policy=self._policy,
        )

    def _move_zone(self, fleet, started):
        """Take the first zone out and bring it back at the scenario's times."""
        for action, at in zip(("out", "in"), self._scenario["zone_out"]):
            time.sleep(max(0.0, started + at - time.time()))
            store = ["--object-api", fleet.addresses["object-api"]]
            words = ["zone", action, fleet.plan.zones[0], "--asked-by", "the bench"]
            fleet.run_cli(*words, *store)

    def _start_callers(self, fleet):
        customers = [
            {
                "name": name,
                "secret": fleet.secrets[name],
                "share": c["share"],
                "models": [
                    f"a{n}"
                    for n in range(fleet.plan.adapters)
                    if fleet.customer_of(n) == name
                ],
                "service": f"dispatch-{name}",
                "service_share": c["service_share"],
                "max_tokens": 24,
                "prompts": 4,
                "prompt_bytes": 120,
            }
            for name, c in self._scenario["customers"].items()
        ]
        plan = {
            "machines": [fleet.callers_address(name) for name in fleet.machine_names],
            "seed": self._seed,
            "rate": self._scenario["rate"],
            "zipf": self._scenario["zipf"],
            "seconds": self._scenario["seconds"],
            "tries": 1,
            "customers": customers,
        }
        path = self._directory / "callers.json"
        path.write_text(json.dumps(plan))
        history = str(self._directory / "callers.jsonl")
        words = ["-m", "bench.callers", "--plan", str(path), "--history", history]
        return subprocess.Popen([sys.executable, *words])


def measures_of(run, batches, scenario, started):
    """Return the measures of one run, by name."""
    out, back = (started + at for at in scenario["zone_out"])
    warm = started + scenario["warm"]
    results = [
        event
        for event in run.of(
            "caller_answered", "caller_refused", "caller_broken", "caller_stream_error"
        )
        if event["started"] >= warm
    ]
    models = [event for event in results if event["model"]]
    firsts = [e for e in run.of("first_byte") if e["time"] >= warm]
    stalled = [e for e in firsts if e["waited_for_load"] > 0.0]
    steps = sum(batch["steps"] for batch in batches)
    tokens = sum(batch["tokens"] for batch in batches)
    served = service_by_customer(models, scenario)
    latency = latencies(models)
    return {
        "load_stalls": len(stalled) / max(1, len(models)),
        "load_wait_seconds": sum(e["waited_for_load"] for e in firsts)
        / max(1, len(models)),
        "tokens_per_step": tokens / max(1, steps),
        "worst_served_customer": min(served.values(), default=0.0),
        "refusals_within_rate_all_up": refused_share(
            [e for e in models if not out <= e["started"] <= back + RETURN_SECONDS],
            scenario,
        ),
        "refusals_within_rate_zone_out": refused_share(
            [e for e in models if out <= e["started"] <= back + RETURN_SECONDS],
            scenario,
        ),
        "first_token_in_time_before": in_time(models, warm, out, scenario),
        "first_token_in_time_zone_out": in_time(models, out, back, scenario),
        "first_token_in_time_after": in_time(models, back, float("inf"), scenario),
        "first_token_p50_ms": latency.get_value_at_percentile(50),
        "first_token_p95_ms": latency.get_value_at_percentile(95),
    }


def _within_rate(event, scenario):
    return not scenario["customers"][event["customer"]].get("is_over_rate", False)


def _is_in_time(event):
    answered = event["kind"] == "caller_answered"
    return answered and event["first_byte"] <= FIRST_TOKEN_SECONDS


def in_time(events, start, end, scenario):
    """Return the share of requests within their rate answered in time."""
    events = [
        e for e in events if start <= e["started"] < end and _within_rate(e, scenario)
    ]
    return sum(map(_is_in_time, events)) / max(1, len(events))


def refused_share(events, scenario):
    """Return the share refused of the requests of customers within their rate."""
    events = [e for e in events if _within_rate(e, scenario)]
    refused = [e for e in events if e["kind"] != "caller_answered"]
    return len(refused) / max(1, len(events))


def service_by_customer(events, scenario):
    """Return for each customer within its rate the share answered in time."""
    asked, served = Counter(), Counter()
    for event in events:
        if _within_rate(event, scenario):
            asked[event["customer"]] += event["max_tokens"]
            served[event["customer"]] += event["max_tokens"] * _is_in_time(event)
    return {customer: served[customer] / asked[customer] for customer in asked}


def latencies(events):
    """Return a histogram of the times to the first byte, in milliseconds."""
    histogram = HdrHistogram(1, 120000, 3)
    for event in events:
        if event["kind"] == "caller_answered":
            histogram.record_value(max(1, int(event["first_byte"] * 1000)))
    return histogram


def plot(directory, scenario, policies):
    """Draw first tokens over time for each policy; zone out and back are marked."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(policies), 1, sharex=True, sharey=True)
    for axis, policy in zip(axes, policies):
        run = Run.from_directory(directory / f"{scenario['name']}-{policy}-0")
        events = [e for e in run.of("caller_answered") if e["model"]]
        start = min(event["started"] for event in events)
        axis.scatter(
            [e["started"] - start for e in events],
            [e["first_byte"] for e in events],
            s=4,
        )
        axis.axhline(FIRST_TOKEN_SECONDS, color="grey", linestyle="--")
        for at in scenario["zone_out"]:
            axis.axvline(at, color="red", linewidth=0.8)
        axis.set_title(f"{scenario['name']}, {policy}")
        axis.set_ylabel("first token, s")
    axes[-1].set_xlabel("seconds; a zone is out between the red lines")
    figure.tight_layout()
    figure.savefig(directory / f"{scenario['name']}.png", dpi=110)


def main(args=None):
    """Compare the policies; return the exit code."""
    parser = argparse.ArgumentParser(description="compare seat policies under load")
    parser.add_argument(
        "--scenario",
        action="append",
        help="YAML file (default: both deployments)",
    )
    parser.add_argument("--policies", nargs=2, default=["fair", "baseline"])
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--directory", default="runs/bench")
    options = parser.parse_args(args)
    scenarios = options.scenario or [
        "bench/scenarios/kesariya.yaml",
        "bench/scenarios/mfereji.yaml",
    ]
    directory = Path(options.directory)
    found = {}
    for path in scenarios:
        scenario = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
        found[scenario["name"]] = compare(scenario, options, directory)
    (directory / "measures.json").write_text(json.dumps(found, indent=2))
    return 0


def compare(scenario, options, directory):
    """Run all repeats, interleaved, and print the medians."""
    results = {policy: [] for policy in options.policies}
    for repeat in range(options.repeats):
        for policy in options.policies:
            place = directory / f"{scenario['name']}-{policy}-{repeat}"
            for old in place.glob("*.jsonl"):
                old.unlink()
            trial = Trial(scenario, policy, place, seed=repeat + 1)
            results[policy].append(trial.execute())
    plot(directory, scenario, options.policies)
    ours, baseline = (results[policy] for policy in options.policies)
    for name in ours[0]:
        mine = [measures[name] for measures in ours]
        theirs = [measures[name] for measures in baseline]
        spread = f" spread={min(mine):.3f}..{max(mine):.3f}" if len(mine) > 1 else ""
        print(
            f"measure {scenario['name']}.{name} ours={median(mine):.3f} "
            f"baseline={median(theirs):.3f} target={TARGETS.get(name, '-')}{spread}",
            flush=True,
        )
    return results


if __name__ == "__main__":
    sys.exit(main())
