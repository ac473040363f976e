"""
bench.simulation.scenario
~~~~~~~~~~~~~~~~~~~~~~~~~

What a simulated run plays, read from YAML.
"""

from pathlib import Path

import msgspec

from rosemarypath.errors import RosemarypathError

__all__ = ["EngineModel", "Kind", "Scenario", "ScenarioError", "load_scenario"]


STRICT = {"frozen": True, "kw_only": True, "forbid_unknown_fields": True}


class ScenarioError(RosemarypathError):
    """A scenario file cannot be played."""


class EngineModel(msgspec.Struct, **STRICT):
    """
    One engine.

    Options:

    `slots`, `kv_tokens`
        Streams that run at once, and the tokens that its memory holds.
    `adapter_places`
        Adapters that it holds at once.
    `step`, `step_per_stream`
        Seconds of one decoding step, and more for each running stream.
    `tokens_per_second`
        Prompt tokens that it reads a second.
    `chunk`
        Prompt tokens that one step reads at most.
    `stride`
        Tokens in one event of a stream.
    """

    slots: int = 48
    kv_tokens: int = 111_812
    adapter_places: int = 20
    step: float = 0.0051
    step_per_stream: float = 0.0000255
    tokens_per_second: float = 29_400.0
    chunk: int = 2048
    stride: int = 7


class Kind(msgspec.Struct, **STRICT):
    """
    One kind of streamed request.

    `rate` is in requests a second, `prompt` and `output` are mean tokens, `objective`
    seconds to the first event, `pause` seconds between two, `deadline` seconds in all.
    """

    name: str
    rate: float
    prompt: int
    output: int
    objective: float = 0.8
    pause: float = 0.3
    deadline: float = 12.0


class Shift(msgspec.Struct, **STRICT):
    """
    From `at` on for `seconds`, a `share` of all requests is for few adapters.

    `count` adapters are drawn afresh for it.
    """

    at: float
    seconds: float
    share: float
    count: int = 1


class Burst(msgspec.Struct, **STRICT):
    """From `at` on for `seconds`, requests come `times` as often."""

    at: float
    seconds: float
    times: float


class Crash(msgspec.Struct, **STRICT):
    """At `at`, `count` engines restart empty and are back after `seconds`."""

    at: float
    seconds: float
    count: int = 1


class Scenario(msgspec.Struct, **STRICT):
    """
    One run.

    Options:

    `daemons`, `engines`
        How many there are.
    `news_seconds`
        How late a daemon learns of the others' sends and of loads.
    `plain_share`
        Part of the requests that need no adapter.
    `adapters`, `skew`
        How many adapters there are, and the exponent of their popularity.
    `load_seconds`, `recent_factor`, `loads_at_once`
        Time of an adapter's load; the part of it for one held lately; loads over all
        engines beyond which each takes longer in proportion.
    """

    name: str
    seconds: float = 36.0
    daemons: int = 9
    engines: int = 6
    engine: EngineModel = EngineModel()
    kinds: list[Kind]
    news_seconds: float = 0.15
    plain_share: float = 0.3
    adapters: int = 10_000
    skew: float = 0.8
    load_seconds: float = 0.25
    recent_factor: float = 0.1
    loads_at_once: int = 40
    shifts: list[Shift] = []
    bursts: list[Burst] = []
    crashes: list[Crash] = []

    def rate_factor(self, now):
        """Return how many times the usual rate holds at `now`."""
        factor = 1.0
        for burst in self.bursts:
            if burst.at <= now < burst.at + burst.seconds:
                factor *= burst.times
        return factor


def load_scenario(path):
    """Return the `Scenario` in a file; raises `ScenarioError` naming what is wrong."""
    try:
        return msgspec.yaml.decode(Path(path).read_bytes(), type=Scenario)
    except (OSError, msgspec.MsgspecError) as error:
        raise ScenarioError(f"{path}: {error}", "see bench/simulation") from error
