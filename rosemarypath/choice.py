"""
rosemarypath.choice
~~~~~~~~~~~~~~~~~~~

Which back end runs a request, and whether an adapter has to be loaded for it first.

The load answered here: a few adapters that make up a quarter of all requests, a long
tail of adapters of which most are held nowhere, prompts of very different length,
and back ends that fail, are cold or just came back. Prompts that follow each other at
one engine hold up the streams that run there, and daemons learn of each other's sends
some tenths of a second late; so the rate counts beside what waits.
"""

import random
from dataclasses import dataclass

from rosemarypath.hashing import rendezvous_score

__all__ = ["Choice", "Refusal", "choose_back_end", "is_within_cold_rate"]

PREFILL_TOKENS_PER_SECOND = 25_000.0  # what one engine reads; from the users' sheet
CALM_SHARE = 0.25  # of its reading an engine may spend on prompts without long pauses
PAUSE_SECONDS = (
    1.2  # what reading prompts all the time beyond that costs: a late stream
)
LOAD_SECONDS = 0.3  # an adapter's load with its order, from the users' sheet
DOUBT_SECONDS = 1.0  # what waiting for an engine that just failed to load costs
HOME_STEP = 0.02  # seconds of difference that keep an adapter at its home
RUNNING_SECONDS = 0.002  # what one more running request costs a new one
QUEUE_SECONDS = 0.05  # what each request beyond the slots costs a new one
FAILURE_SECONDS = 0.4  # what one recent failure costs
LEAST_LATENCY = 0.01  # seconds; what a plain service counts as before it answered
DISTANCE_SECONDS = 0.001  # one way between two zones
EQUAL_SECONDS = 0.001  # spreads equal choices of plain services
JITTER_SECONDS = 0.03  # spreads choices made before daemons hear of each other


@dataclass(frozen=True)
class Choice:
    """A back end's `state`, and whether the adapter must be loaded there first."""

    state: object
    needs_load: bool = False


@dataclass(frozen=True)
class Refusal:
    """Why no back end can take the request, and when to come back, in seconds."""

    reason: str
    retry_after: float


def choose_back_end(states, demand, facts, now):
    """
    Return a `Choice` or a `Refusal`.

    `states` are the usable `BackEndState` entries, `facts` the `ChoiceFacts`.
    """
    if not states:
        return Refusal("no_back_end", 0.5)
    warm = [state for state in states if _may_be_asked(state, facts, now)]
    if not warm:
        return Refusal("all_tried_or_cold", 0.3)
    holders, others = _split_by_holding(warm, demand, facts, now)
    best, cost = _cheapest(holders, lambda s: _cost_held(s, demand, facts, now))
    # Elsewhere a load comes on top, so that a cheap holder needs no comparison.
    if others and cost > LOAD_SECONDS:
        ranks = _ranks(states, demand)
        other, other_cost = _cheapest(
            others, lambda s: _cost_of_loading(s, ranks[s.name], demand, facts, now)
        )
        if other_cost < cost:
            return Choice(other, needs_load=True)
    if best is None:
        return Refusal("cannot_load", 0.3)
    return Choice(best)


def is_within_cold_rate(state, cold_rate_limit, now):
    """Return whether a cold back end may get one more of `cold_rate_limit` a second."""
    return not state.is_cold(now) or state.recent_sends(now) < cold_rate_limit


def _may_be_asked(state, facts, now):
    if state.name in facts.excluded:
        return False
    return is_within_cold_rate(state, facts.cold_rate_limit, now)


def _split_by_holding(states, demand, facts, now):
    """Return the states that hold what is asked for, and those that can load it."""
    holders = []
    others = []
    for state in states:
        held = _holds(state, demand, facts, now)
        if held:
            holders.append(state)
        elif held is not None and state.name not in facts.load_blocked:
            others.append(state)
    return holders, others


def _cheapest(states, cost_of):
    """Return the state of the least cost and that cost; ``None`` among no states."""
    best = None
    least = float("inf")
    for state in states:
        cost = cost_of(state)
        if cost < least:
            best, least = state, cost
    return best, least


@dataclass(frozen=True)
class ChoiceFacts:
    """
    What a choice takes into account besides the back ends.

    Options:

    `zone`
        This daemon's zone.
    `version`, `version_age`
        The newest version of the adapter (0: any) and the seconds since it was learned.
    `version_grace`
        Seconds from then on in which an older version may still be used.
    `excluded`
        Names of back ends that may not get this request.
    `load_blocked`
        Names of engines where nobody can load an adapter now.
    `load_failures`
        Names of engines where a load just failed.
    `cold_rate_limit`
        Requests a second that this daemon may send to a cold back end.
    """

    zone: str
    version: int = 0
    version_age: float = 0.0
    version_grace: float = 3.0
    excluded: frozenset = frozenset()
    load_blocked: frozenset = frozenset()
    load_failures: frozenset = frozenset()
    cold_rate_limit: float = 1.0


def _holds(state, demand, facts, now):
    """Return whether `state` holds what is asked for; ``None``: it cannot take it."""
    if not demand.model:
        return True
    if demand.model not in state.model_versions:
        return None
    if not demand.adapter:
        return True
    version = state.adapters.get(demand.adapter_key)
    if version is None:
        return False
    if version >= facts.version or facts.version_age < facts.version_grace:
        return True
    return None if state.is_adapter_in_use(demand.adapter_key, now) else False


def _ranks(states, demand):
    """Return the rank of each engine as a home of the adapter, 0 for the first."""
    name = demand.adapter_key
    ranked = sorted(
        states, key=lambda state: rendezvous_score(name, state.name), reverse=True
    )
    return {state.name: rank for rank, state in enumerate(ranked)}


def _cost_of_loading(state, rank, demand, facts, now):
    """Return about how many seconds pass until the first byte, with a load."""
    cost = _cost(state, demand, facts, now) + LOAD_SECONDS + HOME_STEP * rank
    return cost + DOUBT_SECONDS * (state.name in facts.load_failures)


def _cost_held(state, demand, facts, now):
    """Return about how many seconds pass until the first byte, without a load."""
    cost = _cost(state, demand, facts, now)
    if not demand.model:
        return cost + EQUAL_SECONDS * random.random()
    if state.adapters.get(demand.adapter_key, 0) < facts.version:
        cost += LOAD_SECONDS
    return cost + JITTER_SECONDS * random.random()


def _cost(state, demand, facts, now):
    running, tokens, rate = state.total_load(now)
    capacity = state.back_end.capacity
    cost = running * RUNNING_SECONDS
    cost += max(0, running - capacity) * QUEUE_SECONDS
    cost += state.failures(now) * FAILURE_SECONDS
    if state.back_end.zone != facts.zone:
        cost += DISTANCE_SECONDS
    if not demand.model:
        return cost + running / capacity * max(state.latency, LEAST_LATENCY)
    cost += tokens / PREFILL_TOKENS_PER_SECOND
    reading = rate / PREFILL_TOKENS_PER_SECOND
    return cost + max(0.0, reading - CALM_SHARE) * PAUSE_SECONDS
