"""
bench.simulation.choices
~~~~~~~~~~~~~~~~~~~~~~~~

Ways of choosing an engine, side by side.
"""

from rosemarypath.choice import Choice, Refusal, choose_back_end
from rosemarypath.registry import Registry

__all__ = ["choice_policy"]

choice_policy = Registry()


@choice_policy("current")
class Current:
    """The product's choice."""

    def choose(self, states, demand, facts, now):
        return choose_back_end(states, demand, facts, now)


@choice_policy("least_running")
class LeastRunning:
    """The baseline: the holder with the fewest requests, else the emptiest engine."""

    def choose(self, states, demand, facts, now):
        usable = [s for s in states if s.name not in facts.excluded]
        if not usable:
            return Refusal("no_back_end", 0.3)
        holders = [s for s in usable if demand.adapter_key in s.adapters]
        if not demand.adapter:
            holders = usable
        if holders:
            return Choice(min(holders, key=lambda s: s.total_load(now)[0]))
        return Choice(min(usable, key=lambda s: s.total_load(now)[0]), needs_load=True)


@choice_policy("one_home")
class OneHome:
    """Each adapter at one engine by rendezvous hashing, whatever its load."""

    def choose(self, states, demand, facts, now):
        from rosemarypath.hashing import rendezvous_order

        usable = {s.name: s for s in states if s.name not in facts.excluded}
        if not usable:
            return Refusal("no_back_end", 0.3)
        if not demand.adapter:
            return Choice(min(usable.values(), key=lambda s: s.total_load(now)[0]))
        home = usable[rendezvous_order(demand.adapter_key, list(usable))[0]]
        return Choice(home, needs_load=demand.adapter_key not in home.adapters)
