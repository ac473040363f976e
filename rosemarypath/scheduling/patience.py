"""
rosemarypath.scheduling.patience
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long a request waits for what it needs, and when a refused caller should return.

In a burst of rare adapters more requests wait for places than places become free before
their deadlines. A caller that is refused soon can still be served on its next attempt;
one that is held to its deadline cannot.

When connections break or engines end, streams that their callers have begun to receive
need another engine, all at once, while engines are full, paused or restarting. These
can't be refused any more: one that is not resumed is lost.
"""

import random
from math import inf

__all__ = ["caller_stay", "load_patience", "spread_retry", "wait_end"]

PATIENCE_SHARE = 0.5  # of the time until the deadline; the rest is for its run
MAX_PATIENCE_SECONDS = 3.0
# Callers leave a silent stream after the longest of these.
LEAVE_SECONDS = 2.0
LEAVE_OBJECTIVES = 4.0  # times the objective for the first event
LEAVE_GAPS = 8.0  # times the objective for the pauses between events
STREAM_PATIENCE_SECONDS = 1.8  # since the last event; callers leave after about 2.4 s
RETRY_SPREAD = 0.5  # of a retry time, so that refused callers do not return together


def caller_stay(objective, gap_objective):
    """
    Return the seconds for which callers wait for the first event of a stream.

    >>> caller_stay(0.5, 0.3), caller_stay(1.0, 0.3), caller_stay(0.1, 0.0)
    (2.4, 4.0, 2.0)
    """
    return max(LEAVE_SECONDS, LEAVE_OBJECTIVES * objective, LEAVE_GAPS * gap_objective)


def load_patience(seconds):
    """
    Return how long to wait for an adapter with `seconds` until the caller gives up.

    >>> load_patience(3.0), load_patience(15.0)
    (1.5, 3.0)
    """
    return min(MAX_PATIENCE_SECONDS, PATIENCE_SHARE * seconds)


def wait_end(has_begun, last_event_at, deadline):
    """
    Return until when a request waits for whatever it needs to be sent.

    `has_begun` tells whether its caller has received a part of the answer, the last one
    at `last_event_at`. Another request is refused or fails at once, as its caller may
    repeat it: the result is negative infinity.

    >>> wait_end(True, 10.0, 20.0), wait_end(True, 10.0, 11.0)
    (11.8, 11.0)
    >>> wait_end(False, 0.0, 9.0)
    -inf
    """
    if not has_begun:
        return -inf
    return min(deadline, last_event_at + STREAM_PATIENCE_SECONDS)


def spread_retry(seconds):
    """Return a random retry time between `seconds` and half as much again."""
    return seconds * (1.0 + RETRY_SPREAD * random.random())
