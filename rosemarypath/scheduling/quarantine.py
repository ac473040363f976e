"""
rosemarypath.scheduling.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the part of a prompt that crashes engines, and refuses requests that contain it.

Load: requests share parts of their prompts. One part may crash each engine that begins
to answer it, while many sound requests with the same customer, adapter and other parts
are in flight there, at many daemons. Only a request that had not begun to answer can
have caused a crash, and a part that an engine has begun to answer cannot. Daemons
exchange both kinds of evidence with their heartbeats.
"""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["Quarantine", "Verdict"]

BLOCKING_CRASHES = 2  # without a begun answer since, until a part is blocked
TRUSTED_CRASHES = 1  # more for a part that was answered shortly before
TRUST_SECONDS = 10.0  # for which a begun answer makes a part trusted
BLOCK_SECONDS = 600.0  # doubled with each further crash, in case of a wrong suspicion
EVIDENCE_SECONDS = 60.0  # for which a crash counts that did not get its part blocked
# A suspected part waits for evidence of other daemons, then runs when no other
# suspected one does, so that the next crash has one cause.
TURN_DELAY_SECONDS = 0.25
TURN_SECONDS = 0.3
MAX_TURNS = 4
MAX_BEGUN_PARTS = 4096
MAX_SUSPECTED_PARTS = 256
MAX_REPORTED_PARTS = 64


@dataclass(frozen=True)
class Verdict:
    """
    Whether a request may be sent: `blocked_part` is empty unless it is refused.

    `seconds` is how long it must wait, or for how long it stays refused. `crashes` is
    the number of crashes under the part.
    """

    seconds: float = 0.0
    blocked_part: str = ""
    crashes: int = 0

    @property
    def is_held(self):
        """Return whether the request must not be sent now."""
        return bool(self.blocked_part) or self.seconds > 0.0


CLEAR = Verdict()


class Quarantine:
    """
    Evidence about prompt parts, of this daemon and of those that it hears of.

    Parts and crashes are identified by strings; times are in seconds of one clock.
    """

    def __init__(self):
        self._crashes = {}
        self._begun_at = OrderedDict()

    def record_crash(self, crash, parts, now):
        """Record that an engine crashed while a request with `parts` waited there."""
        for part in parts:
            self._add_crash(part, crash, now)

    def record_begun(self, parts, now):
        """Record that an engine began to answer a request with `parts`."""
        for part in parts:
            self._set_begun(part, now)

    def verdict(self, parts, now):
        """Return the `Verdict` on a request with `parts`."""
        if not self._crashes:
            return CLEAR
        verdicts = [self._part_verdict(part, now) for part in parts]
        return max(
            verdicts, key=lambda v: (bool(v.blocked_part), v.seconds), default=CLEAR
        )

    def report(self, now):
        """
        Return the evidence for other daemons.

        It is a pair of dictionaries by part: the ages of the crashes in seconds, by
        crash, and the age of the last answer that was begun.
        """
        self._drop_expired(now)
        parts = sorted(
            self._crashes, key=lambda p: max(self._crashes[p].values()), reverse=True
        )[:MAX_REPORTED_PARTS]
        crashes = {
            part: {c: round(now - at, 3) for c, at in self._crashes[part].items()}
            for part in parts
            if self._uncleared(part)
        }
        begun = {
            part: round(now - self._begun_at[part], 3)
            for part in parts
            if part in self._begun_at
        }
        return crashes, begun

    def merge(self, crashes, begun, now):
        """Add the evidence that another daemon reported, as `report` returns it."""
        for part, ages in crashes.items():
            for crash, age in ages.items():
                self._add_crash(part, crash, now - age)
        for part, age in begun.items():
            if now - age > self._begun_at.get(part, float("-inf")):
                self._set_begun(part, now - age)

    def _add_crash(self, part, crash, at):
        known = self._crashes.setdefault(part, {})
        known[crash] = min(at, known.get(crash, at))
        if len(self._crashes) > MAX_SUSPECTED_PARTS:
            del self._crashes[min(self._crashes, key=self._weight)]

    def _weight(self, part):
        crashes = self._crashes[part]
        return len(self._uncleared(part)), max(crashes.values())

    def _set_begun(self, part, at):
        self._begun_at[part] = at
        self._begun_at.move_to_end(part)
        if len(self._begun_at) > MAX_BEGUN_PARTS:
            self._begun_at.popitem(last=False)

    def _uncleared(self, part):
        """Return the crashes after the last answer that was begun."""
        begun_at = self._begun_at.get(part, float("-inf"))
        return {c: at for c, at in self._crashes[part].items() if at > begun_at}

    def _needed_crashes(self, part, crashes):
        """Return how many crashes block a part."""
        begun_at = self._begun_at.get(part, float("-inf"))
        is_trusted = min(crashes.values()) - begun_at < TRUST_SECONDS
        return BLOCKING_CRASHES + (TRUSTED_CRASHES if is_trusted else 0)

    def _part_verdict(self, part, now):
        if part not in self._crashes:
            return CLEAR
        crashes = self._unexplained(part)
        if not crashes:
            return CLEAR
        needed = self._needed_crashes(part, crashes)
        last = max(crashes.values())
        if len(crashes) >= needed:
            left = last + _block_seconds(len(crashes) - needed) - now
            return Verdict(left, part, len(crashes)) if left > 0.0 else CLEAR
        if len(crashes) < needed - 1:
            return CLEAR
        return Verdict(max(0.0, last + self._turn_delay(part, last) - now))

    def _unexplained(self, part):
        """Return the crashes of a part without those of a more suspicious part."""
        crashes = self._uncleared(part)
        if not crashes:
            return crashes
        for other in self._crashes:
            others = self._uncleared(other)
            if len(others) >= BLOCKING_CRASHES and len(others) > len(crashes):
                crashes = {c: at for c, at in crashes.items() if c not in others}
        return crashes

    def _turn_delay(self, part, crashed_at):
        """Return how long after the crash the turn of a suspected part begins."""
        rivals = sorted(
            other
            for other in self._crashes
            if any(
                abs(at - crashed_at) < TURN_DELAY_SECONDS
                for at in self._uncleared(other).values()
            )
        )
        turn = rivals.index(part) if part in rivals else 0
        return TURN_DELAY_SECONDS + min(turn, MAX_TURNS) * TURN_SECONDS

    def _drop_expired(self, now):
        for part in list(self._crashes):
            crashes = self._crashes[part]
            extra = len(crashes) - BLOCKING_CRASHES
            kept = EVIDENCE_SECONDS if extra < 0 else 2 * _block_seconds(extra)
            if now - max(crashes.values()) > kept:
                del self._crashes[part]


def _block_seconds(extra_crashes):
    """Return for how long a part is blocked after its last crash."""
    return BLOCK_SECONDS * 2 ** min(extra_crashes, 10)
