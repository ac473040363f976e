"""
rosemarypath.messages
~~~~~~~~~~~~~~~~~~~~~

The messages between daemons, encoded as MessagePack by msgspec.

During a rolling upgrade, daemons of two versions exchange messages, so new fields are
added last and have defaults.
"""

import msgspec

from rosemarypath.machine import Machine

__all__ = [
    "Adopted",
    "AdoptionAsk",
    "AdoptionReport",
    "ConfigurationAsk",
    "ConfigurationDelta",
    "GrantAsk",
    "GrantReply",
    "Heartbeat",
    "HeartbeatAck",
    "HeldSeat",
    "Message",
    "News",
    "NewsAsk",
    "PermitAsk",
    "PermitReply",
    "PermitReturn",
    "RosterAsk",
    "RosterDelta",
    "SeatAsk",
    "SeatRelease",
    "SeatReply",
    "SeatsHeld",
    "SeatsHeldAsk",
    "Settle",
    "Testimony",
]


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class Heartbeat(Message):
    """Asks a witness to acknowledge; `sent_at` is in seconds of the sender's clock."""

    sent_at: float
    roster_revision: int
    configuration_revision: int


class HeartbeatAck(Message):
    """
    A witness's answer to a `Heartbeat`, whose `sent_at` it repeats.

    `accepted` is false once the witness has testified that the sender is silent;
    `barrier` is the highest roster revision known to be adopted by every member that
    is not fenced.
    """

    sent_at: float
    accepted: bool
    roster_revision: int
    configuration_revision: int
    barrier: int


class Adopted(Message):
    """Reports to a relay which revisions the sender has adopted."""

    roster_revision: int
    configuration_revision: int


class Testimony(Message):
    """
    Testifies that the daemon `about` is silent.

    The sender, one of its witnesses, has received no heartbeat from it for longer than
    a lease and will acknowledge none any more. Sent to the relays.
    """

    about: str


class NewsAsk(Message):
    """Reports the sender's revisions to a relay and asks for the relay's."""

    roster_revision: int
    configuration_revision: int
    fenced: tuple[str, ...] = ()


class News(Message):
    """
    The revisions that a relay knows.

    `accepted` is the highest configuration revision known to be adopted by every
    member; `leaving` names the back ends that the platform lists as leaving.
    """

    roster_revision: int
    configuration_revision: int
    barrier: int
    accepted: int
    fenced: tuple[str, ...]
    leaving: tuple[str, ...]


class RosterAsk(Message):
    """Asks for the changes since the sender's roster `revision`."""

    revision: int


class RosterDelta(Message):
    """
    The difference between the rosters `base` (0: the empty one) and `revision`.

    `changed` contains new and changed entries by machine name, `removed` the names of
    removed machines; `departed` is the complete new mapping.
    """

    base: int
    revision: int
    changed: dict[str, Machine]
    removed: tuple[str, ...]
    departed: dict[str, Machine]


class ConfigurationAsk(Message):
    """Asks for the changes since the sender's configuration `revision`."""

    revision: int


class ConfigurationDelta(Message):
    """
    The difference between the configurations `base` (0: the empty one) and `revision`.

    `shards` maps the numbers of changed shards to hashes, empty for a removed shard;
    `contents` maps hashes to lists of lines.
    """

    base: int
    revision: int
    shards: dict[str, str]
    contents: dict[str, list[str]]


class AdoptionAsk(Message):
    """Asks a relay which revisions each member has adopted."""


class AdoptionReport(Message):
    """
    The revisions that each member has adopted.

    `adopted` maps identities to ``(roster revision, configuration revision)``;
    `accepted` is the configuration revision known to be adopted by every member.
    """

    adopted: dict[str, tuple[int, int]]
    fenced: tuple[str, ...]
    accepted: int


class SeatAsk(Message):
    """
    Asks a back end's owner for a seat: permission to run one request there.

    `request` is the request's identifier and `adapter` the engine name of an adapter
    version, empty for plain services; `tokens` is the most that the request may use.
    `max_wait` is how long the request may wait for the reply and `waited` how long it
    has waited before, in seconds. `attempt` increases with each ask of the sender.
    """

    back_end: str
    request: str
    customer: str
    adapter: str
    tokens: int
    max_wait: float
    waited: float = 0.0
    attempt: int = 0


class SeatReply(Message):
    """
    The owner's answer to a `SeatAsk`.

    If `granted`, `fence` is the fencing token to send with the request; otherwise
    `reason` says why not. `seat_wait` is the expected wait of a request whose adapter
    is loaded; `waited_for_load` is how long this one waited for a load while seats were
    free, both in seconds. `has_adapter` is whether its adapter is loaded.
    """

    granted: bool
    reason: str
    fence: int
    seat_wait: float = 0.0
    has_adapter: bool = False
    waited_for_load: float = 0.0


class SeatRelease(Message):
    """
    Releases a seat; `outcome` is ran, not_run, broken, silent or adapter_missing.

    `tokens` are the tokens used and `seconds` the time that the request ran. It is
    ignored if a later `attempt` for the same request has got the seat.
    """

    back_end: str
    request: str
    outcome: str
    tokens: int
    seconds: float
    attempt: int = 0


class HeldSeat(msgspec.Struct, frozen=True, array_like=True):
    """A seat that a daemon has for a request, granted for its ask `attempt`."""

    request: str
    customer: str
    adapter: str
    tokens: int
    attempt: int = 0


class SeatsHeldAsk(Message):
    """
    Asks, as the new owner of a back end, which seats the receiver has there.

    From then on, the receiver rejects grants with a fencing token below `fence`.
    """

    back_end: str
    fence: int


class SeatsHeld(Message):
    """The seats that the sender has on one back end."""

    seats: tuple[HeldSeat, ...]


class GrantAsk(Message):
    """Asks the owner of a customer's budget to reserve tokens."""

    customer: str
    reservation: str
    tokens: int


class GrantReply(Message):
    """
    Whether the tokens are granted; if not, `wait` is the seconds until a retry.

    `is_owner` is false if the receiver doesn't own the budget.
    """

    granted: bool
    wait: float
    is_owner: bool


class Settle(Message):
    """Settles a reservation: tokens beyond `used` return to the budget."""

    customer: str
    reservation: str
    used: int


class PermitAsk(Message):
    """Asks the owner of the weight store for a permit to load an adapter."""

    permit: str


class PermitReply(Message):
    """
    Whether the permit is granted; if not, `wait` is the seconds until a retry.

    `is_owner` is false if the receiver doesn't own the weight store.
    """

    granted: bool
    wait: float
    is_owner: bool


class PermitReturn(Message):
    """Returns a load permit."""

    permit: str
