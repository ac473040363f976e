"""
standins.batch
~~~~~~~~~~~~~~

Continuous batching: each step gives one token to every running sequence.
"""

import asyncio

import msgspec

__all__ = ["Batch", "Sequence"]

PREFILL_TOKENS_PER_STEP = 256
SECONDS_PER_SEQUENCE = 0.0005
SECONDS_PER_ADAPTER = 0.001


class Sequence:
    """
    One request inside an engine.

    Options: `request_id`, `adapter`, `prompt_tokens`, `max_tokens` and `priority`
    (0 is served first).
    """

    def __init__(self, request_id, adapter, prompt_tokens, max_tokens, priority):
        self.request_id = request_id
        self.adapter = adapter
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.priority = priority
        self.cached = False
        self.tokens = []
        self.ended = asyncio.Event()
        self._readers = 0
        self._grown = asyncio.Event()
        self._prefill_left = None

    @property
    def is_complete(self):
        """Return whether all tokens were generated."""
        return len(self.tokens) >= self.max_tokens

    def step(self):
        """Advance by one step: a part of the prompt, or one token."""
        if self._prefill_left is None:
            self._prefill_left = 0 if self.cached else self.prompt_tokens
        if self._prefill_left > 0:
            self._prefill_left -= PREFILL_TOKENS_PER_STEP
            return 0
        self.tokens.append(f"{self.adapter}:{self.request_id}:{len(self.tokens)} ")
        self._wake()
        if self.is_complete:
            self.ended.set()
        return 1

    def abort(self):
        """End the sequence early."""
        self.ended.set()
        self._wake()

    def abort_if_unread(self):
        """End the sequence early unless a reader follows it."""
        if self._readers == 0 and not self.ended.is_set():
            self.abort()

    def _wake(self):
        self._grown.set()
        self._grown = asyncio.Event()

    async def follow(self, position):
        """Yield the index of each token from `position` on, as it appears."""
        self._readers += 1
        try:
            while True:
                while position < len(self.tokens):
                    yield position
                    position += 1
                if self.ended.is_set():
                    return
                await self._grown.wait()
        finally:
            self._readers -= 1

    def event(self, index):
        """Return the server-sent event of one token."""
        chunk = {
            "id": self.request_id,
            "model": self.adapter,
            "choices": [{"index": 0, "delta": {"content": self.tokens[index]}}],
        }
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def last_event(self):
        """Return the server-sent event that carries the usage."""
        chunk = {
            "id": self.request_id,
            "model": self.adapter,
            "choices": [],
            "usage": self._usage(),
        }
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def answer(self):
        """Return the whole answer as a JSON-compatible object."""
        message = {"role": "assistant", "content": "".join(self.tokens)}
        return {
            "id": self.request_id,
            "model": self.adapter,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self._usage(),
        }

    def _usage(self):
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": len(self.tokens),
            "total_tokens": self.prompt_tokens + len(self.tokens),
        }


class Batch:
    """
    The running and the waiting sequences of an engine.

    `capacity` bounds the running ones, `step_seconds` is the time of an empty step.
    """

    def __init__(self, capacity, step_seconds):
        self._capacity = capacity
        self._step_seconds = step_seconds
        self._running = []
        self._waiting = []
        self._added = asyncio.Event()
        self.steps = 0
        self.tokens = 0

    @property
    def running_count(self):
        """Return how many sequences run or wait to run at the next step."""
        return len(self._running) + len(self._waiting)

    @property
    def waiting_count(self):
        """Return how many sequences wait."""
        return len(self._waiting)

    @property
    def request_ids(self):
        """Return the identifiers of all sequences that have not ended."""
        sequences = self._running + self._waiting
        return [s.request_id for s in sequences if not s.ended.is_set()]

    def add(self, sequence):
        """Queue `sequence` behind those of its priority."""
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda waiting: waiting.priority)
        self._added.set()

    def abort_all(self):
        """End every sequence early."""
        for sequence in self._running + self._waiting:
            sequence.abort()

    async def run(self, is_stalled):
        """Run steps for ever; none runs while `is_stalled()` is true."""
        while True:
            self._drop_ended()
            if not self._running or is_stalled():
                self._added.clear()
                if not self._waiting or is_stalled():
                    await self._wait_for_work()
                continue
            adapters = {sequence.adapter for sequence in self._running}
            await asyncio.sleep(
                self._step_seconds
                + SECONDS_PER_SEQUENCE * len(self._running)
                + SECONDS_PER_ADAPTER * len(adapters)
            )
            self.steps += 1
            for sequence in self._running:
                if not sequence.ended.is_set():
                    self.tokens += sequence.step()

    async def _wait_for_work(self):
        try:
            await asyncio.wait_for(self._added.wait(), 0.2)
        except asyncio.TimeoutError:
            pass

    def _drop_ended(self):
        self._running = [s for s in self._running if not s.ended.is_set()]
        self._waiting = [s for s in self._waiting if not s.ended.is_set()]
        while self._waiting and len(self._running) < self._capacity:
            self._running.append(self._waiting.pop(0))
