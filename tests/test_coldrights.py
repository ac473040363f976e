"""
tests.test_coldrights
~~~~~~~~~~~~~~~~~~~~~

Shares of the requests that cold back ends bear, by fleet size.
"""

from collections import Counter

import pytest

from rosemarypath.scheduling.coldrights import ColdRights

TOTAL = 15.0  # requests per second that a cold engine may get from all machines
ENGINES = [f"engine-{number}" for number in range(39)]


def limits(machine_count, registered=None):
    """Return the limits by machine and engine."""
    names = frozenset(registered or (f"m{number}" for number in range(machine_count)))
    found = {}
    for name in names:
        rights = ColdRights(name)
        for engine in ENGINES:
            found[name, engine] = rights.limit(engine, TOTAL, names - {name})
    return found


@pytest.mark.parametrize("machine_count", [1, 9, 15, 16, 68, 195, 454])
def test_all_machines_together_stay_within_the_limit_of_a_cold_engine(machine_count):
    totals = Counter()
    for (_, engine), limit in limits(machine_count).items():
        totals[engine] += limit
    for engine in ENGINES:
        assert TOTAL - 1.0 < totals[engine] <= TOTAL


def test_each_machine_may_use_some_cold_engine_when_all_are_cold():
    by_machine = Counter()
    for (name, _), limit in limits(195).items():
        by_machine[name] += limit
    assert sum(by_machine.values()) == len(ENGINES) * int(TOTAL)
    served = sum(1 for total in by_machine.values() if total)
    assert served >= 0.9 * 195


def test_dead_machines_that_are_still_registered_leave_others_their_rights():
    names = [f"m{number}" for number in range(195)]
    before = limits(195)
    after = limits(0, registered=names[:150])
    for engine in ENGINES:
        kept = {n for n in names[:150] if before[n, engine]}
        assert kept <= {n for n in names[:150] if after[n, engine]}


def test_rights_follow_a_new_set_of_machines():
    rights = ColdRights("own")
    many = frozenset(f"m{number}" for number in range(300))
    lone = frozenset()
    held = [rights.limit(engine, TOTAL, many) for engine in ENGINES]
    assert set(held) <= {0.0, 1.0} and 0.0 in held
    assert rights.limit(ENGINES[0], TOTAL, lone) == TOTAL
