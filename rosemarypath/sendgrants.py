"""
rosemarypath.sendgrants
~~~~~~~~~~~~~~~~~~~~~~~

Has the sends to back ends in need granted by one daemon for the whole fleet.

A back end that is in need names how many requests per second it takes from all daemons
together. The first of the live machines in the rendezvous order of the back end grants
them.
"""

from math import inf

from rosemarypath.clock import now
from rosemarypath.hashing import rendezvous_order
from rosemarypath.peermessages import SendAsk, SendReply

__all__ = ["SendGrants"]

ASK_TIMEOUT_SECONDS = 0.15  # several round trips between two busy machines
RETRY_SECONDS = 0.2  # until a daemon that does not answer is asked again
MIN_WAIT_SECONDS = 0.01  # until the next send, where one was not granted


class SendGrants:
    """
    The grants of sends to limited back ends, as asker and as granter.

    Options:

    `peers`, `mesh`
        The other daemons, and the links to them.
    `limits`
        The `RateLimits`.
    """

    def __init__(self, peers, mesh, limits):
        self._peers = peers
        self._mesh = mesh
        self._limits = limits

    def start(self):
        """Register the message handler."""
        self._mesh.on(SendAsk, self._on_ask)

    async def acquire(self, back_end):
        """
        Acquire the grant of one send to the incarnation `back_end`, which has a limit.

        Returns 0.0 if it is granted, else the seconds until it may be asked for again.
        """
        at = now()
        granter = self._granter(back_end, at)
        if granter == self._peers.own.name:
            return self._take(back_end, at)
        rate, age = self._limits.limit(back_end, at)
        if rate == inf:
            return 0.0
        identity = self._peers.by_name[granter].machine.identity
        ask = SendAsk(back_end, rate, age)
        reply = await self._mesh.ask(identity, ask, ASK_TIMEOUT_SECONDS)
        return RETRY_SECONDS if reply is None else reply.seconds

    def _on_ask(self, identity, ask):
        at = now()
        self._limits.merge_limit(ask.back_end, ask.rate, ask.age, at)
        if self._granter(ask.back_end, at) != self._peers.own.name:
            return SendReply(RETRY_SECONDS)
        return SendReply(self._take(ask.back_end, at))

    def _granter(self, back_end, at):
        """Return the name of the machine that grants the sends to a back end."""
        if self._peers.is_starting(at):
            names = [self._peers.own.name, *self._peers.registered]
        else:
            names = self._peers.alive_names(at)
        return rendezvous_order(f"limit {back_end}", names)[0]

    def _take(self, back_end, at):
        # Daemons without contact to each other each grant their part of the limit.
        wait = self._limits.take(back_end, self._peers.alive_share(at), at)
        return max(wait, MIN_WAIT_SECONDS) if wait else 0.0
