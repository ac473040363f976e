"""
rosemarypath.retry
~~~~~~~~~~~~~~~~~~

A budget for retries, so that they cannot multiply an overload.
"""

__all__ = ["RetryBudget"]


class RetryBudget:
    """
    Lets a share of the requests be retried.

    Options:

    `ratio`
        Retries earned by each request (default 0.2).
    `max_saved`
        Retries that can be saved up, also held at the start (default 20).

    >>> budget = RetryBudget(ratio=0.5, max_saved=1)
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    def __init__(self, ratio=0.2, max_saved=20.0):
        self._ratio = ratio
        self._max_saved = max_saved
        self._saved = max_saved

    def deposit(self):
        """Record a request."""
        self._saved = min(self._max_saved, self._saved + self._ratio)

    def try_withdraw(self):
        """Take one retry; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
