"""
rosemarypath.frames
~~~~~~~~~~~~~~~~~~~

Wire format of the links between daemons: batches of messages, asks and replies.
"""

import functools
import operator
from typing import Generic, TypeVar

import msgspec

from rosemarypath import messages, peermessages  # noqa: F401 (defines messages)

__all__ = ["DECODE_ERRORS", "NOT_TOLD", "Batch", "BatchDecoder", "Frame"]

NOT_TOLD = -1
DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
Body = functools.reduce(operator.or_, messages.Message.__subclasses__())


MessageBody = TypeVar("MessageBody")


class Frame(msgspec.Struct, Generic[MessageBody], frozen=True, array_like=True):
    """
    One message in a batch.

    `number` identifies an ask, which expects a reply; `reply_to` is set in a reply to
    the number of its ask. Both are 0 for other messages.
    """

    number: int
    reply_to: int
    body: MessageBody


class Batch(msgspec.Struct, Generic[MessageBody], frozen=True, array_like=True):
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
    frames: list[Frame[MessageBody]]
    number: int = 0
    received_number: int = NOT_TOLD


class BatchDecoder:
    """Decodes batches; an unreadable message costs only itself."""

    def __init__(self):
        self._decoder = msgspec.msgpack.Decoder(Batch[Body])
        self._raw_decoder = msgspec.msgpack.Decoder(Batch[msgspec.Raw])
        self._body_decoder = msgspec.msgpack.Decoder(Body)

    def decode(self, data):
        """
        Return the `Batch` in `data`, and the error of its last unreadable message.

        The error is ``None`` if all are readable. Raises one of `DECODE_ERRORS` if the
        batch itself is not.
        """
        try:
            return self._decoder.decode(data), None
        except DECODE_ERRORS:
            return self._decode_each(self._raw_decoder.decode(data))

    def _decode_each(self, raw):
        frames = []
        last_error = None
        for frame in raw.frames:
            try:
                body = self._body_decoder.decode(frame.body)
            except DECODE_ERRORS as error:
                last_error = error
            else:
                frames.append(msgspec.structs.replace(frame, body=body))
        return msgspec.structs.replace(raw, frames=frames), last_error
