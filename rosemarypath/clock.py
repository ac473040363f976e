"""
rosemarypath.clock
~~~~~~~~~~~~~~~~~~

Monotonic clocks: one stops while the machine is suspended, the other goes on. And the
wall clock, for what machines compare with each other or with the platform.
"""

import time

__all__ = ["lease_now", "now", "wall_now"]


def now():
    """Return the clock for timeouts and rates, in seconds; stops in a suspension."""
    return time.monotonic()


def lease_now():
    """
    Return the clock for leases, in seconds; the time of a suspension is counted.

    A lease runs out on other machines while its holder is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_now():
    """Return the wall clock in Unix seconds."""
    return time.time()
