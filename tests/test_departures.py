"""
tests.test_departures
~~~~~~~~~~~~~~~~~~~~~

Back ends that come and go while the store fails some daemons or all, drawn by a seed.

    python -m tests.test_departures 100 150    # the seeds from 100 to 149 by hand
"""

import asyncio
import random
import sys
from dataclasses import dataclass

import pytest

from bench.ports import free_ports
from rosemarypath.storeavailability import ENTRY_RECOVERY_SECONDS
from standins.replica import Replica
from tests.edgefleet import running_fleet

DAEMONS = 5
SECONDS = 9.0
CALL_PAUSE = 0.03  # seconds between two requests of one caller
FAULT_PAUSES = (0.2, 1.2)  # seconds between two faults
FAULT_SECONDS = (0.1, 1.5)
OUTAGE_SECONDS = (2.0, 3.0)
OUTAGE_SHARE = 0.15  # of the faults are outages for all
STABLE_SECONDS = 3.0  # after an outage for all the bound does not hold; users' page
HELD_SECONDS = 3.0  # how long a removed back end goes on serving


@dataclass(frozen=True)
class Removal:
    """A back end whose entry was removed at a time, the store answering or not."""

    replica: Replica
    at: float
    was_stable: bool


class Departures:
    """One run: `removals` and `statuses` tell what happened."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._clock = asyncio.get_running_loop().time
        self._until = self._clock() + SECONDS
        self._away_until = self._clock()
        self._number = len(fleet.ledgers)
        self.removals = []
        self.statuses = []

    async def play(self):
        """Run callers, faults and departures beside each other."""
        callers = [self._call(number) for number in range(DAEMONS)]
        await asyncio.gather(*callers, self._fail(), self._replace())

    async def _call(self, daemon):
        while self._clock() < self._until:
            reply = await self._fleet.call(b"/read/x", daemon=daemon)
            self.statuses.append(reply.status)
            await asyncio.sleep(CALL_PAUSE)

    async def _fail(self):
        """Draw faults of the store, for some daemons or for all."""
        while self._clock() < self._until:
            await asyncio.sleep(self._random.uniform(*FAULT_PAUSES))
            if self._random.random() < OUTAGE_SHARE:
                await self._fail_for_all()
            else:
                await self._fail_for_some()

    async def _fail_for_some(self):
        store = self._fleet.store
        count = self._random.randint(1, DAEMONS - 1)
        hit = self._random.sample(self._fleet.settings, count)
        addresses = {settings.store_address for settings in hit}
        fault = self._random.choice(["refused", "silent", "reset"])
        if fault == "reset":
            store.drop_connections()
            return
        turned_away = getattr(store, fault)
        turned_away |= addresses
        await asyncio.sleep(self._random.uniform(*FAULT_SECONDS))
        turned_away -= addresses

    async def _fail_for_all(self):
        store = self._fleet.store
        seconds = self._random.uniform(*OUTAGE_SECONDS)
        self._away_until = self._clock() + seconds
        store.fault = self._random.choice(["busy", "reset"])
        store.drop_connections()
        await asyncio.sleep(seconds)
        store.fault = ""

    async def _replace(self):
        """Add back ends, and remove the entries of old ones without a word."""
        while self._clock() < self._until:
            await asyncio.sleep(self._random.uniform(0.3, 1.0))
            await self._add()
            await asyncio.sleep(self._random.uniform(0.3, 1.0))
            self._remove()

    async def _add(self):
        self._number += 1
        address = f"127.0.0.1:{free_ports(1)[0]}"
        replica = Replica(f"ledger-{self._number}", address)
        await replica.start()
        self._fleet.ledgers.append(replica)
        self._fleet.announce(replica)

    def _remove(self):
        gone = {removal.replica.name for removal in self.removals}
        present = [r for r in self._fleet.ledgers if r.name not in gone]
        replica = self._random.choice(present[:-1])
        self._fleet.store.remove("servers", replica.name)
        at = self._clock()
        was_stable = at > self._away_until + STABLE_SECONDS
        self.removals.append(Removal(replica, at, was_stable))

    def late(self):
        """Return the removals after which requests still came, and by how much."""
        bound = self._fleet.settings[0].drain
        found = []
        for removal in self.removals:
            end = removal.at + bound
            if not removal.was_stable:
                end = max(end, self._away_until + ENTRY_RECOVERY_SECONDS + bound)
            last = max((seen.at for seen in removal.replica.seen), default=0.0)
            if last > end:
                found.append((removal.replica.name, round(last - removal.at, 3)))
        return found


async def play_seed(seed):
    """Return the late removals and the share of served requests of one seed."""
    async with running_fleet(DAEMONS) as fleet:
        await asyncio.sleep(ENTRY_RECOVERY_SECONDS)
        run = Departures(fleet, seed)
        await run.play()
        # What still comes to those that were removed last counts as well.
        await asyncio.sleep(0.2)
        served = run.statuses.count(200) / len(run.statuses)
        return run.late(), served


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_comes_late_to_a_removed_back_end_and_all_are_served(seed):
    late, served = asyncio.run(play_seed(seed))
    assert late == []
    assert served == 1.0


if __name__ == "__main__":
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        print(seed, *asyncio.run(play_seed(seed)), flush=True)
