"""
bench.simulation.world
~~~~~~~~~~~~~~~~~~~~~~

Daemons, engines, weight store and callers on one simulated clock.
"""

import heapq
import itertools
import random
from bisect import bisect
from dataclasses import dataclass

from bench.simulation.choices import choice_policy
from bench.simulation.engine import SimulatedEngine, Stream
from rosemarypath.backend import ENGINE, BackEnd, BackEndEntry, LoadedModel
from rosemarypath.backendstate import BackEndState
from rosemarypath.choice import ChoiceFacts, Refusal
from rosemarypath.demand import Demand

__all__ = ["Outcome", "World"]

MODEL = "m"
ZONE_COUNT = 4  # zones over which daemons and engines are spread
PROMPT_SIZE_SIGMA = 0.5  # sigma of the sizes of prompts
MIN_PROMPT_TOKENS = 50  # tokens
MAX_SENDS = 3  # tries of one request after a crash, a missing adapter or a full engine


@dataclass(frozen=True)
class Outcome:
    """
    What one request came to.

    `first` is the seconds to the first event (``None``: none came), `gap` the longest
    pause; `is_whole` whether all events came.
    """

    kind: str
    arrived_at: float
    first_event_seconds: float | None
    longest_gap: float
    is_complete: bool
    is_refused: bool = False


class World:
    """
    One run of a `Scenario` with one policy and one seed.

    `outcomes` collects an `Outcome` a request, `loads` counts adapters brought.
    """

    def __init__(self, scenario, policy, seed):
        random.seed(seed)  # the product's choice draws from the shared generator
        self._rng = random.Random(seed)
        self._scenario = scenario
        self._policy = choice_policy[policy]()
        self._numbers = itertools.count()
        self._queue = []
        self._loading = 0
        self._engines = {
            f"e{n:03}": SimulatedEngine(f"e{n:03}", scenario.engine, self.call_at)
            for n in range(scenario.engines)
        }
        self._views = [self._new_view(n) for n in range(scenario.daemons)]
        self._weights = _popularity(scenario)
        self._shifted = {}
        self.now = 0.0
        self.outcomes = []
        self.loads = 0

    def call_at(self, at, function):
        """Run ``function()`` at the simulated time `at`."""
        heapq.heappush(self._queue, (at, next(self._numbers), function))

    def run(self):
        """Play the scenario to its end; return the outcomes."""
        for kind in self._scenario.kinds:
            self._plan_arrival(kind)
        for crash in self._scenario.crashes:
            self.call_at(crash.at, lambda crash=crash: self._crash(crash))
        self.call_at(0.0, self._tell)
        end = self._scenario.seconds + max(k.deadline for k in self._scenario.kinds)
        while self._queue and self._queue[0][0] < end:
            self.now, _, function = heapq.heappop(self._queue)
            function()
        return self.outcomes

    def _new_view(self, number):
        """Return one daemon's states of all engines, with its zone."""
        states = []
        for index, name in enumerate(self._engines):
            back_end = BackEnd(
                name=name,
                address="simulated:1",
                zone=f"z{index % ZONE_COUNT}",
                kind=ENGINE,
                serves="s",
                capacity=self._scenario.engine.slots,
            )
            state = BackEndState(BackEndEntry(back_end=back_end), 0.0)
            state.set_loaded_models((LoadedModel(MODEL, 1, {}),))
            states.append(state)
        return f"z{number % ZONE_COUNT}", states

    def _plan_arrival(self, kind):
        rate = kind.rate * self._scenario.rate_factor(self.now)
        at = self.now + self._rng.expovariate(rate)
        if at < self._scenario.seconds:
            self.call_at(at, lambda: self._arrive(kind))

    def _arrive(self, kind):
        self._plan_arrival(kind)
        size = self._rng.lognormvariate(-(PROMPT_SIZE_SIGMA**2) / 2, PROMPT_SIZE_SIGMA)
        prompt = max(MIN_PROMPT_TOKENS, round(kind.prompt * size))
        demand = Demand(
            f"r{next(self._numbers)}",
            kind.deadline,
            model=MODEL,
            adapter=self._draw_adapter(),
            prompt_tokens=prompt,
            output_tokens=kind.output,
        )
        _Course(self, kind, demand, self._rng.choice(self._views)).go_on()

    def _draw_adapter(self):
        if self._rng.random() < self._scenario.plain_share:
            return ""
        for number, shift in enumerate(self._scenario.shifts):
            is_on = shift.at <= self.now < shift.at + shift.seconds
            if is_on and self._rng.random() < shift.share:
                return f"s{number}-{self._rng.randrange(shift.count)}"
        index = bisect(self._weights, self._rng.random() * self._weights[-1])
        return f"a{index}"

    def _tell(self):
        """Let each daemon learn what all others have under way, and what is held."""
        for index, engine in enumerate(self._engines.values()):
            states = [view[index] for _, view in self._views]
            totals = [
                sum(s.own.running for s in states),
                sum(s.own.prompt_tokens for s in states),
                sum(s.own_prompt_rate(self.now) for s in states),
            ]
            held = dict(engine.adapters.loaded)
            for state in states:
                self._tell_one(state, totals, held)
        self.call_at(self.now + self._scenario.news_seconds, self._tell)

    def _tell_one(self, state, totals, held):
        own = state.own
        rate = state.own_prompt_rate(self.now)
        parts = own.running, own.prompt_tokens, rate
        others = tuple(total - part for total, part in zip(totals, parts))
        state.record_peer_load("others", others, {}, self.now)
        state.adapters = {f"{MODEL}/{adapter}": 1 for adapter in held}

    def _crash(self, crash):
        names = self._rng.sample(sorted(self._engines), crash.count)
        for name in names:
            engine = self._engines[name]
            engine.crash(self.now)
            self.call_at(self.now + crash.seconds, engine.restart)

    def choose(self, view, demand, excluded):
        """Return the policy's choice for a daemon."""
        zone, states = view
        down = {n for n, engine in self._engines.items() if not engine.is_up}
        facts = ChoiceFacts(zone=zone, excluded=frozenset(excluded | down))
        return self._policy.choose(states, demand, facts, self.now)

    def load_adapter(self, name, adapter, done):
        """Bring an adapter to an engine; call ``done(is_held)`` then."""
        engine = self._engines[name]
        if adapter in engine.adapters.loaded:
            done(True)
            return
        if not engine.is_up or not self._make_room(engine):
            done(False)
            return
        is_first = adapter not in engine.adapters.loading
        engine.adapters.loading.setdefault(adapter, self.now)
        seconds = self._load_seconds(engine, adapter)
        self._loading += is_first
        self.loads += is_first
        end = self.now + seconds
        self.call_at(end, lambda: self._loaded(engine, adapter, is_first, done))

    def _load_seconds(self, engine, adapter):
        if adapter in engine.recently_unloaded:
            return self._scenario.load_seconds * self._scenario.recent_factor
        crowd = max(1.0, (self._loading + 1) / self._scenario.loads_at_once)
        return self._scenario.load_seconds * crowd

    def _make_room(self, engine):
        if engine.adapters.has_free_place:
            return True
        victim = engine.adapters.choose_victim(
            engine.is_in_use, engine.last_used, lambda name: 0
        )
        if victim is None:
            return False
        del engine.adapters.loaded[victim]
        engine.recently_unloaded.add(victim)
        return True

    def _loaded(self, engine, adapter, is_first, done):
        self._loading -= is_first
        if engine.adapters.loading.pop(adapter, None) is not None:
            engine.adapters.loaded[adapter] = 1
        done(adapter in engine.adapters.loaded)

    def send(self, name, stream):
        """Hand a request to an engine; return whether it was taken."""
        return self._engines[name].accept(stream, self.now)


class _Course:
    """One request on its way through a daemon."""

    def __init__(self, world, kind, demand, view):
        self._world = world
        self._kind = kind
        self._demand = demand
        self._view = view
        self._at = world.now
        self._excluded = set()
        self._sends = 0

    def go_on(self):
        """Choose an engine and go there, or end refused."""
        choice = None
        if self._sends < MAX_SENDS:
            choice = self._world.choose(self._view, self._demand, self._excluded)
        if choice is None or isinstance(choice, Refusal):
            self._end(Stream("", 0, 0, None, None), False, is_refused=True)
        elif choice.needs_load:
            name = choice.state.name
            adapter = self._demand.adapter
            self._world.load_adapter(
                name, adapter, lambda held: self._have(choice, held)
            )
        else:
            self._send(choice.state)

    def _have(self, choice, is_held):
        """Go on after a load."""
        if is_held:
            choice.state.adapters[self._demand.adapter_key] = 1
            self._send(choice.state)
            return
        self._excluded.add(choice.state.name)
        self.go_on()

    def _send(self, state):
        self._sends += 1
        stream = Stream(
            self._demand.adapter,
            self._demand.prompt_tokens,
            self._kind.output,
            lambda now: state.record_first_byte(self._demand),
            lambda now, is_whole: self._ended(state, stream, now, is_whole),
        )
        if not self._world.send(state.name, stream):
            state.adapters.pop(self._demand.adapter_key, None)
            self._excluded.add(state.name)
            self.go_on()
            return
        state.begin_request(self._demand, self._world.now)

    def _ended(self, state, stream, now, is_whole):
        state.end_request(self._demand, bool(stream.events), now)
        if is_whole or stream.events:
            self._end(stream, is_whole)
            return
        self._excluded.add(state.name)
        self.go_on()

    def _end(self, stream, is_whole, is_refused=False):
        times = stream.events
        first = times[0] - self._at if times else None
        gap = max((b - a for a, b in zip(times, times[1:])), default=0.0)
        self._world.outcomes.append(
            Outcome(self._kind.name, self._at, first, gap, is_whole, is_refused)
        )


def _popularity(scenario):
    """Return the running sums of the adapters' popularity, most popular first."""
    weights = (1.0 / (rank + 1) ** scenario.skew for rank in range(scenario.adapters))
    return list(itertools.accumulate(weights))
