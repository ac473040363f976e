"""
rosemarypath.scheduling.choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the back end for a request, and whether to load an adapter there first.

The choice minimises an estimate of the seconds until the first byte. It is made for
this load: a few adapters receive a quarter of all requests, while most of the others
are loaded nowhere; prompts differ widely in length; back ends fail, are cold or have
just restarted. An engine that reads many prompts in a row delays the streams that it
runs, and daemons learn of each other's requests some tenths of a second late. The rate
of recently sent prompt tokens therefore counts as well as the tokens still unread.
"""

import random
from dataclasses import dataclass, field

from rosemarypath.hashing import rendezvous_score
from rosemarypath.scheduling.measuredcost import draw, draw_for_adapter, weigh
from rosemarypath.scheduling.patience import spread_retry

__all__ = ["Choice", "Refusal", "choose_back_end", "is_within_cold_rate"]

DEFAULT_COLD_RATE = 1.0  # requests per second to a cold back end without a known limit
MIN_PLACE_SECONDS = 0.1  # at best, until one of several places becomes free
# Costs are in seconds until the first byte.
PREFILL_TOKENS_PER_SECOND = 25_000.0  # prompt tokens that one engine reads
PREFILL_SHARE_LIMIT = 0.25  # of the time; more reading makes long pauses in streams
PREFILL_PENALTY_SECONDS = (
    1.2  # for reading all the time beyond that share, which delays a stream
)
MEASURED_LOAD_SECONDS = 0.05  # cost from which a load elsewhere may be cheaper
LOAD_SECONDS = 0.3  # an order to load an adapter, and the load
RELOAD_SECONDS = 0.05  # the same for an adapter that the engine had lately
JOIN_SECONDS = 0.15  # what is left, on average, of a load that another request awaits
CANNOT_LOAD_RETRY_SECONDS = 0.3  # until a lease has a holder, or an engine answers
FETCH_SECONDS = 0.15  # weight of a load from the weight store, which all engines share
PLACE_SECONDS = 0.4  # until a place becomes free, per adapter that waits for one
LOAD_FAILURE_SECONDS = 1.0  # waiting for an engine that just failed to load
RANK_SECONDS = 0.03  # per rank, so that an adapter stays at its preferred engine
LIMITED_SECONDS = 0.2  # a back end in need; a load elsewhere is dearer
RUNNING_SECONDS = 0.002  # per running request
QUEUE_SECONDS = 0.05  # per request beyond the back end's capacity
FAILURE_SECONDS = 0.4  # per recent failure
MIN_LATENCY_SECONDS = 0.01  # of a plain service that has not answered yet
CROSS_ZONE_SECONDS = 0.001  # one way between two zones
TIE_JITTER_SECONDS = 0.001  # at random, to spread requests over equal plain services
JITTER_SECONDS = 0.03  # the same for engines, until daemons learn of each other's sends


@dataclass(frozen=True)
class Choice:
    """The chosen back end's `state`, and whether to load the adapter there first."""

    state: object
    needs_load: bool = False


@dataclass(frozen=True)
class Refusal:
    """Why no back end can run the request; `retry_after` is in seconds."""

    reason: str
    retry_after: float


def choose_back_end(states, demand, facts, now):
    """
    Return a `Choice` or a `Refusal`.

    `states` are the `BackEndState` objects of usable back ends, `demand` the `Demand`,
    `facts` the `ChoiceFacts`, `now` the current time in seconds.
    """
    if not states:
        return Refusal("no_back_end", 0.5)
    available = [state for state in states if _accepts_request(state, facts, now)]
    if not available:
        return _refusal(states, facts, now)
    loaded, others = _split_by_loaded(available, demand, facts, now)
    if facts.measured is not None:
        return _choose_measured(states, loaded, others, demand, facts, now)
    best, cost = _cheapest(loaded, lambda s: _cost_if_loaded(s, demand, facts, now))
    # Any other engine costs a load on top, so a cheap enough one needs no comparison.
    if others and cost > LOAD_SECONDS:
        ranks = _ranks(states, demand)
        other, other_cost = _cheapest(
            others, lambda s: _cost_with_load(s, ranks[s.name], demand, facts, now)
        )
        if other_cost < cost:
            return _choose_load(other, best, demand, facts, now)
    if best is None:
        return Refusal("cannot_load", spread_retry(CANNOT_LOAD_RETRY_SECONDS))
    return Choice(best)


def _choose_measured(states, loaded, others, demand, facts, now):
    """Return the choice for a service whose capacity is left to be measured."""
    adapter = demand.adapter_key
    best = draw(
        [
            weigh(
                state,
                demand,
                facts,
                now,
                LOAD_SECONDS * (state.adapters.get(adapter, 0) < facts.version),
            )
            for state in loaded
        ]
    )
    if others and (best is None or best.cost > MEASURED_LOAD_SECONDS):
        other = draw_for_adapter(
            [_weigh_with_load(state, demand, facts, now) for state in others], adapter
        )
        if best is None or other.cost < best.cost:
            state = best.state if best is not None else None
            return _choose_load(other.state, state, demand, facts, now)
    if best is None:
        return Refusal("cannot_load", spread_retry(CANNOT_LOAD_RETRY_SECONDS))
    return Choice(best.state)


def _weigh_with_load(state, demand, facts, now):
    """Return the `Candidate` of an engine with a load before the request."""
    extra = _load_seconds(state, demand, facts, now)
    extra += LOAD_FAILURE_SECONDS * (state.name in facts.load_failures)
    return weigh(state, demand, facts, now, extra)


def _refusal(states, facts, now):
    """Return the refusal where no back end accepts the request now."""
    untried = [state for state in states if state.name not in facts.excluded]
    if untried and all(state.closed_until > now for state in untried):
        soonest = min(state.closed_until for state in untried)
        return Refusal("no_room", spread_retry(soonest - now))
    return Refusal("all_tried_or_cold", 0.3)


def _choose_load(state, best, demand, facts, now):
    """Return the choice of a load at `state`, unless no place is expected in time."""
    soonest = RELOAD_SECONDS + MIN_PLACE_SECONDS * _missing_places(state, demand, now)
    if soonest <= facts.load_patience:
        return Choice(state, needs_load=True)
    if best is not None:
        return Choice(best)
    return Refusal("no_place_in_time", spread_retry(soonest - facts.load_patience))


def is_within_cold_rate(state, cold_rate_limit, now):
    """Return whether the back end may get one more request if it is cold."""
    return not state.is_cold(now) or state.recent_sends(now) < cold_rate_limit


def _accepts_request(state, facts, now):
    if state.name in facts.excluded or state.closed_until > now:
        return False
    limit = facts.cold_rate_limits.get(state.name, DEFAULT_COLD_RATE)
    return is_within_cold_rate(state, limit, now)


def _split_by_loaded(states, demand, facts, now):
    """Return the states with model and adapter loaded, and those that can load it."""
    loaded = []
    others = []
    for state in states:
        is_loaded = _has_loaded(state, demand, facts, now)
        if is_loaded:
            loaded.append(state)
        elif is_loaded is not None and state.name not in facts.load_blocked:
            others.append(state)
    return loaded, others


def _cheapest(states, cost_of):
    """Return the state with the least cost, and the cost; ``None`` without states."""
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
    Inputs of a choice besides the back ends and the request.

    Options:

    `zone`
        This daemon's zone.
    `version`, `oldest_version`
        The newest version of the adapter and the oldest that may still be used, 0 for
        any.
    `excluded`
        Names of back ends that must not get this request.
    `load_blocked`
        Names of engines where no adapter can be loaded now.
    `load_failures`
        Names of engines where a load failed recently.
    `load_patience`
        Seconds for which the request may still wait for its adapter.
    `cold_rate_limits`
        Requests per second that this daemon may send to each cold back end, by name.
    `limited`
        Names of back ends that limit the requests of all daemons together.
    `measured`
        The `MeasuredService`, ``None`` unless its capacity is left to be measured.
    """

    zone: str
    version: int = 0
    oldest_version: int = 0
    excluded: frozenset = frozenset()
    load_blocked: frozenset = frozenset()
    load_failures: frozenset = frozenset()
    cold_rate_limits: dict = field(default_factory=dict)
    load_patience: float = float("inf")
    limited: frozenset = frozenset()
    measured: object = None


def _has_loaded(state, demand, facts, now):
    """
    Return whether the model and adapter are loaded at `state`.

    ``None`` means that the back end cannot run the request even after a load.
    """
    if not demand.model:
        return True
    if demand.model not in state.model_versions:
        return None
    if not demand.adapter:
        return True
    version = state.adapters.get(demand.adapter_key)
    if version is None:
        return False
    if version >= facts.oldest_version:
        return True
    return None if state.is_adapter_in_use(demand.adapter_key, now) else False


def _ranks(states, demand):
    """Return each engine's rank by rendezvous hashing of the adapter, from 0."""
    name = demand.adapter_key
    ranked = sorted(
        states, key=lambda state: rendezvous_score(name, state.name), reverse=True
    )
    return {state.name: rank for rank, state in enumerate(ranked)}


def _cost_with_load(state, rank, demand, facts, now):
    """Return the estimated seconds until the first byte, with a load before it."""
    cost = _cost(state, demand, facts, now) + RANK_SECONDS * rank
    cost += _load_seconds(state, demand, facts, now)
    return cost + LOAD_FAILURE_SECONDS * (state.name in facts.load_failures)


def _load_seconds(state, demand, facts, now):
    """Return the estimated seconds until the adapter is loaded, and the load's cost."""
    if state.is_adapter_awaited(demand.adapter_key, now):
        return JOIN_SECONDS
    version = state.recent_adapters.get(demand.adapter_key, 0)
    is_recent = version >= max(1, facts.version)
    load = RELOAD_SECONDS if is_recent else LOAD_SECONDS + FETCH_SECONDS
    return load + PLACE_SECONDS * _missing_places(state, demand, now)


def _missing_places(state, demand, now):
    """Return how many places must become free until the adapter can be loaded."""
    if state.is_adapter_awaited(demand.adapter_key, now):
        return 0.0
    return max(0.0, 1.0 - state.open_places(now))


def _cost_if_loaded(state, demand, facts, now):
    """Return the estimated seconds until the first byte, without a load."""
    cost = _cost(state, demand, facts, now)
    if not demand.model:
        return cost + TIE_JITTER_SECONDS * random.random()
    if state.adapters.get(demand.adapter_key, 0) < facts.version:
        cost += LOAD_SECONDS
    return cost + JITTER_SECONDS * random.random()


def _cost(state, demand, facts, now):
    running, tokens, rate = state.total_load(now)
    capacity = max(1, state.back_end.capacity)  # an entry may name no slots
    cost = running * RUNNING_SECONDS
    cost += max(0, running - capacity) * QUEUE_SECONDS
    cost += state.failures(now) * FAILURE_SECONDS
    cost += LIMITED_SECONDS * (state.name in facts.limited)
    if state.back_end.zone != facts.zone:
        cost += CROSS_ZONE_SECONDS
    if not demand.model:
        return cost + running / capacity * max(state.latency, MIN_LATENCY_SECONDS)
    cost += tokens / PREFILL_TOKENS_PER_SECOND
    prefill_share = rate / PREFILL_TOKENS_PER_SECOND
    return (
        cost + max(0.0, prefill_share - PREFILL_SHARE_LIMIT) * PREFILL_PENALTY_SECONDS
    )
