"""
tests.test_entry
~~~~~~~~~~~~~~~~

The callers' API with bad input and with callers that disconnect.
"""

import json
import socket
import time

import pytest

from bench.demo import call
from rosemarypath.entry import MAX_BODY_BYTES

PATH = "/v1/chat/completions"


def send_bytes(fleet, data, seconds=3.0):
    """Send `data` to the first machine; return what it sends within `seconds`."""
    host, port = fleet.callers_address("entry-1").split(":")
    with socket.create_connection((host, int(port)), timeout=seconds) as connection:
        connection.sendall(data)
        received = b""
        try:
            while chunk := connection.recv(65536):
                received += chunk
                if b"\r\n\r\n" in received and b"}" in received:
                    break
        except TimeoutError:
            pass
        return received


def request_head(fleet, length):
    key = fleet.secrets["kesariya"]
    return (
        f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


def wait_until_idle(fleet, seconds=8.0):
    """Return whether all machines are without requests and seats within `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        statuses = [fleet.status(name) for name in fleet.machine_names]
        held = sum(s["in_flight"] + s["seats_held"] for s in statuses)
        seats = sum(b["seats"] + b["queued"] for s in statuses for b in s["back_ends"])
        if held == 0 and seats == 0:
            return True
        time.sleep(0.1)
    return False


@pytest.mark.parametrize("body", [b"{", b"\xff\xfe", b"null", b'"text"'])
def test_broken_json_is_refused(small_fleet, body):
    answer = send_bytes(small_fleet, request_head(small_fleet, len(body)) + body)
    assert b" 400 " in answer.split(b"\r\n")[0]
    assert b'"not_run":true' in answer


def test_too_large_body_is_refused_before_it_is_read(small_fleet):
    answer = send_bytes(
        small_fleet, request_head(small_fleet, MAX_BODY_BYTES + 1) + b"x" * 100
    )
    assert b" 413 " in answer.split(b"\r\n")[0]


def test_data_that_is_not_http_is_refused(small_fleet):
    answer = send_bytes(small_fleet, b"hello there\r\n\r\n")
    assert not answer or b" 400 " in answer.split(b"\r\n")[0]


def test_unknown_service_and_route_of_another_customer_are_refused(small_fleet):
    address = small_fleet.callers_address("entry-1")
    secret = small_fleet.secrets["kesariya"]
    status, body = call(address, "/services/nothing/x", {}, secret)
    assert (status, json.loads(body)["error"]["code"]) == (404, "unknown_service")
    status, body = call(address, "/services/dispatch-mfereji/x", {}, secret)
    assert (status, json.loads(body)["error"]["code"]) == (403, "not_your_route")


def test_request_larger_than_the_burst_is_refused(small_fleet):
    address = small_fleet.callers_address("entry-1")
    document = {"model": "a0", "max_tokens": 100000, "messages": []}
    status, body = call(address, PATH, document, small_fleet.secrets["kesariya"])
    error = json.loads(body)["error"]
    assert (status, error["code"], error["not_run"]) == (429, "larger_than_burst", True)


def test_disconnect_during_a_stream_cancels_the_request(small_fleet):
    body = json.dumps(
        {"model": "a0", "stream": True, "max_tokens": 900, "messages": []}
    ).encode()
    host, port = small_fleet.callers_address("entry-1").split(":")
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(request_head(small_fleet, len(body)) + body)
        received = b""
        while b"data: " not in received:
            received += connection.recv(4096)
    assert wait_until_idle(small_fleet)


def test_disconnect_while_waiting_releases_everything(small_fleet):
    small_fleet.set_faults("engine-1", stall=True)
    small_fleet.set_faults("engine-2", stall=True)
    try:
        body = json.dumps({"model": "a0", "max_tokens": 5, "messages": []}).encode()
        host, port = small_fleet.callers_address("entry-1").split(":")
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(request_head(small_fleet, len(body)) + body)
            time.sleep(0.7)
    finally:
        small_fleet.set_faults("engine-1", stall=False)
        small_fleet.set_faults("engine-2", stall=False)
    assert wait_until_idle(small_fleet)


def test_list_of_models_contains_only_those_of_the_customer(small_fleet):
    import urllib.request

    address = small_fleet.callers_address("entry-1")
    request = urllib.request.Request(
        f"http://{address}/v1/models",
        headers={"Authorization": f"Bearer {small_fleet.secrets['mfereji']}"},
    )
    with urllib.request.urlopen(request, timeout=5) as response:
        names = [entry["id"] for entry in json.loads(response.read())["data"]]
    assert names == ["a1", "a3"]


def test_entry_machines_of_the_requested_zone_are_listed_first(small_fleet):
    address = small_fleet.callers_address("entry-1")
    for zone in ("zone-a", "zone-b"):
        listed = small_fleet.get(address, f"/v1/entry-machines?zone={zone}")
        assert listed["machines"][0]["zone"] == zone
        assert listed["lifetime_seconds"] > 0
