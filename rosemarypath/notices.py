"""
rosemarypath.notices
~~~~~~~~~~~~~~~~~~~~

Times at which back ends are to be taken away, whatever they run.
"""

__all__ = ["Notices", "is_taken_away"]

# The last bytes of an answer may arrive after the end of a notice, but nothing later.
MARGIN_SECONDS = 0.3
EARLY_SECONDS = 0.5  # by which a back end may go before its notice ends


class Notices:
    """The ends of the notices of back ends; one time for each that has a notice."""

    def __init__(self):
        self._gone_at = {}

    def record(self, entry, now):
        """Record what a `BackEndEntry` that was read at the time `now` tells."""
        if entry.has_notice:
            self._gone_at[entry.back_end.name] = now + entry.remaining_seconds
        else:
            self._gone_at.pop(entry.back_end.name, None)

    def take_ended(self, back_ends, now):
        """
        Return each `BackEnd` whose notice has ended, once.

        `back_ends` are the `BackEnds`. One whose address another one has by now is left
        out.
        """
        gone = []
        for name, at in list(self._gone_at.items()):
            if now < at + MARGIN_SECONDS:
                continue
            del self._gone_at[name]
            state = back_ends.find(name)
            if state is not None and not _has_successor(state, back_ends):
                gone.append(state.back_end)
        return gone


def is_taken_away(state, now):
    """Return whether the notice of a `BackEndState` has ended or is about to."""
    entry = state.entry
    if not entry.has_notice:
        return False
    return now >= state.seen_at + entry.remaining_seconds - EARLY_SECONDS


def _has_successor(state, back_ends):
    address = state.back_end.address
    return any(
        other is not state and other.back_end.address == address
        for other in back_ends.states.values()
    )
