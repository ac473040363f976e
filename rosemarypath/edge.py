"""
rosemarypath.edge
~~~~~~~~~~~~~~~~~

The daemon on an entry machine of the users' platform: puts the parts together.
"""

import asyncio
import signal
import time
from dataclasses import dataclass

import msgspec

from rosemarypath.backends import UNSTABLE_SECONDS
from rosemarypath.clock import lease_now, now
from rosemarypath.decisionlog import FLUSH_SECONDS, DecisionLog
from rosemarypath.edgemetrics import EdgeMetrics
from rosemarypath.errors import NotFoundError, RosemarypathError
from rosemarypath.fleet import FleetView
from rosemarypath.forwarding import Forwarder
from rosemarypath.holding import HOLDER_KIND, Holdings
from rosemarypath.httpclient import ConnectionPool
from rosemarypath.link import Mesh
from rosemarypath.listener import Listener
from rosemarypath.loading import EngineKeeper
from rosemarypath.machine import Machine, new_incarnation
from rosemarypath.messages import (
    LoadAsk,
    LoadReply,
    MirrorAsk,
    MirrorEvents,
    MirrorSnapshot,
    PeerState,
)
from rosemarypath.mirror import (
    PROBE_SECONDS,
    WATCH_SECONDS,
    Mirror,
    StoreHealth,
    Watcher,
    WatchRole,
)
from rosemarypath.peers import Peers
from rosemarypath.routing import IngressLimits
from rosemarypath.stored import StoredObject

__all__ = ["EdgeDaemon"]

MACHINE_KIND = "rosemarypath-machines"
HEARTBEAT_SECONDS = 0.2  # loads and grants are as old as this at the others
LINK_SILENCE = 0.8  # seconds without an answer after which a link is dialled anew
HOLDING_SECONDS = 0.3  # between two looks at who gives orders
FIRST_HOLDING_SECONDS = 0.05  # the same just after a start, until some are known
RELAY_SECONDS = 0.15  # a copy that is behind a peer's for so long is asked for
REGISTER_RETRY = 0.3  # seconds between tries to register
FORGET_SECONDS = 12.0  # a machine silent for so long is struck from the register
DIRECTORY_TTL = 1  # seconds that callers keep an answer of the directory
STOP_ACCEPT = 3.2  # seconds after SIGTERM in which requests are still taken
STOP_MARGIN = 0.5  # seconds before the kill at which the process ends by itself
STOP_POLL = 0.05  # seconds between two looks whether requests are still on their way


@dataclass(frozen=True)
class _Behind:
    """A newer revision of a kind that a peer has, and since when that is known."""

    revision: int
    since: float


class EdgeDaemon:
    """
    One daemon.

    Options:

    `settings`
        The `EdgeSettings`.
    `dialect`
        What translates between the product and the platform: see
        `rosemarypath.platform.dialect`.
    `log`
        The `DecisionLog` (default: one on standard output).
    """

    def __init__(self, settings, dialect, log=None):
        self._settings = settings
        self._dialect = dialect
        self._tasks = set()
        self._stopping = asyncio.Event()
        self._stopped_at = None
        self._behind = {}
        self._keeper_tasks = {}
        self._removed_servers = set()
        incarnation = new_incarnation()
        self._own = Machine(
            name=settings.machine,
            incarnation=incarnation,
            zone=settings.zone,
            callers_address=settings.callers_address,
            peers_address=settings.peers_address,
        )
        self._log = log or DecisionLog(settings.machine)
        self._metrics = EdgeMetrics()
        self._pool = ConnectionPool()
        self._store = dialect.store(settings.store_address, self._pool)
        self._engine_calls = dialect.engine_calls(self._pool, settings.machine)
        self._health = StoreHealth(self._on_store_health)
        self._watch_role = WatchRole()
        self._watchers = [settings.machine]
        self._is_relay_unstable = False
        self._peers = Peers(self._own, now(), lease_now())
        self._mesh = Mesh(self._own.identity, settings.peers_address)
        self._fleet = FleetView(settings, self._peers, self._mesh, self._log)
        self._mirrors = self._new_mirrors()
        self._fleet.holdings = Holdings(
            settings.machine,
            self._peers,
            self._store,
            self._mirrors[HOLDER_KIND],
            settings.lease,
        )
        self._forwarder = Forwarder(
            dialect, self._pool, self._fleet, self._log, self._metrics
        )
        self._limits = IngressLimits()
        self._callers = Listener(
            settings.callers_address, self._forwarder.handle, self._limits
        )
        self._others = [
            Listener(address, self._handle_own, self._limits)
            for address in {settings.readiness_address, settings.directory_address}
            if address and address != settings.callers_address
        ]

    @property
    def is_ready(self):
        """Return whether callers may be sent here."""
        return (
            self._fleet.table is not None
            and self._mirrors[self._dialect.server_kind].is_known
            and not self._stopping.is_set()
        )

    @property
    def is_watching(self):
        """Return whether this daemon watches the store for others."""
        return self._watch_role.is_on

    @property
    def ordered_engines(self):
        """Return the names of the engines whose orders this daemon gives now."""
        return sorted(self._fleet.own_held())

    async def run(self):
        """Serve until SIGTERM, then stop without cutting a request."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self):
        """Listen and begin to serve; raises `OSError` for unusable addresses."""
        self._log.write("daemon", "start", incarnation=self._own.incarnation)
        for listener in [self._callers, *self._others]:
            await listener.start()
        await self._mesh.start()
        self._mesh.on(PeerState, self._on_peer_state)
        self._mesh.on(MirrorAsk, self._on_mirror_ask)
        self._mesh.on(MirrorSnapshot, self._on_mirror_snapshot)
        self._mesh.on(LoadAsk, self._on_load_ask)
        self._mesh.on(MirrorEvents, self._on_mirror_events)
        for mirror in self._mirrors.values():
            is_probe = mirror.kind == self._dialect.server_kind
            watcher = Watcher(
                self._store,
                mirror,
                self._health,
                self._watch_role,
                self._pass_events,
                seconds=PROBE_SECONDS if is_probe else WATCH_SECONDS,
            )
            self._spawn(watcher.run())
        self._spawn(self._register())
        self._spawn(self._beat())
        self._spawn(self._keep_holdings())
        self._spawn(self._flush_log())
        metrics_address = self._dialect.metrics_address(self._settings)
        if metrics_address:
            listener = Listener(metrics_address, self._handle_metrics, self._limits)
            await listener.start()
            self._others.append(listener)

    async def stop(self):
        """Leave the directory, end what is under way, then end."""
        self._stopping.set()
        self._stopped_at = now()
        self._log.write("daemon", "stopping")
        self._callers.is_stopping = True
        self._send_states()
        end = self._stopped_at + self._settings.stop_grace - STOP_MARGIN
        accept_until = min(end, self._stopped_at + STOP_ACCEPT)
        while now() < end:
            await asyncio.sleep(STOP_POLL)
            if now() < accept_until:
                continue
            self._fleet.refuses_new = True
            self._callers.close_idle()
            if self._callers.is_idle:
                break
        self._log.write("daemon", "stop", idle=self._callers.is_idle)
        self.kill()

    def freeze(self):
        """Stop to speak and to answer without closing anything, as a test of others."""
        for task in list(self._tasks):
            task.cancel()
        self._mesh.mute()

    def kill(self):
        """Drop everything at once."""
        self._stopping.set()
        self._log.flush()
        for task in list(self._tasks):
            task.cancel()
        for listener in [self._callers, *self._others]:
            listener.close()
        self._pool.close()
        self._mesh.close()

    def _reload(self):
        self._log.write(
            "daemon", "reload", note="addresses and bounds stay until restart"
        )

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._log.write("daemon", "error", detail=repr(task.exception()))
        self._stopping.set()

    # The store's kinds.

    def _new_mirrors(self):
        dialect = self._dialect
        handlers = {
            dialect.configuration_kind: self._on_configuration,
            dialect.server_kind: self._on_servers,
            dialect.version_kind: self._on_versions,
            dialect.evacuation_kind: self._on_evacuations,
            MACHINE_KIND: self._on_machines,
            HOLDER_KIND: self._on_holders,
        }
        return {kind: Mirror(kind, handler) for kind, handler in handlers.items()}

    def _on_store_health(self, is_up, reason):
        event = "regained" if is_up else "lost"
        self._log.write("store", event, why=reason)

    def _on_configuration(self, changed, removed):
        mirror = self._mirrors[self._dialect.configuration_kind]
        stored = mirror.objects.get(self._dialect.configuration_name)
        if stored is None:
            return
        try:
            table = self._dialect.decode_configuration(stored)
        except ValueError as error:
            self._log.write("configuration", "error", detail=str(error))
            return
        if not self._fleet.set_table(table, now()):
            return
        self._callers.limits = table.limits
        self._log.write(
            "configuration",
            "adopted",
            version=table.version,
            revision=table.revision,
            routes=sum(len(routes) for routes in table.routes.values()),
            keys=len(table.customers),
        )

    def _on_servers(self, changed, removed):
        at = now()
        mirror = self._mirrors[self._dialect.server_kind]
        for name in changed:
            entry = self._dialect.decode_server(mirror.objects[name])
            if entry is None:
                self._log.write(
                    "servers", "error", name=name, detail="unreadable entry"
                )
                continue
            known = self._fleet.back_ends.states.get(name)
            self._fleet.set_back_end(entry, at)
            if known is None or known.entry.is_leaving != entry.is_leaving:
                self._log.write(
                    "servers",
                    "leaving" if entry.is_leaving else "seen",
                    name=name,
                    service=entry.back_end.serves,
                    zone=entry.back_end.zone,
                    revision=mirror.revision,
                )
        for name in removed:
            is_unstable = at - self._health.failed_at < UNSTABLE_SECONDS
            self._fleet.remove_back_end(
                name, is_unstable or self._is_relay_unstable, at
            )
            self._log.write("servers", "removed", name=name, revision=mirror.revision)

    def _on_versions(self, changed, removed):
        mirror = self._mirrors[self._dialect.version_kind]
        versions = {}
        for name in changed:
            decoded = self._dialect.decode_version(mirror.objects[name])
            if decoded is None:
                self._log.write("versions", "error", name=name, detail="unreadable")
                continue
            model, adapter, version = decoded
            versions[f"{model}/{adapter}" if adapter else model] = version
        self._fleet.set_versions(versions, now())
        for name, version in versions.items():
            self._log.write("versions", "announced", name=name, version=version)

    def _on_evacuations(self, changed, removed):
        mirror = self._mirrors[self._dialect.evacuation_kind]
        self._fleet.back_ends.evacuated = frozenset(mirror.objects)
        self._log.write("evacuations", "zones", out=sorted(mirror.objects))

    def _on_machines(self, changed, removed):
        mirror = self._mirrors[MACHINE_KIND]
        machines = []
        for stored in mirror.objects.values():
            machine = _decode_machine(stored)
            if machine is not None:
                machines.append(machine)
        for machine in self._peers.set_machines(machines, now(), lease_now()):
            self._mesh.learn(machine.identity, machine.peers_address)
            self._log.write("peers", "seen", name=machine.name)
        kept = {self._own.identity}
        kept.update(p.machine.identity for p in self._peers.by_name.values())
        self._mesh.forget_all_but(kept)
        own = mirror.objects.get(self._own.name)
        if own is None and mirror.is_known and not self._stopping.is_set():
            self._spawn(self._register())

    def _on_holders(self, changed, removed):
        pass

    async def _register(self):
        """Write this daemon down, for the others to find."""
        spec = {
            "incarnation": self._own.incarnation,
            "zone": self._own.zone,
            "callers": self._own.callers_address,
            "peers": self._own.peers_address,
        }
        while not self._stopping.is_set():
            try:
                stored = await self._write_down(spec)
            except RosemarypathError as error:
                self._health.note_failure(now(), error.message)
                await asyncio.sleep(REGISTER_RETRY)
                continue
            self._mirrors[MACHINE_KIND].note_own(stored)
            return

    async def _write_down(self, spec):
        try:
            return await self._store.update(MACHINE_KIND, self._own.name, spec)
        except NotFoundError:
            return await self._store.create(MACHINE_KIND, self._own.name, spec)

    # The other daemons.

    async def _beat(self):
        while True:
            self._send_states()
            self._choose_watchers()
            self._mesh.check_silence(now(), LINK_SILENCE)
            at = now()
            for name in self._fleet.back_ends.drop_removed(at):
                self._log.write("servers", "removed", name=name, why="did not return")
            self._pool.drop_stale(at)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _send_states(self):
        number = self._peers.next_number(lease_now())
        state = PeerState(
            number=number,
            heard=0,
            is_leaving=self._stopping.is_set(),
            is_ready=self.is_ready,
            has_store=self._health.is_up,
            revisions={k: m.changed for k, m in self._mirrors.items() if m.is_known},
            spent=self._fleet.budgets.spent,
            loads=self._fleet.own_loads(),
            held=self._fleet.own_held(),
        )
        for peer in self._peers.by_name.values():
            message = msgspec.structs.replace(state, heard=peer.number)
            self._mesh.send(peer.machine.identity, message, expect_answer=True)

    def _choose_watchers(self):
        """Watch the store if this daemon is among those that do so for all."""
        watchers = self._peers.watchers(self._health.is_up, now())
        if watchers != self._watchers:
            self._watchers = watchers
            self._log.write("store", "watchers", names=watchers)
        is_alone = len(self._peers.heard(now())) == 1
        self._watch_role.set(self._own.name in watchers or is_alone)

    def _pass_events(self, mirror, since, events):
        """Pass on what a watch brought to the daemons that this one serves."""
        message = MirrorEvents(
            mirror.kind,
            since,
            mirror.revision,
            now() - self._health.failed_at < UNSTABLE_SECONDS,
            [(o.name, o.version, o.spec, is_removed) for o, is_removed in events],
        )
        for name, peer in self._peers.by_name.items():
            if name in self._watchers:
                continue
            if self._peers.served_by(self._watchers, name) == self._own.name:
                self._mesh.send(peer.machine.identity, message)

    def _on_mirror_events(self, identity, message):
        mirror = self._mirrors.get(message.kind)
        if mirror is None or not mirror.is_known:
            return
        if mirror.revision < message.since:
            self._mesh.send(identity, MirrorAsk(message.kind, mirror.revision))
            return
        events = [(StoredObject(*fields[:3]), fields[3]) for fields in message.events]
        self._is_relay_unstable = message.is_unstable
        mirror.apply(events, message.revision)
        self._is_relay_unstable = False

    def _on_peer_state(self, identity, state):
        at = now()
        peer = self._peers.note_state(identity, state, at, lease_now())
        if peer is None:
            return
        self._mesh.note_answer(identity)
        self._fleet.note_peer_state(identity, state, at)
        self.note_revisions(identity, state.revisions, at)

    def note_revisions(self, identity, revisions, at):
        """Compare the revisions that a peer names with the own copies."""
        for kind, revision in revisions.items():
            self._ask_if_behind(identity, kind, revision, at)

    def ask_for_news(self, identity, ask):
        """Send a `MirrorAsk` to a peer."""
        self._mesh.send(identity, ask)

    def _ask_if_behind(self, identity, kind, revision, at):
        """Ask a peer for a newer copy when our own watch does not bring it."""
        mirror = self._mirrors.get(kind)
        if mirror is None:
            return
        if mirror.is_known and mirror.revision >= revision:
            return
        # A peer that is behind as well must not restart the wait.
        known = self._behind.get(kind)
        if known is None or mirror.revision >= known.revision:
            known = self._behind[kind] = _Behind(revision, at)
        if at - known.since >= RELAY_SECONDS or not mirror.is_known:
            self._behind[kind] = _Behind(revision, at)
            self.ask_for_news(identity, MirrorAsk(kind, mirror.revision))

    def _on_mirror_ask(self, identity, ask):
        mirror = self._mirrors.get(ask.kind)
        if mirror is None or not mirror.is_known or mirror.revision <= ask.revision:
            return
        objects = [(o.name, o.version, o.spec) for o in mirror.objects.values()]
        self._mesh.send(identity, MirrorSnapshot(ask.kind, mirror.revision, objects))

    def _on_mirror_snapshot(self, identity, message):
        mirror = self._mirrors.get(message.kind)
        if mirror is None or message.revision <= mirror.revision and mirror.is_known:
            return
        objects = [StoredObject(*fields) for fields in message.objects]
        mirror.replace(objects, message.revision)
        self._log.write(
            "store", "relayed", kind=message.kind, revision=message.revision
        )

    async def _on_load_ask(self, identity, ask):
        keeper = self._fleet.keepers.get(ask.back_end)
        if keeper is None:
            return LoadReply(False, "not_holder")
        outcome = await keeper.ensure(ask.model, ask.adapter, ask.seconds)
        return LoadReply(outcome.is_held, outcome.reason)

    # Orders.

    async def _keep_holdings(self):
        holdings = self._fleet.holdings
        while True:
            is_fresh = not self._fleet.keepers and self._fleet.is_fresh(now())
            await asyncio.sleep(FIRST_HOLDING_SECONDS if is_fresh else HOLDING_SECONDS)
            if self._stopping.is_set() or not self._peers.is_known:
                continue
            self._match_keepers(holdings)
            for state in self._fleet.engines():
                try:
                    await self._keep_holding(holdings, state)
                except RosemarypathError as error:
                    self._health.note_failure(now(), error.message)
            self._match_keepers(holdings)

    async def _keep_holding(self, holdings, state):
        if holdings.wants(state.name, now(), lease_now()):
            is_taken = await holdings.take(state.name, lease_now())
            self._log.write(
                "orders",
                "holder" if is_taken else "holder_conflict",
                engine=state.name,
                holder=self._own.name,
            )
        elif holdings.wants_settling(state.name, lease_now()):
            await holdings.settle(state.name)

    def _match_keepers(self, holdings):
        """Run a keeper for each engine whose orders this daemon gives."""
        mine = {s.name: s for s in self._fleet.engines() if holdings.is_mine(s.name)}
        for name, state in mine.items():
            keeper = self._fleet.keepers.get(name)
            if keeper is None or keeper.state is not state:
                self._end_keeper(name)
                self._start_keeper(state)
        for name in self._fleet.keepers.keys() - mine.keys():
            self._end_keeper(name)

    def _start_keeper(self, state):
        service = state.back_end.serves
        keeper = EngineKeeper(
            state,
            self._engine_calls,
            self._fleet.holdings,
            lambda: self._fleet.engine_plan(service),
            self._fleet.newest_version,
            self._log,
            # The process before this one gave its last orders before this start.
            self._peers.started_at,
        )
        self._fleet.keepers[state.name] = keeper
        self._keeper_tasks[state.name] = self._spawn(keeper.run())

    def _end_keeper(self, name):
        self._fleet.keepers.pop(name, None)
        task = self._keeper_tasks.pop(name, None)
        if task is not None:
            task.cancel()

    # Readiness, directory, metrics.

    async def _handle_own(self, request, connection):
        if request.status:
            connection.answer(request.status, [], closes=True)
            return
        path = request.path.partition(b"?")[0]
        if path == self._dialect.readiness_path:
            connection.answer(200 if self.is_ready else 503, [])
        elif path == self._dialect.directory_path:
            self._answer_directory(connection)
        else:
            connection.answer(404, [])

    def _answer_directory(self, connection):
        machines = self._peers.named_to_callers(self.is_ready, now())
        ttl = min(DIRECTORY_TTL, self._settings.address_lifetime)
        addresses = [machine.callers_address for machine in machines]
        headers, body = self._dialect.directory_answer(addresses, ttl)
        connection.answer(200, headers, body)

    async def _handle_metrics(self, request, connection):
        headers, body = self._metrics.exposition(self._store.calls, time.time())
        connection.answer(200, headers, body)

    async def _flush_log(self):
        while True:
            self._log.flush()
            await asyncio.sleep(FLUSH_SECONDS)


def _decode_machine(stored):
    spec = stored.spec
    try:
        return Machine(
            name=stored.name,
            incarnation=spec["incarnation"],
            zone=spec["zone"],
            callers_address=spec["callers"],
            peers_address=spec["peers"],
        )
    except (KeyError, TypeError):
        return None
