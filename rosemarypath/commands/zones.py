"""
rosemarypath.commands.zones
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The command that takes zones out of service and brings them back.
"""

from rosemarypath.commands import (
    Command,
    add_daemon_argument,
    add_store_argument,
    command,
)
from rosemarypath.commands.rules import EXIT_NOT_ACCEPTED, wait_until_accepted
from rosemarypath.errors import NotFoundError
from rosemarypath.rulestore import change_rule, set_option

__all__ = ["ZoneCommand"]


@command("zone")
class ZoneCommand(Command):
    """Take a zone out of service, or bring it back in."""

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("action", choices=("out", "in"))
        parser.add_argument("name")
        parser.add_argument("--asked-by", required=True, metavar="WHO")
        parser.add_argument("--timeout", type=float, default=30.0)
        add_store_argument(parser)
        add_daemon_argument(parser)

    async def run(self, context, options):
        accepting = "no" if options.action == "out" else "yes"

        def change(current_line):
            if current_line is None:
                message = f"there is no zone '{options.name}'"
                raise NotFoundError(message, "see 'rosemarypath show' for its name")
            return set_option(current_line, "accepting", accepting, options.asked_by)

        revision, line = await change_rule(context.store, "zone", options.name, change)
        lines = [f"zone {options.name}: {options.action}; for your rules file:", line]
        context.print_result({"revision": revision, "rule": line}, lines)
        if context.daemons:
            if not await wait_until_accepted(context, revision, options.timeout):
                context.print_progress("stored, but not yet in force everywhere")
                return EXIT_NOT_ACCEPTED
        return 0
