"""
rosemarypath.faultlog
~~~~~~~~~~~~~~~~~~~~~

Logs faults of entries once, however often an entry is written again with its fault.
"""

__all__ = ["FaultLog", "shortened"]

MAX_TEXT_LENGTH = 200  # of a name or a detail in a log line


class FaultLog:
    """
    Writes a line ``error`` of `part` to the `DecisionLog` for each new fault.

    A fault is new if the entry had another one or none when it was last read.
    """

    def __init__(self, log, part):
        self._log = log
        self._part = part
        self._faults = {}

    def update(self, name, fault, **fields):
        """Record the `fault` of the entry `name`, empty if the entry is readable."""
        if not fault:
            self._faults.pop(name, None)
            return
        fault = shortened(fault)
        if self._faults.get(name) != fault:
            self._faults[name] = fault
            self._log.write(
                self._part, "error", name=shortened(name), detail=fault, **fields
            )

    def forget(self, names):
        """Forget the faults of entries that were removed."""
        for name in names:
            self._faults.pop(name, None)


def shortened(text):
    """Return the beginning of a text, short enough for a log line."""
    return text if len(text) <= MAX_TEXT_LENGTH else f"{text[:MAX_TEXT_LENGTH]}..."
