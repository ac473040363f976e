"""
rosemarypath.fleet
~~~~~~~~~~~~~~~~~~

What one daemon knows of the fleet, for deciding about requests.
"""

from rosemarypath import clock
from rosemarypath.backend import ENGINE, LoadedModel
from rosemarypath.backendstate import BackEnds
from rosemarypath.choice import is_within_cold_rate
from rosemarypath.enginecontroller import LoadOutcome
from rosemarypath.peermessages import LoadAsk
from rosemarypath.tokenbuckets import BudgetBuckets, RetryBuckets

__all__ = ["FleetView"]

ASK_SECONDS = 0.5  # twice a load; a holder that is silent for longer is given up
ASK_MARGIN = 0.05  # seconds that an answer between two daemons may take
FRESH_SECONDS = 2.0  # a daemon's start is over after that
LEAST_RATE = 50  # prompt tokens a second; a prompt of half a thousand after 2 s
FAILURE_MEMORY_SECONDS = (
    1.0  # an engine that failed to load for a reason of its own counts less
)
FAILURE_REASONS = frozenset({"load_timeout", "engine_silent", "holder_silent"})
VERSION_MARGIN = 2.0  # seconds for the news, a connection and a place at an engine
UNKNOWN_VERSION = (0, float("-inf"))


class FleetView:
    """
    Configuration, back ends, budgets and holders of orders as known here.

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
        self._versions = {}
        self._reported = {}
        self._load_failed_at = {}
        self.zone = settings.zone
        self.table = None
        self.refuses_new = False
        self.back_ends = BackEnds()
        self.budgets = BudgetBuckets()
        self.leases = leases
        self.controllers = {}
        self.apply_settings(settings)

    def apply_settings(self, settings):
        """Put the bounds of the `EdgeSettings` in force."""
        self._factor = settings.cold_factor
        self.version_grace = max(0.0, settings.version_bound - VERSION_MARGIN)
        self._retries = RetryBuckets(
            settings.retry_ratio, settings.retry_slack, settings.retry_window
        )
        self.leases.lease_seconds = settings.lease

    def set_routing_table(self, table, now):
        """Put a newer `RoutingTable` in force; return whether it was newer."""
        known = self.table
        if known is not None and table.revision <= known.revision:
            return False
        self.table = table
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

    def set_versions(self, versions, now):
        """Take over the newest version of each named adapter."""
        for name, version in versions.items():
            known = self._versions.get(name)
            if known is None or known[0] < version:
                self._versions[name] = (version, now)

    def version_of(self, name):
        """Return the newest version of a held name, and when it was learned."""
        return self._versions.get(name, UNKNOWN_VERSION)

    def newest_version(self, name):
        """Return the newest version of a held name, 0 where none is announced."""
        return self._versions.get(name, UNKNOWN_VERSION)[0]

    def is_starting(self, now):
        """Return whether this daemon has just started and may not know all yet."""
        return now - self._peers.started_at < FRESH_SECONDS

    def usable_states(self, service, now):
        """Return the states of back ends of `service` that take new work."""
        return self.back_ends.usable_states(
            service, not self._availability.is_stable(now)
        )

    def accepts_request(self, state, now):
        """Return whether a back end that was chosen before may get a request now."""
        service = state.back_end.serves
        if state not in self.usable_states(service, now):
            return False
        return is_within_cold_rate(state, self.cold_rate_limit(service, now), now)

    def engine_plan(self, service):
        """Return the `EnginePlan` of a service, or ``None``."""
        if self.table is None:
            return None
        plan = self.table.services.get(service)
        return plan.engine if plan is not None else None

    def cold_rate_limit(self, service, now):
        """Return the requests a second that this daemon may send to a cold back end."""
        plan = self.table.services.get(service)
        if plan is None or plan.cold_rate <= 0.0:
            return float("inf")
        return max(1.0, plan.cold_rate * self._factor / self._machine_count())

    def load_blocked_engines(self, states, now):
        """Return the engines whose holder of orders cannot be asked now."""
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
        """Return the engines where a load failed lately, by its or a holder's fault."""
        return frozenset(
            name
            for name, at in self._load_failed_at.items()
            if now - at < FAILURE_MEMORY_SECONDS
        )

    async def ensure_loaded(self, state, model, adapter, seconds):
        """Have an adapter loaded; return a `LoadOutcome`."""
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
        """Ask until there is an answer, as long as the holder is heard."""
        until = clock.now() + seconds
        while True:
            left = min(ASK_SECONDS, until - clock.now())
            ask = LoadAsk(engine, model, adapter, left)
            identity = peer.machine.identity
            reply = await self._mesh.ask(identity, ask, left + ASK_MARGIN)
            is_final = reply is not None and reply.reason != "load_timeout"
            if is_final or clock.now() >= until:
                return reply
            if clock.now() - peer.heard_at > ASK_SECONDS:
                return reply

    def note_missing(self, state, name):
        """Record that an engine does not hold what it was believed to hold."""
        controller = self.controllers.get(state.name)
        if controller is not None:
            controller.note_missing(name)

    def take_budget(self, customer, tokens, now):
        """Take tokens; return 0.0 when granted, else the seconds to wait."""
        return self.budgets.take(customer, tokens, self._peers.alive_share(now), now)

    def refund_budget(self, customer, tokens):
        """Return the tokens of a request that did not run."""
        self.budgets.refund(customer, tokens)

    def note_request(self, service):
        """Count a request towards what may be sent again."""
        self._retries.deposit(service)

    def withdraw_retry(self, service, now):
        """Take one repeated send; return whether the bound allows it."""
        return self._retries.try_withdraw(service, self._machine_count(), now)

    def set_back_end(self, entry, now):
        """Take over an entry of the platform's list."""
        return self.back_ends.set_entry(entry, now)

    def remove_back_end(self, name, now):
        """
        Record that an entry is gone, for good unless the store was away lately.

        Returns whether it may only have lapsed.
        """
        may_be_lapse = not self._availability.is_stable(now)
        self.back_ends.remove(name, may_be_lapse)
        return may_be_lapse

    def drop_missing(self, now):
        """Drop the back ends whose entry did not return in time; return their names."""
        return (
            self.back_ends.drop_missing() if self._availability.is_stable(now) else []
        )

    def note_peer_state(self, identity, state, now):
        """Take over loads, grants and residency from a heartbeat."""
        name = identity.partition("/")[0]
        self.budgets.note_peer(identity, state.spent, now)
        self._forget_ended(name, state.loads.keys() | state.rates.keys())
        for back_end in self._reported[name]:
            running, tokens, adapters = state.loads.get(back_end, (0, 0, {}))
            load = running, tokens, state.rates.get(back_end, 0)
            self._note_load(name, back_end, load, adapters, now)
        self._note_held(state.held, now)

    def note_digest(self, source, digest, now):
        """
        Take over the sums of a `GroupDigest`, which replace those before of `source`.

        `source` has the form ``name/incarnation``.
        """
        name = source.partition("/")[0]
        self.budgets.note_peer(source, digest.spent, now)
        self._forget_ended(name, digest.loads.keys())
        for back_end, load in digest.loads.items():
            adapters = digest.adapters.get(back_end, {}) if digest.is_full else None
            self._note_load(name, back_end, load, adapters, now)
        self._note_held(digest.held, now)

    def _forget_ended(self, name, back_ends):
        """Drop what `name` had under way at other back ends than these."""
        for back_end in self._reported.get(name, set()) - back_ends:
            if back_end in self.back_ends.states:
                self.back_ends.states[back_end].remove_peer_load(name)
        self._reported[name] = set(back_ends)

    def _note_load(self, name, back_end, load, adapters, now):
        known = self.back_ends.states.get(back_end)
        if known is not None:
            known.note_peer_load(name, load, adapters, now)

    def _note_held(self, held, now):
        for back_end, models in held.items():
            known = self.back_ends.states.get(back_end)
            if known is not None and back_end not in self.controllers:
                known.note_controller_report(
                    [LoadedModel(*entry) for entry in models], now
                )

    def own_loads(self):
        """Return running requests, unread prompt tokens and adapters by back end."""
        loads = {}
        for name, state in self.back_ends.states.items():
            own = state.own
            if own.running:
                loads[name] = (own.running, own.prompt_tokens, dict(own.adapters))
        return loads

    def own_rates(self, now):
        """Return the prompt tokens a second sent to each back end lately."""
        rates = {
            name: round(state.own_prompt_rate(now))
            for name, state in self.back_ends.states.items()
        }
        return {name: rate for name, rate in rates.items() if rate >= LEAST_RATE}

    def own_loaded_models(self):
        """Return what the engines hold whose orders this daemon gives."""
        return {
            name: controller.loaded_models
            for name, controller in self.controllers.items()
            if controller.has_report
        }

    def engines(self):
        """Return the states of all engines that may be given orders."""
        return [
            state
            for state in self.back_ends.states.values()
            if state.back_end.kind == ENGINE and not state.entry.is_leaving
        ]

    def _machine_count(self):
        return len(self._peers.by_name) + 1
