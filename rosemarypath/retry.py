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
    `most`
        Retries that can be saved up, also held at the start (default 20).

    >>> budget = RetryBudget(ratio=0.5, most=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, ratio=0.2, most=20.0):
        self._ratio = ratio
        self._most = most
        self._saved = most

    def earn(self):
        """Record a request."""
        self._saved = min(self._most, self._saved + self._ratio)

    def spend(self):
        """Take one retry; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
