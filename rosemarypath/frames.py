"""
rosemarypath.frames
~~~~~~~~~~~~~~~~~~~

What travels over a link: batches of messages, of which some ask and some reply.
"""

import msgspec

from rosemarypath import messages, peermessages

__all__ = ["Batch", "Frame"]

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

    `number` is set on asks, `reply_to` on replies; both are 0 otherwise.
    """

    number: int
    reply_to: int
    body: Body


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Messages that travel together from one incarnation to another."""

    sender: str
    sender_address: str
    receiver: str
    frames: list[Frame]
