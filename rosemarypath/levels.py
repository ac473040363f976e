"""
rosemarypath.levels
~~~~~~~~~~~~~~~~~~~

Counts how requests met their service-level objectives, per customer and zone.
"""

from collections import defaultdict, deque

__all__ = ["FIRST_TOKEN_SECONDS", "GAP_SECONDS", "ServiceLevels", "objective_events"]

# Thresholds of the objectives on the daemon's own interface; on the users' platform
# each route has its own.
FIRST_TOKEN_SECONDS = 1.5
GAP_SECONDS = 0.061
SLICE_SECONDS = 10
MAX_SLICES = 360  # one hour


class ServiceLevels:
    """
    Counts of good and bad events in slices of ten seconds, kept for an hour.

    Each event has an objective (``first_token``, ``token_gap`` or ``refusal``), a
    customer, a zone and, when it is bad, a cause (``load_stall``, ``queue``,
    ``refusal`` or ``back_end``).
    """

    def __init__(self):
        self._slices = deque(maxlen=MAX_SLICES)

    def add(self, objective, customer, zone, cause, now):
        """
        Record one event at the wall-clock time `now`, in Unix seconds.

        An empty `cause` means that the objective was met.
        """
        counts = self._slice_at(now)[1]
        counts[(objective, customer, zone, cause)] += 1

    def document(self, now):
        """
        Return all counts as an object that can be encoded as JSON.

        `now` is the wall-clock time, in Unix seconds.
        """
        return {
            "now": now,
            "slice_seconds": SLICE_SECONDS,
            "slices": [
                {
                    "start": start,
                    "counts": [[*event_key, n] for event_key, n in counts.items()],
                }
                for start, counts in self._slices
            ],
        }

    def _slice_at(self, now):
        start = int(now // SLICE_SECONDS) * SLICE_SECONDS
        if not self._slices or self._slices[-1][0] < start:
            self._slices.append((start, defaultdict(int)))
        return self._slices[-1]


def objective_events(context, failure):
    """
    Return pairs (objective, cause) for the objectives that apply to a request.

    The cause is empty for an objective that was met. This is for requests on the users'
    platform. `context` is the `RequestContext` at the end of the request; `failure` is
    the code of the reason why it got no answer, empty if it got one. Requests beyond
    the customer's rate, and requests whose caller left, count for no objective.
    """
    if failure in {"over_budget", "left"}:
        return []
    if failure:
        return [("refusal", failure)]
    events = [("refusal", "")]
    if context.first_event_at is None:
        return events
    first_seconds = context.first_event_at - context.request.arrived
    is_late = first_seconds > context.route.objective
    events.append(("first_token", _late_cause(context) if is_late else ""))
    max_gap = context.route.gap_objective
    if max_gap and context.events.event_count > 1:
        is_missed = context.longest_gap > max_gap
        events.append(("token_gap", "back_end" if is_missed else ""))
    return events


def _late_cause(context):
    """Return the cause of a late first byte: a retry, a load, or the back end."""
    if context.sends > 1:
        return "repeated"
    return "load_stall" if context.load_seconds > 0.0 else "back_end"
