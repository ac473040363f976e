"""
review.1.case
~~~~~~~~~~~~~

A daemon hangs after a replica was cut off from the store for less than three seconds:
the replica's entry, held up by the cut, lacks an adapter that the daemon has had loaded
meanwhile. The daemon chooses to load it, finds it loaded, and chooses again, for ever.
"""

import asyncio
from pathlib import Path

from review.harness import (
    BOUNDS,
    MODEL,
    PLAIN_ROUTE,
    CannotRunError,
    has_trouble,
    play,
    running_deployment,
)
from rosemarypath.hashing import rendezvous_order

DAEMONS = 3
REPLICAS = 5
PLAIN_REPLICAS = 2
BEAT_SECONDS = 1.2  # between two entries of a replica
LAG_SECONDS = 0.1  # of what an entry tells
CUT_SECONDS = 2.7  # an entry lapses after 3.6 s
LOAD_AFTER_CUT_SECONDS = 0.1
ASK_PAUSE_SECONDS = 0.25  # between two requests for the adapter
ASKED_AFTER_CUT_SECONDS = 1.5  # for which they go on after the cut
# Even if the cut counted as a disturbance of the store, the daemon is in touch then.
IN_TOUCH_SECONDS = BOUNDS["stableWindowMs"] / 1000 + 0.2
ASK_DEADLINE_SECONDS = 12.0
TIMEOUT_SECONDS = PLAIN_ROUTE["timeoutMs"] / 1000
LATE_SECONDS = 0.5  # after the route's time-out
DEADLINE_SECONDS = 1.5
CHECKS = 12
CHECK_PAUSE_SECONDS = 0.25


class Beats:
    """The entries that the replicas write every `BEAT_SECONDS`."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._history = {replica.name: [] for replica in deployment.replicas}
        self._due = dict.fromkeys(self._history, 0.0)
        self._entries = {}
        self._cut_off = set()
        self._held_up = {}

    def due_in(self, replica):
        """Return in how many seconds the replica writes its next entry."""
        return self._due[replica.name] - self._deployment.record.now()

    def cut(self, replica):
        """Cut the replica off from the store; what it sends then is held up."""
        self._cut_off.add(replica.name)

    def is_held_up(self, replica):
        """Return whether an entry of the replica is on its way, held up by the cut."""
        return replica.name in self._held_up

    def heal(self, replica):
        """End the cut: the entry that was held up arrives at the store."""
        self._cut_off.discard(replica.name)
        self._put(replica.name, self._held_up.pop(replica.name))

    async def run(self):
        """Write entries until cancelled."""
        while True:
            now = self._deployment.record.now()
            for replica in self._deployment.replicas:
                history = self._history[replica.name]
                history.append((now, self._deployment.entry(replica)))
                while len(history) > 1 and history[1][0] <= now - LAG_SECONDS:
                    history.pop(0)
                if now >= self._due[replica.name]:
                    self._due[replica.name] += BEAT_SECONDS
                    self._write(replica.name, history[0][1])
            await asyncio.sleep(0.005)

    def _write(self, name, entry):
        if name not in self._cut_off:
            self._put(name, entry)
        elif name not in self._held_up:
            # Without an answer to this write the replica sends no further one.
            self._held_up[name] = entry
            self._deployment.record.write("entry held up", of=name)

    def _put(self, name, entry):
        """Write an entry; one that changes nothing is no event in the store."""
        if self._entries.get(name) == entry:
            return
        self._entries[name] = entry
        self._deployment.store.put("servers", name, entry)
        adapters = entry["models"][0]["adapters"]
        self._deployment.record.write("entry", of=name, adapters=adapters)


def note_orders(deployment):
    """Return a dictionary that is kept at the last sender of orders by replica."""
    holders = {}

    def watch(replica):
        execute = replica._execute_command

        def note(command):
            status = execute(command)
            holders[replica.name] = command["holder"]
            deployment.record.write(
                "order",
                at=replica.name,
                holder=command["holder"],
                operation=command["operation"],
                adapter=command.get("adapter"),
                status=status,
            )
            return status

        replica._execute_command = note

    for replica in deployment.replicas:
        watch(replica)
    return holders


async def load(deployment, daemon, adapter):
    """Have an adapter loaded; return the replica that has it."""
    for _ in range(20):
        _, status = await deployment.request(daemon, adapter)
        if status == 200:
            break
        await asyncio.sleep(0.2)
    for replica in deployment.replicas:
        if adapter in replica.engine.adapters:
            return replica
    raise CannotRunError(f"{adapter} is not served")


def adapters_of(deployment, replica, prefix):
    """Yield adapters that the daemons prefer to have loaded at the replica."""
    names = [one.name for one in deployment.replicas]
    for number in range(1000):
        adapter = f"{prefix}{number}"
        if rendezvous_order(f"{MODEL}/{adapter}", names)[0] == replica.name:
            yield adapter


async def load_at(deployment, daemon, replica, adapters):
    """Have one of the adapters loaded at this replica; return its name."""
    for _ in range(8):
        adapter = next(adapters)
        if await load(deployment, daemon, adapter) is replica:
            return adapter
    raise CannotRunError(f"no adapter is loaded at {replica.name}")


async def ask_often(deployment, daemon, adapter, seconds):
    """Send requests for an adapter that is in use; return their tasks."""
    tasks = []
    for _ in range(round(seconds / ASK_PAUSE_SECONDS)):
        ask = deployment.request(daemon, adapter, ASK_DEADLINE_SECONDS)
        tasks.append(asyncio.create_task(ask))
        await asyncio.sleep(ASK_PAUSE_SECONDS)
    return tasks


async def check(deployment, daemon):
    """Return whether a request is answered by its time-out, and half a second later."""
    task = asyncio.create_task(deployment.plain_request(daemon, DEADLINE_SECONDS))
    answered = []
    for seconds in (TIMEOUT_SECONDS, LATE_SECONDS):
        await asyncio.wait({task}, timeout=seconds)
        answered.append(task.done() and task.result()[1] != 0)
    await task
    return answered


async def case(record):
    """Return how many requests the daemon left without an answer."""
    async with running_deployment(
        record, DAEMONS, REPLICAS, PLAIN_REPLICAS
    ) as deployment:
        beats = Beats(deployment)
        holders = note_orders(deployment)
        writing = asyncio.create_task(beats.run())
        try:
            return await play_cut(deployment, beats, holders)
        finally:
            writing.cancel()


async def play_cut(deployment, beats, holders):
    """Cut a replica off while an adapter is loaded there, then check its holder."""
    record = deployment.record
    names = {daemon.name: daemon for daemon in deployment.daemons}
    replica = await load(deployment, deployment.daemons[0], "a0")
    daemon = names[holders[replica.name]]
    # The entry on its way tells of a load: else it would change nothing.
    adapters = adapters_of(deployment, replica, "b")
    await load_at(deployment, daemon, replica, adapters)
    while beats.due_in(replica) < LAG_SECONDS + 0.05:
        await load_at(deployment, daemon, replica, adapters)
    if has_trouble():
        beats.cut(replica)
        record.write("cut off from the store", replica=replica.name)
    await asyncio.sleep(beats.due_in(replica) + LOAD_AFTER_CUT_SECONDS)
    begun = record.now()
    if has_trouble() and not beats.is_held_up(replica):
        raise CannotRunError("no entry was on its way")
    adapter = await load_at(deployment, daemon, replica, adapters)
    left = begun - LOAD_AFTER_CUT_SECONDS + CUT_SECONDS - record.now()
    tasks = await ask_often(deployment, daemon, adapter, left)
    if has_trouble():
        beats.heal(replica)
        record.write("reaches the store again", replica=replica.name)
    healed = record.now()
    tasks += await ask_often(deployment, daemon, adapter, ASKED_AFTER_CUT_SECONDS)
    await asyncio.sleep(healed + IN_TOUCH_SECONDS - record.now())
    used, started = daemon.processor_seconds(), record.now()
    checks = []
    for _ in range(CHECKS):
        checks.append(asyncio.create_task(check(deployment, daemon)))
        await asyncio.sleep(CHECK_PAUSE_SECONDS)
    results = [await one for one in checks]
    used = daemon.processor_seconds() - used
    seconds = record.now() - started
    record.write("processor", daemon=daemon.name, used=f"{used:.2f} of {seconds:.2f} s")
    for task in tasks:
        await task
    unanswered = sum(not in_time for in_time, _ in results)
    late = sum(not in_time and not in_all for in_time, in_all in results)
    if unanswered and 2 * late > unanswered:
        return [
            f"CONFIG: {late} of {unanswered} requests that were unanswered at the "
            f"route's timeoutMs had no answer half a second later, at {daemon.name}, "
            f"which took {used:.1f} s of the processor in {seconds:.1f} s"
        ]
    return []


if __name__ == "__main__":
    play(case, Path(__file__).parent)
