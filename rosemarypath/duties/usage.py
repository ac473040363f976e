"""
rosemarypath.duties.usage
~~~~~~~~~~~~~~~~~~~~~~~~~

Reports to the platform how many requests of each customer began in each window.
"""

from rosemarypath import clock
from rosemarypath.duties import duties
from rosemarypath.duties.usagecollection import (
    Collection,
    UsageCollector,
    encode_reply,
)
from rosemarypath.duties.usagerecord import UsageRecord
from rosemarypath.errors import StoreUnavailableError
from rosemarypath.peermessages import UsageAsk, UsageCounts
from rosemarypath.usagetally import KEPT_WINDOWS

__all__ = ["UsageDuty"]

SUBJECT = "windows"
# Shares of the time until a report is due. A holder that is lost after the first of
# them leaves time for a successor: 2.6 s of silence, its wait, and a call.
SETTLE_SHARE = 0.1
PATIENCE_SHARE = 0.25
# Where less than half of the machines are heard, this one may be the one cut off, and
# another one have acquired the lease by then.
ALONE_PATIENCE_SHARE = 0.6
MAX_SETTLE_SECONDS = 1.0  # a few messages with counts, and a difference of clocks
STORE_PAUSE_SECONDS = 1.0  # after a failed call to the store, as each is paid for
MIN_PAUSE_SECONDS = 0.5  # after a report that was not accepted; doubles up to the most
MAX_PAUSE_SECONDS = 4.0
SENDING_SECONDS = 2.0  # for reports in a row, before the next window is looked at
TOO_MANY = 429
SERVER_ERROR = 500


@duties("usage")
class UsageDuty:
    """
    Fixes the numbers of each window in the store, then sends them until accepted.

    Options:

    `context`
        The `DutyContext`; its fleet has the `UsageTally`.
    ``wall_now()``
        Returns the time in Unix seconds.

    Bounded by `KEPT_WINDOWS` collections and `MAX_PENDING` fixed reports.
    """

    def __init__(self, context, wall_now=clock.wall_now):
        settings = context.settings.duties
        self._peers = context.peers
        self._client = context.client
        self._log = context.log
        self._metrics = context.metrics
        self._tally = context.fleet.usage
        self._due = settings.usage_due
        self._wall_now = wall_now
        self._record = UsageRecord(context.store)
        self._collector = UsageCollector(context.peers, context.mesh, self._tally)
        self._collections = {}
        self._store_at = float("-inf")
        self._send_at = float("-inf")
        self._pause = MIN_PAUSE_SECONDS
        context.mesh.on(UsageCounts, self._on_counts)
        context.mesh.on(UsageAsk, self._on_ask)

    @classmethod
    def from_config(cls, context):
        """Return the duty of the `DutyContext`."""
        return cls(context)

    def subjects(self, now):
        """Return the one subject: all windows together."""
        return [SUBJECT]

    async def perform(self, subject, token, now):
        """Fix the windows that have ended, and send what is fixed."""
        if now >= self._store_at and not self._peers.is_starting(now):
            try:
                await self._fix_ended(token)
            except StoreUnavailableError as error:
                self._store_at = clock.now() + STORE_PAUSE_SECONDS
                self._log.write("usage", "lost", why=error.message)
        if clock.now() >= self._send_at:
            await self._send_pending(token)

    async def _fix_ended(self, token):
        settle = min(MAX_SETTLE_SECONDS, self._due * SETTLE_SHARE)
        last = self._tally.window_at(self._wall_now() - settle) - 1
        record = self._record
        if record.is_loaded and (record.next_window or 0) > last:
            return
        if not record.is_loaded:
            await record.load()
            self._log.write("usage", "read", next=record.next_window)
        since = record.next_window
        if since is None:
            newest = await self._collected(last)
            if self._is_awaited(newest):
                return
            since = newest.first
        first = max(since, last - KEPT_WINDOWS + 2)
        reports = []
        next_window = first
        while next_window <= last:
            collection = await self._collected(next_window)
            if self._is_awaited(collection):
                break
            # Nobody who is left can tell what began in a window before the first one.
            if collection.first <= next_window:
                reports.append((next_window, collection.totals()))
            next_window += 1
        if next_window > since and token():
            await self._fix(reports, since, next_window)

    async def _fix(self, reports, since, next_window):
        if not await self._record.fix(reports, next_window):
            self._log.write("usage", "conflict", window=next_window - 1)
            return
        for window, counts in reports:
            collection = self._collections[window]
            missing = self._collector.missing(collection)
            self._metrics.count("usage_fixed")
            self._metrics.count("usage_incomplete", int(bool(missing)))
            self._log.write(
                "usage",
                "fixed",
                window=window,
                requests=sum(counts.values()),
                daemons=collection.daemon_count,
                missing=missing[:KEPT_WINDOWS],
            )
        unknown = next_window - since - len(reports)
        if unknown:
            self._metrics.count("usage_unknown", unknown)
            self._log.write("usage", "unknown", since=since, windows=unknown)
        self._collections = {
            window: collection
            for window, collection in self._collections.items()
            if window >= next_window
        }

    async def _collected(self, window):
        """Return the `Collection` of `window` after one more round of asks."""
        collection = self._collections.setdefault(window, Collection(window))
        if not collection.settled or self._is_awaited(collection):
            await self._collector.collect(collection, self._wall_now())
        return collection

    def _is_awaited(self, collection):
        """Return whether counts are missing that may still come in time."""
        if not self._collector.missing(collection):
            return False
        is_alone = self._peers.alive_share(clock.now()) < 0.5
        share = ALONE_PATIENCE_SHARE if is_alone else PATIENCE_SHARE
        end = self._tally.end_of(collection.window) + self._due * share
        return self._wall_now() < end

    async def _send_pending(self, token):
        """Send the fixed reports, the oldest first, until one is not accepted."""
        until = clock.now() + SENDING_SECONDS
        for window, counts in list(self._record.pending):
            if clock.now() >= until or not token():
                return
            result = await self._client.report_usage(token, window, counts)
            late = round(self._wall_now() - self._tally.end_of(window), 3)
            event = _event_of(result)
            self._metrics.count(f"usage_{event}")
            self._log.write(
                "usage", event, window=window, status=result.status, seconds=late
            )
            if result.is_accepted:
                self._record.accept(window)
                self._pause = MIN_PAUSE_SECONDS
                continue
            self._send_at = clock.now() + self._pause
            self._pause = min(MAX_PAUSE_SECONDS, self._pause * 2)
            # An answer that concerns this report alone does not hold up the others.
            is_busy = result.status == TOO_MANY or result.status >= SERVER_ERROR
            if is_busy or not result.is_answered:
                return

    def _on_counts(self, identity, message):
        if self._peers.find(identity) is not None:
            self._tally.receive(identity, message.windows, self._wall_now())

    def _on_ask(self, identity, ask):
        return encode_reply(self._tally, ask.window, self._wall_now())


def _event_of(result):
    """Return the name of a `DutyResult` in the log."""
    if result.is_accepted:
        return "accepted"
    if result.is_refused:
        return "refused"
    return "unanswered" if result.is_sent else "unsent"
