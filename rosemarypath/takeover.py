"""
rosemarypath.takeover
~~~~~~~~~~~~~~~~~~~~~

Receives the answer of a silent back end until another one can take the request over.
"""

import asyncio

from rosemarypath.clock import now

__all__ = ["Takeover"]

POLL_SECONDS = 0.1  # between two checks whether another back end can take over


class Takeover:
    """
    Keeps the answer of a silent back end while a send to another one is prepared.

    Options:

    ``await prepare(context)``
        Returns a `Send` to another back end, with its connection open, or ``None``.
    ``withdraw_retry(context)``
        Returns whether a retry could be withdrawn from the budget.
    ``may_send(send)``
        Returns whether a prepared send is still eligible.
    ``discard(send)``
        Drops a prepared send.
    `log`
        The `DecisionLog`.
    """

    def __init__(self, prepare, withdraw_retry, may_send, discard, log):
        self._prepare = prepare
        self._withdraw_retry = withdraw_retry
        self._may_send = may_send
        self._discard = discard
        self._log = log

    async def receive(self, send, receive):
        """
        Return what ``await receive()`` returns.

        Raises `TimeoutError` at the deadline, or as soon as another back end can take
        over; its prepared send is then the context's `prepared`.
        """
        context = send.context
        receiving = asyncio.ensure_future(receive())
        preparing = None
        try:
            while (left := context.remaining(now())) > 0.0:
                if preparing is None and now() >= send.checks_at:
                    preparing = asyncio.ensure_future(self._prepare(context))
                wait = left if preparing else min(left, send.checks_at - now())
                await asyncio.wait(
                    {receiving, preparing} if preparing else {receiving},
                    timeout=wait,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if receiving.done():
                    return receiving.result()
                if preparing is not None and preparing.done():
                    if self._take_over(context, preparing):
                        raise TimeoutError
                    preparing = None
                    send.checks_at = now() + POLL_SECONDS
            raise TimeoutError
        finally:
            receiving.cancel()
            if preparing is not None:
                self._drop(context, preparing)

    def _take_over(self, context, preparing):
        """Make the prepared send the next one; return whether there is one."""
        prepared = self._result(context, preparing)
        if prepared is None:
            return False
        if self._may_send(prepared) and self._withdraw_retry(context):
            context.prepared = prepared
            return True
        self._discard(prepared)
        return False

    def _drop(self, context, preparing):
        """Drop what was prepared, unless the request takes it over."""
        if context.prepared is not None:
            return
        if not preparing.done():
            preparing.cancel()
            context.end_wait()
            return
        prepared = self._result(context, preparing)
        if prepared is not None:
            self._discard(prepared)

    def _result(self, context, preparing):
        """Return the prepared send, ``None`` after a failure."""
        if preparing.cancelled():
            return None
        error = preparing.exception()
        if error is None:
            return preparing.result()
        self._log.write("send", "error", request=context.id, detail=repr(error))
        return None
