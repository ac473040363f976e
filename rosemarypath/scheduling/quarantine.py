"""
rosemarypath.scheduling.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the request, or the part of a prompt, that crashes back ends, and refuses it.

Load: a request crashes each back end that runs it and is repeated at any daemon, or
one part of a prompt crashes each engine that begins to answer it. Hundreds of sound
requests with the same customer, adapter and other parts are in flight at each crash, at
many daemons. Answers clear what they have in common with a crashed request. Daemons
exchange both kinds of evidence with their heartbeats.
"""

from collections import OrderedDict
from dataclasses import dataclass
from math import inf

__all__ = [
    "CLEAR",
    "REQUEST_PREFIX",
    "BlockingRules",
    "Quarantine",
    "Verdict",
    "stricter_verdict",
]

REQUEST_PREFIX = "request:"  # of suspects that are whole requests, not prompt parts
BLOCKING_CRASHES = 2  # without an answer since, until a part is blocked
BLOCKING_REQUEST_CRASHES = 3  # the same for a whole request
TRUSTED_CRASHES = 1  # more for a part that was answered shortly before
RIVAL_CRASHES = 1  # more for a request while another one was in the same crashes
TRUST_SECONDS = 10.0  # for which an answer makes a part trusted
BLOCK_SECONDS = 600.0  # doubled with each further crash, in case of a wrong suspicion
UNCERTAIN_BLOCK_SECONDS = 5.0  # for a part while one request explains its crashes
EVIDENCE_SECONDS = 60.0  # for which a crash counts that did not get its part blocked
# A suspect waits for evidence of other daemons, then runs when no other one does, so
# that the next crash has one cause.
TURN_DELAY_SECONDS = 0.25
TURN_SECONDS = 0.3
MAX_TURNS = 4
MAX_BEGUN_PARTS = 4096
MAX_SUSPECTS = 2048
EVICTED_SHARE = 8  # of the suspects, one in so many is evicted at once
MAX_CRASHES = 16  # remembered of one suspect
MAX_REPORTED_CRASHES = 5  # of one suspect, the latest; the most that block anything
NEWS_SECONDS = 2.0  # for which new evidence is reported whatever its weight
MAX_REPORTED_STRONG = 64  # suspects with BLOCKING_CRASHES or more
MAX_REPORTED_NEWS = 256  # suspects with new evidence
MAX_REPORTED_OTHERS = 32
MAX_REPORTED_SUSPECTS = MAX_REPORTED_STRONG + MAX_REPORTED_NEWS + MAX_REPORTED_OTHERS


@dataclass(frozen=True)
class BlockingRules:
    """
    When suspects are blocked, and how many are reported.

    Options:

    `part_crashes`, `request_crashes`
        Crashes that block a prompt part, and a whole request.
    `crash_gap`
        Seconds; crashes under a part that are closer together count as one, as back
        ends may fail together.
    `part_block_seconds`, `request_block_seconds`
        For how long a part and a whole request are blocked first.
    `max_strong`, `max_news`, `max_others`
        Suspects to report at once: of several crashes, with new evidence, others.
    `news_seconds`, `repeat_seconds`
        For how long new evidence is reported, and after which time what is not new is
        reported again (0: each time).
    `shares_single`
        Whether suspects of one crash are reported by relays, and whole requests of one
        crash by anyone.
    """

    part_crashes: int = BLOCKING_CRASHES
    request_crashes: int = BLOCKING_REQUEST_CRASHES
    crash_gap: float = 0.0
    part_block_seconds: float = BLOCK_SECONDS
    request_block_seconds: float = BLOCK_SECONDS
    max_strong: int = MAX_REPORTED_STRONG
    max_news: int = MAX_REPORTED_NEWS
    max_others: int = MAX_REPORTED_OTHERS
    news_seconds: float = NEWS_SECONDS
    repeat_seconds: float = 0.0
    shares_single: bool = True


@dataclass(frozen=True)
class Verdict:
    """
    Whether a request may be sent: `blocked_suspect` is empty unless it is refused.

    `seconds` is how long it must wait, or for how long it stays refused. `crashes` is
    the number of crashes under the suspect.
    """

    seconds: float = 0.0
    blocked_suspect: str = ""
    crashes: int = 0

    @property
    def is_held(self):
        """Return whether the request must not be sent now."""
        return bool(self.blocked_suspect) or self.seconds > 0.0

    @property
    def is_request(self):
        """Return whether the whole request is blocked, not a part of its prompt."""
        return _is_request(self.blocked_suspect)


CLEAR = Verdict()


def stricter_verdict(verdicts):
    """Return the verdict of several that holds a request back for longest."""
    return max(
        verdicts, key=lambda v: (bool(v.blocked_suspect), v.seconds), default=CLEAR
    )


class _Ranking:
    """
    The suspects by the crashes that no answer cleared; made anew when these change.

    `uncleared` maps suspects to these crashes, `unexplained` to those of them without
    a suspect that has more.
    """

    def __init__(self, uncleared):
        self.uncleared = uncleared
        self._most, self._most_requests = _most_crashes(uncleared)
        self.unexplained = {
            suspect: {
                crash: at
                for crash, at in crashes.items()
                if self._most.get(crash, 0) <= len(crashes)
            }
            for suspect, crashes in uncleared.items()
        }
        self._sharing = {}
        for suspect, crashes in self.unexplained.items():
            for crash in crashes:
                self._sharing.setdefault((crash, _is_request(suspect)), []).append(
                    suspect
                )
        self._rivals = {}

    def is_explained_by_request(self, part):
        """Return whether a request was in as many crashes, and in all of the part's."""
        crashes = self.unexplained[part]
        return all(
            self._most_requests.get(crash, 0) >= len(crashes) for crash in crashes
        )

    def rivals(self, suspect):
        """Return the suspects of the same kind that were in all of its crashes."""
        if suspect not in self._rivals:
            crashes = self.unexplained[suspect]
            last = max(crashes, key=crashes.get)
            self._rivals[suspect] = sorted(
                other
                for other in self._sharing[last, _is_request(suspect)]
                if crashes.keys() <= self.unexplained[other].keys()
            )
        return self._rivals[suspect]


class Quarantine:
    """
    Evidence about requests and prompt parts, of this daemon and of others.

    Suspects and crashes are identified by strings, whole requests with REQUEST_PREFIX;
    times are in seconds of one clock. `rules` are the `BlockingRules`.
    """

    def __init__(self, rules=BlockingRules()):
        self._rules = rules
        self._crashes = {}
        self._begun_at = OrderedDict()
        self._learned_at = {}
        self._newest_at = -inf
        self._own_suspects = set()
        self._repeated_at = {}
        self._ranking = None

    @property
    def has_suspects(self):
        """Return whether a verdict can be other than clear."""
        return bool(self._crashes)

    def record_crash(self, crash, suspects, now):
        """Record that a back end crashed while a request with `suspects` waited."""
        for suspect in suspects:
            self._add_crash(suspect, crash, now, now)
        self._own_suspects.update(suspects)

    def record_begun(self, suspects, now):
        """Record an answer to a request with `suspects`, which clears them."""
        for suspect in suspects:
            if self._set_begun(suspect, now, now):
                self._own_suspects.add(suspect)

    def verdict(self, suspects, now):
        """Return the `Verdict` on a request with `suspects`."""
        if not self._crashes:
            return CLEAR
        return stricter_verdict(
            [self._suspect_verdict(suspect, now) for suspect in suspects]
        )

    def report(self, now, is_relay=True):
        """
        Return the evidence for other daemons; only that of this one if not `is_relay`.

        It is a pair of dictionaries by suspect: the ages of the crashes in seconds, by
        crash, and the age of the last answer that was begun. Suspects of several
        crashes come before others, however many these are. Cleared crashes are
        reported with others, as another daemon may have noticed them later.
        """
        if not self._crashes:
            return {}, {}
        repeats = self._is_repeat_due(now, is_relay)
        if not repeats and now - self._newest_at >= self._rules.news_seconds:
            return {}, {}
        self._drop_expired(now)
        reported = self._reported_suspects(now, is_relay, repeats)
        crashes = {
            suspect: {crash: round(now - at, 3) for crash, at in self._latest(suspect)}
            for suspect in reported
            if self._uncleared(suspect)
        }
        begun = {
            suspect: round(now - self._begun_at[suspect], 3)
            for suspect in reported
            if suspect in self._begun_at
        }
        return crashes, begun

    def _is_repeat_due(self, now, is_relay):
        """Return whether to report what is not new, and note that it was."""
        last = self._repeated_at.get(is_relay, -inf)
        if now - last < self._rules.repeat_seconds:
            return False
        self._repeated_at[is_relay] = now
        return True

    def merge(self, crashes, begun, now):
        """Add the evidence that another daemon reported, as `report` returns it."""
        for suspect, ages in crashes.items():
            for crash, age in ages.items():
                self._add_crash(suspect, crash, now - age, now)
        for suspect, age in begun.items():
            if now - age > self._begun_at.get(suspect, -inf):
                self._set_begun(suspect, now - age, now)

    def _add_crash(self, suspect, crash, at, now):
        known = self._crashes.setdefault(suspect, {})
        if at >= known.get(crash, inf):
            return
        if crash not in known:
            self._learned_at[suspect] = self._newest_at = now
        known[crash] = at
        self._ranking = None
        if len(known) > MAX_CRASHES:
            del known[min(known, key=known.get)]
        if len(self._crashes) > MAX_SUSPECTS:
            self._evict()

    def _evict(self):
        """Drop the suspects with the fewest crashes, the oldest first."""
        for suspect in sorted(self._crashes, key=self._weight)[
            : MAX_SUSPECTS // EVICTED_SHARE
        ]:
            self._drop(suspect)

    def _weight(self, suspect):
        crashes = self._crashes[suspect]
        return len(self._uncleared(suspect)), max(crashes.values())

    def _drop(self, suspect):
        del self._crashes[suspect]
        del self._learned_at[suspect]
        self._own_suspects.discard(suspect)
        self._ranking = None

    def _set_begun(self, suspect, at, now):
        """Record an answer; return whether it cleared crashes."""
        clears = suspect in self._crashes and bool(self._uncleared(suspect))
        self._begun_at[suspect] = at
        self._begun_at.move_to_end(suspect)
        if len(self._begun_at) > MAX_BEGUN_PARTS:
            self._begun_at.popitem(last=False)
        if clears:
            self._learned_at[suspect] = self._newest_at = now
            self._ranking = None
        return clears

    def _latest(self, suspect):
        """
        Return the latest crashes, as pairs with times.

        Cleared ones are among them, as another daemon may have noticed them later.
        """
        crashes = sorted(self._crashes[suspect].items(), key=lambda pair: pair[1])
        return crashes[-MAX_REPORTED_CRASHES:]

    def _reported_suspects(self, now, is_relay, repeats):
        rules = self._rules
        strong, news, others = [], [], []
        for suspect, crashes in self._crashes.items():
            is_new = now - self._learned_at[suspect] < rules.news_seconds
            if not (is_new or repeats) or not (
                is_relay or suspect in self._own_suspects
            ):
                continue
            if len(self._uncleared(suspect)) >= BLOCKING_CRASHES:
                strong.append(suspect)
            elif not rules.shares_single and (is_relay or _is_request(suspect)):
                continue
            elif is_new:
                news.append(suspect)
            else:
                others.append((len(crashes), max(crashes.values()), suspect))
        if len(strong) > rules.max_strong:
            strong.sort(key=self._weight, reverse=True)
        if len(news) > rules.max_news:
            news.sort(key=self._learned_at.get, reverse=True)
        others = [suspect for *_, suspect in sorted(others, reverse=True)]
        return (
            strong[: rules.max_strong]
            + news[: rules.max_news]
            + others[: rules.max_others]
        )

    def _current_ranking(self):
        if self._ranking is None:
            uncleared = {s: self._uncleared(s) for s in self._crashes}
            self._ranking = _Ranking({s: c for s, c in uncleared.items() if c})
        return self._ranking

    def _uncleared(self, suspect):
        """Return the crashes after the last answer that was begun."""
        begun_at = self._begun_at.get(suspect, -inf)
        return {c: at for c, at in self._crashes[suspect].items() if at > begun_at}

    def _least_crashes(self, suspect):
        """Return how many crashes can hold a suspect back, whatever else is known."""
        if _is_request(suspect):
            return self._rules.request_crashes - 1
        return self._rules.part_crashes - 1

    def _needed_crashes(self, suspect, crashes):
        """Return how many crashes block a suspect."""
        begun_at = self._begun_at.get(suspect, -inf)
        needed = self._rules.part_crashes
        if _is_request(suspect):
            needed = self._rules.request_crashes
            if len(self._current_ranking().rivals(suspect)) > 1:
                needed += RIVAL_CRASHES
        is_trusted = min(crashes.values()) - begun_at < TRUST_SECONDS
        return needed + (TRUSTED_CRASHES if is_trusted else 0)

    def _suspect_verdict(self, suspect, now):
        known = self._crashes.get(suspect)
        if not known or len(self._uncleared(suspect)) < self._least_crashes(suspect):
            return CLEAR
        ranking = self._current_ranking()
        crashes = ranking.unexplained.get(suspect)
        if not crashes:
            return CLEAR
        needed = self._needed_crashes(suspect, crashes)
        last = max(crashes.values())
        count = self._count(suspect, crashes)
        if count < needed - 1:
            return CLEAR
        if count >= needed:
            left = last + self._block_seconds(suspect, count, needed) - now
            if left > 0.0:
                return Verdict(left, suspect, len(crashes))
        turn = min(ranking.rivals(suspect).index(suspect), MAX_TURNS)
        begins_at = last + TURN_DELAY_SECONDS + turn * TURN_SECONDS
        return Verdict(max(0.0, begins_at - now))

    def _count(self, suspect, crashes):
        """Return how many crashes count, of which those at the same time are one."""
        if _is_request(suspect) or self._rules.crash_gap <= 0.0:
            return len(crashes)
        count = 0
        counted_at = -inf
        for at in sorted(crashes.values()):
            if at - counted_at >= self._rules.crash_gap:
                count += 1
                counted_at = at
        return count

    def _block_seconds(self, suspect, count, needed):
        """Return for how long a suspect is blocked after the last of its crashes."""
        is_part = not _is_request(suspect)
        if is_part and self._current_ranking().is_explained_by_request(suspect):
            is_certain = count >= self._rules.request_crashes
            return 0.0 if is_certain else UNCERTAIN_BLOCK_SECONDS
        return self._growing_block_seconds(suspect, count - needed)

    def _growing_block_seconds(self, suspect, extra_crashes):
        """Return for how long a suspect is blocked, doubled with each further crash."""
        seconds = self._rules.part_block_seconds
        if _is_request(suspect):
            seconds = self._rules.request_block_seconds
        return seconds * 2 ** min(extra_crashes, 10)

    def _drop_expired(self, now):
        for suspect in list(self._crashes):
            crashes = self._crashes[suspect]
            extra = len(crashes) - BLOCKING_CRASHES
            kept = EVIDENCE_SECONDS
            if extra >= 0:
                kept = max(kept, 2 * self._growing_block_seconds(suspect, extra))
            if now - max(crashes.values()) > kept:
                self._drop(suspect)


def _most_crashes(uncleared):
    """
    Return, by crash, the most crashes that one of its suspects has.

    The second dictionary counts whole requests only. Suspects of fewer crashes than
    BLOCKING_CRASHES explain nothing.
    """
    most, most_requests = {}, {}
    for suspect, crashes in uncleared.items():
        if len(crashes) < BLOCKING_CRASHES:
            continue
        for crash in crashes:
            most[crash] = max(len(crashes), most.get(crash, 0))
            if _is_request(suspect):
                most_requests[crash] = max(len(crashes), most_requests.get(crash, 0))
    return most, most_requests


def _is_request(suspect):
    return suspect.startswith(REQUEST_PREFIX)
