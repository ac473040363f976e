"""
bench.simulation.engine
~~~~~~~~~~~~~~~~~~~~~~~

An engine in simulated time: batching, prompts read between tokens, memory, adapters.
"""

from collections import deque
from dataclasses import dataclass, field

from rosemarypath.engineadapters import EngineAdapters

__all__ = ["SimulatedEngine", "Stream"]

MIN_CHUNK_TOKENS = 1  # tokens; a step reads at least so much of a waiting prompt


@dataclass(eq=False)
class Stream:
    """
    One request at an engine.

    `events` are the times in seconds at which its events were sent,
    `pending_prompt_tokens` the prompt tokens still to be processed and
    `generated_tokens` the tokens generated.
    """

    adapter: str
    prompt: int
    output: int
    on_first_event: object
    on_end: object
    pending_prompt_tokens: int = 0
    generated_tokens: int = 0
    events: list = field(default_factory=list)

    @property
    def cached_tokens(self):
        """Return the tokens of memory that it takes now."""
        return self.prompt - self.pending_prompt_tokens + self.generated_tokens


class SimulatedEngine:
    """
    One engine.

    `model` is the `EngineModel`; ``call_at(time, function)`` runs a function later.
    """

    def __init__(self, name, model, call_at):
        self._call_at = call_at
        self._waiting = deque()
        self._running = []
        self._is_stepping = False
        self._life = 0
        self.name = name
        self.model = model
        self.adapters = EngineAdapters(model.adapter_places)
        self.recently_unloaded = set()
        self.last_used = {}
        self.is_up = True
        self.preemption_count = 0

    def is_in_use(self, adapter):
        """Return whether a request for `adapter` runs or waits."""
        return any(s.adapter == adapter for s in (*self._running, *self._waiting))

    def accept(self, stream, now):
        """Accept a request; return false when down or without its adapter."""
        has_adapter = not stream.adapter or stream.adapter in self.adapters.loaded
        if not self.is_up or not has_adapter:
            return False
        stream.pending_prompt_tokens = stream.prompt
        self.last_used[stream.adapter] = now
        self._waiting.append(stream)
        self._start_stepping(now)
        return True

    def crash(self, now):
        """Drop all that it runs and holds."""
        self._life += 1
        lost = [*self._running, *self._waiting]
        self._running = []
        self._waiting.clear()
        self._is_stepping = False
        self.adapters = EngineAdapters(self.model.adapter_places)
        self.recently_unloaded = set()
        self.is_up = False
        for stream in lost:
            stream.on_end(now, False)

    def restart(self):
        """Run again, empty."""
        self.is_up = True

    def _start_stepping(self, now):
        if not self._is_stepping:
            self._is_stepping = True
            self._step(now, self._life)

    def _step(self, now, life):
        """Begin one step and arrange its end."""
        if life != self._life:
            return
        self._admit()
        if not self._running:
            self._is_stepping = False
            return
        read = self._read_prompts()
        decoding = [
            s for s in self._running if not s.pending_prompt_tokens and s not in read
        ]
        seconds = self.model.step + self.model.step_per_stream * len(self._running)
        seconds += sum(read.values()) / self.model.tokens_per_second
        end = now + seconds
        self._call_at(end, lambda: self._finish_step(decoding, end, life))

    def _finish_step(self, decoding, now, life):
        if life != self._life:
            return
        for stream in decoding:
            self._make_token(stream, now)
        self._preempt()
        self._step(now, life)

    def _admit(self):
        """Let waiting requests run as slots and memory allow, in order."""
        while self._waiting and len(self._running) < self.model.slots:
            stream = self._waiting[0]
            needed = stream.prompt + stream.generated_tokens + self.model.stride
            if self._taken() + needed > self.model.kv_tokens and self._running:
                return
            self._running.append(self._waiting.popleft())

    def _read_prompts(self):
        """Read one chunk of the prompts; return the tokens read by stream."""
        left = self.model.chunk
        read = {}
        for stream in self._running:
            if stream.pending_prompt_tokens and left >= MIN_CHUNK_TOKENS:
                tokens = min(left, stream.pending_prompt_tokens)
                stream.pending_prompt_tokens -= tokens
                left -= tokens
                read[stream] = tokens
        return read

    def _make_token(self, stream, now):
        stream.generated_tokens += 1
        if (
            stream.generated_tokens % self.model.stride
            and stream.generated_tokens < stream.output
        ):
            return
        stream.events.append(now)
        if len(stream.events) == 1:
            stream.on_first_event(now)
        if stream.generated_tokens >= stream.output:
            self._running.remove(stream)
            stream.on_end(now, True)

    def _preempt(self):
        """Send the newest requests back while memory is overdrawn."""
        while self._taken() > self.model.kv_tokens and len(self._running) > 1:
            stream = self._running.pop()
            stream.pending_prompt_tokens = stream.prompt + stream.generated_tokens
            self._waiting.appendleft(stream)
            self.preemption_count += 1

    def _taken(self):
        return sum(stream.cached_tokens for stream in self._running)
