"""
proofs.mutants
~~~~~~~~~~~~~~

Daemons with one mechanism switched off, which show that each checker can fail.
"""

import argparse
import sys
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from rosemarypath import (
    adapterslots,
    budget,
    configuration,
    configurationreplica,
    daemon,
    entry,
    execution,
    membership,
    outcome,
    ramp,
    revisionsync,
    seatbroker,
    upstream,
)

__all__ = ["Mutant", "get_mutant_by_name", "known_mutants", "main"]

_mutants = {}


@dataclass(frozen=True)
class Mutant:
    """
    A daemon variant that breaks rule number `rule` under `faults`.

    `apply` switches the mechanism off by replacing attributes of product modules.
    """

    name: str
    rule: int
    faults: tuple
    apply: object


def mutant(name, rule, *faults):
    """Register a function that switches a mechanism off as the mutant `name`."""

    def register(function):
        _mutants[name] = Mutant(name, rule, faults, function)
        return function

    return register


def get_mutant_by_name(name):
    """Return the `Mutant` called `name`; raises `KeyError` if there is none."""
    return _mutants[name]


def known_mutants():
    """Return all mutants, ordered by the rules that they break."""
    return sorted(_mutants.values(), key=lambda found: (found.rule, found.name))


@mutant("stale_adapter", 1, "new_version")
def keep_first_version():
    """Keeps using the first version of each adapter that was seen."""
    first_versions = {}
    original = execution.RequestExecution._adapter_name

    def adapter(self):
        found = original(self)
        return first_versions.setdefault(self._caller_request.route.adapter, found)

    execution.RequestExecution._adapter_name = adapter


@mutant("evict_in_use", 2, "weights_slow")
def evict_adapters_in_use():
    """Regards every adapter as unused, so that any of them may be evicted."""
    adapterslots.AdapterSlots.begin_use = lambda self, adapter, now: None
    original = adapterslots.AdapterSlots._evict

    async def evict(self, victim):
        report = self._client.get_report

        async def report_as_idle():
            found = await report()
            return as_idle(found)

        self._client.get_report = report_as_idle
        try:
            return await original(self, victim)
        finally:
            self._client.get_report = report

    adapterslots.AdapterSlots._evict = evict


def as_idle(report):
    """Return `report` without running adapters."""
    return report and replace(report, running_adapters=frozenset())


@mutant("any_customer", 3, "engine_stalls")
def authorize_any_customer():
    """Allows every key to use every route."""

    def authenticate_only(self, request, route):
        return self._authenticate(request)

    entry.EntryApi._authorize = authenticate_only


@mutant("pass_all_headers", 4, "engine_stalls")
def forward_authorization():
    """Forwards the caller's key to plain services."""
    entry.PASSED_HEADERS = (*entry.PASSED_HEADERS, b"authorization")


@mutant("ignore_withdrawal", 5, "withdraw_key")
def ignore_withdrawal():
    """Accepts withdrawn keys as valid."""
    original = configurationreplica.ConfigurationReplica.adopt

    def adopt(self, new):
        for digest, key in list(new.keys.items()):
            new.keys[digest] = msgspec.structs.replace(key, withdrawn=False)
        return original(self, new)

    configurationreplica.ConfigurationReplica.adopt = adopt


@mutant("unbounded_budget", 6, "engine_stalls")
def grant_all_reservations():
    """Grants every reservation."""
    budget.CustomerBudget.reserve = lambda self, reservation, tokens, now: 0.0


@mutant("no_ramp", 7, "engine_restarts")
def skip_ramp():
    """Gives back ends their warm capacity from the start."""
    ramp.Ramp.limit = property(lambda self: self._warm)


@mutant("ignore_zone", 8, "zone_out")
def accept_all_zones():
    """Treats every zone as accepting requests."""
    configuration.Configuration.zone_accepts = lambda self, zone: True


@mutant("resume_from_start", 9, "hush_engines", "hush_engines", "hush_engines")
def resume_from_start():
    """Resumes streams from their first event, whatever was already delivered."""
    original = upstream.UpstreamClient._resume

    async def resume(self, request, delivered):
        return await original(self, request, 0)

    upstream.UpstreamClient._resume = resume


@mutant("call_unknown_not_run", 10, "service_loses_answers")
def call_unknown_not_run():
    """Reports every unknown outcome as a request that did not run."""

    def unknown(status, code, message):
        return outcome.NotRun(status, code, message)

    upstream.Unknown = unknown


@mutant("repeat_everything", 11, "service_loses_answers")
def repeat_everything():
    """Retries requests with an unknown outcome even if they are not idempotent."""
    original = execution.RequestExecution.__init__

    def init(self, own_daemon, caller_request, arrived_at):
        original(self, own_daemon, caller_request, arrived_at)
        route = msgspec.structs.replace(caller_request.route, idempotent=True)
        object.__setattr__(self._caller_request, "route", route)

    execution.RequestExecution.__init__ = init
    daemon.Daemon.find_refusal = lambda self, caller_request, now: None


@mutant("ignore_leaving", 12, "leaving")
def ignore_leaving():
    """Ignores the platform's list of leaving back ends."""

    async def ignore_hosts(self, stored):
        return None

    revisionsync.RevisionSync._handle_hosts_object = ignore_hosts


@mutant("stop_at_once", 13, "stop_machine")
def stop_at_once():
    """Stops without draining, which interrupts the requests in flight."""

    async def stop(self):
        await self._callers_server.stop(grace=0.001)
        await self.membership.stop()

    daemon.Daemon.stop = stop


@mutant("serve_out_of_standing", 14, "silence_machine", "new_version", "pause_machine")
def serve_without_lease():
    """Treats its lease as valid and its configuration as current at all times."""
    membership.Membership.has_lease = lambda self, now: True
    configurationreplica.ConfigurationReplica.seconds_behind = lambda self, now: 0.0


@mutant("rebuild_blindly", 2, "kill_machine", "weights_slow")
def rebuild_without_members():
    """Becomes the owner of back ends without collecting the seats that members hold."""
    original = seatbroker.SeatBroker.start

    def start(self, collect_held_seats):
        async def no_held_seats():
            return []

        self._adopt_unheld_requests = lambda report, now: None
        original(self, no_held_seats)

    seatbroker.SeatBroker.start = start


def main(args=None):
    """Run a daemon with one mutant; return its exit code."""
    arguments = list(sys.argv[1:] if args is None else args)
    name = arguments.pop(0)
    get_mutant_by_name(name).apply()
    return daemon.main(arguments)


def run_mutants(directory, seed, names):
    """Run each mutant, and its faults on an unchanged daemon; return the exit code."""
    from proofs.run import prove

    failed = False
    for found in known_mutants():
        if names and found.name not in names:
            continue
        states = []
        for name in (found.name, ""):
            verdicts = prove(
                seed,
                Path(directory) / (name or f"{found.name}-off"),
                faults=found.faults,
                mutant=name,
                quiet=True,
            )
            verdict = [v for v in verdicts if v.number == found.rule][0]
            states.append(
                f"{verdict.state} ({len(verdict.violations)}/{verdict.checked})"
            )
            failed = failed or verdict.state != ("broken" if name else "held")
        print(
            f"rule {found.rule:02d} {found.name}: {states[0]}; without it: {states[1]}",
            flush=True,
        )
    return 1 if failed else 0


def run_mutants_main():
    """Check that each rule breaks when its mechanism is switched off."""
    parser = argparse.ArgumentParser(description=run_mutants_main.__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--directory", default="runs/mutants")
    parser.add_argument("--mutant", action="append", help="run only these mutants")
    options = parser.parse_args()
    return run_mutants(options.directory, options.seed, options.mutant)


if __name__ == "__main__":
    sys.exit(run_mutants_main() if sys.argv[1:2] in ([], ["--seed"]) else main())
