"""
tests.test_engineadapters
~~~~~~~~~~~~~~~~~~~~~~~~~~

Adapter places of an engine: what is counted, and what is evicted.
"""

from hypothesis import given, strategies as st

from rosemarypath.scheduling.engineadapters import EngineAdapters


def engine_adapters(loaded, capacity=4):
    result = EngineAdapters(capacity)
    result.loaded = dict(loaded)
    return result


def test_pending_loads_and_unfinished_unloads_take_places():
    adapters = engine_adapters({"a": 1})
    adapters.loading["b"] = 0.0
    adapters.unloading.add("a")
    adapters.loading["c"] = 0.0
    assert adapters.used_places == 3
    assert adapters.has_free_place
    adapters.loading["d"] = 0.0
    assert not adapters.has_free_place


def test_the_least_recently_used_is_evicted():
    adapters = engine_adapters({"a": 1, "b": 1, "c": 1})
    used = {"a": 5.0, "b": 1.0, "c": 3.0}
    assert adapters.choose_victim(lambda name: False, used, lambda name: 0) == "b"
    assert adapters.choose_victim(lambda name: name == "b", used, lambda name: 0) == "c"
    assert adapters.choose_victim(lambda name: True, used, lambda name: 0) is None


def test_an_outdated_adapter_is_evicted_first():
    adapters = engine_adapters({"a": 1, "b": 1})
    used = {"a": 5.0, "b": 1.0}
    assert (
        adapters.choose_victim(lambda n: False, used, lambda n: 2 if n == "a" else 1)
        == "a"
    )


@given(st.lists(st.sampled_from("abcdefgh"), max_size=30))
def test_a_place_is_free_only_below_the_limit(names):
    adapters = EngineAdapters(5)
    for name in names:
        if not adapters.has_free_place and name not in adapters.loaded:
            victim = adapters.choose_victim(lambda n: False, {}, lambda n: 0)
            adapters.loaded.pop(victim)
        adapters.loaded[name] = 1
        assert adapters.used_places <= 5
