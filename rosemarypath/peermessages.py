"""
rosemarypath.peermessages
~~~~~~~~~~~~~~~~~~~~~~~~~

Messages exchanged by daemons on the users' platform; see `rosemarypath.messages`.
"""

import msgspec

from rosemarypath.messages import Message

__all__ = [
    "EventEntry",
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
    "ObjectEntry",
    "PeerState",
    "SendAsk",
    "SendReply",
    "UsageAsk",
    "UsageCounts",
    "UsageReply",
]


ObjectEntry = tuple[str, int, object]  # name, version and content
EventEntry = tuple[str, int, object, bool]  # the same, and whether it was removed


class PeerState(Message):
    """
    Heartbeat of one daemon to one peer.

    Fields:

    `number`
        Sequence number of the heartbeat, counted from the sender's start.
    `acknowledged_number`
        Highest heartbeat number that the sender has received from the receiver.
    `is_leaving`
        Whether the sender is shutting down.
    `is_ready`
        Whether the sender accepts requests of callers.
    `is_store_reachable`
        False while the sender's calls to the store fail.
    `revisions`
        Maps each kind in the store to the revision at which the sender's copy of it
        last changed.
    `spent`
        Maps customers to the tokens that the sender has granted since its start.
    `loads`
        Maps back ends to running requests, prompt tokens not yet processed, and
        running requests by adapter.
    `held`
        Maps the back ends that the sender commands to what they have loaded: model,
        version, and adapters with their versions.
    `rates`
        Maps back ends to the prompt tokens per second that the sender recently sent
        to them.
    `is_held_unchanged`
        Whether `held` is omitted because it equals that of the previous heartbeat.
    `store_answer_age`
        Seconds since the store last answered the sender itself.
    `reachable_seconds`
        For how many seconds the sender knows of no outage of the store.
    `awaited`
        Maps engines to requests that wait until an adapter is loaded, by adapter.
    `open_places`
        Maps the engines that the sender commands, if places are scarce there, to the
        number of adapters that could be loaded without waiting for a place.
    `crashes`, `begun`
        Evidence about prompt parts that crash engines, as `Quarantine.report` returns
        it.
    `limits`
        The limits of back ends in need, as `RateLimits.report` returns them.
    `offered`
        Maps services whose number of back ends is ordered to requests, refusals for
        lack of room, and tokens per second, as `ServiceDemand.report` returns them.
    `room`
        Maps engines of measured services to the memory for tokens that requests in
        flight can use, then, for each rank from 0, to the requests in flight and to
        those without a first event; zeros at the end are left out.
    `waiting`
        Maps measured services to the requests that wait for room, by rank from 0.
    `slowness`
        Evidence of the slowness of back ends, as `BackEndSpeeds.report` returns it.
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
    awaited: dict[str, dict[str, int]] = {}
    open_places: dict[str, int] = {}
    crashes: dict[str, dict[str, float]] = {}
    begun: dict[str, float] = {}
    limits: dict[str, tuple[float, float, int]] = {}
    offered: dict[str, tuple[float, float, float]] = {}
    room: dict[str, list[int]] = {}
    waiting: dict[str, list[int]] = {}
    slowness: dict[str, tuple[float, float]] = {}


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """
    State of one daemon, as its group's leader last received it.

    `identity` is ``name/incarnation``, `age` the seconds since its last heartbeat; the
    other fields are copied from its `PeerState`.
    """

    identity: str
    number: int
    is_leaving: bool
    is_ready: bool
    is_store_reachable: bool
    age: float


class GroupDigest(Message):
    """
    Sum of the newest heartbeats of one group of daemons, or of all other groups.

    Leaders send the digest of their group to each other, and the digest of all other
    groups to the members of their own group.

    Fields:

    `leader`
        ``name/incarnation`` of the daemon that made the digest.
    `number`
        The leader's heartbeat number.
    `is_full`
        Whether `members`, `revisions` and `adapters` are included.
    `spent`
        Maps customers to the tokens that these daemons have granted since the leader
        first received a heartbeat from them.
    `loads`
        Maps back ends to running requests, prompt tokens not yet processed, and prompt
        tokens per second.
    `held`, `awaited`, `open_places`, `is_held_unchanged`, `reachable_seconds`
        As in `PeerState`.
    `crashes`, `begun`
        As in `PeerState`: all that the leader knows.
    `members`
        The `MemberState` of each daemon.
    `revisions`
        Maps kinds to the highest revision that one of the daemons has.
    `adapters`
        Maps back ends to running requests by adapter.
    `store_answer_age`
        Seconds since the store last answered one of the daemons.
    `limits`
        As in `PeerState`, with the numbers of recent sends of these daemons added up.
    `offered`, `room`, `waiting`, `slowness`
        As in `PeerState`, added up.
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
    awaited: dict[str, dict[str, int]] = {}
    open_places: dict[str, int] = {}
    crashes: dict[str, dict[str, float]] = {}
    begun: dict[str, float] = {}
    limits: dict[str, tuple[float, float, int]] = {}
    offered: dict[str, tuple[float, float, float]] = {}
    room: dict[str, list[int]] = {}
    waiting: dict[str, list[int]] = {}
    slowness: dict[str, tuple[float, float]] = {}


class LeasePing(Message):
    """Asks a peer to acknowledge the sender's heartbeat `number` immediately."""

    number: int


class LeaseAck(Message):
    """
    Acknowledges the heartbeat `number`.

    `revision` is the revision at which the sender's copy of the leases last changed.
    The sender takes no lease over from the receiver until the receiver has been silent
    for the takeover time-out.
    """

    number: int
    revision: int


class FreshnessAsk(Message):
    """Asks a daemon that watches the store how recent its copy of `kind` is."""

    kind: str


class FreshnessReply(Message):
    """
    The copy last changed at `revision` and was up to date `age` seconds ago.
    """

    revision: int
    age: float


class MirrorAsk(Message):
    """Requests a snapshot of one kind if the receiver's is newer than `revision`."""

    kind: str
    revision: int


class MirrorSnapshot(Message):
    """
    All objects of one kind at a revision: name, version and content of each.

    A large list is in `packed` instead, see `rosemarypath.packing`.
    """

    kind: str
    revision: int
    objects: list[ObjectEntry]
    packed: bytes = b""


class MirrorEvents(Message):
    """
    Changes of one kind that a watch delivered, relayed to a daemon that does not watch.

    The changes lie after the revision `since`, up to `revision`. Each entry of `events`
    is name, version, content and whether the object was removed. `reachable_seconds` is
    as in `PeerState`. A large list is in `packed` instead, see `rosemarypath.packing`.
    """

    kind: str
    since: int
    revision: int
    reachable_seconds: float
    events: list[EventEntry]
    packed: bytes = b""


class SendAsk(Message):
    """
    Asks for the grant of one send to a back end that has named a limit.

    `back_end` is its incarnation, `rate` its limit and `age` how long ago the limit was
    named, in seconds.
    """

    back_end: str
    rate: float
    age: float


class SendReply(Message):
    """The seconds until the next send could be granted; 0.0 if one is granted now."""

    seconds: float


class LoadAsk(Message):
    """
    Asks the lease holder of a back end to load an adapter within `seconds`.

    The request has waited for `waited` seconds since it first asked for this load.
    """

    back_end: str
    model: str
    adapter: str
    seconds: float
    waited: float = 0.0


class LoadReply(Message):
    """Whether the adapter is loaded; if not, `reason` gives the cause."""

    is_held: bool
    reason: str = ""


class UsageCounts(Message):
    """
    The sender's counts of requests that began, sent beside heartbeats to its group.

    `windows` maps windows to cumulative counts by customer. It always has the window
    under way: the counts of earlier ones are final.
    """

    windows: dict[int, dict[str, int]]


class UsageAsk(Message):
    """Asks a daemon for all counts of `window` that it knows."""

    window: int


class UsageReply(Message):
    """
    The counts of one window, by ``name/incarnation`` of the daemons that counted.

    Each list in `counts` has a count for each of `customers`. `settled` lists the
    identities whose counts are final. `first` is the first window of which the sender
    may know counts.
    """

    customers: list[str]
    counts: dict[str, list[int]]
    settled: list[str]
    first: int
