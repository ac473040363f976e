"""
rosemarypath.scheduling.versions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which versions of an adapter may still be used after newer ones were announced.
"""

from dataclasses import dataclass
from math import inf

__all__ = ["AnnouncedVersions"]

# Versions of one adapter that may be in use at once; of more, the oldest are outdated.
MAX_USABLE_VERSIONS = 16


@dataclass(frozen=True, slots=True)
class _Announcement:
    """A version, and the time at which it was announced."""

    version: int
    announced_at: float


class AnnouncedVersions:
    """
    The newest version of each adapter, and those that may still be used besides it.

    A version makes all before it outdated when the grace after its own announcement is
    over, whatever is announced after it. Only an adapter that was announced lately has
    a list of announcements. The first of a list is the oldest usable version, and the
    others rise in version and time.
    """

    def __init__(self):
        self._newest = {}
        self._announcements = {}

    def record(self, name, version, announced_at):
        """
        Record a version that was announced at `announced_at`, unless it is known.

        Minus infinity means that the time is unknown: it has no grace then.
        """
        newest = self._newest.get(name, 0)
        if version <= newest:
            return
        self._newest[name] = version
        before = self._announcements.pop(name, [_Announcement(newest, -inf)])
        kept = [found for found in before if found.announced_at < announced_at]
        kept.append(_Announcement(version, announced_at))
        if len(kept) > 1:
            self._announcements[name] = kept[-MAX_USABLE_VERSIONS:]

    def newest(self, name):
        """Return the newest version of an adapter, 0 where none is announced."""
        return self._newest.get(name, 0)

    def oldest_usable(self, name, grace, now):
        """
        Return the oldest version that may still be used, 0 where any may.

        `grace` is how long the versions before an announced one may be used, in s.
        """
        usable = self._announcements.get(name)
        if usable is None:
            return self.newest(name)
        while len(usable) > 1 and now - usable[1].announced_at >= grace:
            del usable[0]
        if len(usable) == 1:
            del self._announcements[name]
        return usable[0].version
