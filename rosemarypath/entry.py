"""
rosemarypath.entry
~~~~~~~~~~~~~~~~~~

The callers' API: completions in the OpenAI style, plain services, addresses.
"""

import asyncio
import random
import secrets
import time

import msgspec
from blacksheep import Content, Response, StreamedContent

from rosemarypath.customer import hash_key
from rosemarypath.execution import CallerRequest, RequestExecution
from rosemarypath.httpserver import json_response, wait_for_disconnect
from rosemarypath.log import get_logger
from rosemarypath.machine import UP
from rosemarypath.outcome import NotRun, Unknown, refusal_body
from rosemarypath.upstream import BrokenStreamError

__all__ = ["EntryApi"]

MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT = 10.0
DEFAULT_MAX_TOKENS = 256
BYTES_PER_TOKEN = 3
EXTRA_TOKENS = 16
ANONYMOUS = "anonymous"
SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
PASSED_HEADERS = (b"content-type", b"accept", b"idempotency-key")

_log = get_logger("entry")


class _Refused(Exception):
    """Carries the outcome that ends a request early."""

    def __init__(self, outcome):
        super().__init__(outcome.message)
        self.outcome = outcome


def _refuse(status, code, message, retry_after=0.0):
    raise _Refused(NotRun(status, code, message, retry_after))


class EntryApi:
    """
    Serves callers.

    `daemon` gives access to the daemon's parts.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self.in_flight = 0

    def add_routes(self, server):
        """Serve the callers' API on `server`."""
        server.add("GET", "/v1/entry-machines", self._list_machines)
        server.add("GET", "/v1/models", self._list_models)
        server.add("POST", "/v1/chat/completions", self._complete)
        server.add("POST", "/v1/completions", self._complete)
        for method in SERVICE_METHODS:
            server.add(method, "/services/{name}", self._call_service)
            server.add(method, "/services/{name}/*", self._call_service)

    async def _list_machines(self, request):
        """Answer with the machines to use, those in the caller's zone first."""
        daemon = self._daemon
        zone = request.query.get("zone", [daemon.settings.zone])[0]
        fencing = daemon.membership.fencing
        machines = [
            machine
            for machine in daemon.membership.roster.machines.values()
            if machine.state == UP and not fencing.is_fenced(machine.identity)
        ]
        random.shuffle(machines)
        machines.sort(key=lambda machine: machine.zone != zone)
        listed = [
            {
                "name": machine.name,
                "address": machine.callers_address,
                "zone": machine.zone,
            }
            for machine in machines
        ]
        lifetime = daemon.settings.timing.address_lifetime
        return json_response(200, {"machines": listed, "lifetime_seconds": lifetime})

    async def _list_models(self, request):
        try:
            customer, _ = self._authenticate(request)
        except _Refused as refused:
            return self._refusal(refused.outcome, "")
        names = [
            route.name
            for route in self._daemon.config_replica.current.routes.values()
            if route.adapter and route.customer in {"", customer}
        ]
        data = [{"id": name, "object": "model"} for name in sorted(names)]
        return json_response(200, {"object": "list", "data": data})

    async def _complete(self, request):
        return await self._serve(request, self._parse_completion)

    async def _call_service(self, request):
        return await self._serve(request, self._parse_service_call)

    async def _serve(self, request, parse):
        """Read, check and run one request, whatever its kind."""
        arrived_at = time.monotonic()
        request_id = secrets.token_hex(12)
        self.in_flight += 1
        handed_over = False
        try:
            caller_request = await parse(request, request_id)
            refusal = self._daemon.find_refusal(caller_request, arrived_at)
            if refusal is not None:
                return self._refusal(refusal, request_id, caller_request.customer)
            execution = RequestExecution(self._daemon, caller_request, arrived_at)
            response = await self._run_while_connected(request, execution)
            if isinstance(response, (NotRun, Unknown)):
                return self._refusal(response, request_id, caller_request.customer)
            if response.http_response is None:
                self._note_served(caller_request, arrived_at, execution)
                return self._whole(response, request_id)
            handed_over = True
            return self._streamed(
                request, caller_request, execution, response, arrived_at
            )
        except _Refused as refused:
            return self._refusal(refused.outcome, request_id)
        except (asyncio.CancelledError, ConnectionResetError):
            self._daemon.history.write("caller_left", request=request_id)
            return Response(499)
        except Exception:
            _log.exception("request {} failed", request_id)
            outcome = Unknown(500, "internal", "the daemon failed; see its log")
            return self._refusal(outcome, request_id)
        finally:
            if not handed_over:
                self.in_flight -= 1

    async def _run_while_connected(self, request, execution):
        """Run `execution.run`, cancelled as soon as the caller hangs up."""
        work = asyncio.create_task(execution.run())
        watcher = asyncio.create_task(wait_for_disconnect(request))
        try:
            await asyncio.wait({work, watcher}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                raise ConnectionResetError("the caller hung up")
            return work.result()
        finally:
            work.cancel()
            watcher.cancel()

    def _streamed(self, request, caller_request, execution, response, arrived_at):
        async def parts():
            first = True
            stream = execution.stream_body(response)
            watcher = asyncio.create_task(wait_for_disconnect(request))
            pump = asyncio.current_task()
            watcher.add_done_callback(lambda t: t.cancelled() or pump.cancel())
            try:
                async for chunk in stream:
                    if first:
                        first = False
                        self._note_served(caller_request, arrived_at, execution)
                    yield chunk
                self._daemon.history.write(
                    "answered", request=caller_request.request_id
                )
            except BrokenStreamError as error:
                outcome = Unknown(502, "stream_broken", str(error))
                body = msgspec.json.encode(
                    refusal_body(outcome, caller_request.request_id)
                )
                self._daemon.history.write(
                    "stream_broken", request=caller_request.request_id
                )
                yield b"data: " + body + b"\n\n"
            finally:
                watcher.cancel()
                await stream.aclose()
                self.in_flight -= 1

        headers = [(b"X-Request-Id", caller_request.request_id.encode())]
        content = StreamedContent(response.content_type.encode(), parts)
        return Response(200, headers, content)

    def _whole(self, response, request_id):
        headers = [(b"X-Request-Id", request_id.encode())]
        self._daemon.history.write("answered", request=request_id)
        content = Content(response.content_type.encode(), response.body)
        return Response(response.status, headers, content)

    def _refusal(self, outcome, request_id, customer=""):
        headers = [("X-Request-Id", request_id)]
        if isinstance(outcome, NotRun) and outcome.retry_after:
            headers.append(("Retry-After", f"{max(1, round(outcome.retry_after))}"))
        self._daemon.record_refusal(request_id, customer, outcome)
        return json_response(outcome.status, refusal_body(outcome, request_id), headers)

    def _note_served(self, caller_request, arrived_at, execution):
        seconds = time.monotonic() - arrived_at
        self._daemon.record_first_token(
            caller_request, seconds, execution.waited_for_load
        )

    def _authenticate(self, request):
        """Return ``(customer, key digest)``; both empty when no key was sent."""
        header = request.get_first_header(b"Authorization")
        if header is None:
            return "", ""
        scheme, _, secret = header.decode("latin-1").partition(" ")
        if scheme.lower() != "bearer" or not secret:
            _refuse(401, "bad_authorization", "send 'Authorization: Bearer KEY'")
        digest = hash_key(secret.strip())
        key = self._daemon.config_replica.current.keys.get(digest)
        if key is None:
            _refuse(401, "unknown_key", "the key is unknown; ask your operator for one")
        if key.withdrawn:
            _refuse(401, "withdrawn_key", "the key was withdrawn; ask for a new one")
        return key.customer, digest

    def _allowed_customer(self, request, route):
        """Return ``(customer, key digest)`` if the caller may use `route`."""
        customer, digest = self._authenticate(request)
        if route.customer:
            if not digest:
                _refuse(401, "key_missing", "send 'Authorization: Bearer KEY'")
            if customer != route.customer:
                _refuse(403, "not_your_route", f"'{route.name}' is another customer's")
        elif not customer:
            if ANONYMOUS not in self._daemon.config_replica.current.customers:
                _refuse(401, "key_missing", "send 'Authorization: Bearer KEY'")
            customer = ANONYMOUS
        return customer, digest

    async def _read_body(self, request):
        length = request.get_first_header(b"Content-Length")
        if length is not None and int(length) > MAX_BODY_BYTES:
            _refuse(413, "body_too_large", f"send at most {MAX_BODY_BYTES} bytes")
        body = bytearray()
        try:
            async with asyncio.timeout(BODY_TIMEOUT):
                async for chunk in request.stream():
                    body += chunk
                    if len(body) > MAX_BODY_BYTES:
                        message = f"send at most {MAX_BODY_BYTES} bytes"
                        _refuse(413, "body_too_large", message)
        except TimeoutError:
            _refuse(408, "body_too_slow", f"send the body in {BODY_TIMEOUT:.0f} s")
        return bytes(body)

    async def _parse_completion(self, request, request_id):
        """Return the `CallerRequest` of a chat or text completion."""
        body = await self._read_body(request)
        try:
            document = msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            _refuse(400, "bad_json", f"the body is not JSON ({error})")
        if not isinstance(document, dict) or not isinstance(document.get("model"), str):
            _refuse(400, "model_missing", "name a route in the field 'model'")
        route = self._daemon.config_replica.current.routes.get(document["model"])
        if route is None or not route.adapter:
            self._authenticate(request)
            _refuse(404, "unknown_model", f"there is no model '{document['model']}'")
        customer, digest = self._allowed_customer(request, route)
        max_tokens = _max_tokens(document)
        document["max_tokens"] = max_tokens
        prompt = _prompt_bytes(document) // BYTES_PER_TOKEN + EXTRA_TOKENS
        is_stream = bool(document.get("stream", False))
        return CallerRequest(
            request_id=request_id,
            customer=customer,
            key_digest=digest,
            route=route,
            method="POST",
            path=request.url.path.decode(),
            tokens=prompt + max_tokens * _answers(document),
            document=document,
            stream=is_stream,
            headers={"Content-Type": "application/json"},
            idempotency_key=_text_header(request, b"Idempotency-Key"),
        )

    async def _parse_service_call(self, request, request_id):
        """Return the `CallerRequest` of a call to a plain service."""
        body = await self._read_body(request)
        name = request.route_values["name"]
        route = self._daemon.config_replica.current.routes.get(name)
        if route is None or not route.service:
            self._authenticate(request)
            _refuse(404, "unknown_service", f"there is no service '{name}'")
        customer, digest = self._allowed_customer(request, route)
        path = request.url.value.decode()
        headers = {
            header.decode().title(): _text_header(request, header)
            for header in PASSED_HEADERS
            if request.get_first_header(header) is not None
        }
        return CallerRequest(
            request_id=request_id,
            customer=customer,
            key_digest=digest,
            route=route,
            method=request.method,
            path=path[path.index("/services/") + len(f"/services/{name}") :] or "/",
            body=body,
            headers=headers,
            idempotency_key=_text_header(request, b"Idempotency-Key"),
        )


def _text_header(request, name):
    return (request.get_first_header(name) or b"").decode("latin-1")


def _max_tokens(document):
    """Return how many tokens each answer may have."""
    value = document.pop("max_completion_tokens", None)
    value = document.get("max_tokens", value)
    if value is None:
        return DEFAULT_MAX_TOKENS
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        _refuse(400, "bad_max_tokens", "max_tokens is a whole number from 1")
    return value


def _answers(document):
    """Return how many answers are asked for."""
    count = document.get("n", 1)
    if not isinstance(count, int) or isinstance(count, bool) or count < 1:
        _refuse(400, "bad_n", "n is a whole number from 1")
    return count


def _prompt_bytes(document):
    """Return the length of the prompt or the messages, in bytes of JSON."""
    prompt = document.get("messages", document.get("prompt", ""))
    return len(msgspec.json.encode(prompt))
