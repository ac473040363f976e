"""
bench.demo
~~~~~~~~~~

Runs the whole path once on the stand-ins and prints what happened.
"""

import json
import sys
import tempfile
import urllib.error
import urllib.request

from bench.fleet import Fleet, FleetPlan

__all__ = ["main"]

CUSTOMERS = {
    "kesariya": {"rate": 2000, "burst": 4000},
    "mfereji": {"rate": 2000, "burst": 4000},
}


def call(address, path, document, secret, **headers):
    """Return ``(status, body)`` of one POST."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(document).encode(),
        headers={
            "Content-Type": "application/json",
            "Authorization": f"Bearer {secret}",
            **headers,
        },
        method="POST",
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def streamed_text(body):
    """Return the text in a body of server-sent events."""
    text = ""
    for line in body.splitlines():
        if line.startswith("data: {"):
            for choice in json.loads(line[len("data: ") :]).get("choices", ()):
                text += choice["delta"]["content"]
    return text


def run_demo(fleet):
    """Make the calls; return whether all went as they should."""
    first = fleet.callers_address(fleet.machine_names[0])
    listed = fleet.get(first, "/v1/entry-machines?zone=zone-b")
    print("entry machines for zone-b:", json.dumps(listed))
    address = listed["machines"][0]["address"]
    order = {
        "model": "a0",
        "stream": True,
        "max_tokens": 8,
        "messages": [{"role": "user", "content": "How moist is tray 7?"}],
    }
    status, body = call(
        address, "/v1/chat/completions", order, fleet.secrets["kesariya"]
    )
    print(f"\nkesariya asks its adapter a0 at {address}: {status}")
    print("streamed answer:", streamed_text(body))
    answered = status == 200 and "a0@1:" in body and "[DONE]" in body

    status, body = call(
        address, "/v1/chat/completions", order, fleet.secrets["mfereji"]
    )
    print(f"\nmfereji asks for kesariya's adapter: {status}\n{body}")
    refused = status == 403 and json.loads(body)["error"]["not_run"] is True

    path = "/services/dispatch-kesariya/sacks"
    key = {"Idempotency-Key": "wedding-42"}
    secret = fleet.secrets["kesariya"]
    status, body = call(address, path, {"sacks": 12}, secret, **key)
    print(f"\nkesariya dispatches 12 sacks: {status} {body}")
    again, body = call(address, path, {"sacks": 12}, secret, **key)
    print(f"and sends the same order again: {again} {body}")
    done = sum(
        fleet.get(fleet.addresses[name], "/load")["completed"]
        for name in fleet.service_names
    )
    print(f"dispatches done: {done}")
    once = status == 200 and again == 409 and done == 1
    return answered and refused and once


def main():
    """Run the demonstration; return its exit code."""
    plan = FleetPlan(customers=CUSTOMERS)
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(plan, directory) as fleet:
            fleet.wait_until_stable()
            succeeded = run_demo(fleet)
    print("\nall as it should be" if succeeded else "\nsomething went wrong")
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main())
