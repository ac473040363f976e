"""
rosemarypath.errors
~~~~~~~~~~~~~~~~~~~

Typed errors; each message names what is wrong and the remedy.
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

    `message` says what is wrong and `remedy` what to do about it.
    """

    def __init__(self, message, remedy):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(RosemarypathError):
    """The settings file of a process cannot be used."""


class RulesError(RosemarypathError):
    """
    One line of a rules file is wrong.

    `filename` and `line` (counted from 1) tell where.
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
    """A conditional update lost against another writer."""


class NotFoundError(RosemarypathError):
    """The object API holds no such object."""


class VersionGoneError(RosemarypathError):
    """A watch asked for a version that the object API no longer holds."""


class ConnectError(RosemarypathError):
    """No connection could be made, so that nothing was sent."""


class ResponseError(RosemarypathError):
    """An answer is missing or broken; the request may have been carried out."""


class AnswerTooLargeError(ResponseError):
    """An answer holds more bytes than its reader can take."""
