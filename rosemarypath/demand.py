"""
rosemarypath.demand
~~~~~~~~~~~~~~~~~~~

What a caller asks for and what a back end answers, free of header names.
"""

from dataclasses import dataclass

from rosemarypath.errors import RosemarypathError

__all__ = ["AnswerHead", "BadRequestError", "Demand"]


class BadRequestError(RosemarypathError):
    """A caller's request cannot be read."""


@dataclass(frozen=True)
class Demand:
    """
    What one request of a caller needs.

    Options:

    `request`
        The identifier of this attempt of the caller.
    `deadline`
        Seconds that the caller waits.
    `key`
        The caller's key, empty without one.
    `model`, `adapter`
        What must run it; empty for plain services.
    `prompt_tokens`, `output_tokens`
        Its size; the second is the most that it may generate.
    `last_event`
        Identifier after which a stream goes on, empty for a new one.
    """

    request: str
    deadline: float
    key: str = ""
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: bytes = b""

    @property
    def adapter_key(self):
        """Return model and adapter as one name; empty where no adapter is needed."""
        return f"{self.model}/{self.adapter}" if self.adapter else ""

    @property
    def tokens(self):
        """Return the most tokens that it can use."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class AnswerHead:
    """
    Status and headers of a back end's answer.

    Options:

    `matches_request`
        Whether it answers this request and no earlier one.
    `is_signed`
        Whether it carries the back end's signature.
    `has_not_run`
        Whether the back end says that it did not run the request.
    `is_other_back_end`
        Whether another back end has the address now.
    """

    status: int
    headers: tuple
    matches_request: bool = True
    is_signed: bool = False
    has_not_run: bool = False
    is_other_back_end: bool = False

    @property
    def is_success(self):
        """Return whether it is a complete success that may be passed on."""
        return 200 <= self.status < 300 and self.is_signed
