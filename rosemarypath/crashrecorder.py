"""
rosemarypath.crashrecorder
~~~~~~~~~~~~~~~~~~~~~~~~~~

Records what sends tell about requests that crash back ends.
"""

from rosemarypath.clock import now
from rosemarypath.notices import is_taken_away

__all__ = ["SERVER_ERROR", "CrashRecorder"]

CRASH_CHECK_SECONDS = 0.3  # to find out whether a back end still listens
# An answer that has gone on for longer did not cause the crash that ended it.
SUSPECT_ANSWER_SECONDS = 2.0
SERVER_ERROR = 500  # and higher statuses


class CrashRecorder:
    """
    Passes crashes and answers on to the quarantine.

    Options:

    `pool`
        The `ConnectionPool`, to find out whether a back end still listens.
    `quarantine`
        The `StagedQuarantine`.
    `log`
        The `DecisionLog`.
    """

    def __init__(self, pool, quarantine, log):
        self._pool = pool
        self._quarantine = quarantine
        self._log = log

    async def record_crash(self, send):
        """
        Record a crash under the request if the back end is gone.

        One whose notice ends was taken away, whatever it ran.
        """
        if is_taken_away(send.state, now()):
            return
        if send.has_first_event and now() - send.began_at > SUSPECT_ANSWER_SECONDS:
            return
        address = send.state.back_end.address
        if not await self._pool.is_refused(address, now(), CRASH_CHECK_SECONDS):
            return
        suspects = send.context.suspects
        send.context.was_in_crash = True
        self._quarantine.record_crash(
            send.state.incarnation, suspects, now(), send.has_first_event
        )
        self._log.write(
            "quarantine",
            "crash",
            request=send.context.id,
            back_end=send.state.name,
            events=send.context.events.event_count,
            suspects=suspects,
        )

    def _known_suspects(self, context):
        """Return what an answer may clear; the body is hashed only if needed."""
        if self._quarantine.has_suspects:
            return context.suspects
        return context.suspected_parts

    def record_begun(self, context):
        """Record that a back end began to answer the request."""
        self._quarantine.record_begun(self._known_suspects(context), now())

    def record_complete(self, send, is_valid):
        """
        Record that an answer ended whole.

        An error does not show that the request ran, and the end of an answer that was
        resumed after a crash does not show that all of it is harmless.
        """
        suspects = self._known_suspects(send.context)
        is_proof = is_valid and send.head.status < SERVER_ERROR
        if is_proof and not send.context.was_in_crash:
            self._quarantine.record_complete(suspects, now())
        else:
            self._quarantine.record_begun(suspects, now())
