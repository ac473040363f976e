"""
bench.edgecosts
~~~~~~~~~~~~~~~

Measures the processor time that the platform's daemon takes for one heartbeat, choice
of a back end, server-sent event and log line.

docs/CAPACITY.md uses the results for that daemon.
"""

import os
import time

import msgspec

from rosemarypath.backend import ENGINE, BackEnd, BackEndEntry, LoadedModel
from rosemarypath.backendstate import BackEndState
from rosemarypath.decisionlog import DecisionLog
from rosemarypath.demand import Demand
from rosemarypath.frames import Batch, BatchDecoder, Frame
from rosemarypath.peermessages import PeerState
from rosemarypath.scheduling.choice import ChoiceFacts, choose_back_end
from rosemarypath.sse import EventSplitter

__all__ = ["main"]

ROUNDS = 2000
EVENT = b"id: 17\ndata: " + b"x" * 55 + b"\n\n"


def measure_cost(function, rounds=ROUNDS):
    """Return the mean processor time of one ``function()``, in microseconds."""
    started = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - started) / rounds * 1e6


def build_heartbeat(engines, adapters):
    """
    Return a heartbeat of a daemon that holds the leases of `engines` engines.

    Each engine has `adapters` loaded adapters.
    """
    loaded_models = {
        f"i-{n:010x}": [("model", 1, {f"a{k}": 1 for k in range(adapters)})]
        for n in range(engines)
    }
    loads = {f"i-{n:010x}": (4, 900, {f"model/a{n}": 2}) for n in range(4)}
    revisions = {f"rosemarypath-kind-{n}": 1234567 for n in range(6)}
    spent = {f"customer{n}": 123456 for n in range(5)}
    return PeerState(
        9999, 9998, False, True, True, revisions, spent, loads, loaded_models
    )


def build_engine(number):
    """Return the state of an engine with 22 loaded adapters."""
    back_end = BackEnd(
        name=f"e{number}", address="h:1", zone="z", kind=ENGINE, serves="s", capacity=64
    )
    adapters = {f"a{number * 22 + k}": 1 for k in range(22)}
    state = BackEndState(BackEndEntry(back_end=back_end), 0.0)
    state.set_loaded_models((LoadedModel("m", 1, adapters),))
    return state


def main():
    """Print each cost on a line."""
    encoder = msgspec.msgpack.Encoder()
    decoder = BatchDecoder()
    for engines in (0, 1, 10):
        batch = Batch(
            "me/1", "h:1", "you/1", [Frame(0, 0, build_heartbeat(engines, 22))]
        )
        data = encoder.encode(batch)
        encode_cost = measure_cost(lambda: encoder.encode(batch))
        decode_cost = measure_cost(lambda: decoder.decode(data))
        print(f"heartbeat, {engines} engine leases held: {len(data)} bytes, ", end="")
        print(f"encode {encode_cost:.1f} us, decode {decode_cost:.1f} us")
    demand = Demand("r", 10.0, model="m", adapter="a30", prompt_tokens=800)
    for count in (6, 30, 100):
        states = [build_engine(number) for number in range(count)]
        facts = ChoiceFacts(zone="z")
        microseconds = measure_cost(
            lambda: choose_back_end(states, demand, facts, 1.0), 300
        )
        print(f"choice of one of {count} engines: {microseconds:.1f} us")
    splitter = EventSplitter()
    print(
        f"splitting off one event: {measure_cost(lambda: splitter.feed(EVENT)):.1f} us"
    )
    with open(os.devnull, "wb") as sink:
        log = DecisionLog("edge-1", sink.fileno())
        line = {"request": "9c41d07be2a35f68", "back_end": "i-1", "seconds": 0.12}
        microseconds = measure_cost(
            lambda: (log.write("send", "answered", **line), log.flush()), 250
        )
    print(f"writing and flushing one log line: {microseconds:.1f} us")


if __name__ == "__main__":
    main()
