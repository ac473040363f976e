"""
rosemarypath.scheduling.stagedquarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Evidence about what crashes back ends, by the stage that the answers had reached.

Load: a request or a prompt part crashes back ends before their answer begins, or just
after it, or halfway through. Back ends also crash by themselves, with dozens of sound
streams in flight. An answer that began before the crash suggests that the request is
harmless but does not prove it; only an answer that ended whole does.
"""

from rosemarypath.scheduling.quarantine import (
    BlockingRules,
    Quarantine,
    stricter_verdict,
)

__all__ = ["ANY_STAGE_RULES", "BEFORE_ANSWER_RULES", "StagedQuarantine"]

# Two heartbeats tell of what is new, and one each second of the rest, as dozens of
# crashes within seconds would fill narrow links otherwise.
BEFORE_ANSWER_RULES = BlockingRules(
    max_strong=16,
    max_news=32,
    max_others=4,
    news_seconds=0.4,
    repeat_seconds=1.0,
)
ANY_STAGE_PREFIX = "unended:"  # in reports, of suspects in crashes at any stage
# Crashes of back ends with streams in flight also hit sound ones, so that a part needs
# one more. While all back ends are down, no answer can clear the parts that all
# requests share: they are soon tried again, and then only the deadly one is in crashes.
ANY_STAGE_RULES = BlockingRules(
    part_crashes=3,
    crash_gap=0.5,
    part_block_seconds=2.0,
    request_block_seconds=60.0,
    max_strong=6,
    max_news=8,
    max_others=0,
    news_seconds=0.5,
    repeat_seconds=2.0,
    shares_single=False,
)


class StagedQuarantine:
    """
    Two collections of evidence, with the interface of `Quarantine`.

    One has the crashes before an answer began, which begun answers clear. The other
    has the crashes at any stage, which only answers that ended whole clear.
    """

    def __init__(self):
        self._unbegun = Quarantine(BEFORE_ANSWER_RULES)
        self._unended = Quarantine(ANY_STAGE_RULES)

    @property
    def has_suspects(self):
        """Return whether a verdict can be other than clear."""
        return self._unended.has_suspects or self._unbegun.has_suspects

    def record_crash(self, crash, suspects, now, has_begun=False):
        """
        Record that a back end crashed under a request with `suspects`.

        `has_begun` tells whether it had begun to answer.
        """
        if not has_begun:
            self._unbegun.record_crash(crash, suspects, now)
        self._unended.record_crash(crash, suspects, now)

    def record_begun(self, suspects, now):
        """Record that a back end began to answer a request with `suspects`."""
        self._unbegun.record_begun(suspects, now)

    def record_complete(self, suspects, now):
        """Record that an answer to a request with `suspects` ended whole."""
        self._unbegun.record_begun(suspects, now)
        self._unended.record_begun(suspects, now)

    def verdict(self, suspects, now):
        """Return the stricter `Verdict` on a request with `suspects`."""
        return stricter_verdict(
            [q.verdict(suspects, now) for q in (self._unbegun, self._unended)]
        )

    def report(self, now, is_relay=True):
        """
        Return the evidence for other daemons, as `Quarantine.report` does.

        Each crash blames dozens of sound streams. So of crashes at any stage only a
        relay reports what other daemons saw, and only suspects of several crashes: a
        daemon that resumes a deadly stream sees the next crash under it as well.
        Crashes before an answer count in both collections and are reported once.
        """
        crashes, begun = self._unbegun.report(now, is_relay)
        unended_crashes, ended = self._unended.report(now, is_relay)
        unended_crashes = {
            suspect: ages
            for suspect, ages in unended_crashes.items()
            if not ages.keys() <= crashes.get(suspect, {}).keys()
        }
        return crashes | _add_prefix(unended_crashes), begun | _add_prefix(ended)

    def merge(self, crashes, begun, now):
        """Add the evidence that another daemon reported."""
        unbegun_crashes, unended_crashes = _split_by_prefix(crashes)
        begun, ended = _split_by_prefix(begun)
        self._unbegun.merge(unbegun_crashes, begun, now)
        self._unended.merge(unbegun_crashes, {}, now)
        self._unended.merge(unended_crashes, ended, now)


def _add_prefix(evidence):
    return {ANY_STAGE_PREFIX + suspect: one for suspect, one in evidence.items()}


def _split_by_prefix(evidence):
    """Return the evidence without the prefix, and that with it, its prefix removed."""
    plain, prefixed = {}, {}
    for suspect, one in evidence.items():
        if suspect.startswith(ANY_STAGE_PREFIX):
            prefixed[suspect.removeprefix(ANY_STAGE_PREFIX)] = one
        else:
            plain[suspect] = one
    return plain, prefixed
