"""
tests.test_storeavailability
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outages of the store, told from calls that single daemons lost.
"""

from hypothesis import given, strategies as st

from rosemarypath.storeavailability import ENTRY_RECOVERY_SECONDS, StoreAvailability

GAP = 1.7


def availability_after(answers):
    """Return a `StoreAvailability` that heard of `answers`, and the outages it told."""
    outages = []
    availability = StoreAvailability(GAP, outages.append)
    for at in answers:
        availability.note_answer(at)
    return availability, outages


def test_answers_to_any_daemon_prove_that_the_store_is_there():
    availability, outages = availability_after([0.0, 0.5, 1.9, 3.5, 4.0])
    assert availability.is_stable(4.1)
    assert availability.reachable_seconds(4.1) == 4.1
    assert outages == []


def test_after_an_outage_entries_have_time_to_return():
    availability, outages = availability_after([0.0, 1.0, 9.0, 10.0, 11.0])
    assert outages == [8.0]
    assert not availability.is_stable(9.0 + ENTRY_RECOVERY_SECONDS - 0.01)
    assert availability.is_stable(9.0 + ENTRY_RECOVERY_SECONDS)


def test_while_the_store_is_away_nothing_counts_as_gone():
    availability, _ = availability_after([0.0, 1.0, 2.0, 3.0])
    assert availability.is_stable(3.0)
    assert not availability.is_stable(3.0 + GAP + 0.1)


def test_a_relay_proves_what_its_sender_saw():
    availability, outages = availability_after([0.0, 1.0])
    availability.note_answer(9.0, since=0.5)
    assert availability.is_stable(9.0)
    assert outages == []


def test_a_relay_just_after_an_outage_proves_the_return_only():
    availability, outages = availability_after([0.0, 1.0])
    availability.note_answer(9.0, since=9.0)
    assert not availability.is_stable(9.0)
    assert outages == [8.0]


def test_a_fresh_daemon_learns_from_others_for_how_long_the_store_was_there():
    availability, outages = availability_after([10.0])
    assert not availability.is_stable(10.1)
    availability.note_answer(10.2, since=5.0)
    assert availability.is_stable(10.2)
    assert outages == []


@given(st.lists(st.floats(0.01, 6.0), min_size=1, max_size=30), st.data())
def test_the_order_in_which_answers_are_heard_of_hides_no_outage(steps, data):
    at = 0.0
    answers = []
    for step in steps:
        at += step
        answers.append(at)
    heard = data.draw(st.permutations(answers))
    availability, _ = availability_after(heard)
    known = answers[0]
    last_outage_end = known
    for answer in answers:
        if answer - known > GAP:
            last_outage_end = answer
        known = answer
    # News that comes late may extend the time given to entries, never shorten it.
    assert availability.reachable_seconds(at) <= at - last_outage_end + 1e-9
