"""
rosemarypath.leaseconfirmation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Asks other daemons whether a holder of orders still is one.

The load answered here: a fleet so large that each holder cannot exchange heartbeats
with all daemons that might replace it, nor read the store before each order.
"""

import asyncio

from rosemarypath.clock import lease_now
from rosemarypath.peermessages import FreshnessAsk, LeasePing

__all__ = ["LeaseConfirmer"]

WATCHER_QUERY_TIMEOUT_SECONDS = (
    0.15  # some times the way over two busy machines and back
)
CONFIRM_ALL_TIMEOUT_SECONDS = 0.3  # as all daemons are asked at once, twice that
POLL_SECONDS = 0.02  # between two looks whether all have acknowledged


class LeaseConfirmer:
    """
    Proofs that nobody took over this daemon's engines.

    Options:

    `peers`, `mesh`
        The other daemons, and the links to them.
    `store_cache`
        The `StoreCache`, which know who watches the store.
    """

    def __init__(self, peers, mesh, store_cache):
        self._peers = peers
        self._mesh = mesh
        self._store_cache = store_cache

    async def query_watchers(self, kind):
        """
        Return how current a watching daemon's copy of `kind` is.

        That is the revision of its last change, and the lease clock here at which the
        store had nothing newer; the latter is infinitely long ago without an answer.
        """
        for name in self._ordered_watchers():
            peer = self._peers.by_name.get(name)
            if peer is None:
                continue
            asked_at = lease_now()
            ask = FreshnessAsk(kind)
            identity = peer.machine.identity
            reply = await self._mesh.ask(identity, ask, WATCHER_QUERY_TIMEOUT_SECONDS)
            if reply is not None:
                return reply.revision, asked_at - reply.age
        return 0, float("-inf")

    async def confirm_with_all(self, is_confirmed):
        """Have all daemons acknowledge; return ``is_confirmed(lease_now)`` then."""
        number = self._peers.next_heartbeat_number(lease_now())
        for peer in self._peers.by_name.values():
            self._mesh.send(peer.machine.identity, LeasePing(number))
        until = lease_now() + CONFIRM_ALL_TIMEOUT_SECONDS
        while not is_confirmed(lease_now()) and lease_now() < until:
            await asyncio.sleep(POLL_SECONDS)
        return is_confirmed(lease_now())

    def _ordered_watchers(self):
        """Return the watching machines, that which serves this one first."""
        watchers = list(self._store_cache.watchers)
        relay = self._peers.relay_for(watchers, self._peers.own.name)
        return sorted(watchers, key=lambda name: name != relay)
