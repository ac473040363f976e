"""
rosemarypath.link
~~~~~~~~~~~~~~~~~

Links between daemons: batched messages over TCP, and asks with timeouts.

A message may be lost, for example when its receiver is down or restarts. An ask is a
message that expects a reply.

Each direction has a connection of its own, and either may fall silent alone. Batches
are therefore acknowledged by number in the batches of the other direction.
"""

import asyncio
import itertools
import struct
import time
from collections import Counter

import msgspec

from rosemarypath.frames import DECODE_ERRORS, NOT_TOLD, Batch, BatchDecoder, Frame
from rosemarypath.log import get_logger
from rosemarypath.machine import is_address

__all__ = ["Link", "Mesh"]

CONNECT_TIMEOUT_SECONDS = 1.0
RECONNECT_DELAY_SECONDS = 0.1  # after a failed attempt
MAX_BATCH_FRAMES = 200
MAX_BATCH_BYTES = 16 * 1024 * 1024  # a larger batch closes the connection
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024  # unsent; beyond this, messages are dropped
MAX_WARNINGS = 100  # different ones; their texts may come from a peer
MAX_WARNING_LENGTH = 200
LENGTH = struct.Struct(">I")  # sent before each batch: its size in bytes

_log = get_logger("link")


class Link:
    """
    The sending half of the link to one incarnation of a peer.

    A task of its own connects whenever a message is queued without a connection.
    `identity` is the peer's ``name/incarnation``, `address` the ``host:port`` to
    connect to.
    """

    def __init__(self, mesh, identity, address):
        self._mesh = mesh
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._writer = None
        self._frames = []
        self._has_work = asyncio.Event()
        self._unanswered_since = None
        self._unanswered_number = None
        self._acknowledged_number = 0
        self._connect_started_at = 0.0
        self._task = asyncio.create_task(self._run())
        self.identity = identity

    def enqueue(self, frame):
        """Queue `frame` for the next batch, sent in the next iteration of the loop."""
        self._frames.append(frame)
        if len(self._frames) > 1:
            return
        if self._writer is None or self._writer.is_closing():
            self._has_work.set()
        else:
            asyncio.get_running_loop().call_soon(self._flush)

    def expect_answer(self, now):
        """Record that a message was sent that the peer should answer."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_acknowledgement(self, number):
        """Record that the peer has received the batch `number`."""
        self._acknowledged_number = max(self._acknowledged_number, number)
        expected = self._unanswered_number
        if expected is not None and number >= expected:
            self._unanswered_since = None
            self._unanswered_number = None

    def close(self):
        """End the task and close the connection."""
        self._task.cancel()
        self._disconnect()

    def reconnect_if_silent(self, now, seconds):
        """
        Drop the connection if the peer answered nothing on it for `seconds`.

        Returns whether it was dropped.
        """
        since = self._unanswered_since
        if since is None or now - since < seconds:
            return False
        was_connected = self._writer is not None
        self._disconnect()
        return was_connected

    def reconnect_if_unacknowledged(self, number, asked_at):
        """
        Drop the connection if the peer has received no batch after `number`.

        A connection that was opened after `asked_at` is kept.
        """
        if self._acknowledged_number <= number and self._connect_started_at < asked_at:
            self._disconnect()

    def _disconnect(self):
        self._unanswered_since = None
        self._unanswered_number = None
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    async def _connect(self):
        """Connect to the peer; return whether that succeeded."""
        self._connect_started_at = time.monotonic()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, self._writer = await asyncio.open_connection(self._host, self._port)
        except (OSError, TimeoutError, ValueError) as error:
            _log.debug("connecting to {} failed: {!r}", self.identity, error)
            return False
        return True

    async def _run(self):
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            if self._writer is not None and self._writer.is_closing():
                self._disconnect()
            if self._writer is None and not await self._connect():
                self._drop(self._frames)
                self._frames = []
                await asyncio.sleep(RECONNECT_DELAY_SECONDS)
                continue
            self._flush()

    def _flush(self):
        """Send the queued frames, or have the task connect first."""
        if self._writer is None or self._writer.is_closing():
            self._has_work.set()
            return
        while self._frames:
            frames = self._frames[:MAX_BATCH_FRAMES]
            del self._frames[:MAX_BATCH_FRAMES]
            self._send(frames)

    def _send(self, frames):
        writer = self._writer
        is_full = (
            writer is None
            or writer.transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES
        )
        if is_full:
            self._drop(frames)
            return
        number, data = self._mesh.encode(self.identity, frames)
        if self._unanswered_since is not None and self._unanswered_number is None:
            self._unanswered_number = number
        writer.write(LENGTH.pack(len(data)) + data)

    def _drop(self, frames):
        self._mesh.counts["dropped"] += len(frames)


class _BatchProtocol(asyncio.Protocol):
    """
    Receives the batches of one accepted connection until it ends.

    ``receive_batch(data)`` is called for each batch; `open_transports` is the set of
    open transports, which this one joins while it is connected.
    """

    def __init__(self, receive_batch, open_transports):
        self._receive_batch = receive_batch
        self._open_transports = open_transports
        self._transport = None
        self._buffer = bytearray()

    def connection_made(self, transport):
        self._transport = transport
        self._open_transports.add(transport)

    def connection_lost(self, exc):
        self._open_transports.discard(self._transport)

    def data_received(self, data):
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer, start)
            if length > MAX_BATCH_BYTES:
                _log.warning("closing a link: batch of {} bytes is too large", length)
                self._transport.abort()
                return
            end = start + LENGTH.size + length
            if len(buffer) < end:
                break
            self._receive_batch(bytes(buffer[start + LENGTH.size : end]))
            start = end
        del buffer[:start]


class Mesh:
    """
    All links of one daemon; sends messages to peers and delivers those received.

    Options:

    `identity`
        This daemon's ``name/incarnation``.
    `listen_address`
        ``host:port`` where peers connect.
    `dial_address`
        Function that maps a peer's address to the address to connect to instead.
    ``on_silent(identity)``
        Called when the connection to a peer is dropped because it was silent.
    """

    def __init__(
        self,
        identity,
        listen_address,
        dial_address=lambda address: address,
        on_silent=lambda identity: None,
    ):
        self._listen_address = listen_address
        self._dial_address = dial_address
        self._on_silent = on_silent
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = BatchDecoder()
        self._links = {}
        self._addresses = {}
        self._handlers = {}
        self._pending_asks = {}
        self._message_numbers = itertools.count(1)
        self._batch_number = 0
        self._received_numbers = {}
        self._server = None
        self._open_transports = set()
        self._tasks = set()
        self._warnings = set()
        self.identity = identity
        self.counts = Counter()

    async def start(self):
        """Start to listen; raises `OSError` if the address cannot be bound."""
        host, _, port = self._listen_address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _BatchProtocol(self._receive_batch, self._open_transports),
            host,
            int(port),
        )

    async def stop(self):
        """Close all links."""
        self.close()

    def close(self):
        """Close all links at once."""
        self._server.close()
        for link in self._links.values():
            link.close()
        self._links.clear()
        for transport in list(self._open_transports):
            transport.abort()

    def ignore_messages(self):
        """Ignore all messages received from now on, as a suspended daemon does."""
        self._handlers.clear()

    def on(self, message_type, handler):
        """
        Call ``handler(sender, message)`` for each message of `message_type`.

        The handler may be a coroutine function. Unless it returns ``None``, its result
        is sent as the reply, if `message` is an ask.
        """
        self._handlers[message_type] = handler

    def set_address(self, identity, address):
        """Set the address where the peer `identity` listens."""
        self._addresses[identity] = address

    def retain_peers(self, identities):
        """Close the links to all peers that are not in `identities`."""
        for identity in [i for i in self._links if i not in identities]:
            self._links.pop(identity).close()
            self._addresses.pop(identity, None)
            self._received_numbers.pop(identity, None)

    def send(self, identity, message, expect_answer=False):
        """
        Send `message` without waiting; it may be lost.

        With `expect_answer`, `reconnect_silent_links` reconnects the link unless the
        peer acknowledges it in time with a message of its own.
        """
        self._enqueue_frame(identity, Frame(0, 0, message), expect_answer)

    async def ask(self, identity, message, timeout):
        """
        Send `message` as an ask; return the reply, or ``None`` after `timeout` seconds.
        """
        number = next(self._message_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_asks[number] = future
        try:
            asked_at = time.monotonic()
            last_batch = self._batch_number
            self._enqueue_frame(identity, Frame(number, 0, message))
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            link = self._links.get(identity)
            if link is not None:
                link.reconnect_if_unacknowledged(last_batch, asked_at)
            return None
        finally:
            del self._pending_asks[number]

    def reconnect_silent_links(self, now, seconds):
        """Drop the connections on which no answer was received for `seconds`."""
        for link in self._links.values():
            if link.reconnect_if_silent(now, seconds):
                self._on_silent(link.identity)

    def numbers_batches(self, identity):
        """
        Return whether `identity` numbers its batches.

        Daemons that do also read packed messages; older ones do neither.
        """
        return self._received_numbers.get(identity, 0) > 0

    def encode(self, receiver, frames):
        """Return number and bytes of one batch for the peer `receiver`; count them."""
        self._batch_number += 1
        batch = Batch(
            self.identity,
            self._listen_address,
            receiver,
            frames,
            self._batch_number,
            self._received_numbers.get(receiver, 0),
        )
        data = self._encoder.encode(batch)
        self.counts["batches_sent"] += 1
        self.counts["frames_sent"] += len(frames)
        self.counts["bytes_sent"] += len(data)
        return batch.number, data

    def _enqueue_frame(self, identity, frame, expect_answer=False):
        if identity == self.identity:
            asyncio.get_running_loop().call_soon(self._deliver_frame, identity, frame)
            return
        link = self._links.get(identity)
        if link is None:
            address = self._addresses.get(identity)
            if address is None:
                self.counts["unknown_peer"] += 1
                return
            link = Link(self, identity, self._dial_address(address))
            self._links[identity] = link
        link.enqueue(frame)
        if expect_answer:
            link.expect_answer(time.monotonic())

    def _receive_batch(self, data):
        self.counts["batches_received"] += 1
        self.counts["bytes_received"] += len(data)
        try:
            batch, error = self._decoder.decode(data)
        except DECODE_ERRORS as batch_error:
            self.counts["unreadable"] += 1
            self._warn_once("a batch that cannot be decoded", str(batch_error))
            return
        if error is not None:
            self.counts["unreadable"] += 1
            self._warn_once("a message that cannot be decoded", str(error))
        self._deliver_batch(batch)

    def _deliver_batch(self, batch):
        if batch.receiver != self.identity:
            self.counts["stale_receiver"] += 1
            return
        if is_address(batch.sender_address):
            self._addresses[batch.sender] = batch.sender_address
        else:
            self._warn_once(f"the address of {batch.sender}", "no host:port")
        self._record_numbers(batch)
        for frame in batch.frames:
            self._deliver_frame(batch.sender, frame)

    def _record_numbers(self, batch):
        """Record the number of a batch, and which own batch it acknowledges."""
        known = self._received_numbers.get(batch.sender, 0)
        self._received_numbers[batch.sender] = max(batch.number, known)
        link = self._links.get(batch.sender)
        if link is None:
            return
        is_told = batch.received_number != NOT_TOLD
        link.record_acknowledgement(
            batch.received_number if is_told else self._batch_number
        )

    def _deliver_frame(self, sender, frame):
        if frame.reply_to:
            future = self._pending_asks.get(frame.reply_to)
            if future is not None and not future.done():
                future.set_result(frame.body)
            return
        handler = self._handlers.get(type(frame.body))
        if handler is None:
            return
        try:
            result = handler(sender, frame.body)
        except Exception as error:
            self._note_failed_message(sender, frame, error)
            return
        if asyncio.iscoroutine(result):
            task = asyncio.create_task(self._send_reply(sender, frame, result))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif result is not None and frame.number:
            self._enqueue_frame(sender, Frame(0, frame.number, result))

    async def _send_reply(self, sender, frame, coroutine):
        try:
            result = await coroutine
        except Exception as error:
            self._note_failed_message(sender, frame, error)
            return
        if result is not None and frame.number:
            self._enqueue_frame(sender, Frame(0, frame.number, result))

    def _note_failed_message(self, sender, frame, error):
        """Count and log a message whose handler failed; the link is kept."""
        self.counts["failed_messages"] += 1
        kind = type(frame.body).__name__
        self._warn_once(f"a message {kind} of {sender}", repr(error))

    def _warn_once(self, what, why):
        """Log that something received is ignored, unless that was logged before."""
        warning = f"ignoring {what}: {why}"[:MAX_WARNING_LENGTH]
        if warning not in self._warnings and len(self._warnings) < MAX_WARNINGS:
            self._warnings.add(warning)
            _log.warning("{}", warning)
