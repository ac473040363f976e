"""
rosemarypath.frames
~~~~~~~~~~~~~~~~~~~

Wire format of the links between daemons: batches of messages, asks and replies.
"""

import msgspec

from rosemarypath import messages, peermessages

__all__ = ["NOT_TOLD", "Batch", "Frame"]

NOT_TOLD = -1

Body = (
    messages.Heartbeat
    | messages.HeartbeatAck
    | messages.Adopted
    | messages.Testimony
    | messages.NewsAsk
    | messages.News
    | messages.RosterAsk
    | messages.RosterDelta
    | messages.ConfigurationAsk
    | messages.ConfigurationDelta
    | messages.AdoptionAsk
    | messages.AdoptionReport
    | messages.SeatAsk
    | messages.SeatReply
    | messages.SeatRelease
    | messages.SeatsHeldAsk
    | messages.SeatsHeld
    | messages.GrantAsk
    | messages.GrantReply
    | messages.Settle
    | messages.PermitAsk
    | messages.PermitReply
    | messages.PermitReturn
    | peermessages.PeerState
    | peermessages.MirrorAsk
    | peermessages.MirrorSnapshot
    | peermessages.MirrorEvents
    | peermessages.LoadAsk
    | peermessages.LoadReply
    | peermessages.GroupDigest
    | peermessages.LeasePing
    | peermessages.LeaseAck
    | peermessages.FreshnessAsk
    | peermessages.FreshnessReply
)


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
