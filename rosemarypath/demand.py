"""
rosemarypath.demand
~~~~~~~~~~~~~~~~~~~

Decoded requests and answer heads, independent of the platform's header names.
"""

from dataclasses import dataclass, field
from math import inf

from rosemarypath.errors import RosemarypathError

__all__ = ["AnswerHead", "BadRequestError", "Demand", "Feedback"]


class BadRequestError(RosemarypathError):
    """A caller's request is malformed."""


@dataclass(frozen=True)
class Demand:
    """
    What one request of a caller asks for.

    Options:

    `request_id`
        The identifier of this attempt by the caller.
    `deadline`
        Seconds for which the caller waits.
    `key`
        The caller's key; empty if it sent none.
    `model`, `adapter`
        The model and adapter that must run it; empty for plain services.
    `prompt_tokens`, `output_tokens`
        Prompt length, and the maximum of tokens to generate.
    `last_event`
        Identifier of the event after which to resume a stream; empty for a new one.
    `shared_parts`, `own_part`
        Identifiers of the parts of the prompt that other requests may share, and of the
        last one, which belongs to the request alone.
    """

    request_id: str
    deadline: float
    key: str = ""
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: bytes = b""
    shared_parts: tuple = ()
    own_part: str = ""

    @property
    def adapter_key(self):
        """Return ``model/adapter``; empty where no adapter is needed."""
        return f"{self.model}/{self.adapter}" if self.adapter else ""

    @property
    def tokens(self):
        """Return the maximum of tokens that it can use."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class Feedback:
    """
    What a back end asks of its callers.

    Options:

    `rate_limit`
        Requests per second that it takes from all daemons together; infinite without a
        limit, ``None`` if the limit could not be read.
    `pause_seconds`
        Seconds for which it wants no requests from this daemon.
    `is_leaving`
        Whether it is about to end.
    """

    rate_limit: float | None = inf
    pause_seconds: float = 0.0
    is_leaving: bool = False


@dataclass(frozen=True)
class AnswerHead:
    """
    Status and headers of a back end's answer.

    Options:

    `matches_request`
        Whether it answers this request and not an earlier one on the connection.
    `is_identified`
        Whether it names the request that it answers.
    `is_signed`
        Whether it carries the back end's signature.
    `has_not_run`
        Whether the back end reports that it did not run the request.
    `is_other_back_end`
        Whether another back end has the address now.
    `feedback`
        The `Feedback` of the back end, ``None`` if another one answered.
    """

    status: int
    headers: tuple
    matches_request: bool = True
    is_identified: bool = True
    is_signed: bool = False
    has_not_run: bool = False
    is_other_back_end: bool = False
    feedback: Feedback | None = field(default_factory=Feedback)

    @property
    def is_success(self):
        """Return whether it is a signed success that may be passed to the caller."""
        return 200 <= self.status < 300 and self.is_signed

    @property
    def media_type(self):
        """Return the media type of the body in lower case, empty if it is not named."""
        value = next((v for name, v in self.headers if name == b"content-type"), b"")
        return value.partition(b";")[0].strip().lower()
