"""
rosemarypath.outcome
~~~~~~~~~~~~~~~~~~~~

Outcomes of an attempt to run a request on a back end.
"""

from dataclasses import dataclass

__all__ = ["NotRun", "Outcome", "Ran", "Unknown", "refusal_body"]


@dataclass(frozen=True)
class Outcome:
    """
    Base class of the outcomes.

    `tag` is the value of the field ``not_run`` in error bodies. `log_fields` are pairs
    of name and value that are added to the outcome's log line.
    """

    tag = None
    log_fields = ()


@dataclass(frozen=True)
class Ran(Outcome):
    """The back end accepted the request and responded with HTTP status `status`."""

    status: int
    tag = False


@dataclass(frozen=True)
class NotRun(Outcome):
    """
    No back end started the request; it is safe to repeat it.

    `status` is the HTTP status for the caller, `code` the error code. `retry_after` is
    in seconds, 0 if waiting does not help; `can_retry` tells whether another back end
    may be tried at once.
    """

    status: int
    code: str
    message: str
    retry_after: float = 0.0
    can_retry: bool = False
    log_fields: tuple = ()
    tag = True


@dataclass(frozen=True)
class Unknown(Outcome):
    """The request was sent and may have run: no response proves that it was refused."""

    status: int
    code: str
    message: str
    tag = "unknown"


def refusal_body(outcome, request_id):
    """
    Return the JSON-compatible error body for `outcome`, in the OpenAI style.

    >>> refusal_body(NotRun(429, "rate_limited", "over the rate", 1.5), "r1")["error"]["code"]
    'rate_limited'
    """  # noqa: E501
    return {
        "error": {
            "message": outcome.message,
            "type": "rosemarypath_error",
            "code": outcome.code,
            "not_run": outcome.tag,
            "request_id": request_id,
        }
    }
