"""
proofs.faults
~~~~~~~~~~~~~

The registry of faults that a run injects, and the random plan of a run.
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
    """One fault of a plan: begins `at` seconds into the run, lasts `seconds`."""

    at: float
    name: str
    target: str
    seconds: float


def fault(name, targets, seconds, by_name=False):
    """
    Register a class with the methods begin and end as the fault `name`.

    `targets` is ``machine``, ``engine``, ``service``, ``zone``, ``customer``,
    ``adapter`` or empty for no target; `seconds` is the range of its duration. Faults
    that are `by_name` are used only in runs that name them.
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
    """Return the names of the faults that plans use by default."""
    return [name for name in _faults.names if not _faults[name].by_name]


def draw_plan(seed, fleet, names=None):
    """
    Return the plan of one run: a `PlannedFault` for each, ordered by time.

    The order is drawn from `seed`. Each fault has a time slot; every third slot has a
    second random fault at the same time, and one slot has its fault twice.
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
    """Base class of the faults; `run` is the `FaultyRun`, `target` the drawn target."""

    name = ""
    targets = ""
    seconds = (2.0, 4.0)
    by_name = False

    def begin(self, run, target):
        """Inject the fault."""

    def end(self, run, target):
        """Revert the fault."""


@fault("kill_machine", "machine", (3.0, 5.0))
class KillMachine(_BaseFault):
    """Kills a daemon and restarts it."""

    def begin(self, run, target):
        run.fleet.kill(target)

    def end(self, run, target):
        run.restart_machine(target)


@fault("stop_machine", "machine", (6.0, 8.0))
class StopMachine(_BaseFault):
    """Stops a daemon gracefully and restarts it."""

    def begin(self, run, target):
        run.start_stopping(target)

    def end(self, run, target):
        run.wait_until_stopped(target)
        run.restart_machine(target)


@fault("pause_machine", "machine", (3.0, 5.0))
class PauseMachine(_BaseFault):
    """Suspends the process of a daemon for longer than its lease."""

    def begin(self, run, target):
        run.fleet.pause(target)

    def end(self, run, target):
        run.fleet.resume(target)


class _ConnectionFault(_BaseFault):
    """Sets the mode of the connections that `match`, and resets it at the end."""

    match = "{target}>*"
    mode = "cut"

    def begin(self, run, target):
        run.fleet.set_wires(self.match.format(target=target), self.mode)

    def end(self, run, target):
        run.fleet.set_wires(self.match.format(target=target), "pass")


@fault("cut_machine_out", "machine", (3.0, 5.0))
class CutMachineOut(_ConnectionFault):
    """Cuts all outgoing connections of a daemon."""


@fault("cut_machine_in", "machine", (3.0, 5.0))
class CutMachineIn(_ConnectionFault):
    """Cuts the connections from other daemons to one, in this direction only."""

    match = "*>{target}/peers"


@fault("silence_machine", "machine", (3.0, 5.0))
class SilenceMachine(_ConnectionFault):
    """Keeps the outgoing connections of a daemon open but passes no data."""

    mode = "silent"


@fault("cut_from_store", "machine", (3.0, 5.0))
class CutFromStore(_ConnectionFault):
    """Cuts the connections of a daemon to the object API."""

    match = "{target}>object-api"


@fault("hush_links", "machine", (3.0, 4.0))
class HushLinks(_ConnectionFault):
    """Stops all data on a daemon's open connections for good; new connections work."""

    mode = "hush"


@fault("hush_engine", "engine", (3.0, 4.0))
class HushEngine(_ConnectionFault):
    """Stops all data on the open connections to an engine for good."""

    match = "*>{target}"
    mode = "hush"


@fault("hush_engines", "", (3.0, 4.0), by_name=True)
class HushEngines(_ConnectionFault):
    """Stops all data on the open connections to all engines for good."""

    match = "*>engine-*"
    mode = "hush"


class _StandInFault(_BaseFault):
    """Sets fault switches of a stand-in process, and resets them at the end."""

    stand_in = ""
    switches = {}
    normal = {}

    def begin(self, run, target):
        run.fleet.set_faults(target or self.stand_in, **self.switches)

    def end(self, run, target):
        run.fleet.set_faults(target or self.stand_in, **self.normal)


@fault("store_down", "", (4.0, 8.0))
class StoreDown(_StandInFault):
    """The object API refuses all requests."""

    stand_in = "object-api"
    switches = {"down": True}
    normal = {"down": False}


@fault("store_slow", "", (3.0, 5.0))
class StoreSlow(_StandInFault):
    """The object API delays each request by 0.8 s."""

    stand_in = "object-api"
    switches = {"delay": 0.8}
    normal = {"delay": 0.0}


@fault("store_loses_answers", "", (2.0, 3.0))
class StoreLosesAnswers(_StandInFault):
    """The object API applies some writes and drops their responses."""

    stand_in = "object-api"
    switches = {"lose_answers": 5}
    normal = {"lose_answers": 0}


@fault("watches_mute", "", (3.0, 5.0))
class WatchesMute(_StandInFault):
    """Watches on the object API stay open but deliver no events."""

    stand_in = "object-api"
    switches = {"mute_watches": True}
    normal = {"mute_watches": False}


@fault("weights_slow", "", (3.0, 5.0))
class WeightsSlow(_StandInFault):
    """The weight store takes four times as long."""

    stand_in = "weight-store"
    switches = {"slowdown": 4.0}
    normal = {"slowdown": 1.0}


@fault("weights_down", "", (2.0, 4.0))
class WeightsDown(_StandInFault):
    """The weight store refuses all requests."""

    stand_in = "weight-store"
    switches = {"down": True}
    normal = {"down": False}


@fault("engine_silent", "engine", (2.0, 3.0))
class EngineSilent(_StandInFault):
    """An engine accepts some requests but does not respond to them."""

    switches = {"silent_requests": 3}
    normal = {"silent_requests": 0}


@fault("engine_stalls", "engine", (2.0, 3.0))
class EngineStalls(_StandInFault):
    """An engine stops generating tokens for a while."""

    switches = {"stall": True}
    normal = {"stall": False}


@fault("service_loses_answers", "service", (2.0, 3.0))
class ServiceLosesAnswers(_StandInFault):
    """A plain service executes some requests but does not respond."""

    switches = {"lose_answers": 2}
    normal = {"lose_answers": 0}


@fault("engine_restarts", "engine", (2.0, 3.0))
class EngineRestarts(_BaseFault):
    """An engine restarts without any adapter loaded."""

    def begin(self, run, target):
        run.fleet.post(run.fleet.addresses[target], "/restart", {})


@fault("zone_out", "zone", (5.0, 7.0))
class ZoneOut(_BaseFault):
    """Operators take a zone out of service and bring it back."""

    def begin(self, run, target):
        run.operator.zone_out(target)

    def end(self, run, target):
        run.operator.zone_in(target)


@fault("leaving", "engine", (6.0, 7.0))
class Leaving(_BaseFault):
    """The platform lists an engine as leaving for a while."""

    def begin(self, run, target):
        run.operator.begin_leaving(target)

    def end(self, run, target):
        run.operator.end_leaving(target)


@fault("withdraw_key", "customer", (2.0, 3.0))
class WithdrawKey(_BaseFault):
    """Operators withdraw a key while callers use it."""

    def begin(self, run, target):
        run.operator.withdraw_key(target)


@fault("new_version", "adapter", (2.0, 3.0))
class NewVersion(_BaseFault):
    """Operators set new versions of the target and of adapter a0 at the same time."""

    def begin(self, run, target):
        run.operator.new_version(target)
        run.operator.new_version("a0")
