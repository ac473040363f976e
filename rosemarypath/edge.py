"""
rosemarypath.edge
~~~~~~~~~~~~~~~~~

The daemon on an entry machine of the users' platform.
"""

import asyncio
import signal
import time

from rosemarypath.admission import Admission
from rosemarypath.bytebudget import ByteBudget
from rosemarypath.callers.callerbudget import CallerBudget
from rosemarypath.callers.connectionlimit import ConnectionLimit
from rosemarypath.callers.listener import Listener
from rosemarypath.clock import lease_now, now
from rosemarypath.connectionpool import ConnectionPool
from rosemarypath.controllermanager import ControllerManager
from rosemarypath.decisionlog import FLUSH_INTERVAL_SECONDS, DecisionLog
from rosemarypath.duties import DutyContext
from rosemarypath.duties.runner import DutyRunner
from rosemarypath.edgemetrics import EdgeMetrics
from rosemarypath.engineleases import LEASE_KIND, EngineLeases
from rosemarypath.errors import SettingsError
from rosemarypath.fleet import FleetView
from rosemarypath.forwarding import Forwarder
from rosemarypath.heartbeats import Heartbeats
from rosemarypath.leaseconfirmation import LeaseConfirmer
from rosemarypath.link import Mesh
from rosemarypath.machine import Machine, new_incarnation
from rosemarypath.peers import Peers
from rosemarypath.platformsync import PlatformSync
from rosemarypath.registration import Registration
from rosemarypath.routing import IngressLimits
from rosemarypath.scheduling.stopping import StopWindow
from rosemarypath.storecache import StoreCache
from rosemarypath.usagetally import UsageTally

__all__ = ["EdgeDaemon"]

LINK_TIMEOUT_SECONDS = 0.8  # a link without an answer for this long is reconnected
HOUSEKEEPING_SECONDS = 1.0  # between two clean-ups of silent machines and connections
# Silent watches are found so much later, which leaves half of the time in which a
# change has to be in force.
CONFIGURATION_POLL_SECONDS = 1.0
POLL_SECONDS = 2.5
BYTES_PER_MB = 1_000_000
# Share of the memory for answers that are not passed on yet. Each is copied when it
# is read whole and when it is written, and the process itself takes a good part.
ANSWER_MEMORY_SHARE = 0.125
DIRECTORY_TTL_SECONDS = 1  # how long callers may cache an answer of the directory
# New requests are accepted for this long after SIGTERM. Requests that callers send 3 s
# after SIGTERM or later must not be cut, so they are refused and never start.
STOP_ACCEPT_SECONDS = 2.8
STOP_MARGIN_SECONDS = 0.5  # time before SIGKILL at which running requests are ended
STOP_FLUSH_SECONDS = 0.25  # time for their answers to be sent before the process exits
STOP_POLL_SECONDS = 0.05  # between two checks for requests that are still running


class EdgeDaemon:
    """
    One daemon: creates its parts, starts and stops them.

    Options:

    `settings`
        The `EdgeSettings`.
    `dialect`
        Translates between rosemarypath's and the platform's formats, see
        `rosemarypath.platform.dialect`.
    `log`
        The `DecisionLog` (default: one on standard output).
    """

    def __init__(self, settings, dialect, log=None):
        self._settings = settings
        self._dialect = dialect
        self._tasks = set()
        self._stopping = asyncio.Event()
        self._log = log or DecisionLog(settings.machine)
        self._metrics = EdgeMetrics(settings.machine, settings.zone, time.time())
        self._pool = ConnectionPool(
            ByteBudget(settings.memory * BYTES_PER_MB * ANSWER_MEMORY_SHARE)
        )
        self._store = dialect.store(settings.store_address, self._pool, self._log_era)
        own = Machine(
            name=settings.machine,
            incarnation=new_incarnation(),
            zone=settings.zone,
            callers_address=settings.callers_address,
            peers_address=settings.peers_address,
            bandwidth=settings.bandwidth,
        )
        self._peers = Peers(own, now(), lease_now())
        self._mesh = Mesh(
            own.identity,
            settings.peers_address,
            on_silent=lambda peer: self._log.write("link", "silent", peer=peer),
        )
        self._store_cache = StoreCache(
            self._store,
            self._peers,
            self._mesh,
            settings.entry_renewal,
            self._log,
            availability_kind=dialect.server_kind,
            freshness_kind=LEASE_KIND,
            poll_seconds={
                dialect.configuration_kind: CONFIGURATION_POLL_SECONDS,
                dialect.evacuation_kind: POLL_SECONDS,
                dialect.version_kind: POLL_SECONDS,
            },
        )
        self._fleet = FleetView(
            settings,
            self._peers,
            self._mesh,
            self._new_leases(),
            self._store_cache.availability,
            self._log,
        )
        self._duty_runner = self._new_duty_runner()
        self._heartbeats = Heartbeats(
            self._peers, self._mesh, self._fleet, self._store_cache
        )
        self._registration = Registration(
            own, self._store, self._store_cache, self._peers, self._mesh, self._log
        )
        self._platform_sync = PlatformSync(
            self._store_cache, dialect, self._fleet, self._log, self._set_limits
        )
        self._controller_manager = ControllerManager(
            dialect.engine_client(
                self._pool, settings.machine, self._record_engine_feedback
            ),
            self._fleet,
            self._peers,
            self._mesh,
            self._store_cache.health,
            self._log,
            self._spawn,
        )
        self._stop_window = StopWindow()
        admission = Admission(
            dialect, self._fleet, self._stop_window, self._log, self._metrics
        )
        self._forwarder = Forwarder(
            dialect, self._pool, self._fleet, admission, self._log, self._metrics
        )
        self._caller_budget = CallerBudget(settings.memory * BYTES_PER_MB)
        self._connection_limit = ConnectionLimit.from_descriptors(settings.descriptors)
        self._caller_listener = self._new_listener(
            settings.callers_address,
            self._forwarder.handle,
            time_limit=admission.time_limit,
            on_dropped=self._log_dropped,
        )
        self._set_limits(IngressLimits())
        self._metrics.add_level("caller_bytes", lambda: self._caller_budget.total)
        self._metrics.add_level(
            "caller_connections", lambda: self._connection_limit.count
        )
        self._other_listeners = self._new_listeners()

    @property
    def is_ready(self):
        """Return whether callers may send requests to this daemon."""
        return self._platform_sync.is_complete and not self._stopping.is_set()

    @property
    def is_watching(self):
        """Return whether this daemon watches the store for others."""
        return self._store_cache.is_watching

    @property
    def leased_engines(self):
        """Return the names of the engines whose leases this daemon holds."""
        return sorted(self._fleet.own_loaded_models())

    @property
    def store_cache(self):
        """Return the `StoreCache`."""
        return self._store_cache

    @property
    def routing_table(self):
        """Return the `RoutingTable` in force, ``None`` if none was read yet."""
        return self._fleet.table

    @property
    def mesh(self):
        """Return the `Mesh` of links to the other daemons."""
        return self._mesh

    async def run(self):
        """Serve until SIGTERM or SIGINT, then finish running requests and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self):
        """Open the listeners and start the tasks; raises `OSError`."""
        identity = self._peers.own.identity
        self._log.write("daemon", "start", identity=identity)
        for listener in [self._caller_listener, *self._other_listeners]:
            await listener.start()
        await self._mesh.start()
        self._heartbeats.start()
        self._fleet.grants.start()
        self._store_cache.start(self._spawn)
        self._spawn(self._registration.run())
        self._spawn(self._run_heartbeats())
        self._spawn(self._do_housekeeping())
        self._spawn(self._controller_manager.run())
        if self._duty_runner is not None:
            self._duty_runner.start()
        self._spawn(self._flush_log())

    async def stop(self):
        """Leave the directory, finish running requests, then close everything."""
        self._stopping.set()
        started = now()
        self._log.write("daemon", "stopping")
        self._caller_listener.is_stopping = True
        if self._duty_runner is not None:
            self._duty_runner.stop()
        self._announce_stop()
        end = started + self._settings.stop_grace - STOP_MARGIN_SECONDS
        accept_until = min(end, started + STOP_ACCEPT_SECONDS)
        self._stop_window.begin(accept_until, end)
        await asyncio.sleep(accept_until - now())
        await self._caller_listener.refuse_connections()
        is_idle = await self._wait_until_idle(end)
        self._caller_listener.refuse_unread()
        ended = self._forwarder.end_requests()
        self._log.write("daemon", "stop", idle=is_idle, ended=ended)
        await self._wait_until_idle(now() + STOP_FLUSH_SECONDS)
        self.kill()
        await asyncio.sleep(0)  # until the ends of the connections are logged
        self._log.flush()

    def _announce_stop(self):
        try:
            self._send_heartbeats()
        except Exception as error:  # It may be why the daemon stops.
            self._log.write("daemon", "error", detail=repr(error))

    async def _wait_until_idle(self, end):
        """Close idle connections until all are idle; return whether they are."""
        listener = self._caller_listener
        listener.close_idle()
        while not listener.is_idle and now() < end:
            await asyncio.sleep(STOP_POLL_SECONDS)
            listener.close_idle()
        return listener.is_idle

    def kill(self):
        """Close all connections and listeners and cancel all tasks immediately."""
        self._stopping.set()
        self._log.flush()
        self.cancel_tasks()
        for listener in [self._caller_listener, *self._other_listeners]:
            listener.close()
        self._pool.close()
        self._mesh.close()

    def cancel_tasks(self):
        """Cancel the tasks, but leave connections open."""
        for task in list(self._tasks):
            task.cancel()

    def reload(self):
        """Read the settings file again and apply changed settings."""
        try:
            settings = self._dialect.read_settings()
        except SettingsError as error:
            self._log.write("daemon", "error", detail=str(error))
            return
        self._fleet.apply_settings(settings)
        self._store_cache.set_renewal_seconds(settings.entry_renewal)
        if settings.store_address != self._settings.store_address:
            self._store.set_address(settings.store_address)
        changed = settings.changed_names(self._settings)
        self._log.write("daemon", "reload", changed=changed)
        self._settings = settings

    def _new_leases(self):
        mirror = self._store_cache.add(LEASE_KIND, lambda changed, removed: None)
        return EngineLeases(
            self._settings.machine,
            self._peers,
            self._store,
            mirror,
            self._settings.lease,
            LeaseConfirmer(self._peers, self._mesh, self._store_cache),
        )

    def _new_duty_runner(self):
        """Return the `DutyRunner`, or ``None`` where the settings have no duties."""
        settings = self._settings
        duties = settings.duties
        if duties is None or not duties.names:
            return None
        if "usage" in duties.names:
            self._fleet.usage = UsageTally(
                self._peers.own.identity, duties.usage_window, time.time()
            )
        client = self._dialect.duty_client(
            self._pool, duties.address, settings.machine, duties.calls_per_second
        )
        context = DutyContext(
            settings=settings,
            fleet=self._fleet,
            peers=self._peers,
            mesh=self._mesh,
            store=self._store,
            store_cache=self._store_cache,
            client=client,
            log=self._log,
            metrics=self._metrics,
        )
        return DutyRunner(context, self._stopping.is_set, self._spawn)

    def _new_listeners(self):
        """Return the listeners for readiness, directory and metrics, by address."""
        settings = self._settings
        shared = {settings.readiness_address, settings.directory_address}
        handlers = {
            address: self._handle_platform_request for address in shared if address
        }
        handlers[self._dialect.metrics_address(settings)] = self._handle_metrics
        handlers.pop(settings.callers_address, None)
        return [
            self._new_listener(address, handle) for address, handle in handlers.items()
        ]

    def _new_listener(self, address, handle, **options):
        """Return a `Listener` that counts towards the limits on all callers."""
        return Listener(
            address,
            handle,
            IngressLimits(),
            self._log_handler_error,
            budget=self._caller_budget,
            connection_limit=self._connection_limit,
            on_refused=self._log_refused,
            on_dropped_idle=lambda: self._metrics.count("dropped_idle"),
            **options,
        )

    def _log_handler_error(self, error):
        self._log.write("listener", "error", detail=repr(error))

    def _log_dropped(self, count):
        """Log what a caller sent after its connection had been closed."""
        is_stopping = self._caller_listener.is_stopping
        self._log.write("entry", "dropped", bytes=count, is_stopping=is_stopping)
        self._metrics.count("dropped")

    def _log_refused(self, why, detail):
        """Log that a limit on all callers together refused a request or connection."""
        self._log.write("listener", "refused", why=why, detail=detail)
        self._metrics.count(f"refused_caller.{why}")

    def _log_era(self, era, known):
        """Log that the store came back from an older copy, or names a wrong era."""
        event = "restored" if era is not None and era > known else "stale"
        if known or event == "stale":
            self._log.write("store", event, era=era, known=known)

    def _record_engine_feedback(self, back_end, feedback, sent_at):
        """Record the `Feedback` in the answer to an order or to a report's request."""
        state = self._fleet.back_ends.find(back_end.name)
        if state is not None:
            self._fleet.record_feedback(state, feedback, sent_at, now())

    def _set_limits(self, limits):
        self._caller_listener.limits = limits
        self._caller_budget.set_limits(limits)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        """Stop the daemon if a task failed, so that it is restarted."""
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._log.write("daemon", "error", detail=repr(task.exception()))
        self._stopping.set()

    async def _run_heartbeats(self):
        while True:
            self._platform_sync.note_running(lease_now())
            self._send_heartbeats()
            self._drop_taken_away()
            self._store_cache.choose_watchers(now())
            self._mesh.reconnect_silent_links(now(), LINK_TIMEOUT_SECONDS)
            await asyncio.sleep(self._heartbeats.interval_seconds)

    def _drop_taken_away(self):
        """Drop connections to back ends that are gone, so that others resume soon."""
        fleet = self._fleet
        for back_end in fleet.notices.take_ended(fleet.back_ends, now()):
            dropped = self._pool.drop(back_end.address)
            self._log.write(
                "servers", "taken_away", name=back_end.name, requests=dropped
            )
            self._metrics.count("notices.ended")
            self._metrics.count("notices.cut", dropped)

    async def _do_housekeeping(self):
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            for name in self._fleet.drop_missing(now()):
                self._log.write("servers", "removed", name=name, why="did not return")
            self._store_cache.settle(now())
            self._fleet.back_ends.trim_last_used()
            self._fleet.back_ends.forget_former(now())
            self._pool.close_expired(now())
            await self._registration.remove_silent_machines()

    async def _flush_log(self):
        while True:
            self._log.flush()
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)

    def _send_heartbeats(self):
        self._heartbeats.send_heartbeats(self._stopping.is_set(), self.is_ready)

    async def _handle_platform_request(self, request, connection):
        """Answer requests for readiness and for the directory."""
        path = request.path.partition(b"?")[0]
        if request.status:
            connection.answer(request.status, request.refusal_headers, closes=True)
        elif path == self._dialect.readiness_path:
            connection.answer(200 if self.is_ready else 503, [])
        elif path == self._dialect.directory_path:
            self._answer_directory(connection)
        else:
            connection.answer(404, [])

    def _answer_directory(self, connection):
        machines = self._peers.directory_machines(self.is_ready, now())
        ttl = min(DIRECTORY_TTL_SECONDS, self._settings.address_lifetime)
        addresses = [machine.callers_address for machine in machines]
        headers, body = self._dialect.encode_directory_answer(addresses, ttl)
        connection.answer(200, headers, body)

    async def _handle_metrics(self, request, connection):
        headers, body = self._metrics.exposition(self._store.calls)
        connection.answer(200, headers, body)
