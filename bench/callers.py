"""
bench.callers
~~~~~~~~~~~~~

A process of callers: open-loop arrivals that follow the system's address answers.
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

ADDRESS_TIMEOUT = 2.0
ANSWER_TIMEOUT = 40.0
TRY_PAUSE = 0.1
ZIPF_EXPONENT = 1.1


class Callers:
    """
    Callers of all customers.

    `plan` is a mapping with ``machines`` (callers' addresses), ``seed``, ``rate`` in
    requests a second, ``seconds``, ``tries``, and ``customers``: a list with ``name``,
    ``secret``, ``share``, ``models`` (most popular first), ``service`` or empty,
    ``service_share``, ``max_tokens``, ``prompts`` and ``prompt_bytes``, and if wanted
    ``trespass``, other customers' models, with ``trespass_share``. Optional are
    ``zipf``, the exponent of the models' popularity, and ``rate_factors``, pairs of
    seconds and the factor of the rate from then on.
    """

    def __init__(self, plan, history):
        self._plan = plan
        self._history = history
        self._random = random.Random(plan["seed"])
        self._session = None
        self._machines = []
        self._machines_until = 0.0

    async def run(self):
        """Send all requests and wait for their answers."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self._session = session
            tasks = set()
            started = time.monotonic()
            due = started
            number = 0
            while due < started + self._plan["seconds"]:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                task = asyncio.create_task(self._request(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                due += self._random.expovariate(self._rate(due - started))
                number += 1
            await asyncio.gather(*tasks)

    def _rate(self, elapsed):
        """Return the arrival rate in force after `elapsed` seconds."""
        rate = self._plan["rate"]
        for start, factor in self._plan.get("rate_factors", ()):
            if elapsed >= start:
                rate = self._plan["rate"] * factor
        return rate

    async def _request(self, number):
        customer = self._random.choices(
            self._plan["customers"], [c["share"] for c in self._plan["customers"]]
        )[0]
        name = f"{self._plan['seed']}-{number}"
        started = time.monotonic()
        if customer["service"] and self._random.random() < customer["service_share"]:
            key = f"{name}-{secrets.token_hex(4)}"
            await self._try_until_served(name, customer, self._call_service, key)
        else:
            order = self._completion(customer)
            await self._try_until_served(name, customer, self._complete, order)
        self._history.write(
            "caller_done", caller=name, seconds=time.monotonic() - started
        )

    def _completion(self, customer):
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

    async def _try_until_served(self, name, customer, call, order):
        """Try machines in the order of the address answer while it is safe."""
        for attempt in range(self._plan["tries"]):
            for address in await self._addresses(attempt):
                outcome = await call(name, customer, address, order)
                if outcome != "not_run":
                    return
                await asyncio.sleep(TRY_PAUSE)
        self._history.write("caller_gave_up", caller=name, customer=customer["name"])

    async def _addresses(self, attempt):
        """Return two addresses to use now, asking anew when the answer ran out."""
        if time.monotonic() > self._machines_until:
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
                    timeout=aiohttp.ClientTimeout(total=ADDRESS_TIMEOUT),
                ) as response:
                    document = await response.json()
            except (aiohttp.ClientError, asyncio.TimeoutError):
                continue
            if document["machines"]:
                self._machines = [m["address"] for m in document["machines"]]
                lifetime = document["lifetime_seconds"]
                self._machines_until = time.monotonic() + lifetime
                return

    async def _complete(self, name, customer, address, order):
        url = f"http://{address}/v1/chat/completions"
        headers = {"Content-Type": "application/json"}
        return await self._call(name, customer, url, order, headers, address)

    async def _call_service(self, name, customer, address, key):
        url = f"http://{address}/services/{customer['service']}/orders"
        headers = {"Idempotency-Key": key}
        order = {"order": name}
        return await self._call(name, customer, url, order, headers, address)

    async def _call(self, name, customer, url, order, headers, address):
        """Make one attempt, record it, and return how it ended."""
        headers = {**headers, "Authorization": f"Bearer {customer['secret']}"}
        started = time.time()
        event = {
            "caller": name,
            "customer": customer["name"],
            "address": address,
            "model": order.get("model", ""),
            "max_tokens": order.get("max_tokens", 0),
            "idempotency_key": headers.get("Idempotency-Key", ""),
            "started": started,
        }
        first = None
        body = b""
        try:
            async with self._session.post(
                url, data=json.dumps(order), headers=headers
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
            error = _error_in_stream(body) if order.get("stream") else None
            kind = "caller_answered" if error is None else "caller_stream_error"
            self._history.write(kind, text=_text_of(body, order), **event)
            return "answered"
        error = _error_of(body)
        event["code"] = error.get("code")
        event["not_run"] = error.get("not_run")
        self._history.write("caller_refused", **event)
        can_retry = event["not_run"] is True and event["status"] == 503
        return "not_run" if can_retry else "refused"


def _error_of(body):
    try:
        return json.loads(body)["error"]
    except (ValueError, KeyError, TypeError):
        return {}


def _events(body):
    for line in body.split(b"\n\n"):
        if line.startswith(b"data: {"):
            yield json.loads(line[len(b"data: ") :])


def _error_in_stream(body):
    for event in _events(body):
        if "error" in event:
            return event["error"]
    if not body.endswith(b"data: [DONE]\n\n"):
        return {"code": "cut"}
    return None


def _text_of(body, order):
    """Return the generated text of a whole or streamed answer."""
    if "model" not in order:
        return ""
    if order["stream"]:
        choices = [c for event in _events(body) for c in event.get("choices", ())]
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
