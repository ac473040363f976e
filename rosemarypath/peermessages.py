"""
rosemarypath.peermessages
~~~~~~~~~~~~~~~~~~~~~~~~~

The messages between daemons on the users' platform; see `rosemarypath.messages`.
"""

import msgspec

from rosemarypath.messages import Message

__all__ = [
    "FreshnessAsk",
    "FreshnessReply",
    "GroupDigest",
    "LeaseAck",
    "LeasePing",
    "LoadAsk",
    "LoadReply",
    "MemberState",
    "MirrorAsk",
    "MirrorEvents",
    "MirrorSnapshot",
    "PeerState",
]


class PeerState(Message):
    """
    A daemon's heartbeat to one peer, with its share of what all must know.

    `number` counts its heartbeats, `acknowledged_number` is the highest number heard from the
    receiver. `is_store_reachable` is false while its calls to the store fail. `revisions` maps
    kinds of the store to the revision at which its copy last changed, `store_answer_age` is
    the seconds since the store last answered the sender itself, `reachable_seconds` for how
    many seconds the sender knows of no outage of the store, `spent` maps
    customers to the tokens it has admitted since its start, `loads` maps back ends to
    running requests, prompt tokens not yet read and running requests by adapter.
    `held` maps the back ends whose orders it gives to what they hold: model, version,
    adapters with versions. `rates` maps back ends to the prompt tokens a second that
    it sent there lately. With `is_held_unchanged`, `held` is left out as it is that of the
    heartbeat before.
    """

    number: int
    acknowledged_number: int
    is_leaving: bool
    is_ready: bool
    is_store_reachable: bool
    revisions: dict[str, int]
    spent: dict[str, int]
    loads: dict[str, tuple[int, int, dict[str, int]]]
    held: dict[str, list[tuple[str, int, dict[str, int]]]]
    rates: dict[str, int] = {}
    is_held_unchanged: bool = False
    store_answer_age: float = float("inf")
    reachable_seconds: float = 0.0


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """
    What a group's lead last heard of one daemon.

    `identity` is ``name/incarnation``, `age` the seconds since it was heard; the rest
    is that of its `PeerState`.
    """

    identity: str
    number: int
    is_leaving: bool
    is_ready: bool
    is_store_reachable: bool
    age: float


class GroupDigest(Message):
    """
    The sum of the newest heartbeats of one group of daemons, or of all other groups.

    `leader` is the ``name/incarnation`` of the daemon that made it; from the lead of the
    receiver's own group it tells of all other groups. `spent` is what they granted
    since that lead first heard them, `loads` maps back ends to running requests,
    prompt tokens not yet read and prompt tokens a second. `held`, `is_held_unchanged` and
    `reachable_seconds` are as in `PeerState`; `store_answer_age` is the least of all. Only with
    `is_full` it has the `members`, the highest `revisions` and the running requests by
    back end and adapter.
    """

    leader: str
    number: int
    is_full: bool
    spent: dict[str, int]
    loads: dict[str, tuple[int, int, int]]
    held: dict[str, list[tuple[str, int, dict[str, int]]]]
    is_held_unchanged: bool
    members: list[MemberState] = []
    revisions: dict[str, int] = {}
    adapters: dict[str, dict[str, int]] = {}
    store_answer_age: float = float("inf")
    reachable_seconds: float = 0.0


class LeasePing(Message):
    """Asks one daemon to acknowledge the sender's heartbeat `number` at once."""

    number: int


class LeaseAck(Message):
    """
    The sender heard `number`, and last saw a change of the kind at `revision`.

    It takes nothing over from the receiver until it was silent for long enough.
    """

    number: int
    revision: int


class FreshnessAsk(Message):
    """Asks a daemon that watches the store how current its copy of `kind` is."""

    kind: str


class FreshnessReply(Message):
    """
    The copy last changed at `revision`; the store had nothing newer `age` seconds ago.
    """

    revision: int
    age: float


class MirrorAsk(Message):
    """Asks for a copy of one kind of the store that is newer than `revision`."""

    kind: str
    revision: int


class MirrorSnapshot(Message):
    """All objects of one kind at a revision: name, version and content of each."""

    kind: str
    revision: int
    objects: list[tuple[str, int, object]]


class MirrorEvents(Message):
    """
    Changes of one kind between two revisions, as a watch brought them.

    `events` are name, version, content and whether the object was removed;
    `reachable_seconds` is as in `PeerState`.
    """

    kind: str
    since: int
    revision: int
    reachable_seconds: float
    events: list[tuple[str, int, object, bool]]


class LoadAsk(Message):
    """Asks the holder of a back end's orders to load an adapter within `seconds`."""

    back_end: str
    model: str
    adapter: str
    seconds: float


class LoadReply(Message):
    """Whether the adapter is held now; `reason` says why not."""

    is_held: bool
    reason: str = ""
