"""
rosemarypath.commands.reporting
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The command that reports burn rates of service-level objectives.
"""

import asyncio
from pathlib import Path

from rosemarypath.commands import Command, add_daemon_argument, command
from rosemarypath.connectionpool import ConnectionPool
from rosemarypath.errors import ConnectError, ResponseError, RosemarypathError
from rosemarypath.report import burn_table, html_page, merge_levels, text_lines

__all__ = ["ReportCommand"]

# Twice the time that a scraper usually allows a busy daemon for one scrape.
SCRAPE_TIMEOUT_SECONDS = 5.0
# Between two scrapes of running daemons: twice the usual scrape interval.
DEFAULT_SCRAPE_INTERVAL_SECONDS = 30.0


@command("report")
class ReportCommand(Command):
    """Report how fast the error budgets of the objectives burn, and why."""

    @classmethod
    def add_arguments(cls, parser):
        parser.add_argument("--html", metavar="FILE", help="write a page with plots")
        parser.add_argument(
            "--scrapes",
            metavar="FILE",
            nargs="+",
            default=[],
            help="saved answers of /metrics, one per file, of any daemons and times",
        )
        parser.add_argument(
            "--metrics",
            metavar="HOST:PORT",
            nargs="+",
            default=[],
            help="metrics addresses of running daemons, scraped twice",
        )
        parser.add_argument(
            "--over",
            metavar="SECONDS",
            type=float,
            default=DEFAULT_SCRAPE_INTERVAL_SECONDS,
            help="time between the two scrapes (default: %(default)s)",
        )
        add_daemon_argument(parser)

    async def run(self, context, options):
        if options.scrapes or options.metrics:
            slices, now = await self._slices_from_metrics(context, options)
        else:
            slices, now = await self._slices_from_daemons(context)
        rows = burn_table(slices, now)
        if options.html:
            page = html_page(rows, slices, now)
            Path(options.html).write_text(page, encoding="utf-8")
        context.print_result({"rows": rows}, text_lines(rows))
        return 0

    async def _slices_from_daemons(self, context):
        """Return slices and current time from the operators' addresses of daemons."""
        if not context.daemons:
            raise RosemarypathError(
                "no daemon is named", "give --daemon, --scrapes or --metrics"
            )
        documents = []
        for address in context.daemons:
            try:
                documents.append(await context.fetch(address, "/levels"))
            except RosemarypathError as error:
                context.print_progress(str(error))
        if not documents:
            raise RosemarypathError(
                "no daemon answered", "name running daemons with --daemon"
            )
        return merge_levels(documents), max(document["now"] for document in documents)

    async def _slices_from_metrics(self, context, options):
        """Return slices and current time from saved scrapes and running daemons."""
        # The scrape parser is imported here, so that other commands start faster.
        from rosemarypath.scrapes import parse_scrape, slices_between_scrapes

        texts = {name: _read_text(name) for name in options.scrapes}
        scrapes = [parse_scrape(text, name) for name, text in texts.items()]
        for number in range(2 if options.metrics else 0):
            if number:
                await asyncio.sleep(options.over)
            for address in options.metrics:
                text = await _fetch_metrics(address)
                scrapes.append(parse_scrape(text, address))
        return slices_between_scrapes(scrapes), max(scrape.at for scrape in scrapes)


def _read_text(name):
    try:
        return Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise RosemarypathError(
            f"{name} cannot be read: {error}", "name readable files with --scrapes"
        ) from error


async def _fetch_metrics(address):
    """Return the text of a scrape of the daemon's metrics `address`."""
    pool = ConnectionPool()
    try:
        reply = await pool.call(
            address,
            b"GET",
            b"/metrics",
            [(b"Host", b"metrics")],
            b"",
            SCRAPE_TIMEOUT_SECONDS,
            0.0,
        )
    except (ConnectError, ResponseError) as error:
        raise RosemarypathError(
            f"{address} does not answer: {error}", "name running daemons with --metrics"
        ) from error
    finally:
        pool.close()
    return reply.body.decode()
