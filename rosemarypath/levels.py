"""
rosemarypath.levels
~~~~~~~~~~~~~~~~~~~

Counts how requests met their service-level objectives, per customer and zone.
"""

from collections import defaultdict, deque

__all__ = ["FIRST_TOKEN_SECONDS", "GAP_SECONDS", "ServiceLevels", "objective_events"]

FIRST_TOKEN_SECONDS = 1.5
GAP_SECONDS = 0.061
SLICE_SECONDS = 10
MAX_SLICES = 360


class ServiceLevels:
    """
    Good and bad events in slices of ten seconds, kept for an hour.

    Each event has an objective (``first_token``, ``token_gap`` or ``refusal``), a
    customer, a zone and, when it is bad, a cause (``load_stall``, ``queue``,
    ``refusal`` or ``back_end``).
    """

    def __init__(self):
        self._slices = deque(maxlen=MAX_SLICES)

    def add(self, objective, customer, zone, cause, now):
        """Record one event; an empty `cause` means that the objective was met."""
        counts = self._slice_at(now)[1]
        counts[(objective, customer, zone, cause)] += 1

    def document(self, now):
        """Return all counts as a JSON-compatible object; `now` is wall clock."""
        return {
            "now": now,
            "slice_seconds": SLICE_SECONDS,
            "slices": [
                {
                    "start": start,
                    "counts": [[*identity, n] for identity, n in counts.items()],
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
    Return the objectives that a request met or missed, with causes, on the platform.

    `context` is its `RequestContext` at its end, `failure` why it got no answer. What
    a customer asks beyond its rate, and a caller that left, miss no objective.
    """
    if failure in {"over_budget", "left"}:
        return []
    if failure:
        return [("refusal", failure)]
    events = [("refusal", "")]
    if context.first_event_at is None:
        return events
    first = context.first_event_at - context.request.arrived
    is_late = first > context.route.objective
    events.append(("first_token", _late_cause(context) if is_late else ""))
    longest = context.route.gap_objective
    if longest and context.events.event_count > 1:
        is_cut = context.longest_gap > longest
        events.append(("token_gap", "back_end" if is_cut else ""))
    return events


def _late_cause(context):
    """Return why the first byte of an answer was late."""
    if context.sends > 1:
        return "repeated"
    return "load_stall" if context.load_seconds > 0.0 else "back_end"
