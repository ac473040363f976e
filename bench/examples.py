"""
bench.examples
~~~~~~~~~~~~~~

Writes the example rules of the two deployments, at their real sizes.
"""

import sys
from pathlib import Path

from rosemarypath.rules import format_rule

__all__ = ["kesariya", "main", "mfereji"]

ADAPTER_COUNT = 3000


def _rules(
    zones, engine_count, service_count, service, loads_per_second, customers, asked_by
):
    """Return the rules of one deployment; customers get adapters by their shares."""
    lines = [format_rule("zone", zone, {}, asked_by) for zone in zones]
    limits = {"loads_per_second": loads_per_second, "in_flight": 8}
    lines.append(format_rule("weight-store", "store", limits, asked_by))
    for number in range(engine_count):
        options = {
            "address": f"10.1.{number + 1}.10:8000",
            "zone": zones[number % len(zones)],
            "kind": "engine",
            "serves": "assistant",
            "capacity": 16,
            "cold_capacity": 2,
            "slots": 16,
        }
        lines.append(
            format_rule("backend", f"assistant-{number + 1}", options, asked_by)
        )
    for number in range(service_count):
        options = {
            "address": f"10.2.{number + 1}.10:8000",
            "zone": zones[number % len(zones)],
            "kind": "service",
            "serves": service,
            "capacity": 32,
            "cold_capacity": 8,
            "fences": "no",
        }
        lines.append(
            format_rule("backend", f"{service}-{number + 1}", options, asked_by)
        )
    owners = []
    for name, (rate, burst, share) in customers.items():
        options = {"rate": rate, "burst": burst}
        lines.append(format_rule("customer", name, options, asked_by))
        options = {"service": service, "customer": name, "claim": "yes"}
        lines.append(format_rule("route", f"{service}-{name}", options, asked_by))
        owners += [name] * share
    for number in range(ADAPTER_COUNT):
        owner = owners[number % len(owners)]
        name = f"{owner}-{number:04d}"
        options = {"model": "assistant", "version": "1"}
        lines.append(format_rule("adapter", name, options, asked_by))
        options = {"adapter": name, "customer": owner, "idempotent": "yes"}
        lines.append(format_rule("route", name, options, asked_by))
    return lines


def kesariya():
    """Return the rules of the deployment of Kesariya, which dries petals."""
    customers = {
        "kilns": (4000, 12000, 8),
        "dealers": (2000, 6000, 5),
        "weddings": (800, 2400, 1),
        "exports": (800, 2400, 1),
        "training": (400, 1200, 1),
    }
    zones = [f"kutch-{number}" for number in range(1, 5)]
    return _rules(zones, 6, 4, "ledger", 4, customers, "Asha")


def mfereji():
    """Return the rules of the deployment of Mfereji, an irrigation co-operative."""
    customers = {
        "upper-ditch": (3000, 9000, 6),
        "middle-ditch": (3000, 9000, 6),
        "lower-ditch": (1000, 3000, 2),
        "elders": (500, 1500, 1),
        "clerks": (500, 1500, 1),
    }
    zones = [f"kilimanjaro-{number}" for number in range(1, 5)]
    return _rules(zones, 5, 4, "booking", 3, customers, "Neema")


def main(directory="examples"):
    """Write both files of rules to `directory`; return the exit code."""
    for name, lines in (("kesariya", kesariya()), ("mfereji", mfereji())):
        path = Path(directory) / f"{name}.rules"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        print(f"{path}: {len(lines)} rules")
    return 0


if __name__ == "__main__":
    sys.exit(main())
