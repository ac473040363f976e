"""
rosemarypath.fleet
~~~~~~~~~~~~~~~~~~

One daemon's view of the fleet, on which it decides about requests.
"""

from math import inf

from rosemarypath import clock
from rosemarypath.backend import ENGINE, LoadedModel
from rosemarypath.backendstate import MAX_RECENT_ADAPTERS, BackEnds
from rosemarypath.enginecontroller import LoadOutcome
from rosemarypath.peermessages import LoadAsk
from rosemarypath.scheduling.choice import is_within_cold_rate
from rosemarypath.scheduling.coldrights import ColdRights
from rosemarypath.scheduling.ratelimits import RateLimits
from rosemarypath.scheduling.stagedquarantine import StagedQuarantine
from rosemarypath.scheduling.versions import AnnouncedVersions
from rosemarypath.sendgrants import SendGrants
from rosemarypath.tokenbuckets import BudgetBuckets, RetryBuckets

__all__ = ["FleetView"]

ASK_TIMEOUT_SECONDS = 0.5  # twice a load; a holder silent for longer is not asked again
ASK_MARGIN_SECONDS = 0.05  # for the answer of another daemon on top
SCARCE_PLACES = 2  # fewer open places are told to the other daemons
START_SECONDS = 2.0  # after its start a daemon may not know all other daemons yet
MIN_PROMPT_RATE = 50  # tokens per second; a prompt of 500 tokens decays to it in 2 s
FAILURE_MEMORY_SECONDS = 1.0  # for which a failed load makes an engine less eligible
FAILURE_REASONS = frozenset({"load_timeout", "engine_silent", "holder_silent"})
WAITING_REASONS = frozenset({"load_timeout", "awaiting_place"})  # asked again
# Bounds the memory for adapters that engines had lately: some 100 bytes each.
MAX_RECENT_TOTAL = 40_000
VERSION_MARGIN_SECONDS = 2.0  # for the announcement, a connection and a free place


class FleetView:
    """
    Configuration, back ends, budgets and engine leases as this daemon knows them.

    Options:

    `settings`
        The `EdgeSettings`.
    `peers`, `mesh`
        The other daemons, and the links to them.
    `leases`
        The `EngineLeases`.
    `availability`
        The `StoreAvailability`.
    `log`
        The `DecisionLog`.
    """

    def __init__(self, settings, peers, mesh, leases, availability, log):
        self._peers = peers
        self._availability = availability
        self._mesh = mesh
        self._log = log
        self._versions = AnnouncedVersions()
        self._reported_back_ends = {}
        self._load_failed_at = {}
        self.zone = settings.zone
        self.table = None
        self.back_ends = BackEnds()
        self.budgets = BudgetBuckets()
        self.quarantine = StagedQuarantine()
        self.rate_limits = RateLimits()
        self.grants = SendGrants(peers, mesh, self.rate_limits)
        self._cold_rights = ColdRights(peers.own.name)
        self.leases = leases
        self.controllers = {}
        self._retries = RetryBuckets(
            settings.retry_ratio, settings.retry_slack, settings.retry_window
        )
        self.apply_settings(settings)

    def apply_settings(self, settings):
        """Apply the limits of the `EdgeSettings`."""
        self._cold_factor = settings.cold_factor
        self.version_grace = max(0.0, settings.version_bound - VERSION_MARGIN_SECONDS)
        self._retries.set_limit(
            settings.retry_ratio, settings.retry_slack, settings.retry_window
        )
        self.leases.lease_seconds = settings.lease

    def set_routing_table(self, table, now):
        """
        Apply a `RoutingTable` if it is newer; return whether it was.

        A store that came back from an older copy may have an earlier version of the
        operator at a later position.
        """
        known = self.table
        if known is not None and (
            table.revision <= known.revision or table.version < known.version
        ):
            return False
        self.table = table
        for state in self.back_ends.states.values():
            state.recent_limit = self._recent_limit(state)
        contracts = set(table.customers.values())
        self.budgets.add_customers(contracts, self._peers.alive_share(now), now)
        changed = contracts - set(known.customers.values()) if known else contracts
        for contract in changed:
            budget = contract.budget
            self._log.write(
                "budgets",
                "contract",
                customer=contract.name,
                rate=budget.rate,
                burst=budget.burst,
                version=table.version,
            )
        return True

    def set_versions(self, versions, announced_at):
        """
        Record the newest versions, a dict by model or ``model/adapter``.

        They were announced at `announced_at` on the lease clock, which counts the time
        in which the machine is suspended; minus infinity where that is unknown.
        """
        for name, version in versions.items():
            self._versions.record(name, version, announced_at)

    def oldest_version(self, name, lease_now):
        """Return the oldest version of ``model/adapter`` that may still be used."""
        return self._versions.oldest_usable(name, self.version_grace, lease_now)

    def newest_version(self, name):
        """Return the newest version of ``model/adapter``, 0 where none is announced."""
        return self._versions.newest(name)

    def is_starting(self, now):
        """Return whether this daemon has just started and may have gaps in its view."""
        return now - self._peers.started_at < START_SECONDS

    def usable_states(self, service, now):
        """Return the states of the back ends of `service` that accept new requests."""
        return self.back_ends.usable_states(
            service, not self._availability.is_stable(now)
        )

    def accepts_request(self, state, is_granted, now):
        """
        Return whether a previously chosen back end may still get a request.

        `is_granted` tells whether the send was granted, as one to a back end with a
        limit has to be.
        """
        if not is_granted and self.has_limit(state):
            return False
        if state.closed_until > now or state not in self.usable_states(
            state.back_end.serves, now
        ):
            return False
        return is_within_cold_rate(state, self.cold_rate_limit(state), now)

    def record_feedback(self, state, feedback, sent_at, now):
        """Record what a back end asks in an answer to a request sent at `sent_at`."""
        name = state.incarnation
        if self.rate_limits.record_answer(name, feedback.rate_limit, sent_at, now):
            self._log_limit(name)
        if feedback.pause_seconds > 0.0:
            state.close(now + feedback.pause_seconds)
            self._log_feedback(state, "paused", seconds=feedback.pause_seconds)
        if feedback.is_leaving and not state.says_it_leaves:
            state.says_it_leaves = True
            self._log_feedback(state, "leaving")

    def limited_names(self, states):
        """Return the names of the back ends of `states` that have a limit."""
        if self.rate_limits.is_empty:
            return frozenset()
        return frozenset(state.name for state in states if self.has_limit(state))

    def _merge_limits(self, source, limits, now):
        for back_end in self.rate_limits.merge(source, limits, now):
            self._log_limit(back_end)

    def _log_limit(self, back_end):
        rate = self.rate_limits.rate(back_end)
        event = "ended" if rate == inf else "limited"
        self._log.write("limits", event, back_end=back_end, rate=rate)

    def _log_feedback(self, state, event, **fields):
        self._log.write("limits", event, back_end=state.incarnation, **fields)

    def has_limit(self, state):
        """Return whether the back end limits the requests of all daemons."""
        return self.rate_limits.rate(state.incarnation) != inf

    def engine_plan(self, service):
        """Return the `EnginePlan` of a service, or ``None``."""
        if self.table is None:
            return None
        plan = self.table.services.get(service)
        return plan.engine if plan is not None else None

    def cold_rate_limit(self, state):
        """Return the requests per second to send from here to a cold back end."""
        plan = self.table.services.get(state.back_end.serves)
        if plan is None or plan.cold_rate <= 0.0:
            return float("inf")
        total = plan.cold_rate * self._cold_factor
        return self._cold_rights.limit(state.name, total, self._peers.registered)

    def cold_rate_limits(self, states, now):
        """Return `cold_rate_limit` by name, for the cold ones of the back ends."""
        return {s.name: self.cold_rate_limit(s) for s in states if s.is_cold(now)}

    def load_blocked_engines(self, states, now):
        """Return the names of the engines whose lease holder cannot load an adapter."""
        names = set()
        for state in states:
            lease = self.leases.find(state.name)
            if state.name in self.controllers and lease and not lease.previous:
                continue
            if (
                lease is None
                or lease.previous
                or lease.machine == self._peers.own.name
                or not self._peers.is_alive(lease.machine, now)
            ):
                names.add(state.name)
        return frozenset(names)

    def recent_load_failures(self, now):
        """Return the engines where a load failed lately, but not for lack of places."""
        return frozenset(
            name
            for name, at in self._load_failed_at.items()
            if now - at < FAILURE_MEMORY_SECONDS
        )

    async def ensure_loaded(self, state, model, adapter, seconds):
        """Have the lease holder load an adapter; return a `LoadOutcome`."""
        outcome = await self._request_load(state, model, adapter, seconds)
        if outcome.is_loaded:
            self._load_failed_at.pop(state.name, None)
        elif outcome.reason in FAILURE_REASONS:
            self._load_failed_at[state.name] = clock.now()
        return outcome

    async def _request_load(self, state, model, adapter, seconds):
        controller = self.controllers.get(state.name)
        if controller is not None:
            return await controller.ensure_loaded(model, adapter, seconds)
        lease = self.leases.find(state.name)
        peer = self._peers.by_name.get(lease.machine) if lease else None
        if peer is None:
            return LoadOutcome(False, "no_holder")
        reply = await self._ask_holder(peer, state.name, model, adapter, seconds)
        if reply is None:
            return LoadOutcome(False, "holder_silent")
        if reply.is_held:
            version = max(1, self.newest_version(f"{model}/{adapter}"))
            state.adapters[f"{model}/{adapter}"] = version
        return LoadOutcome(reply.is_held, reply.reason)

    async def _ask_holder(self, peer, engine, model, adapter, seconds):
        """Ask the lease holder until it answers or falls silent."""
        started = clock.now()
        until = started + seconds
        while True:
            left = min(ASK_TIMEOUT_SECONDS, until - clock.now())
            waited = round(clock.now() - started, 3)
            ask = LoadAsk(engine, model, adapter, left, waited)
            identity = peer.machine.identity
            reply = await self._mesh.ask(identity, ask, left + ASK_MARGIN_SECONDS)
            is_final = reply is not None and reply.reason not in WAITING_REASONS
            if is_final or clock.now() >= until:
                return reply
            if clock.now() - peer.heard_at > ASK_TIMEOUT_SECONDS:
                return reply

    def record_missing(self, state, name):
        """Record that an adapter is not loaded, contrary to the last report."""
        controller = self.controllers.get(state.name)
        if controller is not None:
            controller.record_missing(name)

    def take_budget(self, customer, tokens, now):
        """Take tokens from a budget; return 0.0 when granted, else seconds to wait."""
        return self.budgets.take(customer, tokens, self._peers.alive_share(now), now)

    def refund_budget(self, customer, tokens):
        """Refund the tokens of a request that did not run."""
        self.budgets.refund(customer, tokens)

    def record_request(self, service):
        """Deposit the share of a new request in the retry budget of its service."""
        self._retries.deposit(service)

    def has_retry(self, service, now):
        """Return whether the retry budget has a retry for an optional use."""
        return self._retries.has_spare(service, self._machine_count(), now)

    def withdraw_retry(self, service, now, is_optional=False):
        """
        Withdraw one retry from the retry budget; return whether there was one.

        An optional one leaves a part of the budget to requests that failed.
        """
        if is_optional and not self.has_retry(service, now):
            return False
        return self._retries.try_withdraw(service, self._machine_count(), now)

    def set_back_end(self, entry, now):
        """Record an entry of the platform's list; return its state."""
        state = self.back_ends.set_entry(entry, now)
        state.recent_limit = self._recent_limit(state)
        return state

    def _recent_limit(self, state):
        """Return how many adapters that an engine had lately are remembered for it."""
        plan = self.table and self.table.services.get(state.back_end.serves)
        if not plan or not plan.is_measured or plan.engine is None:
            return MAX_RECENT_ADAPTERS
        most = max(MAX_RECENT_ADAPTERS, MAX_RECENT_TOTAL // len(self.back_ends.states))
        return min(most, max(MAX_RECENT_ADAPTERS, plan.engine.kept_adapters))

    def remove_back_end(self, name, now):
        """
        Record that an entry was removed.

        Returns whether it may only have lapsed, as the store was unavailable lately.
        """
        may_be_lapse = not self._availability.is_stable(now)
        self.back_ends.remove(name, may_be_lapse)
        return may_be_lapse

    def drop_missing(self, now):
        """Drop back ends whose lapsed entry was not rewritten; return their names."""
        return (
            self.back_ends.drop_missing() if self._availability.is_stable(now) else []
        )

    def record_peer_state(self, identity, state, now):
        """Record loads, granted tokens and loaded adapters from a heartbeat."""
        name = identity.partition("/")[0]
        self.quarantine.merge(state.crashes, state.begun, now)
        self._merge_limits(identity, state.limits, now)
        self.budgets.record_peer(identity, state.spent, now)
        back_ends = state.loads.keys() | state.rates.keys() | state.awaited.keys()
        self._remove_stale_loads(name, back_ends)
        for back_end in self._reported_back_ends[name]:
            running, tokens, adapters = state.loads.get(back_end, (0, 0, {}))
            load = running, tokens, state.rates.get(back_end, 0)
            awaited = state.awaited.get(back_end, {})
            self._record_peer_load(name, back_end, load, adapters, now, awaited)
        self._record_loaded_models(state.held, now)
        self._record_open_places(state.open_places, now)

    def record_digest(self, source, digest, now):
        """
        Record the sums of a `GroupDigest`, which replace earlier ones of `source`.

        `source` has the form ``name/incarnation``.
        """
        name = source.partition("/")[0]
        self.quarantine.merge(digest.crashes, digest.begun, now)
        self._merge_limits(source, digest.limits, now)
        self.budgets.record_peer(source, digest.spent, now)
        self._remove_stale_loads(name, digest.loads.keys() | digest.awaited.keys())
        for back_end in self._reported_back_ends[name]:
            load = digest.loads.get(back_end, (0, 0, 0))
            adapters = digest.adapters.get(back_end, {}) if digest.is_full else None
            awaited = digest.awaited.get(back_end, {})
            self._record_peer_load(name, back_end, load, adapters, now, awaited)
        self._record_loaded_models(digest.held, now)
        self._record_open_places(digest.open_places, now)

    def _remove_stale_loads(self, name, back_ends):
        """Drop the loads of `name` at all but the given back ends."""
        for back_end in self._reported_back_ends.get(name, set()) - back_ends:
            if back_end in self.back_ends.states:
                self.back_ends.states[back_end].remove_peer_load(name)
        self._reported_back_ends[name] = set(back_ends)

    def _record_peer_load(self, name, back_end, load, adapters, now, awaited):
        known = self.back_ends.states.get(back_end)
        if known is not None:
            known.record_peer_load(name, load, adapters, now, awaited)

    def _record_open_places(self, open_places, now):
        for back_end, count in open_places.items():
            known = self.back_ends.states.get(back_end)
            if known is not None and back_end not in self.controllers:
                known.record_open_places(count, now)

    def _record_loaded_models(self, loaded_models, now):
        for back_end, models in loaded_models.items():
            known = self.back_ends.states.get(back_end)
            if known is not None and back_end not in self.controllers:
                known.record_controller_report(
                    [LoadedModel(*entry) for entry in models], now
                )

    def own_loads(self):
        """Return running requests, unread prompt tokens and adapters, by back end."""
        loads = {}
        for name, state in self.back_ends.states.items():
            own = state.own
            if own.running:
                loads[name] = (own.running, own.prompt_tokens, dict(own.adapters))
        return loads

    def own_awaited(self):
        """Return counts of the requests that wait for a load, by engine and adapter."""
        return {
            name: dict(state.own.awaited)
            for name, state in self.back_ends.states.items()
            if state.own.awaited
        }

    def own_scarce_places(self, now):
        """Return the open places of leased engines that have few of them."""
        scarce = {}
        for name, controller in self.controllers.items():
            if not controller.has_report:
                continue
            count = controller.open_places(now)
            controller.state.record_open_places(count, now)
            if count < SCARCE_PLACES:
                scarce[name] = count
        return scarce

    def own_rates(self, now):
        """Return the recent prompt tokens per second sent to each back end."""
        rates = {
            name: round(state.own_prompt_rate(now))
            for name, state in self.back_ends.states.items()
        }
        return {name: rate for name, rate in rates.items() if rate >= MIN_PROMPT_RATE}

    def own_loaded_models(self):
        """Return models, versions and adapters of the engines leased by this daemon."""
        return {
            name: controller.loaded_models
            for name, controller in self.controllers.items()
            if controller.has_report
        }

    def engines(self):
        """Return the states of all engines that are not draining."""
        return [
            state
            for state in self.back_ends.states.values()
            if state.back_end.kind == ENGINE and not state.is_leaving
        ]

    def _machine_count(self):
        return len(self._peers.by_name) + 1
