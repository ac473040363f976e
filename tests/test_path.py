"""
tests.test_path
~~~~~~~~~~~~~~~

The whole path through separate processes.
"""

import json

import pytest

from bench.demo import call, run_demo, streamed_text

CHAT = "/v1/chat/completions"


def chat(fleet, model, secret, **options):
    """Ask the first machine; return ``(status, body)``."""
    document = {
        "model": model,
        "max_tokens": 4,
        "messages": [{"role": "user", "content": "hello"}],
        **options,
    }
    return call(fleet.callers_address("entry-1"), CHAT, document, secret)


def test_demo_path(small_fleet):
    assert run_demo(small_fleet)


def test_whole_answer_names_adapter_and_request(small_fleet):
    status, body = chat(small_fleet, "a1", small_fleet.secrets["mfereji"])
    answer = json.loads(body)
    assert status == 200
    assert answer["model"] == "a1@1"
    text = answer["choices"][0]["message"]["content"]
    assert text.split()[0] == f"a1@1:{answer['id']}:0"


def test_stream_ends_with_done(small_fleet):
    secret = small_fleet.secrets["kesariya"]
    status, body = chat(small_fleet, "a2", secret, stream=True)
    assert status == 200
    assert len(streamed_text(body).split()) == 4
    assert body.endswith("data: [DONE]\n\n")


@pytest.mark.parametrize(
    ("model", "secret", "status", "code"),
    [
        ("a0", "", 401, "bad_authorization"),
        ("a0", "rp-nobody", 401, "unknown_key"),
        ("a0", "mfereji", 403, "not_your_route"),
        ("nothing", "mfereji", 404, "unknown_model"),
    ],
)
def test_refusals_say_not_run(small_fleet, model, secret, status, code):
    secret = small_fleet.secrets.get(secret, secret)
    got, body = chat(small_fleet, model, secret)
    error = json.loads(body)["error"]
    assert (got, error["code"], error["not_run"]) == (status, code, True)


@pytest.mark.parametrize("document", [[], {"model": 3}, {"model": "a0", "n": 0}])
def test_bad_documents_are_refused(small_fleet, document):
    secret = small_fleet.secrets["kesariya"]
    address = small_fleet.callers_address("entry-1")
    status, body = call(address, CHAT, document, secret)
    assert status == 400
    assert json.loads(body)["error"]["not_run"] is True
