"""
rosemarypath.clock
~~~~~~~~~~~~~~~~~~

Clocks by purpose: one that stands still in a suspended machine, one that does not.
"""

import time

__all__ = ["lease_now", "now"]


def now():
    """Return the clock for timeouts and rates, in seconds."""
    return time.monotonic()


def lease_now():
    """Return the clock for leases, in seconds; a suspension counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
