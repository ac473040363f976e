"""
rosemarypath.commands.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on a running fleet: status, explain, drain and forget.
"""

import dataclasses
import sys
from urllib.parse import quote

import msgspec

from rosemarypath.commands import (
    Command,
    add_daemon_argument,
    add_store_argument,
    command,
)
from rosemarypath.configurationreplica import FLEET
from rosemarypath.errors import NotFoundError
from rosemarypath.explaining import explain_request, read_records
from rosemarypath.machine import DRAINING, UP
from rosemarypath.membership import ROSTER
from rosemarypath.roster import Roster

__all__ = ["DrainCommand", "ExplainCommand", "ForgetCommand", "StatusCommand"]

EXIT_NOT_FOUND = 1


@command("status")
class StatusCommand(Command):
    """Show the state of a daemon and its view of the fleet."""

    @classmethod
    def add_arguments(cls, parser):
        add_daemon_argument(parser, required=True)

    async def run(self, context, options):
        status = await context.fetch_from_any("/status")
        # A daemon in standing holds a valid quorum lease. The barrier is the roster
        # revision that every member not fenced has adopted.
        lease = "in standing" if status["in_standing"] else "NOT in standing"
        lines = [
            f"{status['identity']} in {status['zone']}: {lease}",
            f"configuration {status['configuration_revision']}, "
            f"accepted everywhere {status['accepted_revision']}",
            f"roster {status['roster_revision']}, barrier {status['barrier']}",
        ]
        if status["waiting_for"]:
            lines.append(f"the barrier waits for {', '.join(status['waiting_for'])}")
        for machine in status["machines"]:
            lines.append(
                f"  machine {machine['name']} {machine['zone']} {machine['state']}"
            )
        for back_end in status["back_ends"]:
            lines.append(
                f"  owns {back_end['name']}: {back_end['seats']} of "
                f"{back_end['limit']} seats, {back_end['queued']} waiting, "
                f"{len(back_end['adapters'])} adapters"
            )
        context.print_result(status, lines)
        return 0


@command("explain")
class ExplainCommand(Command):
    """Explain a route, or the outcome of a request.

    With --logs the command reads decision logs of daemons instead of querying a daemon.
    """

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("name", help="a route, or the identifier of a request")
        add_daemon_argument(parser, required=False)
        parser.add_argument(
            "--logs",
            nargs="+",
            metavar="FILE",
            help="decision logs of one daemon or more; - for standard input",
        )

    async def run(self, context, options):
        if options.logs:
            return self._explain_logs(context, options)
        document = await context.fetch_from_any(f"/explain/{quote(options.name)}")
        lines = [f"{name}: {value}" for name, value in document.items()]
        context.print_result(document, lines)
        return 0

    def _explain_logs(self, context, options):
        records = []
        unreadable = 0
        for path in options.logs:
            found, failed = _read_log(path)
            records += found
            unreadable += failed
        explanation = explain_request(options.name, records, unreadable)
        context.print_result(dataclasses.asdict(explanation), explanation.lines)
        return 0 if explanation.records else EXIT_NOT_FOUND


def _read_log(path):
    """Read one log, as `read_records`; raises `NotFoundError` if it is unreadable."""
    if path == "-":
        return read_records(sys.stdin)
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            return read_records(file)
    except OSError as error:
        raise NotFoundError(
            f"{path}: {error.strerror}", "name a readable log, or - for standard input"
        ) from error


@command("drain")
class DrainCommand(Command):
    """Stop sending new callers to a machine, before it is stopped."""

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("machine")
        parser.add_argument("--undo", action="store_true", help="send callers again")
        add_store_argument(parser)

    async def run(self, context, options):
        stored = await context.store.get(FLEET, ROSTER)
        roster = Roster.from_stored(stored)
        machine = roster.machines.get(options.machine)
        if machine is None:
            known = ", ".join(sorted(roster.machines))
            raise NotFoundError(
                f"there is no machine '{options.machine}'", f"use one of: {known}"
            )
        state = UP if options.undo else DRAINING
        changed = roster.with_machine(msgspec.structs.replace(machine, state=state))
        await context.store.update(FLEET, ROSTER, changed.to_spec(), stored.version)
        context.print_result(
            {"machine": machine.name, "state": state}, [f"{machine.name}: {state}"]
        )
        return 0


@command("forget")
class ForgetCommand(Command):
    """Remove a member from the roster after its process has ended for good.

    Changes of owners wait for every member that is not proven to be fenced, for example
    because most of its witnesses ended with it. Only an operator can confirm that such
    a member has ended.
    """

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("identity", help="NAME/INCARNATION as 'status' shows it")
        parser.add_argument(
            "--it-has-ended",
            action="store_true",
            required=True,
            help="confirm that this process has ended or cannot reach any other",
        )
        add_store_argument(parser)

    async def run(self, context, options):
        stored = await context.store.get(FLEET, ROSTER)
        roster = Roster.from_stored(stored)
        if roster.find(options.identity) is None:
            known = ", ".join(sorted(roster.members))
            raise NotFoundError(
                f"there is no member '{options.identity}'", f"use one of: {known}"
            )
        changed = roster.without({options.identity})
        await context.store.update(FLEET, ROSTER, changed.to_spec(), stored.version)
        context.print_result(
            {"forgotten": options.identity}, [f"{options.identity} is removed"]
        )
        return 0
