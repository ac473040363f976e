"""
tests.test_oddentries
~~~~~~~~~~~~~~~~~~~~~

Daemons whose store has odd entries of other writers in each kind.
"""

import asyncio

import msgspec
import pytest

from bench.ports import free_ports
from rosemarypath.engineleases import LEASE_KIND
from rosemarypath.registration import MACHINE_KIND
from standins.replica import Replica
from tests.edgefleet import configuration, running_fleet
from tests.oddvalues import ODD_TEXTS

KINDS = ["servers", "versions", "evacuations", LEASE_KIND, MACHINE_KIND]
CONFIGURATION_BOUND_SECONDS = 2.0
SERVER_BOUND_SECONDS = 2.0


def put_odd_entries(store, prefix):
    """Write one odd entry of each sort into each kind."""
    for kind in KINDS:
        for name, text in ODD_TEXTS.items():
            store.put_raw(kind, f"{prefix} {name}", text)
            store.put_raw(kind, f"{prefix} {name} in a field", in_field(text))


def in_field(text):
    """Return the JSON text of a back end's entry that is odd in one field."""
    entry = {"service": "ledger", "address": "127.0.0.1:99999", "zone": "z1"}
    entry.update(slots=msgspec.Raw(text), state="ready")
    return msgspec.json.encode(entry)


async def assert_serving(fleet):
    replies = await fleet.call_often(0.5, path=b"/read/x")
    assert [reply.status for reply in replies] == [200] * len(replies)
    assert all(not daemon._stopping.is_set() for daemon in fleet.daemons)
    assert all(daemon.store_cache.health.is_up for daemon in fleet.daemons)


@pytest.mark.parametrize("is_there_before", [True, False])
def test_odd_entries_end_no_daemon_and_hide_no_change(is_there_before):
    async def play():
        async with running_fleet(2) as fleet:
            put_odd_entries(fleet.store, "a")
            put_odd_entries(fleet.store, "z")
            if is_there_before:
                await fleet.add_daemon()
                await fleet.until(lambda: fleet.daemons[-1].is_ready)
            await assert_serving(fleet)
            replica = Replica("ledger-3", f"127.0.0.1:{free_ports(1)[0]}")
            fleet.ledgers.append(replica)
            await replica.start()
            fleet.announce(replica)
            fleet.configure(configuration(version=2))
            await fleet.until(lambda: fleet.has_adopted(2), CONFIGURATION_BOUND_SECONDS)
            fleet.store.put_raw("config", "main", ODD_TEXTS["very deep"])
            fleet.configure(configuration(version=3))
            await fleet.until(lambda: fleet.has_adopted(3), CONFIGURATION_BOUND_SECONDS)
            await fleet.until(
                lambda: knows_all("ledger-3", fleet), SERVER_BOUND_SECONDS
            )
            fleet.store.put_raw("servers", "ledger-3", ODD_TEXTS["float out of range"])
            await fleet.until(lambda: knows_none("ledger-3", fleet))
            await assert_serving(fleet)

    asyncio.run(play())


def knows_all(name, fleet):
    return all(name in known_servers(daemon) for daemon in fleet.daemons)


def knows_none(name, fleet):
    return not any(name in known_servers(daemon) for daemon in fleet.daemons)


def known_servers(daemon):
    return daemon._fleet.back_ends.states
