"""
rosemarypath.requestcontext
~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of one request while the daemon handles it.
"""

from dataclasses import dataclass, field
from functools import cached_property

from rosemarypath.hashing import digest_fields
from rosemarypath.scheduling.patience import load_patience, wait_end
from rosemarypath.scheduling.quarantine import REQUEST_PREFIX

__all__ = ["RequestContext", "Send"]

MAX_PART_LENGTH = 32  # of a prompt part's identifier; longer ones are hashed


@dataclass
class RequestContext:
    """
    State of one request.

    Options:

    `request`, `demand`
        The request as received, and its decoded `Demand`.
    `route`, `service`, `customer`
        The `PathRoute`, the service name, and the `Contract` that it is charged to
        (``None`` on open routes).
    `deadline`
        Time at which its final answer is due.
    `sends`, `tried`
        How often it was sent, and the names of the back ends.
    `may_have_run`
        Whether a back end may have run it.
    `was_in_crash`
        Whether a back end crashed while it ran the request.
    `excluded`, `load_blocked`
        Names of back ends that must not get it, and of engines that cannot load its
        adapter.
    `head`, `failure`
        The answer's head once the caller has it; an error answer of a back end, passed
        on if no retry succeeds.
    `events`
        The `EventSplitter` of a stream.
    `waiting_at`
        State of the engine where it waits for its adapter, ``None`` if it does not.
    `stage`, `stage_at`, `stage_back_end`
        What it waits for (``quarantine``, ``back_end``, ``holder``, ``load``,
        ``room``, ``grant``, ``send`` or ``retry``), since when, and at which back end.
    `load_seconds`
        Seconds that it waited for loads of its adapter.
    `first_event_at`, `last_event_at`, `longest_gap`
        Times of the events passed on, and the longest gap in seconds.
    `priority`
        0 is the most urgent.
    `prepared`
        The `Send` to a back end that has taken it over from a silent one, ``None``
        without one.
    `not_offered_until`
        Maps the names of back ends that did not take it over to the times until which
        it is not offered to them again.
    `rejections`
        How many back ends have rejected it.
    `has_begun`
        Whether a first event or a whole answer has come from a back end.
    `room_seconds`, `has_room`
        Seconds that it waited for room, and whether room was then found for it.
    """

    request: object
    demand: object
    route: object
    service: str
    customer: object
    deadline: float
    sends: int = 0
    may_have_run: bool = False
    was_in_crash: bool = False
    tried: list = field(default_factory=list)
    excluded: set = field(default_factory=set)
    load_blocked: set = field(default_factory=set)
    head: object = None
    failure: tuple | None = None
    events: object = None
    waiting_at: object = None
    stage: str = ""
    stage_at: float = 0.0
    stage_back_end: str = ""
    load_seconds: float = 0.0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    priority: int = 5
    prepared: object = None
    not_offered_until: dict = field(default_factory=dict)
    rejections: int = 0
    has_begun: bool = False
    room_seconds: float = 0.0
    has_room: bool = False

    @property
    def id(self):
        """Return the request's identifier."""
        return self.demand.request_id

    @cached_property
    def suspected_parts(self):
        """Return the shared parts of its prompt, long identifiers hashed."""
        return tuple(
            part if len(part) <= MAX_PART_LENGTH else digest_fields(part.encode())
            for part in self.demand.shared_parts
        )

    @cached_property
    def suspects(self):
        """
        Return what may crash a back end that runs it, as `Quarantine` identifies it.

        These are the shared parts of its prompt, and the whole request: another attempt
        by the same customer is equal, whatever its identifier, key and deadline.
        """
        request, demand = self.request, self.demand
        customer = self.customer.name if self.customer else demand.key
        digest = digest_fields(
            request.method,
            request.path,
            request.body,
            customer.encode(),
            demand.model.encode(),
            demand.adapter.encode(),
            ",".join((*demand.shared_parts, demand.own_part)).encode(),
        )
        return (*self.suspected_parts, REQUEST_PREFIX + digest)

    @property
    def failure_code(self):
        """Return ``failed`` if a back end's error answer was passed on, else ``""``."""
        return "failed" if self.failure and self.first_event_at is None else ""

    def excluded_after_failure(self, name):
        """
        Return the names of the back ends that a failure at `name` excludes.

        Its retry may go there again if the route allows no further back end.
        """
        if len(set(self.tried)) < self.route.attempts:
            return frozenset({name})
        return frozenset()

    def enter_stage(self, stage, name, at):
        """Record that it waits for `stage` since `at`, at the back end `name`."""
        self.stage = stage
        self.stage_back_end = name
        self.stage_at = at

    def begin_wait(self, state):
        """Count it as waiting for its adapter at the engine of `state`."""
        self.end_wait()
        self.waiting_at = state
        state.begin_wait(self.demand.adapter_key)

    def end_wait(self):
        """Count it as no longer waiting: it was sent, or gave up."""
        if self.waiting_at is not None:
            self.waiting_at.end_wait(self.demand.adapter_key)
            self.waiting_at = None

    def record_event(self, at):
        """Record that events were passed on at the time `at`."""
        if self.first_event_at is None:
            self.first_event_at = at
        else:
            self.longest_gap = max(self.longest_gap, at - self.last_event_at)
        self.last_event_at = at

    @property
    def counted_sends(self):
        """Return how many sends count against the most that are allowed."""
        return self.sends - (self.rejections if self.head is not None else 0)

    @property
    def wait_end(self):
        """Return until when it waits for whatever it needs to be sent."""
        return wait_end(self.head is not None, self.last_event_at, self.deadline)

    def load_patience(self, at):
        """Return the seconds for which it may still wait for loads of its adapter."""
        if self.head is not None:
            return self.wait_end - at
        available = self.remaining(self.request.arrived)
        return load_patience(available) - self.load_seconds

    def remaining(self, at):
        """Return the seconds from `at` to the deadline."""
        return self.deadline - at


@dataclass
class Send:
    """
    One send of a request to a back end.

    Options:

    `context`, `state`
        The `RequestContext` and the `BackEndState`.
    `started`, `connect_seconds`
        Time at which it began, and the seconds that connecting took.
    `caller`, `upstream`
        The connections to the caller and to the back end.
    `head`, `events`
        The `AnswerHead`, and the `EventSplitter` of the answer.
    `granted_at`
        Time on the lease clock at which a send to a back end with a limit was granted,
        ``None`` without a limit.
    `has_first_event`, `began_at`, `is_complete`, `has_lost_connection`
        Whether the answer began, and when; whether it came whole, and whether the
        connection ended before that.
    `is_begun`, `is_ended`
        Whether it was counted as running, and as ended.
    `is_sent`, `is_taken`
        Whether the request was written, and whether a back end that was offered it has
        taken it over.
    `first_events`, `body`
        What such a back end has answered: the first events of a stream, empty at its
        end, or a whole body; ``None`` where that is still to be read.
    `was_silent`, `checks_at`
        Whether the back end fell silent, and when to look again whether another one
        can take the request over.
    `pace`
        The `PaceMeter` of a stream whose back end's speed is measured, else ``None``.
    """

    context: object
    state: object
    started: float
    caller: object = None
    connect_seconds: float = 0.0
    upstream: object = None
    head: object = None
    granted_at: float | None = None
    has_first_event: bool = False
    began_at: float = 0.0
    has_lost_connection: bool = False
    is_complete: bool = False
    events: object = None
    is_begun: bool = False
    is_ended: bool = False
    is_sent: bool = False
    is_taken: bool = False
    first_events: bytes | None = None
    body: bytes | None = None
    was_silent: bool = False
    checks_at: float = 0.0
    pace: object = None
