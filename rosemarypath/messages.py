"""
rosemarypath.messages
~~~~~~~~~~~~~~~~~~~~~

The messages between daemons, encoded as MessagePack by msgspec.

Daemons of two versions run beside each other while machines are replaced in turn, so
new fields come last and have defaults.
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
    """Asks a witness to acknowledge; `sent_at` is the sender's clock in seconds."""

    sent_at: float
    roster_revision: int
    configuration_revision: int


class HeartbeatAck(Message):
    """
    A witness's answer.

    `accepted` is false once the witness testified against the sender; `barrier` is
    the highest roster revision known to be adopted by every member.
    """

    sent_at: float
    accepted: bool
    roster_revision: int
    configuration_revision: int
    barrier: int


class Adopted(Message):
    """Tells a relay which revisions the sender has adopted."""

    roster_revision: int
    configuration_revision: int


class Testimony(Message):
    """The sender, a witness of `about`, heard nothing of it for longer than a lease."""

    about: str


class NewsAsk(Message):
    """Asks a relay for what changed beyond these revisions."""

    roster_revision: int
    configuration_revision: int
    fenced: tuple[str, ...] = ()


class News(Message):
    """
    What a relay knows.

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
    """Asks for what changed since the asker's roster `revision`."""

    revision: int


class RosterDelta(Message):
    """
    What leads from roster `base` (0: from nothing) to `revision`.

    `changed` are the entries that are new or differ, `removed` the names that went;
    `departed` is the whole new mapping.
    """

    base: int
    revision: int
    changed: dict[str, Machine]
    removed: tuple[str, ...]
    departed: dict[str, Machine]


class ConfigurationAsk(Message):
    """Asks for what changed since the asker's `revision`."""

    revision: int


class ConfigurationDelta(Message):
    """
    What leads from revision `base` (0: from nothing) to `revision`.

    `shards` maps shard numbers to hashes, an empty one for a shard that went;
    `contents` maps hashes to lines.
    """

    base: int
    revision: int
    shards: dict[str, str]
    contents: dict[str, list[str]]


class AdoptionAsk(Message):
    """Asks a relay which revisions each member has adopted."""


class AdoptionReport(Message):
    """Maps identities to ``(roster revision, configuration revision)``."""

    adopted: dict[str, tuple[int, int]]
    fenced: tuple[str, ...]
    accepted: int


class SeatAsk(Message):
    """
    Asks a back end's owner for a seat.

    `adapter` is the engine name of an adapter version, empty for plain services;
    `tokens` is what the request may use; `patience` is how long it waits for this
    answer and `waited` how long it has waited already, in seconds. `attempt` grows
    with each ask of the sender.
    """

    back_end: str
    request: str
    customer: str
    adapter: str
    tokens: int
    patience: float
    waited: float = 0.0
    attempt: int = 0


class SeatReply(Message):
    """
    The owner's answer.

    `granted` with the `fence` to send along, or a refusal with `reason`. `seat_wait`
    is what a request of a loaded adapter may expect to wait there, `waited_for_load`
    what this one waited although seats were free, in seconds; `has_adapter` tells
    whether its adapter is loaded.
    """

    granted: bool
    reason: str
    fence: int
    seat_wait: float = 0.0
    has_adapter: bool = False
    waited_for_load: float = 0.0


class SeatRelease(Message):
    """
    Ends a seat; `outcome` is ran, not_run, broken, silent or adapter_missing.

    It is void for a seat that a later `attempt` took for the same request.
    """

    back_end: str
    request: str
    outcome: str
    tokens: int
    seconds: float
    attempt: int = 0


class HeldSeat(msgspec.Struct, frozen=True, array_like=True):
    """One seat that an entry daemon holds, from its ask `attempt`."""

    request: str
    customer: str
    adapter: str
    tokens: int
    attempt: int = 0


class SeatsHeldAsk(Message):
    """A new owner asks what the receiver holds; older fences end with it."""

    back_end: str
    fence: int


class SeatsHeld(Message):
    """The seats that the sender holds on one back end."""

    seats: tuple[HeldSeat, ...]


class GrantAsk(Message):
    """Asks the owner of a customer's budget for tokens."""

    customer: str
    reservation: str
    tokens: int


class GrantReply(Message):
    """Tokens granted, or the seconds to wait; `owned` is false for a non-owner."""

    granted: bool
    wait: float
    owned: bool


class Settle(Message):
    """Gives back what a reservation did not use."""

    customer: str
    reservation: str
    used: int


class PermitAsk(Message):
    """Asks the weight store's owner for a load permit."""

    permit: str


class PermitReply(Message):
    """Whether the permit is granted, or the seconds to wait."""

    granted: bool
    wait: float
    owned: bool


class PermitReturn(Message):
    """Ends a load permit."""

    permit: str
