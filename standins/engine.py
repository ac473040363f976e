"""
standins.engine
~~~~~~~~~~~~~~~

Emulates a model engine: batches requests in steps, keeps adapters in a limited number
of slots and streams the generated tokens.
"""

import asyncio
import time
from collections import OrderedDict
from functools import partial

import aiohttp
import msgspec
from blacksheep import Response, StreamedContent

from rosemarypath.httpserver import (
    json_response,
    wait_for_disconnect,
)
from standins.batch import Batch, Sequence
from standins.faults import Faults
from standins.process import build_parser, run_stand_in

__all__ = ["Engine", "main"]

LOAD_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 0.5
RESTART_SECONDS = 1.0
RESUME_WINDOW_SECONDS = 3.0
MAX_CACHE_EVENTS = 200
PREFIX_CHARACTERS = 64
MAX_CACHED_PREFIXES = 256


class Engine:
    """
    One emulated engine.

    Faults, set by ``POST /faults``:

    - ``refuse``: answer 503 without running the request
    - ``silent_requests``: run that many requests and never answer them
    - ``fail_loads``: fail that many loads of adapters
    - ``stall``: run no steps
    - ``cold``: limit the engine to its cold capacity
    - ``gap_events``: omit every second cache event, so that their numbers have gaps

    Options:

    `capacity`, `cold_capacity`
        Concurrent requests of a warm engine and of a cold one. Further requests wait
        at a warm engine; a cold one crashes and restarts.
    `slots`
        Number of adapters loaded at once.
    `fences`
        ``yes`` if requests with an outdated fencing token are refused, else ``no``.
    `warm_after`
        Number of completed requests after which the engine is warm.
    """

    def __init__(self, options, history):
        self._history = history
        self._model = options.model
        self._slots = options.slots
        self._capacity = options.capacity
        self._cold_capacity = options.cold_capacity
        self._warm_after = options.warm_after
        self._checks_fences = options.fences == "yes"
        self._weight_store = options.weight_store
        self._session = None
        self._highest_fence = 0
        self._completed = 0
        self._down_until = 0.0
        # Running requests of each loaded adapter.
        self._request_counts = {}
        self._loading = set()
        self._prefixes = OrderedDict()
        self._cache_events = []
        self._last_event_number = 0
        self._sequences = {}
        self._report = {}
        self.batch = Batch(options.capacity, options.step_ms / 1000.0)
        self.faults = Faults(
            {
                "refuse": False,
                "silent_requests": 0,
                "fail_loads": 0,
                "stall": False,
                "cold": False,
                "gap_events": False,
            }
        )

    @property
    def is_cold(self):
        """Return whether the engine is limited to its cold capacity."""
        return self.faults["cold"] or self._completed < self._warm_after

    def add_routes(self, server):
        """Serve the engine's API on `server`."""
        server.add("POST", "/v1/chat/completions", self._handle_completion)
        server.add("POST", "/v1/completions", self._handle_completion)
        server.add("GET", "/v1/models", self._list_models)
        server.add("POST", "/v1/load_lora_adapter", self._load)
        server.add("POST", "/v1/unload_lora_adapter", self._unload)
        server.add("GET", "/v1/requests/{request_id}", self._show_request)
        server.add("GET", "/v1/requests/{request_id}/stream", self._resume)
        server.add("POST", "/v1/requests/{request_id}/cancel", self._cancel)
        server.add("GET", "/load", self._show_load)
        server.add("GET", "/events", self._show_events)
        server.add("POST", "/restart", self._restart)
        self.faults.add_routes(server)

    async def run(self):
        """Run the steps and refresh the load report periodically until cancelled."""
        reporter = asyncio.create_task(self._refresh_report())
        try:
            await self.batch.run(lambda: self.faults["stall"])
        finally:
            reporter.cancel()

    async def _refresh_report(self):
        while True:
            self._report = {
                "running": self.batch.running_count,
                "waiting": self.batch.waiting_count,
                "adapters": sorted(self._request_counts),
                "completed": self._completed,
                "requests": self.batch.request_ids,
                "running_adapters": [a for a, n in self._request_counts.items() if n],
                "steps": self.batch.steps,
                "tokens": self.batch.tokens,
                "time": time.time(),
            }
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    async def _show_load(self, request):
        return json_response(200, self._report)

    async def _list_models(self, request):
        names = [self._model, *sorted(self._request_counts)]
        return json_response(
            200, {"object": "list", "data": [{"id": n} for n in names]}
        )

    async def _show_events(self, request):
        after = int(request.query.get("after", ["0"])[0])
        events = [e for e in self._cache_events if e["number"] > after]
        return json_response(200, {"events": events})

    async def _restart(self, request):
        self._crash("restart")
        return json_response(200, {})

    def _crash(self, reason):
        self._history.write(reason, running=self.batch.running_count)
        self._down_until = time.monotonic() + RESTART_SECONDS
        self._request_counts.clear()
        self._prefixes.clear()
        self._completed = 0
        self.batch.abort_all()

    def _find_refusal(self, request):
        """Return a refusal if restarting or the fence is outdated, else ``None``."""
        if time.monotonic() < self._down_until:
            return json_response(503, {"error": {"code": "restarting"}})
        fence = int(request.get_first_header(b"X-Fence") or b"0")
        if self._checks_fences and fence < self._highest_fence:
            return json_response(409, {"error": {"code": "old_fence"}})
        self._highest_fence = max(self._highest_fence, fence)
        return None

    async def _load(self, request):
        body_fields = msgspec.json.decode(await request.read())
        refusal = self._find_refusal(request)
        if refusal is not None:
            return refusal
        name = body_fields["lora_name"]
        if name in self._request_counts:
            return json_response(200, {"already": True})
        if len(self._request_counts) + len(self._loading) >= self._slots:
            return json_response(409, {"error": {"code": "no_slot"}})
        self._loading.add(name)
        try:
            loaded = await self._fetch_weights(name)
        finally:
            self._loading.discard(name)
        if not loaded:
            return json_response(500, {"error": {"code": "load_failed"}})
        self._request_counts[name] = 0
        self._history.write("load", adapter=name)
        return json_response(200, {})

    async def _fetch_weights(self, name):
        if self.faults["fail_loads"] > 0:
            self.faults._values["fail_loads"] -= 1
            return False
        if not self._weight_store:
            await asyncio.sleep(LOAD_SECONDS)
            return True
        if self._session is None:
            self._session = aiohttp.ClientSession()
        try:
            url = f"http://{self._weight_store}/weights/{name}"
            async with self._session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _unload(self, request):
        body_fields = msgspec.json.decode(await request.read())
        refusal = self._find_refusal(request)
        if refusal is not None:
            return refusal
        name = body_fields["lora_name"]
        if name not in self._request_counts:
            return json_response(404, {"error": {"code": "not_loaded"}})
        in_use = self._request_counts.pop(name)
        self._history.write("unload", adapter=name, in_use=in_use)
        return json_response(200, {})

    async def _handle_completion(self, request):
        body = await request.read()
        self._record_leaked_key(request, body)
        refusal = self._find_refusal(request)
        if refusal is not None:
            return refusal
        if self.faults["refuse"]:
            return json_response(503, {"error": {"code": "overloaded"}})
        body_fields = msgspec.json.decode(body)
        if (
            body_fields["model"] != self._model
            and body_fields["model"] not in self._request_counts
        ):
            return json_response(404, {"error": {"code": "adapter_not_loaded"}})
        if self.is_cold and self.batch.running_count >= self._cold_capacity:
            self._crash("fell_over")
            return json_response(503, {"error": {"code": "fell_over"}})
        sequence = self._start_sequence(request, body_fields)
        if self.faults["silent_requests"] > 0:
            self.faults._values["silent_requests"] -= 1
            await self.faults.hang()
        if body_fields.get("stream"):
            content = StreamedContent(
                b"text/event-stream", partial(self._stream, request, sequence, 0)
            )
            return Response(200, None, content)
        return await self._wait_for_response(request, sequence)

    def _start_sequence(self, request, body_fields):
        request_id = (request.get_first_header(b"X-Request-Id") or b"").decode()
        prompt = _prompt_text(body_fields)
        sequence = Sequence(
            request_id,
            body_fields["model"],
            max(1, len(prompt) // 4),
            int(body_fields.get("max_tokens") or 16),
            int(request.get_first_header(b"X-Priority") or b"1"),
        )
        sequence.cached = self._touch_prefix(prompt[:PREFIX_CHARACTERS])
        if sequence.adapter in self._request_counts:
            self._request_counts[sequence.adapter] += 1
        self._sequences[request_id] = sequence
        self._history.write(
            "request_start",
            request=request_id,
            adapter=sequence.adapter,
            customer=(request.get_first_header(b"X-Customer") or b"").decode(),
            fence=int(request.get_first_header(b"X-Fence") or b"0"),
            running=self.batch.running_count + 1,
            cold=self.is_cold,
        )
        self.batch.add(sequence)
        asyncio.create_task(self._await_end(sequence))
        return sequence

    async def _await_end(self, sequence):
        await sequence.ended.wait()
        if self._request_counts.get(sequence.adapter, 0) > 0:
            self._request_counts[sequence.adapter] -= 1
        if sequence.is_complete:
            self._completed += 1
        self._history.write(
            "request_end",
            request=sequence.request_id,
            tokens=len(sequence.tokens),
            prompt_tokens=sequence.prompt_tokens,
            complete=sequence.is_complete,
        )
        await asyncio.sleep(RESUME_WINDOW_SECONDS)
        if self._sequences.get(sequence.request_id) is sequence:
            del self._sequences[sequence.request_id]

    def _touch_prefix(self, prefix):
        """Cache `prefix` as the most recently used; return whether it was cached."""
        cached = prefix in self._prefixes
        self._prefixes[prefix] = True
        self._prefixes.move_to_end(prefix)
        if not cached:
            self._publish_cache_event("stored", prefix)
        if len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._publish_cache_event("removed", self._prefixes.popitem(last=False)[0])
        return cached

    def _publish_cache_event(self, kind, prefix):
        self._last_event_number += 1
        if self.faults["gap_events"] and self._last_event_number % 2:
            return
        event = {"number": self._last_event_number, "kind": kind, "prefix": prefix}
        self._cache_events.append(event)
        del self._cache_events[:-MAX_CACHE_EVENTS]

    def _record_leaked_key(self, request, body):
        received = (
            b" ".join(name + b":" + value for name, value in request.headers) + body
        )
        received += request.url.value
        if b"rp-" in received or b"authorization" in received.lower():
            self._history.write("key_seen")

    async def _stream(self, request, sequence, position):
        watcher = asyncio.create_task(wait_for_disconnect(request))
        watcher.add_done_callback(lambda _: self._abort_unless_resumed(sequence))
        try:
            async for index in sequence.follow(position):
                yield sequence.token_event(index)
            if sequence.is_complete:
                yield sequence.usage_event()
                yield b"data: [DONE]\n\n"
            else:
                raise ConnectionResetError("sequence was aborted")
        finally:
            watcher.cancel()

    def _abort_unless_resumed(self, sequence):
        """Abort `sequence` if no client resumes it within the resume window."""
        if not sequence.ended.is_set():
            loop = asyncio.get_running_loop()
            loop.call_later(RESUME_WINDOW_SECONDS, sequence.abort_if_unread)

    async def _wait_for_response(self, request, sequence):
        watcher = asyncio.create_task(wait_for_disconnect(request))
        watcher.add_done_callback(
            lambda task: (
                None if task.cancelled() else self._abort_unless_resumed(sequence)
            )
        )
        await sequence.ended.wait()
        watcher.cancel()
        if not sequence.is_complete:
            return json_response(500, {"error": {"code": "aborted"}})
        return json_response(200, sequence.response_document())

    async def _resume(self, request):
        await request.read()
        sequence = self._sequences.get(request.route_values["request_id"])
        if sequence is None:
            return json_response(404, {"error": {"code": "unknown_request"}})
        position = int(request.query.get("after", ["0"])[0])
        content = StreamedContent(
            b"text/event-stream", partial(self._stream, request, sequence, position)
        )
        return Response(200, None, content)

    async def _show_request(self, request):
        sequence = self._sequences.get(request.route_values["request_id"])
        if sequence is None:
            return json_response(404, {"error": {"code": "unknown_request"}})
        if not sequence.is_complete:
            return json_response(200, {"state": "running"})
        return json_response(
            200, {"state": "ended", "answer": sequence.response_document()}
        )

    async def _cancel(self, request):
        sequence = self._sequences.get(request.route_values["request_id"])
        if sequence is None:
            return json_response(404, {"error": {"code": "unknown_request"}})
        sequence.abort()
        return json_response(200, {})


def _prompt_text(body_fields):
    if "messages" in body_fields:
        return "".join(str(m.get("content", "")) for m in body_fields["messages"])
    return str(body_fields.get("prompt", ""))


def main(args=None):
    """Run the emulator as a process; return its exit code."""
    parser = build_parser("model engine stand-in")
    parser.add_argument("--model", default="base")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--capacity", type=int, default=8)
    parser.add_argument("--cold-capacity", type=int, default=2)
    parser.add_argument("--warm-after", type=int, default=4)
    parser.add_argument("--step-ms", type=float, default=20.0)
    parser.add_argument("--fences", choices=("yes", "no"), default="yes")
    parser.add_argument("--weight-store", default="", metavar="HOST:PORT")
    options = parser.parse_args(args)

    def add_routes(server, history):
        engine = Engine(options, history)
        engine.add_routes(server)
        return engine.run()

    return run_stand_in(options, add_routes)


if __name__ == "__main__":
    raise SystemExit(main())
