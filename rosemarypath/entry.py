"""
rosemarypath.entry
~~~~~~~~~~~~~~~~~~

The callers' HTTP API: OpenAI-style completions, calls to plain services and the list of
entry machines.
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
BODY_TIMEOUT_SECONDS = 10.0
DEFAULT_MAX_TOKENS = 256
BYTES_PER_TOKEN = 3  # of a prompt, to estimate its tokens
PROMPT_OVERHEAD_TOKENS = 16  # added to that estimate
ANONYMOUS = "anonymous"
SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
PASSED_HEADERS = (b"content-type", b"accept", b"idempotency-key")

_log = get_logger("entry")


class _RefusalError(Exception):
    """A request is refused before its execution; `outcome` is the `NotRun`."""

    def __init__(self, outcome):
        super().__init__(outcome.message)
        self.outcome = outcome


def _refuse(status, code, message, retry_after=0.0):
    raise _RefusalError(NotRun(status, code, message, retry_after))


class EntryApi:
    """
    Handles the requests of callers.

    `daemon` is the `Daemon`; `in_flight` counts the requests being handled.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self.in_flight = 0

    def add_routes(self, server):
        """Register the routes of the callers' API at the `HttpServer` `server`."""
        server.add("GET", "/v1/entry-machines", self._list_machines)
        server.add("GET", "/v1/models", self._list_models)
        server.add("POST", "/v1/chat/completions", self._handle_completion)
        server.add("POST", "/v1/completions", self._handle_completion)
        for method in SERVICE_METHODS:
            server.add(method, "/services/{name}", self._handle_service_call)
            server.add(method, "/services/{name}/*", self._handle_service_call)

    async def _list_machines(self, request):
        """
        Return the machines that accept callers, those in the caller's zone first.

        The order within a zone is random, which spreads the callers. They should ask
        again after ``lifetime_seconds``.
        """
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
        except _RefusalError as refusal_error:
            return self._refusal_response(refusal_error.outcome, "")
        names = [
            route.name
            for route in self._daemon.config_replica.current.routes.values()
            if route.adapter and route.customer in {"", customer}
        ]
        data = [{"id": name, "object": "model"} for name in sorted(names)]
        return json_response(200, {"object": "list", "data": data})

    async def _handle_completion(self, request):
        return await self._handle_request(request, self._parse_completion)

    async def _handle_service_call(self, request):
        return await self._handle_request(request, self._parse_service_call)

    async def _handle_request(self, request, parse):
        """Parse, check and run one request; `parse` returns its `CallerRequest`."""
        arrived_at = time.monotonic()
        request_id = secrets.token_hex(12)
        self.in_flight += 1
        is_streaming = False
        try:
            caller_request = await parse(request, request_id)
            refusal = self._daemon.find_refusal(caller_request, arrived_at)
            if refusal is not None:
                return self._refusal_response(
                    refusal, request_id, caller_request.customer
                )
            execution = RequestExecution(self._daemon, caller_request, arrived_at)
            response = await self._run_while_connected(request, execution)
            if isinstance(response, (NotRun, Unknown)):
                return self._refusal_response(
                    response, request_id, caller_request.customer
                )
            if response.http_response is None:
                self._record_first_token(caller_request, arrived_at, execution)
                return self._complete_response(response, request_id)
            is_streaming = True
            return self._stream_response(
                request, caller_request, execution, response, arrived_at
            )
        except _RefusalError as refusal_error:
            return self._refusal_response(refusal_error.outcome, request_id)
        except (asyncio.CancelledError, ConnectionResetError):
            self._daemon.history.write("caller_left", request=request_id)
            return Response(499)
        except Exception:
            _log.exception("request {} failed", request_id)
            outcome = Unknown(500, "internal", "the daemon failed; see its log")
            return self._refusal_response(outcome, request_id)
        finally:
            if not is_streaming:
                self.in_flight -= 1

    async def _run_while_connected(self, request, execution):
        """
        Return the result of `execution.run`, cancelling it if the caller disconnects.

        Raises `ConnectionResetError` in that case.
        """
        execution_task = asyncio.create_task(execution.run())
        disconnect_task = asyncio.create_task(wait_for_disconnect(request))
        try:
            await asyncio.wait(
                {execution_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not execution_task.done():
                execution_task.cancel()
                raise ConnectionResetError("the caller disconnected")
            return execution_task.result()
        finally:
            execution_task.cancel()
            disconnect_task.cancel()

    def _stream_response(
        self, request, caller_request, execution, response, arrived_at
    ):
        async def generate():
            is_first = True
            stream = execution.stream_body(response)
            disconnect_task = asyncio.create_task(wait_for_disconnect(request))
            stream_task = asyncio.current_task()
            disconnect_task.add_done_callback(
                lambda t: t.cancelled() or stream_task.cancel()
            )
            try:
                async for chunk in stream:
                    if is_first:
                        is_first = False
                        self._record_first_token(caller_request, arrived_at, execution)
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
                disconnect_task.cancel()
                await stream.aclose()
                self.in_flight -= 1

        headers = [(b"X-Request-Id", caller_request.request_id.encode())]
        content = StreamedContent(response.content_type.encode(), generate)
        return Response(200, headers, content)

    def _complete_response(self, response, request_id):
        headers = [(b"X-Request-Id", request_id.encode())]
        self._daemon.history.write("answered", request=request_id)
        content = Content(response.content_type.encode(), response.body)
        return Response(response.status, headers, content)

    def _refusal_response(self, outcome, request_id, customer=""):
        headers = [("X-Request-Id", request_id)]
        if isinstance(outcome, NotRun) and outcome.retry_after:
            headers.append(("Retry-After", f"{max(1, round(outcome.retry_after))}"))
        self._daemon.record_refusal(request_id, customer, outcome)
        return json_response(outcome.status, refusal_body(outcome, request_id), headers)

    def _record_first_token(self, caller_request, arrived_at, execution):
        seconds = time.monotonic() - arrived_at
        self._daemon.record_first_token(
            caller_request, seconds, execution.waited_for_load
        )

    def _authenticate(self, request):
        """
        Return ``(customer, key digest)``; both are empty without a key.

        Raises `_RefusalError` for an unknown or withdrawn key.
        """
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

    def _authorize(self, request, route):
        """
        Return ``(customer, key digest)`` if the caller may use `route`.

        Open routes count callers without a key as the customer ``anonymous``, if there
        is one. Raises `_RefusalError`.
        """
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
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                async for chunk in request.stream():
                    body += chunk
                    if len(body) > MAX_BODY_BYTES:
                        message = f"send at most {MAX_BODY_BYTES} bytes"
                        _refuse(413, "body_too_large", message)
        except TimeoutError:
            _refuse(
                408, "body_too_slow", f"send the body in {BODY_TIMEOUT_SECONDS:.0f} s"
            )
        return bytes(body)

    async def _parse_completion(self, request, request_id):
        """
        Return the `CallerRequest` of a chat or text completion.

        Its tokens are an estimate of the prompt's and the bound on the generated ones.
        """
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
        customer, digest = self._authorize(request, route)
        max_tokens = _read_max_tokens(document)
        document["max_tokens"] = max_tokens
        prompt = _prompt_bytes(document) // BYTES_PER_TOKEN + PROMPT_OVERHEAD_TOKENS
        is_stream = bool(document.get("stream", False))
        return CallerRequest(
            request_id=request_id,
            customer=customer,
            key_digest=digest,
            route=route,
            method="POST",
            path=request.url.path.decode(),
            tokens=prompt + max_tokens * _completion_count(document),
            document=document,
            stream=is_stream,
            headers={"Content-Type": "application/json"},
            idempotency_key=_decode_header(request, b"Idempotency-Key"),
        )

    async def _parse_service_call(self, request, request_id):
        """Return the `CallerRequest` of a call to a plain service."""
        body = await self._read_body(request)
        name = request.route_values["name"]
        route = self._daemon.config_replica.current.routes.get(name)
        if route is None or not route.service:
            self._authenticate(request)
            _refuse(404, "unknown_service", f"there is no service '{name}'")
        customer, digest = self._authorize(request, route)
        path = request.url.value.decode()
        headers = {
            header.decode().title(): _decode_header(request, header)
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
            idempotency_key=_decode_header(request, b"Idempotency-Key"),
        )


def _decode_header(request, name):
    return (request.get_first_header(name) or b"").decode("latin-1")


def _read_max_tokens(document):
    """
    Return the maximum number of tokens of each completion.

    Removes ``max_completion_tokens`` from `document`.
    """
    value = document.pop("max_completion_tokens", None)
    value = document.get("max_tokens", value)
    if value is None:
        return DEFAULT_MAX_TOKENS
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        _refuse(400, "bad_max_tokens", "max_tokens is a whole number from 1")
    return value


def _completion_count(document):
    """Return the number of completions requested."""
    count = document.get("n", 1)
    if not isinstance(count, int) or isinstance(count, bool) or count < 1:
        _refuse(400, "bad_n", "n is a whole number from 1")
    return count


def _prompt_bytes(document):
    """Return the length of the prompt or messages, in bytes of JSON."""
    prompt = document.get("messages", document.get("prompt", ""))
    return len(msgspec.json.encode(prompt))
