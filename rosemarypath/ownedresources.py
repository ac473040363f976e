"""
rosemarypath.ownedresources
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The resources this daemon owns: back ends, customers' budgets and the weight store.

Each resource has one owner among the daemons (`rosemarypath.ownership`). The owner
keeps its state and answers the other daemons' messages about it.
"""

import asyncio
import time

from rosemarypath.backendclient import BackEndClient
from rosemarypath.budget import CustomerBudget
from rosemarypath.loadpermits import LoadPermits
from rosemarypath.messages import (
    GrantAsk,
    GrantReply,
    PermitAsk,
    PermitReply,
    PermitReturn,
    SeatAsk,
    SeatRelease,
    SeatReply,
    SeatsHeldAsk,
    Settle,
)
from rosemarypath.policies import SeatRequest
from rosemarypath.seatbroker import NOT_OWNER, SeatBroker

__all__ = ["OwnedResources", "back_end_resource", "budget_resource"]

WEIGHT_STORE_RESOURCE = "weights"
ASK_TIMEOUT_SECONDS = 0.3
REFRESH_SECONDS = 0.2  # interval at which the seat brokers are updated
PERMIT_RETRY_INTERVAL_SECONDS = 0.02


def back_end_resource(name):
    """Return the resource name of a back end."""
    return f"backend/{name}"


def budget_resource(name):
    """Return the resource name of a customer's budget."""
    return f"customer/{name}"


class OwnedResources:
    """
    Creates, updates and drops the state of the resources that one daemon owns.

    Options:

    `membership`, `config_replica`, `revision_sync`, `mesh`
        Components of the daemon.
    `session`
        The shared HTTP client session for commands to back ends.
    `policy`
        Name of the seat policy.
    `history`
        The event history.
    `dial_address`
        Function that maps a back end's address to the one to connect to.
    """

    def __init__(
        self,
        membership,
        config_replica,
        revision_sync,
        mesh,
        session,
        policy,
        history,
        dial_address=lambda address: address,
    ):
        self._membership = membership
        self._config_replica = config_replica
        self._revision_sync = revision_sync
        self._mesh = mesh
        self._session = session
        self._policy = policy
        self._history = history
        self._dial_address = dial_address
        self._brokers = {}
        self._budgets = {}
        self._permits = None
        self._owned_back_ends = set()
        self._owned_as_of = None
        self._task = None
        mesh.on(SeatAsk, self._on_seat_ask)
        mesh.on(SeatRelease, self._on_seat_release)
        mesh.on(GrantAsk, self._on_grant_ask)
        mesh.on(Settle, self._on_settle)
        mesh.on(PermitAsk, self._on_permit_ask)
        mesh.on(PermitReturn, self._on_permit_return)

    @property
    def brokers(self):
        """Return the `SeatBroker` objects by the names of their back ends."""
        return self._brokers

    def start(self):
        """Start creating the seat brokers of back ends that this daemon owns."""
        self._task = asyncio.create_task(self._refresh_forever())

    def stop(self):
        """Stop all seat brokers."""
        if self._task is not None:
            self._task.cancel()
        for name in list(self._brokers):
            self._brokers.pop(name).stop()

    def release(self, resources):
        """Drop the state of `resources`, which another daemon owns now."""
        for resource in resources:
            kind, _, name = resource.partition("/")
            if kind == "backend" and name in self._brokers:
                self._brokers.pop(name).stop()
            elif kind == "customer":
                self._budgets.pop(name, None)
            elif resource == WEIGHT_STORE_RESOURCE:
                self._permits = None

    def get_fence(self, resource, now):
        """Return the fencing token for `resource` if this daemon may act on it."""
        if not self._membership.has_lease(now):
            return None
        return self._membership.ownership.fence_of(resource)

    async def _refresh_forever(self):
        while True:
            self._update_owned_back_ends()
            back_ends = self._config_replica.current.back_ends
            for name in self._owned_back_ends | self._brokers.keys():
                if name in back_ends:
                    self._update_broker(back_ends[name])
                else:
                    self._brokers.pop(name).stop()
            await asyncio.sleep(REFRESH_SECONDS)

    def _update_owned_back_ends(self):
        """Recompute which back ends this daemon owns, if the inputs have changed."""
        membership = self._membership
        configuration = self._config_replica.current
        state = (
            membership.identity,
            membership.roster.revision,
            configuration.revision,
            membership.fencing.fenced,
        )
        if state == self._owned_as_of:
            return
        self._owned_as_of = state
        owner_of = membership.ownership.owner_of
        self._owned_back_ends = {
            name
            for name in configuration.back_ends
            if owner_of(back_end_resource(name)) == membership.identity
        }

    def _update_broker(self, back_end):
        """Create, update or stop the `SeatBroker` of `back_end`."""
        resource = back_end_resource(back_end.name)
        broker = self._brokers.get(back_end.name)
        if self._membership.ownership.fence_of(resource) is None:
            if broker is not None:
                self._brokers.pop(back_end.name).stop()
            return
        if broker is None:
            broker = self._create_broker(back_end, resource)
            self._brokers[back_end.name] = broker
            broker.start(lambda: self._collect_held_seats(resource, back_end.name))
        elif broker.back_end.address != back_end.address:
            self._brokers.pop(back_end.name).stop()
            return
        elif broker.back_end != back_end:
            broker.update(back_end)
        is_leaving = back_end.name in self._revision_sync.leaving_back_ends
        accepts = self._config_replica.current.zone_accepts(back_end.zone)
        broker.set_accepting(accepts and not is_leaving)

    def _create_broker(self, back_end, resource):
        return SeatBroker(
            back_end,
            BackEndClient(self._session, self._dial_address(back_end.address)),
            lambda: self.get_fence(resource, time.monotonic()),
            self._acquire_load_permit,
            self._policy,
            self._history,
            lambda identity: identity in self._membership.roster.members
            and not self._membership.fencing.is_fenced(identity),
            lambda identity: self._ask_held_requests(identity, resource, back_end.name),
        )

    async def _ask_held_requests(self, identity, resource, name):
        """Return the requests for which `identity` holds seats; ``None``: no answer."""
        fence = self._membership.ownership.fence_of(resource) or 0
        reply = await self._mesh.ask(
            identity, SeatsHeldAsk(name, fence), ASK_TIMEOUT_SECONDS
        )
        return None if reply is None else {seat.request for seat in reply.seats}

    async def _collect_held_seats(self, resource, name):
        """
        Return ``(SeatRequest, holder)`` for each seat held on the back end `name`.

        Asks the members until each has answered or is fenced.
        """
        membership = self._membership
        seats_by_member = {}
        while True:
            pending = [
                identity
                for identity in membership.roster.members
                if identity not in seats_by_member
                and not membership.fencing.is_fenced(identity)
            ]
            if not pending:
                break
            ask = SeatsHeldAsk(name, membership.ownership.fence_of(resource) or 0)
            replies = await asyncio.gather(
                *(self._mesh.ask(i, ask, ASK_TIMEOUT_SECONDS) for i in pending)
            )
            for identity, reply in zip(pending, replies):
                if reply is not None:
                    seats_by_member[identity] = reply.seats
        now = time.monotonic()
        return [
            (_request_from_held_seat(seat, now), identity)
            for identity, seats in seats_by_member.items()
            for seat in seats
        ]

    async def _on_seat_ask(self, sender, message):
        """
        Return the `SeatReply`, after a wait for a seat if necessary.

        The weight of a customer halves with each step of its priority number from 1.
        """
        broker = self._brokers.get(message.back_end)
        fence = self.get_fence(back_end_resource(message.back_end), time.monotonic())
        if broker is None or fence is None:
            return SeatReply(False, NOT_OWNER, 0)
        customer = self._config_replica.current.customers.get(message.customer)
        weight = 1.0
        if customer is not None:
            weight = customer.weight * 2.0 ** (1 - customer.priority)
        return await broker.request_seat(message, sender, weight)

    def _on_seat_release(self, sender, message):
        broker = self._brokers.get(message.back_end)
        if broker is not None:
            broker.release(message)
        return message

    def _on_grant_ask(self, sender, message):
        now = time.monotonic()
        customer = self._config_replica.current.customers.get(message.customer)
        resource = budget_resource(message.customer)
        if customer is None or self.get_fence(resource, now) is None:
            return GrantReply(False, 0.0, False)
        budget = self._budgets.get(message.customer)
        if budget is None:
            budget = CustomerBudget(customer, now)
            self._budgets[message.customer] = budget
        budget.update_customer(customer, now)
        wait = budget.reserve(message.reservation, message.tokens, now)
        return GrantReply(wait == 0.0, wait, True)

    def _on_settle(self, sender, message):
        budget = self._budgets.get(message.customer)
        if budget is not None:
            budget.settle_reservation(
                message.reservation, message.used, time.monotonic()
            )
        return message

    def _on_permit_ask(self, sender, message):
        now = time.monotonic()
        if self.get_fence(WEIGHT_STORE_RESOURCE, now) is None:
            return PermitReply(False, 0.0, False)
        limits = self._config_replica.current.weight_store
        if self._permits is None:
            self._permits = LoadPermits(limits, now)
        self._permits.set_limits(limits)
        wait = self._permits.acquire(message.permit, now)
        return PermitReply(wait == 0.0, wait, True)

    def _on_permit_return(self, sender, message):
        if self._permits is not None:
            self._permits.release(message.permit)

    async def _acquire_load_permit(self, permit):
        """Wait for a load permit; return a function that releases it."""
        while True:
            owner = self._membership.ownership.owner_of(WEIGHT_STORE_RESOURCE)
            reply = None
            if owner is not None:
                reply = await self._mesh.ask(
                    owner, PermitAsk(permit), ASK_TIMEOUT_SECONDS
                )
            if reply is not None and reply.granted:
                return lambda: self._mesh.send(owner, PermitReturn(permit))
            wait = reply.wait if reply is not None else 0.0
            await asyncio.sleep(max(wait, PERMIT_RETRY_INTERVAL_SECONDS))


def _request_from_held_seat(seat, now):
    """Return the `SeatRequest` of a `HeldSeat`."""
    return SeatRequest(
        seat.request, seat.customer, seat.adapter, seat.tokens, 1.0, now, seat.attempt
    )
