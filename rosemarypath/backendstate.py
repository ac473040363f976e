"""
rosemarypath.backendstate
~~~~~~~~~~~~~~~~~~~~~~~~~

State of each back end as one daemon knows it: entry, load, failures, coldness.
"""

from collections import Counter, deque
from math import exp

from msgspec.structs import replace

__all__ = ["BackEndState", "BackEnds", "RequestLoad"]

FAILURE_HALF_LIFE_SECONDS = 2.0  # short, to retry soon after a fault of some seconds
PEER_LOAD_SECONDS = 1.0  # for which a peer's reported load counts
MAX_LAST_USED = 1000  # adapters per engine whose last use is recorded
COLD_WINDOW_SECONDS = 1.0  # over which sends to a cold back end are limited
CONTROLLER_REPORT_SECONDS = 2.0  # for which a report outranks the platform's list
LATENCY_WEIGHT = 0.1  # of a new latency in the moving average
OPEN_PLACES_SECONDS = 1.0  # for which a report of scarce places counts
# Adapters remembered per engine, which reloads them from its own memory, where nothing
# tells how many it keeps.
MAX_RECENT_ADAPTERS = 24
FORMER_SECONDS = 60.0  # for which a state is kept after its entry was removed
RATE_SECONDS = 1.0  # for which prompts count; reports of peers are half as old


class RequestLoad:
    """
    Requests in flight at one back end, as counted by one daemon.

    `adapters` counts them by adapter; `awaited` counts the requests that wait until an
    adapter is loaded, or are about to be sent since it is.
    """

    def __init__(self):
        self.running = 0
        self.prompt_tokens = 0
        self.adapters = Counter()
        self.awaited = Counter()
        self.prompt_rate = 0.0


class BackEndState:
    """
    State of one back end.

    `entry` is the `BackEndEntry` of the platform's list, `seen_at` the time at which it
    was read. `is_missing` is set while the entry is gone from the list, but may only
    have lapsed in an outage of the store. Until `closed_until` it gets no requests from
    this daemon, as it has no room for them. `says_it_leaves` is set once one of its
    answers has told so. `recent_adapters` has the adapters that were loaded lately, the
    last ones up to `recent_limit` beside those still loaded.

    The loaded models have one source at a time: the controller of this daemon while
    there is one, else the reports of the lease holder, else the entry.
    """

    def __init__(self, entry, now):
        self._failures = 0.0
        self._failed_at = now
        self._sent_times = deque()
        self._prompt_rate = 0.0
        self._prompt_at = now
        self._peer_loads = {}
        self._order_count = 0
        self._is_controlled = False
        self.entry = entry
        self.seen_at = now
        self.own = RequestLoad()
        self.adapters = {}
        self.model_versions = {}
        self.is_missing = False
        self.cold_until = now + entry.cold_seconds
        self.last_used = {}
        self.latency = 0.0
        self.closed_until = float("-inf")
        self.says_it_leaves = False
        self.controller_reported_at = float("-inf")
        self.recent_adapters = {}
        self.recent_limit = MAX_RECENT_ADAPTERS
        self._open_places = 0
        self._open_places_at = float("-inf")

    @property
    def back_end(self):
        """Return the `BackEnd`."""
        return self.entry.back_end

    @property
    def name(self):
        """Return the back end's name."""
        return self.entry.back_end.name

    @property
    def is_leaving(self):
        """Return whether its entry or one of its answers told that it is to end."""
        return self.says_it_leaves or self.entry.is_draining

    @property
    def incarnation(self):
        """Return an identifier of the back end that changes when it restarts."""
        return f"{self.name}/{self.entry.started_at_ms}"

    def is_cold(self, now):
        """Return whether it has just started, so that sends to it are limited."""
        return now < self.cold_until

    def close(self, until):
        """Send no requests until the time `until`, or longer if it is closed so."""
        self.closed_until = max(self.closed_until, until)

    def total_load(self, now):
        """
        Return the load of all daemons.

        It is a tuple of running requests, prompt tokens not yet read, and prompt tokens
        per second.
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

    def open_places(self, now):
        """
        Return how many adapters could be loaded without waiting for a place.

        It is infinite unless the lease holder has lately reported that they are scarce.
        """
        if now - self._open_places_at < OPEN_PLACES_SECONDS:
            return self._open_places
        return float("inf")

    def record_open_places(self, count, now):
        """Record the open places that the lease holder reported."""
        self._open_places = count
        self._open_places_at = now

    def own_prompt_rate(self, now):
        """Return the recent prompt tokens per second that this daemon sent here."""
        age = max(0.0, now - self._prompt_at)
        return self._prompt_rate * exp(-age / RATE_SECONDS)

    def record_peer_load(self, peer, load, adapters, now, awaited=()):
        """
        Record the requests that `peer` has in flight here.

        `load` is a tuple of running requests, unread prompt tokens and prompt tokens
        per second; `adapters` counts the requests by adapter, ``None`` keeps the counts
        of the last report. `awaited` counts the waiting requests by adapter.
        """
        known, _ = self._peer_loads.get(peer, (None, 0.0))
        updated = RequestLoad()
        updated.running, updated.prompt_tokens, updated.prompt_rate = load
        if adapters is not None:
            updated.adapters.update(adapters)
        elif known is not None:
            updated.adapters = known.adapters
        updated.awaited.update(awaited)
        self._peer_loads[peer] = (updated, now)
        for adapter in updated.adapters:
            self.last_used[adapter] = now

    def remove_peer_load(self, peer):
        """Drop the recorded load of `peer`."""
        self._peer_loads.pop(peer, None)

    def is_adapter_in_use(self, adapter, now):
        """Return whether any daemon has a request for `adapter` in flight here."""
        if self.own.adapters[adapter] > 0:
            return True
        return any(
            load.adapters[adapter]
            for load, at in self._peer_loads.values()
            if now - at < PEER_LOAD_SECONDS
        )

    def is_adapter_awaited(self, adapter, now):
        """Return whether any daemon has a request that waits for `adapter` here."""
        if self.own.awaited[adapter] > 0:
            return True
        return any(
            load.awaited[adapter]
            for load, at in self._peer_loads.values()
            if now - at < PEER_LOAD_SECONDS
        )

    def begin_wait(self, adapter):
        """Count a request that waits until `adapter` is loaded."""
        self.own.awaited[adapter] += 1

    def end_wait(self, adapter):
        """Count a request that waited for `adapter` and was sent, or gave up."""
        self.own.awaited[adapter] -= 1
        if not self.own.awaited[adapter]:
            del self.own.awaited[adapter]

    def begin_request(self, demand, now):
        """Count a request that is being sent."""
        self.own.running += 1
        self.own.prompt_tokens += demand.prompt_tokens
        arrived = demand.prompt_tokens / RATE_SECONDS
        self._prompt_rate = self.own_prompt_rate(now) + arrived
        self._prompt_at = now
        if demand.adapter:
            self.own.adapters[demand.adapter_key] += 1
            self.last_used[demand.adapter_key] = now
        self._sent_times.append(now)
        while self._sent_times and now - self._sent_times[0] > COLD_WINDOW_SECONDS:
            self._sent_times.popleft()

    def record_first_byte(self, demand):
        """Record that the back end has read the prompt of a request."""
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
        while self._sent_times and now - self._sent_times[0] > COLD_WINDOW_SECONDS:
            self._sent_times.popleft()
        return len(self._sent_times)

    def record_failure(self, now, weight=1.0):
        """Record a request that failed because of this back end."""
        self._failures = self.failures(now) + weight
        self._failed_at = now

    def record_success(self, now, seconds):
        """Record an answer whose first byte took `seconds`."""
        self._failures = self.failures(now) * 0.5
        self._failed_at = now
        self.latency += LATENCY_WEIGHT * (seconds - self.latency)

    def failures(self, now):
        """Return the exponentially decayed count of failures."""
        age = max(0.0, now - self._failed_at)
        return self._failures * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)

    def trim_last_used(self):
        """Drop the oldest entries of `last_used` beyond a limit."""
        if len(self.last_used) > MAX_LAST_USED:
            newest = sorted(self.last_used, key=self.last_used.get)[
                -MAX_LAST_USED // 2 :
            ]
            self.last_used = {name: self.last_used[name] for name in newest}

    def set_entry(self, entry, now):
        """Replace the entry, unless this one was written before the last restart."""
        if self.precedes(entry):
            return
        if not entry.started_at_ms and self.is_same(entry):
            entry = replace(entry, started_at_ms=self.entry.started_at_ms)
        if entry.started_at_ms != self.entry.started_at_ms:
            self._record_restart()
        self.entry = entry
        self.seen_at = now
        self.is_missing = False
        self.cold_until = now + entry.cold_seconds
        if self._has_newer_models(entry, now):
            self._order_count = entry.order_count
            self.set_loaded_models(entry.models)

    def precedes(self, entry):
        """Return whether `entry` was written before the last known start."""
        return 0 < entry.started_at_ms < self.entry.started_at_ms

    def is_same(self, entry):
        """Return whether `entry` tells of the same start of the same back end."""
        if entry.started_at_ms:
            return entry.started_at_ms == self.entry.started_at_ms
        known, other = self.back_end, entry.back_end
        return (known.address, known.serves) == (other.address, other.serves)

    def _record_restart(self):
        self.adapters = {}
        self.model_versions = {}
        self.recent_adapters = {}
        self.closed_until = float("-inf")
        self.says_it_leaves = False
        self.controller_reported_at = float("-inf")
        self._order_count = 0
        self._is_controlled = False

    def _has_newer_models(self, entry, now):
        """Return whether the entry may tell more of the loaded models than is known."""
        is_reported = now - self.controller_reported_at <= CONTROLLER_REPORT_SECONDS
        if self._is_controlled or is_reported:
            return False
        return entry.order_count >= self._order_count

    def record_controller_report(self, models, now):
        """Record the models that the lease holder, another daemon, reported."""
        self.controller_reported_at = now
        self.set_loaded_models(models)

    def record_controlled_models(self, models, order_count, now):
        """
        Record the models from the controller of this daemon.

        Until `release_models`, entries do not change them. `order_count` is ``None``
        while the controller does not know it.
        """
        self._is_controlled = True
        if order_count is not None:
            self._order_count = order_count
        self.record_controller_report(models, now)

    def release_models(self):
        """Take the loaded models from reports and entries again."""
        self._is_controlled = False

    def set_loaded_models(self, models):
        """Set the loaded models and adapters."""
        self.model_versions = {model.name: model.version for model in models}
        self.adapters = {
            f"{model.name}/{adapter}": version
            for model in models
            for adapter, version in model.adapters.items()
        }
        self._record_recent_adapters()

    def _record_recent_adapters(self):
        """Remember the loaded adapters, the latest last."""
        for name, version in self.adapters.items():
            self.recent_adapters.pop(name, None)
            self.recent_adapters[name] = version
        while len(self.recent_adapters) > self.recent_limit + len(self.adapters):
            del self.recent_adapters[next(iter(self.recent_adapters))]


class BackEnds:
    """All back ends by name; those in evacuated zones are not usable."""

    def __init__(self):
        self._by_service = {}
        self._former = {}  # states whose entries were removed
        self._former_since = {}  # when `forget_former` first saw them
        self.states = {}
        self.evacuated_zones = frozenset()

    def set_entry(self, entry, now):
        """
        Record a back end's entry; return its state.

        One whose entry was gone and is back, without a restart, is still bound by what
        it has told in answers. An entry of before that start is ignored.
        """
        name = entry.back_end.name
        state = self.states.get(name)
        former = self._former.get(name)
        if state is not None:
            state.set_entry(entry, now)
        elif former is not None and former.precedes(entry):
            return former
        elif former is not None and former.is_same(entry):
            state = self.states[name] = former
            state.set_entry(entry, now)
        else:
            state = self.states[name] = BackEndState(entry, now)
            state.set_loaded_models(entry.models)
        self._former.pop(name, None)
        self._by_service = {}
        return state

    def find(self, name):
        """Return the state of a back end, listed or lately removed, or ``None``."""
        return self.states.get(name) or self._former.get(name)

    def remove(self, name, may_be_lapse):
        """Drop a back end, or mark it as missing if its entry may have lapsed."""
        state = self.states.get(name)
        if state is None:
            return
        if may_be_lapse and not state.is_leaving:
            state.is_missing = True
        else:
            self._drop(name)

    def drop_missing(self):
        """Drop the back ends whose entry is still missing; return their names."""
        gone = [name for name, state in self.states.items() if state.is_missing]
        for name in gone:
            self._drop(name)
        return gone

    def forget_former(self, now):
        """Forget the back ends whose entries were removed long ago."""
        for name in list(self._former):
            since = self._former_since.setdefault(name, now)
            if now - since > FORMER_SECONDS:
                del self._former[name]
        for name in self._former_since.keys() - self._former.keys():
            del self._former_since[name]

    def trim_last_used(self):
        """Limit the recorded uses of adapters at each back end."""
        for state in self.states.values():
            state.trim_last_used()

    def usable_states(self, service, include_missing):
        """
        Return the states of the back ends of `service` that accept new requests.

        `include_missing` tells whether to include those with a missing entry.
        """
        if service not in self._by_service:
            self._by_service[service] = [
                state
                for state in self.states.values()
                if state.back_end.serves == service
            ]
        return [
            state
            for state in self._by_service[service]
            if not state.is_leaving
            and state.back_end.zone not in self.evacuated_zones
            and (include_missing or not state.is_missing)
        ]

    def _drop(self, name):
        self._former[name] = self.states.pop(name)
        self._former_since.pop(name, None)
        self._by_service = {}
