"""
rosemarypath.retry
~~~~~~~~~~~~~~~~~~

Retry budget, so that retries cannot multiply an overload.
"""

__all__ = ["RetryBudget"]


class RetryBudget:
    """
    Limits retries to a share of the requests.

    Options:

    `ratio`
        Retries that each request adds to the budget (default 0.2).
    `max_saved`
        Maximum of saved retries, and their number at the start (default 20).

    >>> budget = RetryBudget(ratio=0.5, max_saved=1)
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    def __init__(self, ratio=0.2, max_saved=20.0):
        self._ratio = ratio
        self._max_saved = max_saved
        self._saved = max_saved

    def deposit(self):
        """Add the share of one request to the budget."""
        self._saved = min(self._max_saved, self._saved + self._ratio)

    def try_withdraw(self):
        """Take one retry; return whether the budget had one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
