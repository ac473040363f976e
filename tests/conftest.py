"""
tests.conftest
~~~~~~~~~~~~~~

Fixtures that tests share.
"""

import pytest

from bench.fleet import Fleet, FleetPlan

CUSTOMERS = {
    "kesariya": {"rate": 2000, "burst": 4000},
    "mfereji": {"rate": 2000, "burst": 4000},
}


@pytest.fixture(scope="module")
def small_fleet(tmp_path_factory):
    """Two daemons, two engines and a plain service, in standing."""
    plan = FleetPlan(customers=CUSTOMERS)
    with Fleet(plan, tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.wait_in_standing()
        yield fleet
