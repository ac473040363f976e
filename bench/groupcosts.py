"""
bench.groupcosts
~~~~~~~~~~~~~~~~

Measures the heartbeats of daemons and their processor time by size of the fleet.

    python -m bench.groupcosts 61 160 450
"""

import argparse
import time
from dataclasses import dataclass

import msgspec

from rosemarypath.frames import Batch, Frame
from standins.simulatedfleet import Play

__all__ = ["Costs", "main", "measure"]

WARM_UP_SECONDS = 3.0  # until the group leaders are known
MEASURED_SECONDS = 4.0
ENGINES_PER_MACHINE = 0.5  # about the ratio in the users' larger deployments
FRAMING_BYTES = 4 + 66  # length prefix; Ethernet, IP and TCP headers
IDENTITY = "edge-anjar-east-{:03}/0123abcd"


class _PermanentPatch:
    """
    Replaces pytest's ``monkeypatch``.

    It undoes nothing, as a benchmark runs in a process of its own.
    """

    setattr = staticmethod(setattr)


@dataclass(frozen=True)
class Costs:
    """
    Messages and kilobytes that one daemon sends per second.

    `messages` and `kilobytes` are the median of all daemons, the ``lead_`` fields the
    highest, which are those of a group leader. `microseconds` is the mean processor
    time of a daemon's heartbeats per second, without that of the links.
    """

    machines: int
    messages: float
    lead_messages: float
    kilobytes: float
    lead_kilobytes: float
    microseconds: float

    def __str__(self):
        return (
            f"{self.machines:>5} machines: a member sends {self.messages:.0f} messages "
            f"and {self.kilobytes:.1f} KB per second, a group leader "
            f"{self.lead_messages:.0f} and {self.lead_kilobytes:.1f}; "
            f"{self.microseconds / 1e4:.2f} % of a core per daemon"
        )


def measure(machines):
    """Return the `Costs` in a simulated fleet of `machines` machines."""
    play = Play(machines, _PermanentPatch)
    _simulate_load(play, max(1, round(machines * ENGINES_PER_MACHINE)))
    play.beat(WARM_UP_SECONDS)
    started = time.process_time()
    play.beat(MEASURED_SECONDS)
    cpu_seconds = time.process_time() - started
    play.network.sent.clear()
    play.network.measure = _MessageSizes().measure
    play.beat(MEASURED_SECONDS)
    counts = sorted(play.network.sent.values())
    sizes = sorted(play.network.sizes.values())
    return Costs(
        machines,
        counts[len(counts) // 2] / MEASURED_SECONDS,
        counts[-1] / MEASURED_SECONDS,
        sizes[len(sizes) // 2] / MEASURED_SECONDS / 1e3,
        sizes[-1] / MEASURED_SECONDS / 1e3,
        cpu_seconds / MEASURED_SECONDS / machines * 1e6,
    )


def _simulate_load(play, engines):
    """Give each daemon requests at three engines and recent sends to six."""
    names = [f"i-{number:010x}" for number in range(engines)]
    for number, daemon in enumerate(play.daemons):
        own = [names[(number * 7 + k) % engines] for k in range(6)]
        loads = {name: (2, 300, {"model/a1234": 2}) for name in own[:3]}
        rates = {name: 800 for name in own}
        daemon.fleet.own_loads = lambda loads=loads: loads
        daemon.fleet.own_rates = lambda now, rates=rates: rates
        daemon.store_cache.revisions = {
            f"rosemarypath-kind-{n}": 123456 for n in range(7)
        }


class _MessageSizes:
    """Returns the bytes of messages on the network, encoded as links encode them."""

    def __init__(self):
        self._encoder = msgspec.msgpack.Encoder()

    def measure(self, sender, receiver, message):
        address = "10.200.100.100:65535"
        batch = Batch(IDENTITY, address, IDENTITY, [Frame(0, 0, message)])
        return len(self._encoder.encode(batch)) + FRAMING_BYTES


def main(arguments=None):
    """Print the costs for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__.strip().splitlines()[0])
    parser.add_argument("machines", type=int, nargs="*", default=[61, 160, 450])
    for machines in parser.parse_args(arguments).machines:
        print(measure(machines))


if __name__ == "__main__":
    main()
