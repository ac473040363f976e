"""
rosemarypath.sendresults
~~~~~~~~~~~~~~~~~~~~~~~~

Records how sends end, and turns failed ones into outcomes.
"""

from rosemarypath.clock import now
from rosemarypath.outcome import NotRun, Unknown

__all__ = ["LIMITED", "WITHDRAWN", "SendResults"]

UNREACHABLE_WEIGHT = 2.0  # failures that a refused connection counts as
MISDIRECTED_WEIGHT = 4.0  # the same where another back end has the address now
SILENCE_WEIGHT = 0.5  # the same for one that fell silent and may go on
REJECTED_WEIGHT = 0.5  # the same for a request that the back end rejected
REJECTED_RETRY_SECONDS = 0.3  # until a full back end has capacity again
UNREACHABLE_RETRY_SECONDS = 0.1  # short, as another back end is tried next
MISDIRECTED = 421
FULL = 503  # the back end has no free slot
LIMITED = "limited"  # the back end takes no more requests from all daemons for now
WITHDRAWN = "withdrawn"  # the back end stopped accepting the request meanwhile


class SendResults:
    """
    Records failures at the state of the back end, in the log and in the metrics.

    Options:

    `fleet`
        The `FleetView`.
    `log`, `metrics`
        The `DecisionLog` and the counters.
    """

    def __init__(self, fleet, log, metrics):
        self._fleet = fleet
        self._log = log
        self._metrics = metrics

    def unreachable(self, send, message):
        """Record a failed connection; return a `NotRun`."""
        send.state.record_failure(now(), UNREACHABLE_WEIGHT)
        self.log_end(send, "unreachable", message)
        send.context.excluded.add(send.state.name)
        return NotRun(503, "unreachable", message, UNREACHABLE_RETRY_SECONDS, True)

    def limited(self, send, seconds):
        """Record that the back end takes no further request for `seconds`."""
        send.state.close(now() + seconds)
        self.log_end(send, LIMITED, f"{seconds:.3f}")
        return NotRun(503, LIMITED, "the back end's limit is used up", seconds, True)

    def withdrawn(self, send):
        """Record that the back end stopped accepting requests during the connect."""
        self.log_end(send, WITHDRAWN, "")
        return NotRun(
            503,
            WITHDRAWN,
            "the back end stopped accepting requests",
            UNREACHABLE_RETRY_SECONDS,
            True,
        )

    def unknown(self, send, reason, message):
        """Record a missing, incomplete or invalid answer; return an `Unknown`."""
        context, state = send.context, send.state
        state.record_failure(now())
        self.log_end(send, reason, message)
        context.excluded |= context.excluded_after_failure(state.name)
        status = 504 if context.remaining(now()) <= 0.0 else 502
        return Unknown(status, reason, message)

    def rejected(self, send):
        """Record that the back end answered that it did not run the request."""
        context, state, head = send.context, send.state, send.head
        context.rejections += 1
        self.log_end(send, "rejected", str(head.status))
        if head.is_other_back_end:
            state.record_failure(now(), MISDIRECTED_WEIGHT)
            context.excluded.add(state.name)
        elif head.status == MISDIRECTED:
            state.adapters.pop(context.demand.adapter_key, None)
            self._fleet.record_missing(state, context.demand.adapter_key)
        else:
            if head.status == FULL and self._fleet.is_measured(context.service):
                state.record_full(now())
            else:
                state.record_failure(now(), REJECTED_WEIGHT)
            context.excluded |= context.excluded_after_failure(state.name)
        return NotRun(
            503,
            "rejected",
            "the back end rejected the request",
            REJECTED_RETRY_SECONDS,
            True,
        )

    def record_silence(self, send):
        """Record, once a send, that the back end fell silent."""
        if send.was_silent:
            return
        send.was_silent = True
        send.state.record_failure(now(), SILENCE_WEIGHT)
        self._metrics.count("silences")
        self._log.write(
            "send",
            "waiting",
            request=send.context.id,
            back_end=send.state.name,
            sends=send.context.sends,
            events=send.context.events.event_count,
            seconds=round(now() - send.started, 4),
        )

    def log_end(self, send, event, message):
        context = send.context
        seconds = now() - send.started
        self._metrics.observe(event, context.route.kind, seconds)
        self._log.write(
            "send",
            event,
            request=context.id,
            back_end=send.state.name,
            sends=context.sends,
            events=(send.events or context.events).event_count,
            seconds=round(seconds, 4),
            connecting=round(send.connect_seconds, 4),
            first=round((context.first_event_at or now()) - context.request.arrived, 4),
            gap=round(context.longest_gap, 4),
            detail=message,
        )
