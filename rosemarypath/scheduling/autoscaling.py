"""
rosemarypath.scheduling.autoscaling
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides how many back ends a service should have in each zone.

The unit of demand is one back end at full use. The numbers follow the highest demand
of a window that is much longer than the time a back end takes to boot, so that they
rise at once, don't follow a demand that swings, and fall slowly. Every daemon that
knows the same loads gets the same numbers, as each zone's holder decides for itself.
"""

from collections import deque
from dataclasses import dataclass, field
from math import ceil, exp

__all__ = ["Scaling", "ServiceLoad", "ServiceScaler", "ZoneLoad", "ZoneNumber"]

USUAL_SHARE = 0.8  # of the room; streams beyond an engine's slots are late
LOSS_SHARE = 0.95  # of the room that is left when the largest zone is lost
READ_TOKENS_PER_SECOND = (
    23_000.0  # prompts beside streams; an engine alone reads 38,000
)
FAST_SECONDS = 0.5  # smoothing of the demand, so that a burst counts within a second
SLOW_SECONDS = 5.0  # of the demand to be served after the loss of a zone
RUN_SECONDS = 10.0  # of the time that one request takes
TREND_SECONDS = 2.0  # over which the rise of the demand is measured
NEW_HIGH = 1.05  # over the window's peak; below, a swinging demand has no trend
MAX_TREND_SHARE = 0.25  # of the demand; a step would else be taken for a steep rise
MAX_OFFERED = 3.0  # times what runs and waits; callers repeat refused requests
WINDOW_BOOTS = 5.0  # boot times for which a peak counts
MIN_WINDOW_SECONDS = 30.0
WINDOW_SLICES = 60  # per window, which bounds the history
FALL_BOOTS = 2.0  # boot times between two falls
MIN_FALL_SECONDS = 10.0
FALL_SHARE = 0.2  # of the number, at most, in one fall; 0.1 paid 1.6 times for a burst
SHORT_BOOTS = 1.5  # boot times after which ordered back ends are not expected any more
SHORT_MARGIN_SECONDS = 2.0
MAX_GAP_SECONDS = 10.0  # between two looks; after more, a window begins anew


@dataclass(frozen=True)
class ZoneLoad:
    """
    The back ends of a service in one zone, and their load.

    Options:

    `ready`, `cold`, `draining`
        Back ends that have room, that have just started, and that are to end. Each
        counts once.
    `running`, `leaving`
        Requests that run on ready and cold back ends, and on draining ones.
    `waiting`
        Requests that wait for one of these back ends.
    `prompt_rate`
        Prompt tokens per second that are sent there.
    `is_closed`
        Whether the zone takes no requests.
    """

    ready: int = 0
    cold: int = 0
    draining: int = 0
    running: int = 0
    leaving: int = 0
    waiting: int = 0
    prompt_rate: float = 0.0
    is_closed: bool = False

    @property
    def present(self):
        """Return the back ends that count for the ordered number."""
        return self.ready + self.cold


@dataclass(frozen=True)
class ServiceLoad:
    """
    The load of one service, as one daemon knows it.

    Options:

    `zones`
        Maps zones to their `ZoneLoad`.
    `slots`
        Requests that one back end runs at once.
    `memory_tokens`
        Tokens that one engine holds at once; 0 for no limit.
    `request_tokens`
        Mean number of tokens that one request may use; 0 where unknown.
    `arrivals`, `refusals`
        Requests per second that came, and that were refused for lack of room.
    `reads_prompts`
        Whether the back ends are engines, which read prompts.
    """

    zones: dict = field(default_factory=dict)
    slots: int = 1
    memory_tokens: int = 0
    request_tokens: float = 0.0
    arrivals: float = 0.0
    refusals: float = 0.0
    reads_prompts: bool = False

    @property
    def held(self):
        """Return the requests that run and wait."""
        return sum(z.running + z.leaving + z.waiting for z in self.zones.values())

    @property
    def carried(self):
        """Return how many requests one back end carries at once."""
        slots = max(1, self.slots)
        if self.memory_tokens <= 0 or self.request_tokens <= 0.0:
            return slots
        return max(1.0, min(slots, self.memory_tokens / self.request_tokens))


@dataclass(frozen=True)
class Scaling:
    """
    A decision: the number of back ends of each zone.

    Options:

    `numbers`
        Maps zones to numbers. A zone without back ends is left out: its number stays
        as it is until they are back.
    `demand`
        The demand that the numbers answer, in back ends at full use.
    `reason`
        ``usual``, ``zone_loss`` or ``running``: what decided the highest number.
    """

    numbers: dict
    demand: float
    reason: str


class _Average:
    """Exponential average of a value over `seconds`."""

    def __init__(self, seconds):
        self._seconds = seconds
        self._at = None
        self.value = 0.0

    def add(self, value, now):
        if self._at is None:
            self.value = value
        else:
            age = max(0.0, now - self._at)
            self.value += (value - self.value) * (1.0 - exp(-age / self._seconds))
        self._at = now


class DemandHistory:
    """
    The recent demand of one service.

    It keeps `WINDOW_SLICES` peaks, and the averages of some seconds. `plan` is the
    `ScalingPlan`.
    """

    def __init__(self, plan):
        self._window = max(MIN_WINDOW_SECONDS, WINDOW_BOOTS * plan.boot)
        self._ahead = plan.boot
        self._fast = _Average(FAST_SECONDS)
        self._slow = _Average(SLOW_SECONDS)
        self._held = _Average(RUN_SECONDS)
        self._served = _Average(RUN_SECONDS)
        self._recent = deque()  # pairs of time and fast average, of `TREND_SECONDS`
        self._peaks = deque()  # start of a slice, its usual and its lasting demand
        self._began_at = None
        self._observed_at = float("-inf")

    @property
    def demand(self):
        """Return the present demand, in back ends at full use."""
        return self._fast.value

    @property
    def usual_peak(self):
        """Return the highest demand of the window, with the trend."""
        return max((usual for _, usual, _ in self._peaks), default=0.0)

    @property
    def lasting_peak(self):
        """Return the highest demand of the window that lasted for some seconds."""
        return max((lasting for _, _, lasting in self._peaks), default=0.0)

    def is_full(self, now):
        """Return whether the demand of a whole window is known."""
        return self._began_at is not None and now - self._began_at >= self._window

    def observe(self, load, now):
        """Record the `ServiceLoad` at the time `now`."""
        if now - self._observed_at > MAX_GAP_SECONDS:
            self._began_at = now
        self._observed_at = now
        demand = self._demand(load, now)
        self._fast.add(demand, now)
        self._slow.add(demand, now)
        self._recent.append((now, self._fast.value))
        while self._recent[0][0] < now - TREND_SECONDS:
            self._recent.popleft()
        self._add_peak(self._fast.value + self._trend(now), self._slow.value, now)

    def _demand(self, load, now):
        """Return the demand in back ends at full use."""
        self._held.add(load.held, now)
        self._served.add(max(0.0, load.arrivals - load.refusals), now)
        requests = load.held
        if self._served.value > 0.0:
            # Arrivals show a burst before its requests run, and count the refused.
            offered = load.arrivals * self._held.value / self._served.value
            requests = max(requests, min(offered, MAX_OFFERED * load.held))
        demand = requests / load.carried
        if load.reads_prompts:
            rate = sum(zone.prompt_rate for zone in load.zones.values())
            demand = max(demand, rate / READ_TOKENS_PER_SECOND)
        return demand

    def _trend(self, now):
        """Return by how much the demand is expected to rise until a boot has ended."""
        began, former = self._recent[0]
        if now - began < TREND_SECONDS / 2:
            return 0.0
        earlier = [usual for at, usual, _ in self._peaks if at < began]
        level = self._fast.value
        if level <= NEW_HIGH * max(earlier, default=0.0) or not earlier:
            return 0.0
        rise = (level - former) / (now - began) * self._ahead
        return min(max(0.0, rise), MAX_TREND_SHARE * level)

    def _add_peak(self, usual, lasting, now):
        """Record a demand in the present slice of the window."""
        began = now
        if self._peaks and now - self._peaks[-1][0] < self._window / WINDOW_SLICES:
            began, known_usual, known_lasting = self._peaks.pop()
            usual, lasting = max(usual, known_usual), max(lasting, known_lasting)
        self._peaks.append((began, usual, lasting))
        while self._peaks[0][0] < now - self._window:
            self._peaks.popleft()


class ServiceScaler:
    """
    Decides the numbers of one service from the loads that it is shown.

    Options:

    `plan`
        The `ScalingPlan`.
    `tolerance`
        The number of zones that may be lost at once.
    """

    def __init__(self, plan, tolerance):
        self._tolerance = tolerance
        self._short = {}  # by zone: back ends there, and since when no more have come
        self._short_seconds = SHORT_BOOTS * plan.boot + SHORT_MARGIN_SECONDS
        self.plan = plan
        self.history = DemandHistory(plan)

    def decide(self, load, now):
        """Return the `Scaling` that answers a `ServiceLoad`."""
        history, plan = self.history, self.plan
        history.observe(load, now)
        usable = {
            name: zone
            for name, zone in load.zones.items()
            if zone.present and not zone.is_closed
        }
        # A zone that is lost already is one of those that may be lost.
        spare = self._tolerance - (len(load.zones) - len(usable))
        spare = max(0, min(spare, len(usable) - 1))
        even, reason = self._even_number([plan.max] * len(usable), spare)
        limits = [self._limit(name, now) for name in usable]
        more, more_reason = self._even_number(limits, spare)
        numbers = {}
        for (name, zone), limit in zip(usable.items(), limits):
            # Ordering more where ordered ones don't come would help only the others.
            is_short = limit < plan.max
            running = min(plan.max, ceil(zone.running / load.carried))
            numbers[name] = max(running, even if is_short else more)
            if not is_short:
                reason = more_reason
            if running == numbers[name] > even:
                reason = "running"
        self._note_short(usable, numbers, now)
        return Scaling(numbers, history.demand, reason)

    def _even_number(self, limits, spare):
        """
        Return the least number of back ends by zone that is enough, and the reason.

        `limits` has the back ends that can be expected in each zone, `spare` is the
        number of zones that may be lost.
        """
        usual = self._number_for(self.history.usual_peak / USUAL_SHARE, limits, 0)
        needed = self.history.lasting_peak / LOSS_SHARE
        loss = self._number_for(needed, limits, spare) if spare else 0
        return max(usual, loss), "zone_loss" if loss > usual else "usual"

    def _number_for(self, needed, limits, lost):
        """Return the least number that leaves `needed` back ends in all but `lost`."""
        number = max(1, self.plan.min)
        while number < self.plan.max:
            rooms = sorted(min(number, limit) for limit in limits)
            if sum(rooms[: len(rooms) - lost]) >= needed:
                break
            number += 1
        return number

    def _limit(self, zone, now):
        """
        Return how many back ends can be expected in a zone.

        It is what is there once ordered ones have not come for longer than a boot.
        """
        present, since = self._short.get(zone, (self.plan.max, now))
        return present if now - since >= self._short_seconds else self.plan.max

    def _note_short(self, zones, numbers, now):
        """Record which zones have fewer back ends than decided."""
        short = {}
        for name, zone in zones.items():
            if zone.present < numbers[name]:
                present, since = self._short.get(name, (0, now))
                has_more = zone.present > present
                short[name] = (zone.present, now if has_more else since)
        self._short = short


class ZoneNumber:
    """
    The number of one zone that is in force, as its holder knows it.

    Until the first order, it is the highest number of back ends that were present, as
    some that a former holder ordered may still be booting. `now` is when the zone was
    taken over.
    """

    def __init__(self, plan, now):
        self._fall_seconds = max(MIN_FALL_SECONDS, FALL_BOOTS * plan.boot)
        self._boot_seconds = SHORT_BOOTS * plan.boot + SHORT_MARGIN_SECONDS
        self._changed_at = now
        self._is_ordered = False
        self.value = 0

    def next_value(self, wanted, zone, has_window, now):
        """
        Return the number to order, equal to `value` where nothing is to change.

        `wanted` is the number that was decided, `zone` the `ZoneLoad`, `has_window`
        whether the demand of a whole window is known.
        """
        if not self._is_ordered:
            self.value = max(self.value, zone.present)
        if wanted >= self.value:
            return wanted
        age = now - self._changed_at
        is_booting = zone.present < self.value and age < self._boot_seconds
        if not has_window or is_booting or age < self._fall_seconds:
            return self.value
        return max(wanted, self.value - max(1, int(self.value * FALL_SHARE)))

    def set(self, value, now):
        """Record that `value` is ordered."""
        self._is_ordered = True
        self._changed_at = now
        self.value = value
