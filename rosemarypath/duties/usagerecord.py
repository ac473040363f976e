"""
rosemarypath.duties.usagerecord
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The usage reports whose numbers are fixed, as one object in the store.
"""

from rosemarypath.errors import ConflictError, NotFoundError

__all__ = ["MAX_PENDING", "USAGE_KIND", "UsageRecord"]

USAGE_KIND = "rosemarypath-usage"
USAGE_NAME = "windows"
MAX_PENDING = 24  # windows in the record; two minutes of the usual ones


class UsageRecord:
    """
    The reports that were fixed, and the first window that was not.

    `store` is the client of the store. The object is read once and then only written:
    each write names the version that this daemon knows, and if another holder has
    written meanwhile, it is read again. Windows that the API has accepted leave the
    object with the next write, so that a successor may repeat them.

    A store that came back from an older copy has lost the last writes. What this daemon
    has fixed stays as it was, and is written again with the next window.

    Attributes:

    `is_loaded`
        Whether the object was read, and no write has failed since.
    `next_window`
        The first window that is not fixed, ``None`` before the first report.
    `pending`
        Pairs of window and counts by customer that are fixed and not accepted, the
        oldest first; at most `MAX_PENDING`.
    """

    def __init__(self, store):
        self._store = store
        self._version = 0
        self._accepted = []
        self.is_loaded = False
        self.next_window = None
        self.pending = []

    async def load(self):
        """Read the object; raises `StoreUnavailableError`."""
        try:
            stored = await self._store.get(USAGE_KIND, USAGE_NAME)
        except NotFoundError:
            self._version, next_window, pending = 0, None, []
        else:
            self._version = stored.version
            next_window, pending = _decode_record(stored.spec)
        if self.next_window is None or (next_window or 0) >= self.next_window:
            self.next_window = next_window
            self.pending = [r for r in pending if r[0] not in self._accepted]
        self.is_loaded = True

    async def fix(self, reports, next_window):
        """
        Fix `reports`, pairs of window and counts; return whether that succeeded.

        Raises `StoreUnavailableError`, after which the write may have succeeded.
        """
        pending = [*self.pending, *reports][-MAX_PENDING:]
        spec = {"next": next_window, "pending": [list(report) for report in pending]}
        self.is_loaded = False
        try:
            if self._version:
                stored = await self._store.update(
                    USAGE_KIND, USAGE_NAME, spec, self._version
                )
            else:
                stored = await self._store.create(USAGE_KIND, USAGE_NAME, spec)
        except (ConflictError, NotFoundError):
            return False
        self._version = stored.version
        self.next_window = next_window
        self.pending = pending
        self.is_loaded = True
        return True

    def accept(self, window):
        """Note that the API has accepted the report of `window`."""
        self.pending = [report for report in self.pending if report[0] != window]
        self._accepted = [*self._accepted, window][-MAX_PENDING:]


def _decode_record(spec):
    """Return the next window and the reports; an unreadable record has none."""
    try:
        reports = [(int(window), dict(counts)) for window, counts in spec["pending"]]
        return int(spec["next"]), reports[-MAX_PENDING:]
    except (KeyError, TypeError, ValueError):
        return None, []
