"""
rosemarypath.backendstate
~~~~~~~~~~~~~~~~~~~~~~~~~

What this daemon knows of each back end: entry, load, failures, coldness.
"""

from collections import Counter, deque
from math import exp

__all__ = ["BackEndState", "BackEnds", "RequestLoad"]

FAILURE_HALF_LIFE = 2.0  # seconds; a fault of some seconds is soon tried again
PEER_LOAD_SECONDS = 1.0  # a peer's count is dropped when it is older
MOST_USES = 1000  # adapters whose last use is remembered for one engine
COLD_WINDOW = 1.0  # seconds over which sends to a cold back end are bounded
CONTROLLER_REPORT_SECONDS = (
    2.0  # the order holder's report outdates the list for so long
)
SLOW_SHARE = 0.1  # weight of a new latency in the moving average
RATE_SECONDS = 1.0  # over which prompts are counted; news of others is half as old


class RequestLoad:
    """Requests on their way at one back end, as counted by one daemon."""

    def __init__(self):
        self.running = 0
        self.prompt_tokens = 0
        self.adapters = Counter()
        self.prompt_rate = 0.0


class BackEndState:
    """
    One back end.

    `entry` is what the platform's list says, `seen_at` when that was read; with
    `is_missing` the list names it no longer, which an outage may be the reason for.
    """

    def __init__(self, entry, now):
        self._failures = 0.0
        self._failed_at = now
        self._sent = deque()
        self._prompt_rate = 0.0
        self._prompt_at = now
        self._peer_loads = {}
        self.entry = entry
        self.seen_at = now
        self.own = RequestLoad()
        self.adapters = {}
        self.model_versions = {}
        self.is_missing = False
        self.cold_until = now + entry.cold_seconds
        self.last_used = {}
        self.latency = 0.0
        self.controller_reported_at = float("-inf")

    @property
    def back_end(self):
        """Return the `BackEnd`."""
        return self.entry.back_end

    @property
    def name(self):
        """Return the back end's name."""
        return self.entry.back_end.name

    def is_cold(self, now):
        """Return whether it may only be asked slowly."""
        return now < self.cold_until

    def total_load(self, now):
        """
        Return what all daemons have on their way: running requests, prompt tokens not
        yet read, and prompt tokens a second.
        """
        running = self.own.running
        tokens = self.own.prompt_tokens
        rate = self.own_prompt_rate(now)
        for load, at in self._peer_loads.values():
            if now - at < PEER_LOAD_SECONDS:
                running += load.running
                tokens += load.prompt_tokens
                rate += load.prompt_rate
        return running, tokens, rate

    def own_prompt_rate(self, now):
        """Return the prompt tokens a second that this daemon sent here lately."""
        age = max(0.0, now - self._prompt_at)
        return self._prompt_rate * exp(-age / RATE_SECONDS)

    def note_peer_load(self, peer, load, adapters, now):
        """
        Record what `peer` has on its way here.

        `load` holds running requests, unread prompt tokens and prompt tokens a second;
        `adapters` counts the requests by adapter, ``None`` for those known before.
        """
        known, _ = self._peer_loads.get(peer, (None, 0.0))
        fresh = RequestLoad()
        fresh.running, fresh.prompt_tokens, fresh.prompt_rate = load
        if adapters is not None:
            fresh.adapters.update(adapters)
        elif known is not None:
            fresh.adapters = known.adapters
        self._peer_loads[peer] = (fresh, now)
        for adapter in fresh.adapters:
            self.last_used[adapter] = now

    def remove_peer_load(self, peer):
        """Drop what `peer` had on its way."""
        self._peer_loads.pop(peer, None)

    def is_adapter_in_use(self, adapter, now):
        """Return whether any daemon has a request for `adapter` on its way here."""
        if self.own.adapters[adapter] > 0:
            return True
        return any(
            load.adapters[adapter]
            for load, at in self._peer_loads.values()
            if now - at < PEER_LOAD_SECONDS
        )

    def begin_request(self, demand, now):
        """Count a request that is sent."""
        self.own.running += 1
        self.own.prompt_tokens += demand.prompt_tokens
        arrived = demand.prompt_tokens / RATE_SECONDS
        self._prompt_rate = self.own_prompt_rate(now) + arrived
        self._prompt_at = now
        if demand.adapter:
            self.own.adapters[demand.adapter_key] += 1
            self.last_used[demand.adapter_key] = now
        self._sent.append(now)
        while self._sent and now - self._sent[0] > COLD_WINDOW:
            self._sent.popleft()

    def note_first_byte(self, demand):
        """Record that the prompt of a request was read."""
        self.own.prompt_tokens -= demand.prompt_tokens

    def end_request(self, demand, had_first_byte, now):
        """Count a request that ended."""
        self.own.running -= 1
        if not had_first_byte:
            self.own.prompt_tokens -= demand.prompt_tokens
        if demand.adapter:
            self.own.adapters[demand.adapter_key] -= 1
            self.last_used[demand.adapter_key] = now
            if not self.own.adapters[demand.adapter_key]:
                del self.own.adapters[demand.adapter_key]

    def recent_sends(self, now):
        """Return how many requests this daemon sent in the last second."""
        while self._sent and now - self._sent[0] > COLD_WINDOW:
            self._sent.popleft()
        return len(self._sent)

    def note_failure(self, now, weight=1.0):
        """Record a request that failed by this back end's doing."""
        self._failures = self.failures(now) + weight
        self._failed_at = now

    def note_success(self, now, seconds):
        """Record an answer whose first byte took `seconds`."""
        self._failures = self.failures(now) * 0.5
        self._failed_at = now
        self.latency += SLOW_SHARE * (seconds - self.latency)

    def failures(self, now):
        """Return the recent failures, decayed."""
        age = max(0.0, now - self._failed_at)
        return self._failures * 0.5 ** (age / FAILURE_HALF_LIFE)

    def trim_last_used(self):
        """Drop the oldest uses of adapters, beyond some times what an engine holds."""
        if len(self.last_used) > MOST_USES:
            newest = sorted(self.last_used, key=self.last_used.get)[-MOST_USES // 2 :]
            self.last_used = {name: self.last_used[name] for name in newest}

    def set_entry(self, entry, now):
        """Put a newer entry in force."""
        if entry.born != self.entry.born:
            self.adapters = {}
            self.model_versions = {}
        self.entry = entry
        self.seen_at = now
        self.is_missing = False
        self.cold_until = now + entry.cold_seconds
        if now - self.controller_reported_at > CONTROLLER_REPORT_SECONDS:
            self.set_loaded_models(entry.models)

    def note_controller_report(self, models, now):
        """Take over what its order holder says that it holds, which is newer."""
        self.controller_reported_at = now
        self.set_loaded_models(models)

    def set_loaded_models(self, models):
        """Take over which models and adapters it says that it holds."""
        self.model_versions = {model.name: model.version for model in models}
        self.adapters = {
            f"{model.name}/{adapter}": version
            for model in models
            for adapter, version in model.adapters.items()
        }


class BackEnds:
    """All back ends by name; zones that operators took out are left out of choices."""

    def __init__(self):
        self._by_service = {}
        self.states = {}
        self.evacuated_zones = frozenset()

    def set_entry(self, entry, now):
        """Record a back end's entry; return its state."""
        state = self.states.get(entry.back_end.name)
        if state is None:
            state = BackEndState(entry, now)
            state.set_loaded_models(entry.models)
            self.states[entry.back_end.name] = state
        else:
            state.set_entry(entry, now)
        self._by_service = {}
        return state

    def remove(self, name, may_be_lapse):
        """Record that an entry is gone, or missing if that `may_be_lapse`."""
        state = self.states.get(name)
        if state is None:
            return
        if may_be_lapse and not state.entry.is_leaving:
            state.is_missing = True
        else:
            self._drop(name)

    def drop_missing(self):
        """Drop the back ends whose entry did not return; return their names."""
        gone = [name for name, state in self.states.items() if state.is_missing]
        for name in gone:
            self._drop(name)
        return gone

    def trim_last_used(self):
        """Bound what is remembered of the use of adapters."""
        for state in self.states.values():
            state.trim_last_used()

    def usable_states(self, service, include_missing):
        """
        Return the states of `service` that take new work.

        `include_missing` tells whether those with a missing entry are among them.
        """
        if service not in self._by_service:
            self._by_service[service] = [
                state
                for state in self.states.values()
                if state.back_end.serves == service and not state.entry.is_leaving
            ]
        return [
            state
            for state in self._by_service[service]
            if state.back_end.zone not in self.evacuated_zones
            and (include_missing or not state.is_missing)
        ]

    def _drop(self, name):
        del self.states[name]
        self._by_service = {}
