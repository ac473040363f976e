"""
standins.simulatedfleet
~~~~~~~~~~~~~~~~~~~~~~~

Many daemons that exchange states in simulated time, over links that can be cut.
"""

from collections import Counter
from types import SimpleNamespace

from rosemarypath import heartbeats, sendgrants
from rosemarypath.backendstate import PEER_LOAD_SECONDS
from rosemarypath.heartbeats import Heartbeats
from rosemarypath.machine import Machine
from rosemarypath.mirror import StoreHealth
from rosemarypath.peers import Peers
from rosemarypath.scheduling.backendspeed import BackEndSpeeds
from rosemarypath.scheduling.ratelimits import RateLimits
from rosemarypath.scheduling.stagedquarantine import StagedQuarantine
from rosemarypath.sendgrants import SendGrants
from rosemarypath.servicedemand import ServiceDemand
from rosemarypath.storeavailability import StoreAvailability

__all__ = ["BEAT", "Daemon", "FakeMesh", "Network", "Play"]

OUTAGE_SECONDS = 1.7  # without an answer, as daemons are told for the first users
BEAT = heartbeats.GROUPED_HEARTBEAT_SECONDS


class Network:
    """
    Delivers messages at once, except to and from machines that are off, and between
    the pairs of machines in `cut`.

    What is sent to a frozen machine is delivered when it runs again. ``measure(sender,
    receiver, message)`` returns the bytes of a message, which `sizes` adds up.
    """

    def __init__(self):
        self.meshes = {}
        self.off = set()
        self.cut = set()
        self.frozen = set()
        self._kept = {}
        self.sent = Counter()
        self.measure = None
        self.sizes = Counter()

    def deliver(self, sender, receiver, message):
        self.sent[sender] += 1
        if self.measure is not None:
            self.sizes[sender] += self.measure(sender, receiver, message)
        if frozenset((sender, receiver)) in self.cut:
            return None
        if {sender, receiver} & self.off or receiver not in self.meshes:
            return None
        if receiver in self.frozen:
            self._kept.setdefault(receiver, []).append((sender, message))
            return None
        return self.meshes[receiver].handlers[type(message)](sender, message)

    def thaw(self, identity):
        """Let a frozen machine run, and read first what was sent to it."""
        self.frozen.discard(identity)
        for sender, message in self._kept.pop(identity, []):
            self.meshes[identity].handlers[type(message)](sender, message)


class FakeMesh:
    """The links of one daemon on a `Network`."""

    def __init__(self, network, identity):
        self._network = network
        self.identity = identity
        self.handlers = {}
        network.meshes[identity] = self

    def on(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, identity, message, expect_answer=False):
        self._network.deliver(self.identity, identity, message)

    async def ask(self, identity, message, timeout):
        return self._network.deliver(self.identity, identity, message)

    def numbers_batches(self, identity):
        return True


class FakeFleet:
    """Loads and grants of one daemon, and what it hears of those of the others."""

    def __init__(self, number, clock):
        self._clock = clock
        self.budgets = SimpleNamespace(spent={"kiln": 0})
        self.quarantine = StagedQuarantine()
        self.rate_limits = RateLimits()
        self.service_demand = ServiceDemand()
        self.usage = None
        self.speeds = BackEndSpeeds()
        self.running = 1 + number % 3
        self.held = {}
        self.awaited = {}
        self.waiting = {}
        self.room = self
        self.heard = {}
        self.heard_held = {}

    def own_loads(self):
        return {"engine": (self.running, 10 * self.running, {"m/a": self.running})}

    def own_loaded_models(self):
        return self.held

    def own_rates(self, now):
        return {"engine": 100 * self.running}

    def own_awaited(self):
        return self.awaited

    def room_report(self):
        return {"engine": [100 * self.running, self.running]}

    def waiting_report(self):
        return self.waiting

    def own_scarce_places(self, now):
        return {}

    def report_slowness(self, now):
        return self.speeds.report(now)

    def record_peer_state(self, identity, state, now):
        self.quarantine.merge(state.crashes, state.begun, now)
        self.rate_limits.merge(identity, state.limits, now)
        name = identity.partition("/")[0]
        self.service_demand.record_peer(name, state.offered, now)
        self.speeds.merge(identity, state.slowness, now)
        self.heard[identity] = (now, state)
        self.heard_held.update(state.held)

    def record_digest(self, source, digest, now):
        self.quarantine.merge(digest.crashes, digest.begun, now)
        self.rate_limits.merge(source, digest.limits, now)
        name = source.partition("/")[0]
        self.service_demand.record_peer(name, digest.offered, now)
        self.speeds.merge(source, digest.slowness, now)
        self.heard[source] = (now, digest)
        self.heard_held.update(digest.held)

    def fresh(self):
        """Return the states that are as new as a load must be to count."""
        now = self._clock()
        return [s for at, s in self.heard.values() if now - at < PEER_LOAD_SECONDS]

    def total_running(self):
        return sum(state.loads["engine"][0] for state in self.fresh())


class Daemon:
    """One daemon's heartbeats on the network."""

    def __init__(self, network, machine, number, clock):
        self.machine = machine
        self.peers = Peers(machine, 0.0, 0.0)
        self.fleet = FakeFleet(number, clock)
        health = StoreHealth()
        health.note_answer(0.0)
        self.store_cache = SimpleNamespace(
            health=health,
            availability=StoreAvailability(OUTAGE_SECONDS),
            revisions={"rosemarypath-holders": 5},
            compare_revisions=lambda identity, revisions, now: None,
        )
        self.mesh = FakeMesh(network, machine.identity)
        self.heartbeats = Heartbeats(
            self.peers, self.mesh, self.fleet, self.store_cache
        )
        self.heartbeats.start()
        self.grants = SendGrants(self.peers, self.mesh, self.fleet.rate_limits)
        self.grants.start()


class Play:
    """
    A fleet over four zones; `total` daemons that know each other from the start.

    `patch` has pytest's ``setattr(module, name, value)`` to set the clocks.
    """

    def __init__(self, total, patch):
        self.now = 0.0
        patch.setattr(heartbeats, "now", lambda: self.now)
        patch.setattr(heartbeats, "lease_now", lambda: self.now)
        patch.setattr(sendgrants, "now", lambda: self.now)
        self.network = Network()
        machines = [
            Machine(
                name=f"m{number:03}",
                incarnation="1",
                zone=f"z{number % 4}",
                callers_address="a",
                peers_address="p",
            )
            for number in range(total)
        ]
        self.daemons = [
            Daemon(self.network, machine, number, lambda: self.now)
            for number, machine in enumerate(machines)
        ]
        for daemon in self.daemons:
            daemon.peers.set_machines(machines, 0.0, 0.0)

    def running(self):
        """Return the daemons that are neither off nor frozen."""
        off = self.network.off | self.network.frozen
        return [d for d in self.daemons if d.machine.identity not in off]

    def beat(self, seconds):
        """Let all daemons beat for `seconds`; call this between beats for checks."""
        for _ in range(round(seconds / BEAT)):
            self.now += BEAT
            for daemon in self.running():
                daemon.heartbeats.send_heartbeats(False, True)

    def turn_off(self, daemon):
        self.network.off.add(daemon.machine.identity)
