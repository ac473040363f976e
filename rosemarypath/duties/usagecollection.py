"""
rosemarypath.duties.usagecollection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Collects the counts of one window from all groups of daemons.
"""

import asyncio
from collections import Counter

from rosemarypath.clock import now
from rosemarypath.peermessages import UsageAsk, UsageReply
from rosemarypath.usagetally import add_counts

__all__ = ["Collection", "UsageCollector", "encode_reply"]

ASK_TIMEOUT_SECONDS = 0.4  # a round trip between two busy machines takes up to 0.15 s
MEMBERS_ASKED = 2  # of a group, in one round
MAX_DIRECT_ASKS = 16  # daemons asked for their own counts, in one round


def encode_reply(tally, window, now):
    """Return the `UsageReply` with what `tally` has of `window`."""
    counts = tally.of_window(window)
    customers = sorted({name for own in counts.values() for name in own})
    return UsageReply(
        customers,
        {i: [own.get(name, 0) for name in customers] for i, own in counts.items()},
        tally.settled(window, now),
        tally.first(now),
    )


class Collection:
    """
    What is known of one window, whoever told it; bounded by daemons and customers.

    `settled` has the identities whose counts are final, `first` is the first window of
    which anybody may know counts. Counts of one identity are cumulative, so that those
    told by several daemons are not added up.
    """

    def __init__(self, window):
        self._counts = {}
        self.window = window
        self.settled = set()
        self.first = window + 1

    @property
    def daemon_count(self):
        """Return how many incarnations of daemons have counted requests."""
        return len(self._counts)

    def add(self, reply):
        """Add a `UsageReply`."""
        for identity, numbers in reply.counts.items():
            known = self._counts.setdefault(identity, {})
            add_counts(known, dict(zip(reply.customers, numbers)))
        self.settled.update(reply.settled)
        self.first = min(self.first, reply.first)

    def totals(self):
        """Return the requests that began in the window, by customer."""
        totals = Counter()
        for counts in self._counts.values():
            totals.update(counts)
        return {name: count for name, count in sorted(totals.items()) if count}


class UsageCollector:
    """
    Asks other daemons for their counts.

    Options:

    `peers`, `mesh`
        The other daemons, and the links to them.
    `tally`
        The `UsageTally` of this daemon.
    """

    def __init__(self, peers, mesh, tally):
        self._peers = peers
        self._mesh = mesh
        self._tally = tally
        self._rounds = 0

    def missing(self, collection):
        """
        Return the identities of registered daemons whose counts may change.

        Those that are heard come first.
        """
        peers = self._peers.by_name.values()
        machines = [self._peers.own, *(peer.machine for peer in peers)]
        alive = set(self._peers.alive_names(now()))
        missing = [m for m in machines if m.identity not in collection.settled]
        missing.sort(key=lambda machine: machine.name not in alive)
        return [machine.identity for machine in missing]

    async def collect(self, collection, wall_now):
        """
        Add what is missing in `collection`: one round of asks.

        One live member of each group is asked, and another one if it is silent; then
        the daemons whose counts nobody had whole.
        """
        self._rounds += 1
        collection.add(encode_reply(self._tally, collection.window, wall_now))
        alive = set(self._peers.alive_names(now()))
        groups = []
        for group in self._peers.other_groups:
            members = [m.identity for m in group if m.name in alive]
            if any(identity not in collection.settled for identity in members):
                groups.append(members)
        await asyncio.gather(*(self._ask_group(collection, group) for group in groups))
        identities = self.missing(collection)[:MAX_DIRECT_ASKS]
        await asyncio.gather(*(self._ask(collection, name) for name in identities))

    async def _ask_group(self, collection, members):
        first = collection.window + self._rounds
        for number in range(min(MEMBERS_ASKED, len(members))):
            if await self._ask(collection, members[(first + number) % len(members)]):
                return

    async def _ask(self, collection, identity):
        """Ask one daemon; return whether it answered."""
        if identity == self._peers.own.identity:
            return False
        ask = UsageAsk(collection.window)
        reply = await self._mesh.ask(identity, ask, ASK_TIMEOUT_SECONDS)
        if not isinstance(reply, UsageReply):
            return False
        collection.add(reply)
        return True
