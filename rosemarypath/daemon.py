"""
rosemarypath.daemon
~~~~~~~~~~~~~~~~~~~

The daemon that runs on every entry machine: creates and connects its components.
"""

import argparse
import asyncio
import signal
import sys
import time
from collections import OrderedDict

from rosemarypath import __version__
from rosemarypath.budgetclient import BudgetClient
from rosemarypath.configurationreplica import ConfigurationReplica
from rosemarypath.entry import EntryApi
from rosemarypath.errors import SettingsError
from rosemarypath.history import History
from rosemarypath.httpserver import HttpServer
from rosemarypath.levels import FIRST_TOKEN_SECONDS, GAP_SECONDS, ServiceLevels
from rosemarypath.link import Mesh
from rosemarypath.log import get_logger, setup_logging
from rosemarypath.membership import Membership, new_incarnation
from rosemarypath.metrics import Metrics
from rosemarypath.operators import OperatorsApi
from rosemarypath.outcome import NotRun
from rosemarypath.ownedresources import OwnedResources
from rosemarypath.policies import get_policy_by_name
from rosemarypath.ranking import BackEndRanker, RandomRanker
from rosemarypath.retry import RetryBudget
from rosemarypath.revisionsync import RevisionSync
from rosemarypath.seatclient import SeatClient
from rosemarypath.settings import load_settings
from rosemarypath.staticbudget import StaticBudgets
from rosemarypath.store import StoreClient
from rosemarypath.upstream import UpstreamClient

__all__ = ["Daemon", "main", "run"]

MAX_OUTDATED_SECONDS = 2.0
MAX_RECENT_REQUESTS = 1000
FIRST_SERVER_ERROR_STATUS = 500
LEAVE_TIMEOUT_SECONDS = 5.0
RANKING_CLEANUP_SECONDS = 30.0
EXIT_BAD_SETTINGS = 2

_log = get_logger("daemon")


class Daemon:
    """
    One daemon with its components.

    `settings` are its validated `Settings`.
    """

    def __init__(self, settings):
        self._tasks = set()
        self._stop_requested = asyncio.Event()
        self.settings = settings
        incarnation = new_incarnation()
        self.history = History(settings.history, settings.machine, incarnation)
        self.metrics = Metrics(settings.statsd)
        self.levels = ServiceLevels()
        self.recent_requests = OrderedDict()
        self.store = StoreClient(settings.dial_address(settings.object_api))
        self.mesh = Mesh(
            f"{settings.machine}/{incarnation}",
            settings.peers_address,
            settings.dial_address,
        )
        self.config_replica = ConfigurationReplica(self._on_configuration)
        self.membership = Membership(
            settings,
            self.store,
            self.mesh,
            self.config_replica,
            self.history,
            self._on_release,
            self._on_replaced,
        )
        self.revision_sync = RevisionSync(
            self.membership,
            self.config_replica,
            self.store,
            self.mesh,
            settings.timing.heartbeat,
        )
        policy = get_policy_by_name(settings.policy)
        ranker_class = BackEndRanker if policy.has_homes else RandomRanker
        self.ranker = ranker_class(settings.zone)
        self.seats = SeatClient(self.membership, self.mesh, self.ranker)
        if policy.has_budget_owners:
            self.budgets = BudgetClient(self.membership, self.mesh)
        else:
            self.budgets = StaticBudgets(self.membership, self.config_replica)
        self.retries = RetryBudget()
        self.upstream = UpstreamClient(settings.timing)
        self.entry = EntryApi(self)
        self.owned_resources = None
        self._callers_server = HttpServer(settings.callers_address)
        self._operators_server = HttpServer(settings.operators_address)

    async def start(self):
        """Join the roster and serve; raises `OSError` for an unusable address."""
        self.upstream.start()
        self.owned_resources = OwnedResources(
            self.membership,
            self.config_replica,
            self.revision_sync,
            self.mesh,
            self.upstream.session,
            self.settings.policy,
            self.history,
            self.settings.dial_address,
        )
        await self.mesh.start()
        await self.membership.start()
        await self.revision_sync.start()
        self.owned_resources.start()
        self.spawn(self._clean_ranking_forever())
        self.entry.add_routes(self._callers_server)
        OperatorsApi(self).add_routes(self._operators_server)
        await self._callers_server.start()
        await self._operators_server.start()
        _log.info("serving callers at {}", self.settings.callers_address)

    async def run(self):
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        starting = asyncio.create_task(self.start())
        stopping = asyncio.create_task(self._stop_requested.wait())
        await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():
            starting.cancel()
            return
        starting.result()
        print("ready", flush=True)
        await stopping
        await self.stop()

    async def stop(self):
        """Drain, wait for the requests in flight, and leave the roster."""
        _log.info("draining: no new callers are directed to this machine")
        await self.membership.drain()
        await asyncio.sleep(self.settings.timing.drain)
        await self._callers_server.stop()
        _log.info("all requests have ended; leaving the roster")
        self.owned_resources.stop()
        self.revision_sync.stop()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                await self.membership.stop()
        except TimeoutError:
            _log.warning(
                "could not leave the roster; the witnesses will fence this machine"
            )
        await self._operators_server.stop(grace=1)
        await self.upstream.close()
        await self.store.close()
        await self.mesh.stop()
        self.history.write("stopped")
        self.history.close()

    def spawn(self, coroutine):
        """Run `coroutine` as a background task, keeping a reference to the task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def find_refusal(self, caller_request, now):
        """Return a `NotRun` if `caller_request` may not run now, else ``None``."""
        if not self.membership.has_lease(now):
            return NotRun(
                503, "not_in_standing", "this machine is cut off; use another", 1.0
            )
        if self.config_replica.seconds_behind(now) > MAX_OUTDATED_SECONDS:
            return NotRun(
                503, "stale_configuration", "this machine is behind; use another", 1.0
            )
        configuration = self.config_replica.current
        if configuration.routes.get(caller_request.route.name) != caller_request.route:
            return NotRun(503, "configuration_changed", "the route has changed", 0.1)
        if caller_request.key_digest:
            key = configuration.keys.get(caller_request.key_digest)
            if key is None or key.withdrawn:
                return NotRun(401, "withdrawn_key", "the key was withdrawn")
        return None

    def back_ends_for(self, route):
        """Return all back ends that serve `route`, in service or not."""
        configuration = self.config_replica.current
        if route.service:
            return configuration.services_for(route.service)
        adapter = configuration.adapters.get(route.adapter)
        return configuration.engines_for(adapter.model) if adapter else []

    def rank_back_ends(self, route, adapter, now):
        """Return the back ends in service for `route`, the preferred one first."""
        usable = [b for b in self.back_ends_for(route) if self.is_in_service(b.name)]
        return self.ranker.rank(adapter, usable, now)

    def is_in_service(self, name):
        """Return whether the back end `name` accepts new requests."""
        back_end = self.config_replica.current.back_ends.get(name)
        if back_end is None or name in self.revision_sync.leaving_back_ends:
            return False
        return self.config_replica.current.zone_accepts(back_end.zone)

    def record_first_token(self, caller_request, seconds, waited_for_load):
        """Record that `caller_request` got its first token after `seconds`."""
        self.metrics.timing("first_token", seconds)
        self.metrics.count("served")
        cause = ""
        if seconds > FIRST_TOKEN_SECONDS:
            cause = "load_stall" if waited_for_load > seconds / 2 else "queue"
        self._record_objective("first_token", caller_request.customer, cause)
        self._record_objective("refusal", caller_request.customer, "")
        self.annotate_request(
            caller_request.request_id,
            outcome="answered",
            first_byte_seconds=round(seconds, 3),
            waited_for_load_seconds=round(waited_for_load, 3),
        )
        self.history.write(
            "first_byte",
            request=caller_request.request_id,
            customer=caller_request.customer,
            seconds=seconds,
            waited_for_load=waited_for_load,
        )

    def record_token_gap(self, caller_request, seconds):
        """Record the mean time between tokens of one streamed response, in seconds."""
        self.metrics.timing("token_gap", seconds)
        cause = "back_end" if seconds > GAP_SECONDS else ""
        self._record_objective("token_gap", caller_request.customer, cause)

    def record_refusal(self, request, customer, outcome):
        """Record that a request was refused with a `NotRun` or an `Unknown`."""
        self.metrics.count(f"refused.{outcome.code}")
        if customer and outcome.status >= FIRST_SERVER_ERROR_STATUS:
            self._record_objective("refusal", customer, "refusal")
        if request:
            self.annotate_request(request, outcome=outcome.code, not_run=outcome.tag)
        self.history.write(
            "refused", request=request, code=outcome.code, not_run=outcome.tag
        )

    def annotate_request(self, request, **facts):
        """Add `facts` about a request, as shown by the command ``explain``."""
        self.recent_requests.setdefault(request, {}).update(facts)
        while len(self.recent_requests) > MAX_RECENT_REQUESTS:
            self.recent_requests.popitem(last=False)

    def _record_objective(self, objective, customer, cause):
        zone = self.settings.zone
        self.levels.add(objective, customer, zone, cause, time.time())

    async def _clean_ranking_forever(self):
        """Drop expired data of the back-end ranking periodically."""
        while True:
            await asyncio.sleep(RANKING_CLEANUP_SECONDS)
            self.ranker.drop_expired(time.monotonic())

    def _on_configuration(self, configuration):
        self.history.write("configuration_adopted", revision=configuration.revision)

    def _on_release(self, resources):
        if self.owned_resources is not None:
            self.owned_resources.release(resources)

    def _on_replaced(self):
        _log.error(
            "another process has joined as machine {}; stopping", self.settings.machine
        )
        self._stop_requested.set()


def main(args=None):
    """Run ``rosemarypathd``; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="rosemarypathd",
        description="Serve callers on this entry machine; see docs/settings.md.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument("--check", action="store_true", help="check settings and exit")
    parser.add_argument("--version", action="version", version=__version__)
    options = parser.parse_args(args)
    settings, errors = load_settings(options.settings)
    if not errors:
        errors = _validate_policy(settings)
    for error in errors:
        print(f"rosemarypathd: {error}", file=sys.stderr)
    if errors:
        return EXIT_BAD_SETTINGS
    if options.check:
        print("settings are good")
        return 0
    setup_logging(settings.log_level, settings.log_json)
    return asyncio.run(_run_daemon(settings))


def _validate_policy(settings):
    try:
        get_policy_by_name(settings.policy)
    except KeyError:
        message = f"policy: unknown policy '{settings.policy}'"
        return [SettingsError(message, "use 'fair' or 'baseline'")]
    return []


async def _run_daemon(settings):
    try:
        await Daemon(settings).run()
    except OSError as error:
        print(f"rosemarypathd: {error}; free the address or change it", file=sys.stderr)
        return 1
    return 0


def run():
    """Entry point of the console script."""
    sys.exit(main())


if __name__ == "__main__":
    run()
