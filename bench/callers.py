"""
bench.callers
~~~~~~~~~~~~~

Simulates callers in one process, with open-loop arrivals; callers use the entry
machines that the system names to them.
"""

import argparse
import asyncio
import json
import random
import secrets
import time

import aiohttp

from rosemarypath.history import History

__all__ = ["Callers", "main"]

ADDRESS_TIMEOUT_SECONDS = 2.0
ANSWER_TIMEOUT_SECONDS = 40.0
RETRY_PAUSE_SECONDS = 0.1
ZIPF_EXPONENT = 1.1


class Callers:
    """
    Sends the requests of the callers of all customers.

    `plan` is a mapping with ``machines`` (callers' addresses), ``seed``, ``rate`` in
    requests per second, ``seconds``, ``tries``, and ``customers``: a list with
    ``name``, ``secret``, ``share``, ``models`` (most popular first), ``service`` or
    empty, ``service_share``, ``max_tokens``, ``prompts`` and ``prompt_bytes``, and
    optionally ``trespass``, models of other customers, with ``trespass_share``, the
    share of requests for these. Optional in the plan are ``zipf``, the exponent of the
    models' popularity, and ``rate_factors``, pairs of a time in seconds since the start
    and the factor of the rate from that time on.
    """

    def __init__(self, plan, history):
        self._plan = plan
        self._history = history
        self._random = random.Random(plan["seed"])
        self._session = None
        self._machines = []
        self._machines_expire_at = 0.0

    async def run(self):
        """Start requests for ``seconds`` seconds, then wait until all have ended."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self._session = session
            tasks = set()
            started = time.monotonic()
            next_arrival = started
            number = 0
            while next_arrival < started + self._plan["seconds"]:
                await asyncio.sleep(max(0.0, next_arrival - time.monotonic()))
                task = asyncio.create_task(self._run_caller(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                next_arrival += self._random.expovariate(
                    self._arrival_rate(next_arrival - started)
                )
                number += 1
            await asyncio.gather(*tasks)

    def _arrival_rate(self, elapsed):
        """Return the arrival rate after `elapsed` seconds, in requests per second."""
        rate = self._plan["rate"]
        for start, factor in self._plan.get("rate_factors", ()):
            if elapsed >= start:
                rate = self._plan["rate"] * factor
        return rate

    async def _run_caller(self, number):
        customer = self._random.choices(
            self._plan["customers"], [c["share"] for c in self._plan["customers"]]
        )[0]
        name = f"{self._plan['seed']}-{number}"
        started = time.monotonic()
        if customer["service"] and self._random.random() < customer["service_share"]:
            key = f"{name}-{secrets.token_hex(4)}"
            await self._send_with_retries(
                name, customer, self._send_service_request, key
            )
        else:
            payload = self._build_completion(customer)
            await self._send_with_retries(
                name, customer, self._send_completion, payload
            )
        self._history.write(
            "caller_done", caller=name, seconds=time.monotonic() - started
        )

    def _build_completion(self, customer):
        models = customer["models"]
        exponent = self._plan.get("zipf", ZIPF_EXPONENT)
        weights = [1.0 / (rank + 1) ** exponent for rank in range(len(models))]
        if self._random.random() < customer.get("trespass_share", 0.0):
            models, weights = customer["trespass"], None
        prefix = self._random.choice(range(customer["prompts"]))
        text = f"{customer['name']} shares prefix {prefix} ".ljust(80, ".")
        text = text.ljust(customer["prompt_bytes"], "x")
        return {
            "model": self._random.choices(models, weights)[0],
            "stream": self._random.random() < 0.7,
            "max_tokens": self._random.randint(2, customer["max_tokens"]),
            "messages": [{"role": "user", "content": text}],
        }

    async def _send_with_retries(self, name, customer, send, payload):
        """Try up to two machines per attempt, while no machine has run the request."""
        for attempt in range(self._plan["tries"]):
            for address in await self._addresses(attempt):
                outcome = await send(name, customer, address, payload)
                if outcome != "not_run":
                    return
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
        self._history.write("caller_gave_up", caller=name, customer=customer["name"])

    async def _addresses(self, attempt):
        """Return up to two random machines; refresh the list if it has expired."""
        if time.monotonic() > self._machines_expire_at:
            await self._refresh_addresses()
        machines = list(self._machines)
        self._random.shuffle(machines)
        return machines[:2]

    async def _refresh_addresses(self):
        known = list(self._plan["machines"])
        self._random.shuffle(known)
        for address in known:
            try:
                async with self._session.get(
                    f"http://{address}/v1/entry-machines",
                    timeout=aiohttp.ClientTimeout(total=ADDRESS_TIMEOUT_SECONDS),
                ) as response:
                    document = await response.json()
            except (aiohttp.ClientError, asyncio.TimeoutError):
                continue
            if document["machines"]:
                self._machines = [m["address"] for m in document["machines"]]
                lifetime = document["lifetime_seconds"]
                self._machines_expire_at = time.monotonic() + lifetime
                return

    async def _send_completion(self, name, customer, address, payload):
        url = f"http://{address}/v1/chat/completions"
        headers = {"Content-Type": "application/json"}
        return await self._send_attempt(name, customer, url, payload, headers, address)

    async def _send_service_request(self, name, customer, address, key):
        url = f"http://{address}/services/{customer['service']}/orders"
        headers = {"Idempotency-Key": key}
        payload = {"order": name}
        return await self._send_attempt(name, customer, url, payload, headers, address)

    async def _send_attempt(self, name, customer, url, payload, headers, address):
        """
        Send the request once, record the outcome and return it.

        The outcome is ``answered``, ``refused``, ``unknown`` (the connection broke or
        timed out) or ``not_run`` (the request may be retried).
        """
        headers = {**headers, "Authorization": f"Bearer {customer['secret']}"}
        started = time.time()
        event = {
            "caller": name,
            "customer": customer["name"],
            "address": address,
            "model": payload.get("model", ""),
            "max_tokens": payload.get("max_tokens", 0),
            "idempotency_key": headers.get("Idempotency-Key", ""),
            "started": started,
        }
        first = None
        body = b""
        try:
            async with self._session.post(
                url, data=json.dumps(payload), headers=headers
            ) as response:
                event["request"] = response.headers.get("X-Request-Id", "")
                event["status"] = response.status
                async for chunk in response.content.iter_any():
                    first = first or time.time()
                    body += chunk
        except aiohttp.ClientConnectorError as error:
            event["error"] = repr(error)
            self._history.write("caller_unreachable", **event)
            return "not_run"
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            event["error"] = repr(error)
            self._history.write("caller_broken", **event)
            return "unknown"
        event["first_byte"] = (first or time.time()) - started
        if event["status"] == 200:
            error = _find_stream_error(body) if payload.get("stream") else None
            kind = "caller_answered" if error is None else "caller_stream_error"
            self._history.write(kind, text=_generated_text(body, payload), **event)
            return "answered"
        error = _parse_error(body)
        event["code"] = error.get("code")
        event["not_run"] = error.get("not_run")
        self._history.write("caller_refused", **event)
        can_retry = event["not_run"] is True and event["status"] == 503
        return "not_run" if can_retry else "refused"


def _parse_error(body):
    try:
        return json.loads(body)["error"]
    except (ValueError, KeyError, TypeError):
        return {}


def _parse_events(body):
    for line in body.split(b"\n\n"):
        if line.startswith(b"data: {"):
            yield json.loads(line[len(b"data: ") :])


def _find_stream_error(body):
    for event in _parse_events(body):
        if "error" in event:
            return event["error"]
    if not body.endswith(b"data: [DONE]\n\n"):
        return {"code": "cut"}
    return None


def _generated_text(body, payload):
    """Return the generated text of an answer, streamed or not."""
    if "model" not in payload:
        return ""
    if payload["stream"]:
        choices = [c for event in _parse_events(body) for c in event.get("choices", ())]
        return "".join(choice["delta"]["content"] for choice in choices)
    return json.loads(body)["choices"][0]["message"]["content"]


def main(args=None):
    """Run the callers as a process; return its exit code."""
    parser = argparse.ArgumentParser(description="callers")
    parser.add_argument("--plan", required=True, metavar="FILE")
    parser.add_argument("--history", required=True, metavar="FILE")
    options = parser.parse_args(args)
    with open(options.plan, encoding="utf-8") as file:
        plan = json.load(file)
    history = History(options.history, f"callers-{plan['seed']}")
    asyncio.run(Callers(plan, history).run())
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
