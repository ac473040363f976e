"""
proofs.faults
~~~~~~~~~~~~~

The faults of a run, filled into a registry; a seed draws their plan.
"""

import random
from dataclasses import dataclass

from rosemarypath.registry import Registry

__all__ = ["PlannedFault", "draw_plan", "fault", "get_fault_by_name", "known_faults"]

_faults = Registry()
FIRST_FAULT_SECONDS = 4.0
MIN_INTERVAL_SECONDS = 4.5


@dataclass(frozen=True)
class PlannedFault:
    """One fault of a plan: `name` at `at` seconds for `seconds`, on `target`."""

    at: float
    name: str
    target: str
    seconds: float


def fault(name, targets, seconds, by_name=False):
    """
    Register a class with the steps begin and end as the fault `name`.

    `targets` is ``machine``, ``engine``, ``service``, ``zone``, ``customer``,
    ``adapter`` or empty; `seconds` the shortest and the longest time it lasts. Those
    `by_name` are drawn only when they are asked for.
    """

    def register(cls):
        cls.targets = targets
        cls.seconds = seconds
        cls.by_name = by_name
        return _faults(name)(cls)

    return register


def get_fault_by_name(name):
    """Return the class of the fault `name`; raises `KeyError`."""
    return _faults[name]


def known_faults():
    """Return the names of the faults that plans are drawn from."""
    return [name for name in _faults.names if not _faults[name].by_name]


def draw_plan(seed, fleet, names=None):
    """
    Return the faults of one run, drawn from `seed`.

    Each fault comes once alone, in an order of the seed's choice; every third is
    joined by another at the same time, and one comes twice in a row.
    """
    rng = random.Random(seed)
    order = list(names or known_faults())
    rng.shuffle(order)
    plan = []
    at = FIRST_FAULT_SECONDS
    repeated = rng.choice(order)
    for number, name in enumerate(order):
        chosen = [name]
        if number % 3 == 2:
            chosen.append(rng.choice(order))
        if name == repeated:
            chosen.append(name)
        max_seconds = 0.0
        for each in chosen:
            low, high = _faults[each].seconds
            seconds = rng.uniform(low, high)
            target = _draw_target(rng, _faults[each].targets, fleet)
            plan.append(PlannedFault(at + rng.uniform(0, 1), each, target, seconds))
            max_seconds = max(max_seconds, seconds)
        at += max(MIN_INTERVAL_SECONDS, max_seconds + 1.5)
    return sorted(plan, key=lambda planned: planned.at)


def _draw_target(rng, kind, fleet):
    choices = {
        "machine": fleet.machine_names,
        "engine": fleet.engine_names,
        "service": fleet.service_names,
        "zone": list(fleet.plan.zones),
        "customer": list(fleet.plan.customers),
        "adapter": [f"a{n}" for n in range(fleet.plan.adapters)],
    }
    return rng.choice(choices[kind]) if kind else ""


class _BaseFault:
    """Base of the faults; `run` gives the fleet, the operator and the history."""

    name = ""
    targets = ""
    seconds = (2.0, 4.0)
    by_name = False

    def begin(self, run, target):
        """Bring the fault about."""

    def end(self, run, target):
        """Mend it."""


@fault("kill_machine", "machine", (3.0, 5.0))
class KillMachine(_BaseFault):
    """Kills a daemon and starts it anew."""

    def begin(self, run, target):
        run.fleet.kill(target)

    def end(self, run, target):
        run.restart_machine(target)


@fault("stop_machine", "machine", (6.0, 8.0))
class StopMachine(_BaseFault):
    """Stops a daemon gracefully and starts it anew."""

    def begin(self, run, target):
        run.start_stopping(target)

    def end(self, run, target):
        run.wait_until_stopped(target)
        run.restart_machine(target)


@fault("pause_machine", "machine", (3.0, 5.0))
class PauseMachine(_BaseFault):
    """Freezes a daemon for longer than its lease."""

    def begin(self, run, target):
        run.fleet.pause(target)

    def end(self, run, target):
        run.fleet.resume(target)


class _ConnectionFault(_BaseFault):
    match = "{target}>*"
    mode = "cut"

    def begin(self, run, target):
        run.fleet.set_wires(self.match.format(target=target), self.mode)

    def end(self, run, target):
        run.fleet.set_wires(self.match.format(target=target), "pass")


@fault("cut_machine_out", "machine", (3.0, 5.0))
class CutMachineOut(_ConnectionFault):
    """Cuts everything that a daemon sends."""


@fault("cut_machine_in", "machine", (3.0, 5.0))
class CutMachineIn(_ConnectionFault):
    """Cuts what other daemons send to one: a one-way cut."""

    match = "*>{target}/peers"


@fault("silence_machine", "machine", (3.0, 5.0))
class SilenceMachine(_ConnectionFault):
    """Keeps a daemon's connections open and passes nothing."""

    mode = "silent"


@fault("cut_from_store", "machine", (3.0, 5.0))
class CutFromStore(_ConnectionFault):
    """Cuts a daemon from the object API."""

    match = "{target}>object-api"


@fault("hush_links", "machine", (3.0, 4.0))
class HushLinks(_ConnectionFault):
    """Silences a daemon's open connections for good, while new ones work."""

    mode = "hush"


@fault("hush_engine", "engine", (3.0, 4.0))
class HushEngine(_ConnectionFault):
    """Silences the open connections to an engine for good."""

    match = "*>{target}"
    mode = "hush"


@fault("hush_engines", "", (3.0, 4.0), by_name=True)
class HushEngines(_ConnectionFault):
    """Silences the open connections to all engines for good."""

    match = "*>engine-*"
    mode = "hush"


class _StandInFault(_BaseFault):
    """Sets switches of a stand-in and sets them back."""

    stand_in = ""
    switches = {}
    normal = {}

    def begin(self, run, target):
        run.fleet.fault(target or self.stand_in, **self.switches)

    def end(self, run, target):
        run.fleet.fault(target or self.stand_in, **self.normal)


@fault("store_down", "", (4.0, 8.0))
class StoreDown(_StandInFault):
    """The object API refuses everything."""

    stand_in = "object-api"
    switches = {"down": True}
    normal = {"down": False}


@fault("store_slow", "", (3.0, 5.0))
class StoreSlow(_StandInFault):
    """The object API takes most of a second for each call."""

    stand_in = "object-api"
    switches = {"delay": 0.8}
    normal = {"delay": 0.0}


@fault("store_loses_answers", "", (2.0, 3.0))
class StoreLosesAnswers(_StandInFault):
    """Writes take effect and their answers are lost."""

    stand_in = "object-api"
    switches = {"lose_answers": 5}
    normal = {"lose_answers": 0}


@fault("watches_mute", "", (3.0, 5.0))
class WatchesMute(_StandInFault):
    """Watches stay open and tell nothing."""

    stand_in = "object-api"
    switches = {"mute_watches": True}
    normal = {"mute_watches": False}


@fault("weights_slow", "", (3.0, 5.0))
class WeightsSlow(_StandInFault):
    """The weight store is four times as slow."""

    stand_in = "weight-store"
    switches = {"slowdown": 4.0}
    normal = {"slowdown": 1.0}


@fault("weights_down", "", (2.0, 4.0))
class WeightsDown(_StandInFault):
    """The weight store refuses loads."""

    stand_in = "weight-store"
    switches = {"down": True}
    normal = {"down": False}


@fault("engine_silent", "engine", (2.0, 3.0))
class EngineSilent(_StandInFault):
    """An engine accepts requests and does not answer on their connections."""

    switches = {"silent_requests": 3}
    normal = {"silent_requests": 0}


@fault("engine_stalls", "engine", (2.0, 3.0))
class EngineStalls(_StandInFault):
    """An engine stops its steps for a while."""

    switches = {"stall": True}
    normal = {"stall": False}


@fault("service_loses_answers", "service", (2.0, 3.0))
class ServiceLosesAnswers(_StandInFault):
    """A plain service takes effect and does not answer."""

    switches = {"lose_answers": 2}
    normal = {"lose_answers": 0}


@fault("engine_restarts", "engine", (2.0, 3.0))
class EngineRestarts(_BaseFault):
    """An engine restarts empty."""

    def begin(self, run, target):
        run.fleet.post(run.fleet.addresses[target], "/restart", {})


@fault("zone_out", "zone", (5.0, 7.0))
class ZoneOut(_BaseFault):
    """Operators take a zone out and bring it back."""

    def begin(self, run, target):
        run.operator.zone_out(target)

    def end(self, run, target):
        run.operator.zone_in(target)


@fault("leaving", "engine", (6.0, 7.0))
class Leaving(_BaseFault):
    """The platform lists an engine as leaving."""

    def begin(self, run, target):
        run.operator.begin_leaving(target)

    def end(self, run, target):
        run.operator.end_leaving(target)


@fault("withdraw_key", "customer", (2.0, 3.0))
class WithdrawKey(_BaseFault):
    """Operators withdraw a key that callers are using."""

    def begin(self, run, target):
        run.operator.withdraw_key(target)


@fault("new_version", "adapter", (2.0, 3.0))
class NewVersion(_BaseFault):
    """Two operators race, one of them to give an adapter a new version."""

    def begin(self, run, target):
        run.operator.new_version(target)
        run.operator.new_version("a0")
