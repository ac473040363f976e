"""
rosemarypath.leaseconfirmation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Confirms through other daemons that this daemon still holds its engine leases.

In a large fleet a lease holder doesn't exchange heartbeats with all daemons that might
take its leases over, and reading the store before each command would exceed the calls
that the store allows.
"""

import asyncio

from rosemarypath.clock import lease_now
from rosemarypath.peermessages import FreshnessAsk, LeasePing

__all__ = ["LeaseConfirmer"]

WATCHER_QUERY_TIMEOUT_SECONDS = 0.15  # several round trips between two busy machines
CONFIRM_ALL_TIMEOUT_SECONDS = 0.3  # twice that, as all daemons are asked at once
POLL_SECONDS = 0.02  # between two checks whether all have acknowledged


class LeaseConfirmer:
    """
    Confirms that no other daemon has taken over a lease of this one.

    Options:

    `peers`, `mesh`
        The other daemons, and the links to them.
    `store_cache`
        The `StoreCache`, which knows the machines that watch the store.
    """

    def __init__(self, peers, mesh, store_cache):
        self._peers = peers
        self._mesh = mesh
        self._store_cache = store_cache

    async def query_watchers(self, kind):
        """
        Return how recent a watching daemon's copy of `kind` is.

        Returns the revision of its last change, and the time on the own lease clock at
        which the copy was complete. Without an answer these are 0 and minus infinity.
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
        """
        Ask all daemons for an acknowledgement and wait for the answers.

        Returns ``is_confirmed(lease_now)``, as soon as it is true or at the time-out.
        """
        number = self._peers.next_heartbeat_number(lease_now())
        for peer in self._peers.by_name.values():
            self._mesh.send(peer.machine.identity, LeasePing(number))
        until = lease_now() + CONFIRM_ALL_TIMEOUT_SECONDS
        while not is_confirmed(lease_now()) and lease_now() < until:
            await asyncio.sleep(POLL_SECONDS)
        return is_confirmed(lease_now())

    def _ordered_watchers(self):
        """Return the watching machines, the one that relays to this one first."""
        watchers = list(self._store_cache.watchers)
        relay = self._peers.relay_for(watchers, self._peers.own.name)
        return sorted(watchers, key=lambda name: name != relay)
