"""
rosemarypath.scheduling.patience
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long a request waits for its adapter, and when a refused caller should return.

In a burst of rare adapters more requests wait for places than places become free before
their deadlines. A caller that is refused soon can still be served on its next attempt;
one that is held to its deadline cannot.
"""

import random

__all__ = ["load_patience", "spread_retry"]

PATIENCE_SHARE = 0.5  # of the time until the deadline; the rest is for its run
MAX_PATIENCE_SECONDS = 3.0
RETRY_SPREAD = 0.5  # of a retry time, so that refused callers do not return together


def load_patience(seconds):
    """
    Return how long to wait for an adapter with `seconds` until the deadline.

    >>> load_patience(3.0), load_patience(15.0)
    (1.5, 3.0)
    """
    return min(MAX_PATIENCE_SECONDS, PATIENCE_SHARE * seconds)


def spread_retry(seconds):
    """Return a random retry time between `seconds` and half as much again."""
    return seconds * (1.0 + RETRY_SPREAD * random.random())
