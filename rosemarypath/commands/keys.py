"""
rosemarypath.commands.keys
~~~~~~~~~~~~~~~~~~~~~~~~~~

The command that issues and withdraws keys of customers.
"""

import secrets

from rosemarypath.commands import (
    Command,
    add_daemon_argument,
    add_store_argument,
    command,
)
from rosemarypath.commands.rules import EXIT_NOT_ACCEPTED, wait_until_accepted
from rosemarypath.customer import hash_key, new_key
from rosemarypath.errors import NotFoundError
from rosemarypath.rules import format_rule
from rosemarypath.rulestore import change_rule, set_option

__all__ = ["KeyCommand"]


@command("key")
class KeyCommand(Command):
    """Issue a key to a customer, or withdraw one by its name."""

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("action", choices=("issue", "withdraw"))
        parser.add_argument("name", help="the customer, or the key to withdraw")
        parser.add_argument("--asked-by", required=True, metavar="WHO")
        parser.add_argument("--timeout", type=float, default=30.0)
        add_store_argument(parser)
        add_daemon_argument(parser)

    async def run(self, context, options):
        if options.action == "issue":
            revision, lines, document = await self._issue(context, options)
        else:
            revision, lines, document = await self._withdraw(context, options)
        context.print_result({"revision": revision, **document}, lines)
        if context.daemons:
            if not await wait_until_accepted(context, revision, options.timeout):
                context.print_progress("stored, but not yet in force everywhere")
                return EXIT_NOT_ACCEPTED
        return 0

    async def _issue(self, context, options):
        secret = new_key()
        name = f"{options.name}-{secrets.token_hex(3)}"
        values = {"digest": hash_key(secret), "customer": options.name}
        line = format_rule("key", name, values, options.asked_by)
        revision, _ = await change_rule(context.store, "key", name, lambda _: line)
        lines = [
            f"key {name}: {secret}",
            "it is shown only now; for your rules file:",
            line,
        ]
        return revision, lines, {"name": name, "secret": secret, "rule": line}

    async def _withdraw(self, context, options):
        def change(current_line):
            if current_line is None:
                message = f"there is no key '{options.name}'"
                raise NotFoundError(message, "see 'rosemarypath show' for its name")
            return set_option(current_line, "withdrawn", "yes", options.asked_by)

        revision, line = await change_rule(context.store, "key", options.name, change)
        lines = [f"key {options.name} is withdrawn; for your rules file:", line]
        return revision, lines, {"name": options.name, "rule": line}
