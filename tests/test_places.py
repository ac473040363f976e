"""
tests.test_places
~~~~~~~~~~~~~~~~~

Places of adapters: what is counted, and what makes way.
"""

from hypothesis import given, strategies as st

from rosemarypath.places import Places


def places(held, limit=4):
    result = Places(limit)
    result.held = dict(held)
    return result


def test_loads_under_way_and_unloads_not_finished_take_places():
    p = places({"a": 1})
    p.coming["b"] = 0.0
    p.leaving.add("a")
    p.coming["c"] = 0.0
    assert p.taken == 3
    assert p.has_room
    p.coming["d"] = 0.0
    assert not p.has_room


def test_the_least_recently_used_makes_way():
    p = places({"a": 1, "b": 1, "c": 1})
    used = {"a": 5.0, "b": 1.0, "c": 3.0}
    assert p.victim(lambda name: False, used, lambda name: 0) == "b"
    assert p.victim(lambda name: name == "b", used, lambda name: 0) == "c"
    assert p.victim(lambda name: True, used, lambda name: 0) is None


def test_an_outdated_adapter_makes_way_first():
    p = places({"a": 1, "b": 1})
    used = {"a": 5.0, "b": 1.0}
    assert p.victim(lambda n: False, used, lambda n: 2 if n == "a" else 1) == "a"


@given(st.lists(st.sampled_from("abcdefgh"), max_size=30))
def test_a_place_is_free_only_below_the_limit(names):
    p = Places(5)
    for name in names:
        if not p.has_room and name not in p.held:
            victim = p.victim(lambda n: False, {}, lambda n: 0)
            p.held.pop(victim)
        p.held[name] = 1
        assert p.taken <= 5
