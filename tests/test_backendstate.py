"""
tests.test_backendstate
~~~~~~~~~~~~~~~~~~~~~~~

Which adapters an engine has loaded, against entries that are late or out of order.
"""

import pytest

from rosemarypath.backend import ENGINE, BackEnd, BackEndEntry, LoadedModel
from rosemarypath.backendstate import BackEndState

LATE_SECONDS = 60.0  # longer than any report outranks an entry
BACK_END = BackEnd(
    name="e", address="h:1", zone="z", kind=ENGINE, serves="s", capacity=8
)


def models(*adapters):
    return (LoadedModel("m", 1, dict.fromkeys(adapters, 1)),)


def entry(*adapters, order_count=0, started_at_ms=7):
    return BackEndEntry(
        back_end=BACK_END,
        started_at_ms=started_at_ms,
        order_count=order_count,
        models=models(*adapters),
    )


@pytest.fixture
def state():
    return BackEndState(entry(), 0.0)


@pytest.mark.parametrize("listed", [(), ("a", "b")])
def test_a_late_entry_does_not_undo_what_the_own_controller_did(state, listed):
    """Review, case 1: the choice and the controller disagreed on loaded adapters."""
    state.record_controlled_models(models("a"), 2, 0.0)
    for count in (1, 2):
        state.set_entry(entry(*listed, order_count=count), LATE_SECONDS)
        assert state.adapters == {"m/a": 1}


def test_an_entry_of_fewer_orders_tells_nothing_new_after_the_lease_moved(state):
    state.record_controlled_models(models("a"), 2, 0.0)
    state.release_models()
    state.set_entry(entry(order_count=1), LATE_SECONDS)
    assert state.adapters == {"m/a": 1}
    state.set_entry(entry("b", order_count=3), LATE_SECONDS)
    assert state.adapters == {"m/b": 1}


def test_an_entry_counts_once_the_lease_holder_is_silent(state):
    state.record_controller_report(models("a"), 0.0)
    state.set_entry(entry(order_count=1), 0.5)
    assert state.adapters == {"m/a": 1}
    state.set_entry(entry("b", order_count=1), LATE_SECONDS)
    assert state.adapters == {"m/b": 1}


def test_a_restarted_engine_has_what_its_entry_lists(state):
    state.record_controlled_models(models("a"), 9, 0.0)
    state.set_entry(entry("b", order_count=1, started_at_ms=8), 0.1)
    assert state.adapters == {"m/b": 1}


def test_an_entry_written_before_the_last_restart_is_ignored(state):
    """A status report that the store carries out late must not revive what is gone."""
    state.set_entry(entry("b", started_at_ms=8), 1.0)
    state.says_it_leaves = True
    state.set_entry(entry("a", order_count=5, started_at_ms=7), 2.0)
    assert state.entry.started_at_ms == 8
    assert state.adapters == {"m/b": 1}
    assert state.says_it_leaves
