"""
tests.test_departures
~~~~~~~~~~~~~~~~~~~~~

Back ends that are added and removed while the store fails for some or all daemons.

A daemon that missed a removal, or took it for a lapse in an outage, goes on sending
requests to the removed back end. Faults and removals are drawn with a seed.

    python -m tests.test_departures 100 150    # runs the seeds from 100 to 149
"""

import asyncio
import random
import sys
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace

import pytest

from bench.ports import free_ports
from rosemarypath.errors import ConnectError
from rosemarypath.storeavailability import ENTRY_RECOVERY_SECONDS
from standins.replica import Replica
from tests.edgefleet import running_fleet

DAEMONS = 5
RUN_SECONDS = 9.0
CALL_PAUSE_SECONDS = 0.03  # seconds between two requests of one caller
FAULT_PAUSE_RANGE_SECONDS = (0.2, 1.2)  # seconds between two faults
FAULT_RANGE_SECONDS = (0.1, 1.5)
OUTAGE_RANGE_SECONDS = (2.0, 3.0)
OUTAGE_SHARE = 0.15  # share of the faults that are outages for all daemons
STABLE_AFTER_OUTAGE_SECONDS = 3.0  # removals sooner after an outage get a later bound
SERVING_AFTER_REMOVAL_SECONDS = 3.0  # of a removed back end
STARVED_SECONDS = (
    0.5  # of waiting for the processor, half of a caller's connect timeout
)


def run_queue_seconds():
    """Return for how long this thread has waited for a processor, in seconds."""
    fields = Path("/proc/thread-self/schedstat").read_text().split()
    return int(fields[1]) / 1e9


@dataclass(frozen=True)
class Removal:
    """The removal of a back end's entry, and whether the store was stable then."""

    replica: Replica
    at: float
    was_store_stable: bool


class ChurnRun:
    """One run; records `removals` and the status codes of requests in `statuses`."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._clock = asyncio.get_running_loop().time
        self._until = self._clock() + RUN_SECONDS
        self._outage_until = self._clock()
        self._number = len(fleet.ledgers)
        self.removals = []
        self.statuses = []

    async def run(self):
        """Run callers, faults and removals concurrently."""
        callers = [self._call(number) for number in range(DAEMONS)]
        await asyncio.gather(*callers, self._inject_faults(), self._replace_back_ends())

    async def _call(self, daemon):
        while self._clock() < self._until:
            delay = run_queue_seconds()
            try:
                reply = await self._fleet.call(b"/read/x", daemon=daemon)
            except ConnectError:
                # All daemons share this process: what it waits for the processor is
                # no fault of theirs, and nothing was sent yet.
                if run_queue_seconds() - delay < STARVED_SECONDS:
                    raise
                continue
            self.statuses.append(reply.status)
            await asyncio.sleep(CALL_PAUSE_SECONDS)

    async def _inject_faults(self):
        """Make the store fail at random, for some daemons or for all."""
        while self._clock() < self._until:
            await asyncio.sleep(self._random.uniform(*FAULT_PAUSE_RANGE_SECONDS))
            if self._random.random() < OUTAGE_SHARE:
                await self._fail_store()
            else:
                await self._refuse_some_daemons()

    async def _refuse_some_daemons(self):
        store = self._fleet.store
        count = self._random.randint(1, DAEMONS - 1)
        affected_settings = self._random.sample(self._fleet.settings, count)
        addresses = {settings.store_address for settings in affected_settings}
        fault = self._random.choice(["refused", "silent", "reset"])
        if fault == "reset":
            store.drop_connections()
            return
        affected = getattr(store, fault)
        affected |= addresses
        await asyncio.sleep(self._random.uniform(*FAULT_RANGE_SECONDS))
        affected -= addresses

    async def _fail_store(self):
        store = self._fleet.store
        seconds = self._random.uniform(*OUTAGE_RANGE_SECONDS)
        self._outage_until = self._clock() + seconds
        store.fault = self._random.choice(["busy", "reset"])
        store.drop_connections()
        await asyncio.sleep(seconds)
        store.fault = ""

    async def _replace_back_ends(self):
        """Add back ends, and remove the entries of old ones without notice."""
        while self._clock() < self._until:
            await asyncio.sleep(self._random.uniform(0.3, 1.0))
            await self._add_back_end()
            await asyncio.sleep(self._random.uniform(0.3, 1.0))
            self._remove_back_end()

    async def _add_back_end(self):
        self._number += 1
        address = f"127.0.0.1:{free_ports(1)[0]}"
        replica = Replica(f"ledger-{self._number}", address)
        await replica.start()
        self._fleet.ledgers.append(replica)
        self._fleet.announce(replica)

    def _remove_back_end(self):
        gone = {removal.replica.name for removal in self.removals}
        present = [r for r in self._fleet.ledgers if r.name not in gone]
        replica = self._random.choice(present[:-1])
        self._fleet.store.remove("servers", replica.name)
        at = self._clock()
        was_store_stable = at > self._outage_until + STABLE_AFTER_OUTAGE_SECONDS
        self.removals.append(Removal(replica, at, was_store_stable))

    def late_requests(self):
        """Return back ends with late requests: (name, seconds after the removal)."""
        bound = self._fleet.settings[0].drain
        found = []
        for removal in self.removals:
            end = removal.at + bound
            if not removal.was_store_stable:
                end = max(end, self._outage_until + ENTRY_RECOVERY_SECONDS + bound)
            last = max(
                (request.received_at for request in removal.replica.requests),
                default=0.0,
            )
            if last > end:
                found.append((removal.replica.name, round(last - removal.at, 3)))
        return found


async def run_seed(seed):
    """Return the late requests and the share of served requests of one seed."""
    async with running_fleet(DAEMONS) as fleet:
        await asyncio.sleep(ENTRY_RECOVERY_SECONDS)
        run = ChurnRun(fleet, seed)
        await run.run()
        # Requests to the back ends that were removed last count as well.
        await asyncio.sleep(0.2)
        served = run.statuses.count(200) / len(run.statuses)
        return run.late_requests(), served


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_comes_late_to_a_removed_back_end_and_all_are_served(seed):
    late_requests, served = asyncio.run(run_seed(seed))
    assert late_requests == []
    assert served == 1.0


class RefusingFleet:
    """A fleet whose daemons answer all requests but the first."""

    ledgers = ()

    def __init__(self):
        self.calls = 0

    async def call(self, path, daemon):
        self.calls += 1
        if self.calls == 1:
            raise ConnectError("no connection in time", "try again")
        return SimpleNamespace(status=200)


@pytest.mark.parametrize("starved, is_excused", [(0.1, False), (0.9, True)])
def test_a_failed_connect_counts_unless_the_process_got_no_processor(
    starved, is_excused, monkeypatch
):
    delays = iter([0.0, starved])
    module = "tests.test_departures.run_queue_seconds"
    monkeypatch.setattr(module, lambda: next(delays, starved))

    async def run():
        churn = ChurnRun(RefusingFleet(), 1)
        churn._until = churn._clock() + 0.1
        await churn._call(0)
        return churn.statuses

    if is_excused:
        assert 200 in asyncio.run(run())
    else:
        with pytest.raises(ConnectError):
            asyncio.run(run())


if __name__ == "__main__":
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        print(seed, *asyncio.run(run_seed(seed)), flush=True)
