"""
rosemarypath.frames
~~~~~~~~~~~~~~~~~~~

Wire format of the links between daemons: batches of messages, asks and replies.
"""

import functools
import operator

import msgspec

from rosemarypath import messages, peermessages  # noqa: F401 (defines messages)

__all__ = ["NOT_TOLD", "Batch", "Frame", "RawBatch", "decode_readable"]

NOT_TOLD = -1
Body = functools.reduce(operator.or_, messages.Message.__subclasses__())


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """
    One message in a batch.

    `number` identifies an ask, which expects a reply; `reply_to` is set in a reply to
    the number of its ask. Both are 0 for other messages.
    """

    number: int
    reply_to: int
    body: Body


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """
    Messages sent together from one incarnation of a daemon to another.

    `sender` and `receiver` are ``name/incarnation``, `sender_address` is the
    ``host:port`` where the sender listens. `number` grows with each batch that the
    sender sends to anybody; `received_number` is that of the last batch which the
    sender received from the receiver: 0 before the first, `NOT_TOLD` from a daemon that
    does not number batches.
    """

    sender: str
    sender_address: str
    receiver: str
    frames: list[Frame]
    number: int = 0
    received_number: int = NOT_TOLD


class _RawFrame(msgspec.Struct, frozen=True, array_like=True):
    """A `Frame` whose message is not decoded yet."""

    number: int
    reply_to: int
    body: msgspec.Raw


class RawBatch(msgspec.Struct, frozen=True, array_like=True):
    """A `Batch` whose messages are not decoded yet."""

    sender: str
    sender_address: str
    receiver: str
    frames: list[_RawFrame]
    number: int = 0
    received_number: int = NOT_TOLD


_body_decoder = msgspec.msgpack.Decoder(Body)


def decode_readable(raw):
    """Return the `Batch` of a `RawBatch` without the messages that are unreadable."""
    frames = []
    for frame in raw.frames:
        try:
            body = _body_decoder.decode(frame.body)
        except (msgspec.DecodeError, ValueError, RecursionError):
            continue
        frames.append(Frame(frame.number, frame.reply_to, body))
    return Batch(
        raw.sender,
        raw.sender_address,
        raw.receiver,
        frames,
        raw.number,
        raw.received_number,
    )
