"""
rosemarypath.commands.reporting
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The command that reports the burn of service-level objectives.
"""

from pathlib import Path

from rosemarypath.commands import Command, add_daemon_argument, command
from rosemarypath.errors import RosemarypathError
from rosemarypath.report import burn_table, html_page, merge_levels, text_lines

__all__ = ["ReportCommand"]


@command("report")
class ReportCommand(Command):
    """Report how fast the error budgets of the objectives burn, and why."""

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("--html", metavar="FILE", help="write a page with plots")
        add_daemon_argument(parser, required=True)

    async def run(self, context, options):
        documents = []
        for address in context.daemons:
            try:
                documents.append(await context.ask(address, "/levels"))
            except RosemarypathError as error:
                context.progress(str(error))
        if not documents:
            raise RosemarypathError("no daemon answered", "name others with --daemon")
        slices = merge_levels(documents)
        now = max(document["now"] for document in documents)
        rows = burn_table(slices, now)
        if options.html:
            Path(options.html).write_text(
                html_page(rows, slices, now), encoding="utf-8"
            )
        context.show({"rows": rows}, text_lines(rows))
        return 0
