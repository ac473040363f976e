"""
tests.test_storeavailability
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outages of the store, distinguished from failed calls of single daemons.

If a failed call counted as an outage, removed back ends would be kept; if an outage
went unnoticed, back ends whose entries lapsed would be dropped.
"""

from hypothesis import given, strategies as st

from rosemarypath.storeavailability import ENTRY_RECOVERY_SECONDS, StoreAvailability

GAP = 1.7


def availability_after(answers):
    """Return a `StoreAvailability` that noted `answers`, and its outages."""
    outages = []
    availability = StoreAvailability(GAP, outages.append)
    for at in answers:
        availability.note_answer(at)
    return availability, outages


def test_answers_to_any_daemon_show_that_the_store_is_available():
    availability, outages = availability_after([0.0, 0.5, 1.9, 3.5, 4.0])
    assert availability.is_stable(4.1)
    assert availability.reachable_seconds(4.1) == 4.1
    assert outages == []


def test_entries_have_time_to_return_after_an_outage():
    availability, outages = availability_after([0.0, 1.0, 9.0, 10.0, 11.0])
    assert outages == [8.0]
    assert not availability.is_stable(9.0 + ENTRY_RECOVERY_SECONDS - 0.01)
    assert availability.is_stable(9.0 + ENTRY_RECOVERY_SECONDS)


def test_availability_is_not_stable_during_an_outage():
    availability, _ = availability_after([0.0, 1.0, 2.0, 3.0])
    assert availability.is_stable(3.0)
    assert not availability.is_stable(3.0 + GAP + 0.1)


def test_a_relayed_answer_extends_availability_to_what_its_sender_saw():
    availability, outages = availability_after([0.0, 1.0])
    availability.note_answer(9.0, since=0.5)
    assert availability.is_stable(9.0)
    assert outages == []


def test_a_relayed_answer_just_after_an_outage_does_not_hide_the_outage():
    availability, outages = availability_after([0.0, 1.0])
    availability.note_answer(9.0, since=9.0)
    assert not availability.is_stable(9.0)
    assert outages == [8.0]


def test_a_new_daemon_adopts_the_availability_that_others_report():
    availability, outages = availability_after([10.0])
    assert not availability.is_stable(10.1)
    availability.note_answer(10.2, since=5.0)
    assert availability.is_stable(10.2)
    assert outages == []


@given(st.lists(st.floats(0.01, 6.0), min_size=1, max_size=30), st.data())
def test_no_outage_is_hidden_by_answers_reported_out_of_order(steps, data):
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
    # Late reports may extend the time that entries have to return, but not shorten it.
    assert availability.reachable_seconds(at) <= at - last_outage_end + 1e-9
