"""
rosemarypath.controllermanager
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Acquires engine leases and runs a controller for each engine leased.
"""

import asyncio

from rosemarypath.clock import lease_now, now
from rosemarypath.enginecontroller import EngineController
from rosemarypath.errors import RosemarypathError
from rosemarypath.peermessages import LoadAsk, LoadReply
from rosemarypath.scheduling.reservations import Reservations

__all__ = ["ControllerManager"]

POLL_SECONDS = 0.3  # between two checks of the leases
START_POLL_SECONDS = 0.05  # the same just after a start, until a lease is held
DIRECT_REPORT_SECONDS = 0.25  # two heartbeats of a small fleet
RELAYED_REPORT_SECONDS = 1.0  # a heartbeat, a full digest of its group and a relay


class ControllerManager:
    """
    Acquires the leases of engines without a live holder, and runs their controllers.

    Options:

    `client`
        Client that sends orders to engines and fetches reports.
    `fleet`
        The `FleetView`, with its `EngineLeases`.
    `peers`, `mesh`
        The other daemons, and the links to them.
    `health`
        The `StoreHealth`.
    `log`
        The `DecisionLog`.
    ``spawn(coroutine)``
        Runs a task.
    """

    def __init__(self, client, fleet, peers, mesh, health, log, spawn):
        self._client = client
        self._fleet = fleet
        self._peers = peers
        self._mesh = mesh
        self._health = health
        self._log = log
        self._spawn = spawn
        self._tasks = {}

    async def run(self):
        """Acquire leases and match the controllers to them until cancelled."""
        self._mesh.on(LoadAsk, self._on_load_ask)
        while True:
            is_fresh = not self._fleet.controllers and self._fleet.is_starting(now())
            await asyncio.sleep(START_POLL_SECONDS if is_fresh else POLL_SECONDS)
            if not self._peers.is_known:
                continue
            self._match_controllers()
            for state in self._fleet.engines():
                try:
                    await self._maintain_lease(state)
                except RosemarypathError as error:
                    self._health.note_failure(now(), error.message)
            self._match_controllers()

    async def _maintain_lease(self, state):
        leases = self._fleet.leases
        if leases.should_acquire(state.name, now(), lease_now()):
            is_acquired = await leases.acquire(state.name, lease_now())
            self._log.write(
                "orders",
                "holder" if is_acquired else "holder_conflict",
                engine=state.name,
                holder=self._peers.own.name,
            )
        elif leases.should_clear_previous(state.name, lease_now()):
            await leases.clear_previous(state.name)

    def _match_controllers(self):
        """Start and stop controllers to match the leases of this daemon."""
        leases = self._fleet.leases
        own = {s.name: s for s in self._fleet.engines() if leases.is_own(s.name)}
        for name, state in own.items():
            controller = self._fleet.controllers.get(name)
            if controller is None or controller.state is not state:
                self._end_controller(name)
                self._start_controller(state)
        for name in self._fleet.controllers.keys() - own.keys():
            self._end_controller(name)

    def _start_controller(self, state):
        service = state.back_end.serves
        controller = EngineController(
            state,
            self._client,
            self._fleet.leases,
            lambda: self._fleet.engine_plan(service),
            self._fleet.newest_version,
            self._log,
            # The previous process of this machine sent its last orders before this.
            self._peers.started_at,
            Reservations(self._report_delay_seconds()),
        )
        self._fleet.controllers[state.name] = controller
        self._tasks[state.name] = self._spawn(controller.run())

    def _report_delay_seconds(self):
        """Return how long after a send each daemon's requests in flight are known."""
        return (
            RELAYED_REPORT_SECONDS if self._peers.is_grouped else DIRECT_REPORT_SECONDS
        )

    def _end_controller(self, name):
        controller = self._fleet.controllers.pop(name, None)
        if controller is not None:
            controller.state.release_models()
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def _on_load_ask(self, identity, ask):
        controller = self._fleet.controllers.get(ask.back_end)
        if controller is None:
            return LoadReply(False, "not_holder")
        outcome = await controller.ensure_loaded(
            ask.model, ask.adapter, ask.seconds, ask.waited, is_remote=True
        )
        return LoadReply(outcome.is_loaded, outcome.reason)
