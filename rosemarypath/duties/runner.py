"""
rosemarypath.duties.runner
~~~~~~~~~~~~~~~~~~~~~~~~~~

Acquires the leases of duties without a live holder, and performs the duties held.
"""

import asyncio

from rosemarypath.clock import lease_now, now
from rosemarypath.duties import find_duty
from rosemarypath.engineleases import duty_lease_name
from rosemarypath.errors import RosemarypathError

__all__ = ["DutyRunner"]

POLL_SECONDS = 0.3  # between two checks of the leases, and two calls of a duty
FAILURE_PAUSE_SECONDS = 1.0  # after a failed call to the store, as each is paid for


class DutyRunner:
    """
    Performs the duties in the settings while this daemon holds their leases.

    Options:

    `context`
        The `DutyContext`.
    ``is_stopping()``
        Returns whether the daemon shuts down. From then on nothing is performed.
    ``spawn(coroutine)``
        Runs a task.

    The state is bounded by the number of subjects.
    """

    def __init__(self, context, is_stopping, spawn):
        self._context = context
        self._leases = context.fleet.leases
        self._is_stopping = is_stopping
        self._spawn = spawn
        self._tasks = {}
        classes = [find_duty(name) for name in context.settings.duties.names]
        self._duties = [c.from_config(context) for c in classes if c is not None]

    def start(self):
        """Start the tasks."""
        self._spawn(self._run_leases())
        self._spawn(self._run_duties())

    def stop(self):
        """Stop performing at once; calls under way are aborted."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    def token(self, name):
        """Return the fencing token for a call now, 0 if none may be sent."""
        if self._is_stopping():
            return 0
        return self._leases.fencing_token(name, lease_now())

    async def _run_leases(self):
        while True:
            await asyncio.sleep(POLL_SECONDS)
            peers = self._context.peers
            # Before it has heard the others, each daemon would try to acquire all.
            if self._is_stopping() or not peers.is_known or peers.is_starting(now()):
                continue
            try:
                for name in self._subjects():
                    await self._maintain_lease(name)
            except RosemarypathError as error:
                self._context.store_cache.health.note_failure(now(), error.message)
                await asyncio.sleep(FAILURE_PAUSE_SECONDS)

    async def _run_duties(self):
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if not self._is_stopping():
                await self.perform_held()

    async def perform_held(self):
        """Start what is due for the subjects held, and end it for those lost."""
        subjects = self._subjects()
        held = [name for name in subjects if self._leases.is_own(name)]
        for name in [name for name in self._tasks if name not in held]:
            self._tasks.pop(name).cancel()
        if not held:
            return
        # The subjects have one holder each, so that these shares add up to one.
        self._context.client.set_share(len(held) / len(subjects))
        await self._leases.confirm(lease_now())
        for name in held:
            task = self._tasks.get(name)
            if (task is None or task.done()) and self.token(name):
                self._tasks[name] = self._spawn(self._perform(name, *subjects[name]))

    def _subjects(self):
        """Return a dictionary that maps names of leases to duties and subjects."""
        subjects = {}
        for duty in self._duties:
            for subject in duty.subjects(now()):
                name = duty_lease_name(duty.name, subject)
                # An engine's lease has the engine's name.
                if self._context.fleet.back_ends.find(name) is None:
                    subjects[name] = duty, subject
        return subjects

    async def _maintain_lease(self, name):
        if self._is_stopping():
            return
        if self._leases.should_acquire(name, now(), lease_now()):
            is_acquired = await self._leases.acquire(name, lease_now())
            event = "holder" if is_acquired else "holder_conflict"
            holder = self._context.peers.own.name
            self._context.log.write("duties", event, subject=name, holder=holder)
            self._context.metrics.count(f"duty_{event}")
        elif self._leases.should_clear_previous(name, lease_now()):
            await self._leases.clear_previous(name)

    async def _perform(self, name, duty, subject):
        try:
            await duty.perform(subject, lambda: self.token(name), now())
        except Exception as error:  # The daemon serves callers though a duty fails.
            self._context.metrics.count("duty_errors")
            self._context.log.write(
                "duties", "error", subject=name, detail=repr(error)[:200]
            )
