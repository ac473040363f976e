"""
tests.test_simulation
~~~~~~~~~~~~~~~~~~~~~

Tests of the simulated engine and world, and of the tool that compares policies.
"""

import json
from pathlib import Path

import msgspec
import pytest

from bench.simulate import compute_figures, main
from bench.simulation.engine import SimulatedEngine, Stream
from bench.simulation.scenario import (
    Crash,
    EngineModel,
    Kind,
    Scenario,
    ScenarioError,
    Shift,
    load_scenario,
)
from bench.simulation.world import World

SCENARIOS = Path(__file__).parent.parent / "bench" / "scenarios"
MODEL = EngineModel(slots=4, kv_tokens=4000, adapter_places=2, chunk=500)


class Clock:
    """Runs scheduled functions in order of time."""

    def __init__(self):
        self.now = 0.0
        self.waiting = []

    def call_at(self, at, function):
        self.waiting.append((at, len(self.waiting), function))

    def run(self):
        while self.waiting:
            entry = min(self.waiting)
            self.waiting.remove(entry)
            self.now = entry[0]
            entry[2]()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def engine(clock):
    return SimulatedEngine("e", MODEL, clock.call_at)


def stream(ended, prompt=100, output=14, adapter=""):
    return Stream(
        adapter,
        prompt,
        output,
        lambda now: None,
        lambda now, is_whole: ended.append((now, is_whole)),
    )


def test_an_engine_sends_all_events_after_processing_the_prompt(clock, engine):
    ended = []
    one = stream(ended)
    assert engine.accept(one, 0.0)
    clock.run()
    assert [is_whole for _, is_whole in ended] == [True]
    assert len(one.events) == 2
    # One step processes the prompt, seven more generate the first event.
    reading = 100 / MODEL.tokens_per_second
    assert one.events[0] == pytest.approx(8 * MODEL.step + reading, rel=0.05)


def test_a_long_prompt_delays_concurrent_streams(clock, engine):
    ended = []
    one = stream(ended, output=70)
    engine.accept(one, 0.0)
    clock.call_at(0.06, lambda: engine.accept(stream(ended, prompt=3500), clock.now))
    clock.run()
    gaps = [b - a for a, b in zip(one.events, one.events[1:])]
    assert max(gaps) > 2 * min(gaps)
    delay = sum(gap - min(gaps) for gap in gaps)
    assert delay == pytest.approx(3500 / MODEL.tokens_per_second, rel=0.1)


def test_requests_beyond_memory_are_queued_or_preempted(clock, engine):
    ended = []
    for _ in range(4):
        engine.accept(stream(ended, prompt=900, output=400), 0.0)
    clock.run()
    assert [is_whole for _, is_whole in ended] == [True] * 4
    assert engine.preemption_count > 0


def test_a_crash_ends_streams_and_unloads_adapters(clock, engine):
    ended = []
    engine.adapters.loaded["a"] = 1
    engine.accept(stream(ended, adapter="a", output=700), 0.0)
    clock.call_at(0.1, lambda: engine.crash(clock.now))
    clock.run()
    assert [is_whole for _, is_whole in ended] == [False]
    assert not engine.accept(stream(ended, adapter="a"), 1.0)
    engine.restart()
    assert not engine.accept(
        stream(ended, adapter="a"), 1.0
    ), "the adapter is no longer loaded"
    assert engine.accept(stream(ended), 1.0)


def scenario(**changes):
    settings = {
        "name": "small",
        "seconds": 12.0,
        "daemons": 12,
        "engines": 8,
        "news_seconds": 0.2,
        "adapters": 200,
        "kinds": [Kind(name="ask", rate=40.0, prompt=800, output=150)],
        **changes,
    }
    return Scenario(**settings)


def simulate(plan, policy, seed=1):
    world = World(plan, policy, seed)
    world.run()
    return compute_figures(world, policy, seed, plan.kinds)


def test_runs_with_the_same_seed_are_identical():
    assert simulate(scenario(), "current") == simulate(scenario(), "current")
    assert simulate(scenario(), "current") != simulate(scenario(), "current", seed=2)


def test_each_request_has_one_outcome():
    figures = simulate(scenario(), "current")
    parts = figures.in_time + figures.late_first + figures.paused + figures.unserved
    assert parts == pytest.approx(1.0)
    assert 380 < figures.requests < 580


def test_a_shift_to_one_adapter_is_served_better_than_by_the_baselines():
    """35% of the adapter requests move to one adapter that no engine has loaded."""
    kinds = [Kind(name="ask", rate=60.0, prompt=800, output=150)]
    plan = scenario(shifts=[Shift(at=2.0, seconds=6.0, share=0.35)], kinds=kinds)
    chosen = [simulate(plan, "current", seed).in_time for seed in (1, 2, 3)]
    for baseline in ("least_running", "one_home"):
        others = [simulate(plan, baseline, seed).in_time for seed in (1, 2, 3)]
        assert sum(chosen) > sum(others)
    assert sum(chosen) / 3 > 0.95


def test_reserved_adapters_serve_more_callers_on_engines_with_few_places():
    """Without reservations most loads are evicted before a request uses them."""
    plan = msgspec.structs.replace(
        load_scenario(SCENARIOS / "glasnica.yaml"), seconds=20
    )
    baseline = msgspec.structs.replace(plan, reservation_seconds=0.0)
    figures = {}
    for name, variant in (("current", plan), ("baseline", baseline)):
        world = World(variant, "current", 1)
        world.run()
        figures[name] = compute_figures(world, "current", 1, plan.kinds)
    assert figures["current"].unserved < figures["baseline"].unserved / 2
    assert figures["current"].in_time >= figures["baseline"].in_time - 0.03
    assert figures["current"].loads < figures["baseline"].loads / 2


def test_requests_interrupted_before_the_first_event_are_retried_elsewhere():
    plan = scenario(crashes=[Crash(at=4.0, seconds=3.0, count=2)])
    figures = simulate(plan, "current")
    assert figures.unserved < 0.08


@pytest.mark.parametrize(
    "text", ["", "name: x", "name: x\nkinds: []\ntypo: 1", "name: [", "kinds: 3"]
)
def test_an_invalid_scenario_is_rejected(tmp_path, text):
    path = tmp_path / "wrong.yaml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as problem:
        load_scenario(path)
    assert "wrong.yaml" in str(problem.value)


def test_the_tool_writes_table_figures_and_plot(tmp_path, capsys):
    path = tmp_path / "s.yaml"
    path.write_text(
        "name: s\nseconds: 3\nkinds: [{name: a, rate: 10, prompt: 300, output: 50}]\n"
    )
    figures_path, plot_path = tmp_path / "f.json", tmp_path / "p.svg"
    arguments = [str(path), "--seeds", "1", "2"]
    assert (
        main([*arguments, "--json", str(figures_path), "--plot", str(plot_path)]) == 0
    )
    assert "least_running" in capsys.readouterr().out
    assert len(json.loads(figures_path.read_text())) == 4
    assert "<rect" in plot_path.read_text()


def test_the_tool_names_the_invalid_argument(tmp_path, capsys):
    assert main([str(tmp_path / "none.yaml")]) == 2
    assert "none.yaml" in capsys.readouterr().err
    assert main(["x.yaml", "--policies", "guess"]) == 2
    assert "guess" in capsys.readouterr().err
