"""
rosemarypath.requestcontext
~~~~~~~~~~~~~~~~~~~~~~~~~~~

One request on its way through the daemon.
"""

from dataclasses import dataclass, field

__all__ = ["RequestContext", "Send"]


@dataclass
class RequestContext:
    """
    One request on its way.

    Options:

    `request`, `demand`
        As it came, and what it needs.
    `route`, `service`, `customer`
        Where it goes, and the `Contract` it is counted to (``None`` on open routes).
    `deadline`
        When its final answer is due.
    `sends`, `tried`
        How often it was sent, and the names of the back ends.
    `may_have_run`
        Whether a back end may have run it.
    `excluded`, `load_blocked`
        Back ends that may not get it, engines that cannot load its adapter.
    `head`, `failure`
        The answer's head once the caller has it; a back end's own failure in reserve.
    `events`
        The `EventSplitter` of a stream.
    `place_wait_started`
        Since when it waits for a place of its adapter.
    `stage`, `stage_at`, `stage_back_end`
        What it waits for, since when, and the back end that this concerns.
    `load_seconds`
        How long it waited for loads of its adapter.
    `first_event_at`, `last_event_at`, `longest_gap`
        Times of the events passed on, and the longest pause.
    """

    request: object
    demand: object
    route: object
    service: str
    customer: object
    deadline: float
    sends: int = 0
    may_have_run: bool = False
    tried: list = field(default_factory=list)
    excluded: set = field(default_factory=set)
    load_blocked: set = field(default_factory=set)
    head: object = None
    failure: tuple | None = None
    events: object = None
    place_wait_started: float | None = None
    stage: str = ""
    stage_at: float = 0.0
    stage_back_end: str = ""
    load_seconds: float = 0.0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    priority: int = 5

    @property
    def id(self):
        """Return the request's identifier."""
        return self.demand.request

    @property
    def failure_code(self):
        """Return ``failed`` when a back end's own failure was the answer."""
        return "failed" if self.failure and self.first_event_at is None else ""

    def enter_stage(self, stage, name, at):
        """Record that it now waits for `stage`, at the back end `name` if any."""
        self.stage = stage
        self.stage_back_end = name
        self.stage_at = at

    def note_event(self, at):
        """Record that events are passed on at the time `at`."""
        if self.first_event_at is None:
            self.first_event_at = at
        else:
            self.longest_gap = max(self.longest_gap, at - self.last_event_at)
        self.last_event_at = at

    def remaining(self, at):
        """Return the seconds left at the time `at`."""
        return self.deadline - at


@dataclass
class Send:
    """
    One send of a request to a back end.

    `context` is the `RequestContext`, `state` the `BackEndState`, `started` when it
    began, `connect_seconds` how many seconds the connection took after the choice.
    `upstream` is the connection to the back end, `caller` that to the caller.
    `head` is the `AnswerHead`; `has_first_event` and `is_complete` tell how far the
    answer came.
    """

    context: object
    state: object
    started: float
    caller: object = None
    connect_seconds: float = 0.0
    upstream: object = None
    head: object = None
    has_first_event: bool = False
    is_complete: bool = False
