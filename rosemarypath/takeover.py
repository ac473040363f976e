"""
rosemarypath.takeover
~~~~~~~~~~~~~~~~~~~~~

Receives the answer of a silent back end until another one has taken the request over.

Load: a back end is silent for a second and goes on, while others are full, reset
connections or are silent as well. Its answer is not given up until another back end
has answered further than it.
"""

import asyncio

from rosemarypath.clock import now
from rosemarypath.errors import ResponseError

__all__ = ["Takeover"]

POLL_SECONDS = 0.1  # between two checks whether another back end can take over


class Takeover:
    """
    Keeps the answer of a silent back end while another one is tried.

    Options:

    ``await prepare(send)``
        Returns a `Send` to another back end, with its connection open, or ``None``.
    ``withdraw_retry(context)``
        Returns whether a retry could be withdrawn from the budget.
    ``may_send(send)``
        Returns whether a prepared send is still eligible.
    ``await offer(prepared, send)``
        Sends a prepared one while `send` is silent; returns whether the back end has
        taken the request. Ends the prepared send if not, or if cancelled.
    ``discard(send)``
        Drops a prepared send.
    `log`
        The `DecisionLog`.
    """

    def __init__(self, prepare, withdraw_retry, may_send, offer, discard, log):
        self._prepare = prepare
        self._withdraw_retry = withdraw_retry
        self._may_send = may_send
        self._offer = offer
        self._discard = discard
        self._log = log

    async def receive(self, send, receive):
        """
        Return what ``await receive()`` returns.

        Raises `TimeoutError` at the deadline, or once another back end has taken the
        request over; its send is then the context's `prepared`. That one may also be
        set where ``receive`` raises `ResponseError`.
        """
        context = send.context
        receiving = asyncio.ensure_future(receive())
        trying = None
        try:
            while (left := context.remaining(now())) > 0.0:
                if trying is None and now() >= send.checks_at:
                    trying = asyncio.ensure_future(self._try_other(send))
                wait = left if trying else min(left, send.checks_at - now())
                await asyncio.wait(
                    {receiving, trying} if trying else {receiving},
                    timeout=wait,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if receiving.done():
                    return await self._received(context, receiving, trying)
                if trying is not None and trying.done():
                    context.prepared = self._result(context, trying)
                    if context.prepared is not None:
                        raise TimeoutError
                    trying = None
                    send.checks_at = now() + POLL_SECONDS
            raise TimeoutError
        finally:
            receiving.cancel()
            if trying is not None:
                self._drop(context, trying)

    async def _try_other(self, send):
        """Return the send to a back end that has taken the request, or ``None``."""
        prepared = await self._prepare(send)
        if prepared is None:
            return None
        if not self._may_send(prepared) or not self._withdraw_retry(send.context):
            self._discard(prepared)
            return None
        return prepared if await self._offer(prepared, send) else None

    async def _received(self, context, receiving, trying):
        """Return what came; if nothing more will, wait for the other back end first."""
        if isinstance(receiving.exception(), ResponseError) and trying is not None:
            await asyncio.wait({trying}, timeout=context.remaining(now()))
            if trying.done():
                context.prepared = self._result(context, trying)
        return receiving.result()

    def _drop(self, context, trying):
        """Drop another send, unless it takes the request over."""
        if context.prepared is not None:
            return
        if not trying.done():
            trying.cancel()
            context.end_wait()
            return
        taken = self._result(context, trying)
        if taken is not None:
            self._discard(taken)

    def _result(self, context, trying):
        """Return the send that has taken the request, ``None`` after a failure."""
        if trying.cancelled():
            return None
        error = trying.exception()
        if error is None:
            return trying.result()
        self._log.write("send", "error", request=context.id, detail=repr(error))
        return None
