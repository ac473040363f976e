"""
standins.batch
~~~~~~~~~~~~~~

Continuous batching of an emulated engine: a step advances every running sequence by one
token, or by a part of its prompt.
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

    `adapter` is the name of the requested model, `max_tokens` the number of tokens to
    generate; sequences of the lowest `priority` are started first. `cached` skips the
    prefill of the prompt, and `ended` is set when the sequence is complete or aborted.
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
        self._reader_count = 0
        self._token_added = asyncio.Event()
        self._remaining_prefill = None

    @property
    def is_complete(self):
        """Return whether all tokens were generated."""
        return len(self.tokens) >= self.max_tokens

    def step(self):
        """Process a part of the prompt (return 0) or generate one token (return 1)."""
        if self._remaining_prefill is None:
            self._remaining_prefill = 0 if self.cached else self.prompt_tokens
        if self._remaining_prefill > 0:
            self._remaining_prefill -= PREFILL_TOKENS_PER_STEP
            return 0
        self.tokens.append(f"{self.adapter}:{self.request_id}:{len(self.tokens)} ")
        self._notify_readers()
        if self.is_complete:
            self.ended.set()
        return 1

    def abort(self):
        """End the sequence early."""
        self.ended.set()
        self._notify_readers()

    def abort_if_unread(self):
        """End the sequence early if no client is reading it."""
        if self._reader_count == 0 and not self.ended.is_set():
            self.abort()

    def _notify_readers(self):
        self._token_added.set()
        self._token_added = asyncio.Event()

    async def follow(self, position):
        """Yield the index of each token from `position` on, as it is generated."""
        self._reader_count += 1
        try:
            while True:
                while position < len(self.tokens):
                    yield position
                    position += 1
                if self.ended.is_set():
                    return
                await self._token_added.wait()
        finally:
            self._reader_count -= 1

    def token_event(self, index):
        """Return the server-sent event of the token at `index`."""
        chunk = {
            "id": self.request_id,
            "model": self.adapter,
            "choices": [{"index": 0, "delta": {"content": self.tokens[index]}}],
        }
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def usage_event(self):
        """Return the final server-sent event, which carries the token usage."""
        chunk = {
            "id": self.request_id,
            "model": self.adapter,
            "choices": [],
            "usage": self._usage(),
        }
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def response_document(self):
        """Return the complete response as a JSON-compatible object."""
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

    `capacity` bounds the running sequences. A step takes `step_seconds` plus a fixed
    time for each running sequence and for each adapter among them. `steps` and `tokens`
    count the steps run and the tokens generated.
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
        """Return the number of running and waiting sequences."""
        return len(self._running) + len(self._waiting)

    @property
    def waiting_count(self):
        """Return the number of waiting sequences."""
        return len(self._waiting)

    @property
    def request_ids(self):
        """Return the request identifiers of the sequences that have not ended."""
        sequences = self._running + self._waiting
        return [s.request_id for s in sequences if not s.ended.is_set()]

    def add(self, sequence):
        """Queue `sequence` behind the waiting ones of its priority."""
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda waiting: waiting.priority)
        self._added.set()

    def abort_all(self):
        """End every sequence early."""
        for sequence in self._running + self._waiting:
            sequence.abort()

    async def run(self, is_stalled):
        """Run steps until cancelled, except while `is_stalled()` is true."""
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
