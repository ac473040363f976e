"""
rosemarypath.commands.rules
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on a whole rules file: check, plan, apply and show.
"""

import asyncio
import sys
import time
from pathlib import Path

from rosemarypath.commands import (
    Command,
    add_daemon_argument,
    add_store_argument,
    command,
)
from rosemarypath.configuration import diff_rules
from rosemarypath.configurationreplica import read_configuration
from rosemarypath.errors import RosemarypathError
from rosemarypath.rules import parse_rules
from rosemarypath.rulestore import (
    fetch_adoption,
    read_base_revision,
    store_rules,
    with_base_revision,
)

__all__ = ["ApplyCommand", "CheckCommand", "PlanCommand", "ShowCommand"]

EXIT_INVALID_RULES = 2
EXIT_NOT_ACCEPTED = 3
POLL_INTERVAL_SECONDS = 0.1
PROGRESS_INTERVAL_SECONDS = 1.0


def read_rules_file(path):
    """
    Return ``(text, rules)`` of the rules file `path`.

    If the file is invalid, prints all its errors to stderr and returns ``None`` as
    rules.
    """
    text = Path(path).read_text(encoding="utf-8")
    rules, errors = parse_rules(text, path)
    for error in errors:
        print(error, file=sys.stderr)
    if errors:
        print(f"{len(errors)} errors; nothing was changed", file=sys.stderr)
        return text, None
    return text, rules


def print_changes(context, revision, changes):
    """Print `changes` and the `revision` of the configuration."""
    signs = {"add": "+", "change": "~", "remove": "-"}
    document = {
        "revision": revision,
        "changes": [
            {"action": c.action, "kind": c.kind, "name": c.name} for c in changes
        ],
    }
    lines = [f"{signs[c.action]} {c.after or c.before}" for c in changes]
    lines.append(f"{len(changes)} changes; revision {revision}")
    context.print_result(document, lines)


async def wait_until_accepted(context, revision, timeout):
    """
    Wait until every daemon has adopted `revision`; return whether they have.

    `timeout` is in seconds. While it waits, it prints which daemons are behind.
    """
    deadline = time.monotonic() + timeout
    last_progress_at = time.monotonic()
    while time.monotonic() < deadline:
        for address in context.daemons:
            try:
                adoption = await fetch_adoption(address, revision)
            except RosemarypathError as error:
                context.print_progress(str(error))
                continue
            if adoption.accepted >= revision:
                return True
            if time.monotonic() - last_progress_at > PROGRESS_INTERVAL_SECONDS:
                last_progress_at = time.monotonic()
                context.print_progress(
                    f"waiting for {', '.join(sorted(adoption.behind))}"
                )
            break
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return False


@command("check")
class CheckCommand(Command):
    """Check a rules file and report every error."""

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("file")

    async def run(self, context, options):
        _, rules = read_rules_file(options.file)
        if rules is None:
            return EXIT_INVALID_RULES
        context.print_result({"rules": len(rules)}, [f"{len(rules)} rules are good"])
        return 0


@command("plan")
class PlanCommand(Command):
    """Show what applying a rules file would change."""

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("file")
        add_store_argument(parser)

    async def run(self, context, options):
        _, rules = read_rules_file(options.file)
        if rules is None:
            return EXIT_INVALID_RULES
        current, _ = await read_configuration(context.store)
        print_changes(context, current.revision, diff_rules(current.all_rules(), rules))
        return 0


@command("apply")
class ApplyCommand(Command):
    """Put a rules file in force and wait until every daemon has adopted it."""

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("file")
        parser.add_argument(
            "--from-revision",
            type=int,
            metavar="N",
            help="the revision the file is based on, if it has no header",
        )
        parser.add_argument(
            "--timeout", type=float, default=30.0, help="seconds to wait (default 30)"
        )
        add_store_argument(parser)
        add_daemon_argument(parser)

    async def run(self, context, options):
        text, rules = read_rules_file(options.file)
        if rules is None:
            return EXIT_INVALID_RULES
        base = options.from_revision
        if base is None:
            base = read_base_revision(text) or 0
        revision, changes = await store_rules(context.store, rules, base)
        Path(options.file).write_text(
            with_base_revision(text, revision), encoding="utf-8"
        )
        print_changes(context, revision, changes)
        if not context.daemons:
            return 0
        if not await wait_until_accepted(context, revision, options.timeout):
            context.print_progress("stored, but not yet in force everywhere")
            return EXIT_NOT_ACCEPTED
        context.print_progress(f"revision {revision} is in force everywhere")
        return 0


@command("show")
class ShowCommand(Command):
    """Print the rules in force, as a file to edit and apply."""

    @classmethod
    def add_arguments(cls, parser):
        add_store_argument(parser)

    async def run(self, context, options):
        current, _ = await read_configuration(context.store)
        lines = [rule.text for rule in current.all_rules()]
        header = f"# based on revision {current.revision}"
        document = {"revision": current.revision, "rules": lines}
        context.print_result(document, [header, *lines])
        return 0
