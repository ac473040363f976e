"""
rosemarypath.errors
~~~~~~~~~~~~~~~~~~~

Exceptions of the package; each states what is wrong and how to remedy it.
"""

__all__ = [
    "AnswerTooLargeError",
    "ConflictError",
    "ConnectError",
    "NotFoundError",
    "ResponseError",
    "RosemarypathError",
    "RulesError",
    "SettingsError",
    "StoreUnavailableError",
    "VersionGoneError",
]


class RosemarypathError(Exception):
    """
    Base of all errors raised by this package.

    `message` states what is wrong, `remedy` what to do about it.
    """

    def __init__(self, message, remedy):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(RosemarypathError):
    """The settings of a process are missing or invalid."""


class RulesError(RosemarypathError):
    """
    One line of a rules file is invalid.

    `filename` and `line` (counted from 1) locate it.
    """

    def __init__(self, message, remedy, filename="-", line=0):
        super().__init__(message, remedy)
        self.filename = filename
        self.line = line

    def __str__(self):
        return f"{self.filename}:{self.line}: {self.message}; {self.remedy}"


class StoreUnavailableError(RosemarypathError):
    """The object API did not answer in time, or answered with a server error."""


class ConflictError(RosemarypathError):
    """A conditional update failed, as another writer changed the object before."""


class NotFoundError(RosemarypathError):
    """The requested object, machine, key or file does not exist."""


class VersionGoneError(RosemarypathError):
    """The object API no longer has the changes since the version of a watch."""


class ConnectError(RosemarypathError):
    """No connection could be opened, so that nothing was sent."""


class ResponseError(RosemarypathError):
    """An answer is missing or incomplete; the request may have been executed."""


class AnswerTooLargeError(ResponseError):
    """An answer is larger than the reader's limit."""
