"""
standins.engine
~~~~~~~~~~~~~~~

A model engine: batches in steps, holds adapters in slots and streams answers.
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
REPORT_LAG = 0.5
RESTART_SECONDS = 1.0
RESUME_WINDOW = 3.0
CACHE_EVENTS_KEPT = 200
PREFIX_CHARACTERS = 64
PREFIXES_KEPT = 256


class Engine:
    """
    One engine in memory.

    Switches: ``refuse`` answers 503 before running, ``silent_requests`` accepts that
    many requests and never answers, ``fail_loads`` refuses that many loads,
    ``stall`` stops the steps, ``cold`` makes it carry little again, ``gap_events``
    drops every second cache event.

    Options:

    `capacity`, `cold_capacity`
        Requests at once when warm and when fresh; above the cold one it falls over.
    `slots`
        Adapters held at once.
    `fences`
        Whether orders with an old fencing number are refused.
    `warm_after`
        Completed requests after which it is warm.
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
        self._fence = 0
        self._completed = 0
        self._down_until = 0.0
        self._adapters = {}
        self._loading = set()
        self._prefixes = OrderedDict()
        self._cache_events = []
        self._event_number = 0
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
        """Return whether it carries only its cold capacity."""
        return self.faults["cold"] or self._completed < self._warm_after

    def add_routes(self, server):
        """Serve the engine's API on `server`."""
        server.add("POST", "/v1/chat/completions", self._complete)
        server.add("POST", "/v1/completions", self._complete)
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
        """Run the steps and refresh the lagging report until cancelled."""
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
                "adapters": sorted(self._adapters),
                "completed": self._completed,
                "requests": self.batch.request_ids,
                "running_adapters": [a for a, n in self._adapters.items() if n],
                "steps": self.batch.steps,
                "tokens": self.batch.tokens,
                "time": time.time(),
            }
            await asyncio.sleep(REPORT_LAG)

    async def _show_load(self, request):
        return json_response(200, self._report)

    async def _list_models(self, request):
        names = [self._model, *sorted(self._adapters)]
        return json_response(
            200, {"object": "list", "data": [{"id": n} for n in names]}
        )

    async def _show_events(self, request):
        after = int(request.query.get("after", ["0"])[0])
        events = [e for e in self._cache_events if e["number"] > after]
        return json_response(200, {"events": events})

    async def _restart(self, request):
        self._fall_over("restart")
        return json_response(200, {})

    def _fall_over(self, reason):
        self._history.write(reason, running=self.batch.running_count)
        self._down_until = time.monotonic() + RESTART_SECONDS
        self._adapters.clear()
        self._prefixes.clear()
        self._completed = 0
        self.batch.abort_all()

    def _refusal(self, request):
        """Return why no order can be taken now, or ``None``."""
        if time.monotonic() < self._down_until:
            return json_response(503, {"error": {"code": "restarting"}})
        fence = int(request.get_first_header(b"X-Fence") or b"0")
        if self._checks_fences and fence < self._fence:
            return json_response(409, {"error": {"code": "old_fence"}})
        self._fence = max(self._fence, fence)
        return None

    async def _load(self, request):
        order = msgspec.json.decode(await request.read())
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        name = order["lora_name"]
        if name in self._adapters:
            return json_response(200, {"already": True})
        if len(self._adapters) + len(self._loading) >= self._slots:
            return json_response(409, {"error": {"code": "no_slot"}})
        self._loading.add(name)
        try:
            loaded = await self._fetch_weights(name)
        finally:
            self._loading.discard(name)
        if not loaded:
            return json_response(500, {"error": {"code": "load_failed"}})
        self._adapters[name] = 0
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
        order = msgspec.json.decode(await request.read())
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        name = order["lora_name"]
        if name not in self._adapters:
            return json_response(404, {"error": {"code": "not_loaded"}})
        in_use = self._adapters.pop(name)
        self._history.write("unload", adapter=name, in_use=in_use)
        return json_response(200, {})

    async def _complete(self, request):
        body = await request.read()
        self._note_leaked_key(request, body)
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        if self.faults["refuse"]:
            return json_response(503, {"error": {"code": "overloaded"}})
        order = msgspec.json.decode(body)
        if order["model"] != self._model and order["model"] not in self._adapters:
            return json_response(404, {"error": {"code": "adapter_not_loaded"}})
        if self.is_cold and self.batch.running_count >= self._cold_capacity:
            self._fall_over("fell_over")
            return json_response(503, {"error": {"code": "fell_over"}})
        sequence = self._start(request, order)
        if self.faults["silent_requests"] > 0:
            self.faults._values["silent_requests"] -= 1
            await self.faults.hang()
        if order.get("stream"):
            content = StreamedContent(
                b"text/event-stream", partial(self._stream, request, sequence, 0)
            )
            return Response(200, None, content)
        return await self._whole_answer(request, sequence)

    def _start(self, request, order):
        request_id = (request.get_first_header(b"X-Request-Id") or b"").decode()
        prompt = _prompt_text(order)
        sequence = Sequence(
            request_id,
            order["model"],
            max(1, len(prompt) // 4),
            int(order.get("max_tokens") or 16),
            int(request.get_first_header(b"X-Priority") or b"1"),
        )
        sequence.cached = self._touch_prefix(prompt[:PREFIX_CHARACTERS])
        if sequence.adapter in self._adapters:
            self._adapters[sequence.adapter] += 1
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
        asyncio.create_task(self._finish(sequence))
        return sequence

    async def _finish(self, sequence):
        await sequence.ended.wait()
        if self._adapters.get(sequence.adapter, 0) > 0:
            self._adapters[sequence.adapter] -= 1
        if sequence.is_complete:
            self._completed += 1
        self._history.write(
            "request_end",
            request=sequence.request_id,
            tokens=len(sequence.tokens),
            prompt_tokens=sequence.prompt_tokens,
            complete=sequence.is_complete,
        )
        await asyncio.sleep(RESUME_WINDOW)
        if self._sequences.get(sequence.request_id) is sequence:
            del self._sequences[sequence.request_id]

    def _touch_prefix(self, prefix):
        """Return whether `prefix` was cached, and cache it."""
        cached = prefix in self._prefixes
        self._prefixes[prefix] = True
        self._prefixes.move_to_end(prefix)
        if not cached:
            self._publish("stored", prefix)
        if len(self._prefixes) > PREFIXES_KEPT:
            self._publish("removed", self._prefixes.popitem(last=False)[0])
        return cached

    def _publish(self, kind, prefix):
        self._event_number += 1
        if self.faults["gap_events"] and self._event_number % 2:
            return
        event = {"number": self._event_number, "kind": kind, "prefix": prefix}
        self._cache_events.append(event)
        del self._cache_events[:-CACHE_EVENTS_KEPT]

    def _note_leaked_key(self, request, body):
        seen = b" ".join(name + b":" + value for name, value in request.headers) + body
        seen += request.url.value
        if b"rp-" in seen or b"authorization" in seen.lower():
            self._history.write("key_seen")

    async def _stream(self, request, sequence, position):
        watcher = asyncio.create_task(wait_for_disconnect(request))
        watcher.add_done_callback(lambda _: self._abandon(sequence))
        try:
            async for index in sequence.follow(position):
                yield sequence.event(index)
            if sequence.is_complete:
                yield sequence.last_event()
                yield b"data: [DONE]\n\n"
            else:
                raise ConnectionResetError("sequence was aborted")
        finally:
            watcher.cancel()

    def _abandon(self, sequence):
        """Cancel `sequence` unless somebody resumes it soon."""
        if not sequence.ended.is_set():
            loop = asyncio.get_running_loop()
            loop.call_later(RESUME_WINDOW, sequence.abort_if_unread)

    async def _whole_answer(self, request, sequence):
        watcher = asyncio.create_task(wait_for_disconnect(request))
        watcher.add_done_callback(
            lambda task: None if task.cancelled() else self._abandon(sequence)
        )
        await sequence.ended.wait()
        watcher.cancel()
        if not sequence.is_complete:
            return json_response(500, {"error": {"code": "aborted"}})
        return json_response(200, sequence.answer())

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
        return json_response(200, {"state": "ended", "answer": sequence.answer()})

    async def _cancel(self, request):
        sequence = self._sequences.get(request.route_values["request_id"])
        if sequence is None:
            return json_response(404, {"error": {"code": "unknown_request"}})
        sequence.abort()
        return json_response(200, {})


def _prompt_text(order):
    if "messages" in order:
        return "".join(str(m.get("content", "")) for m in order["messages"])
    return str(order.get("prompt", ""))


def main(args=None):
    """Run the stand-in as a process; return its exit code."""
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
