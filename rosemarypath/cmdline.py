"""
rosemarypath.cmdline
~~~~~~~~~~~~~~~~~~~~

The command-line tool for operators.
"""

import argparse
import asyncio
import sys

from rosemarypath import __version__
from rosemarypath.commands import CommandContext, get_command_by_name, known_commands
from rosemarypath.errors import ConflictError, RosemarypathError

__all__ = ["EXIT_CONFLICT", "EXIT_FAILED", "EXIT_USAGE", "main", "run"]

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 4

EPILOG = """\
exit codes: 0 done, 1 failed, 2 wrong usage or invalid rules, 3 stored but not yet
accepted by every daemon, 4 conflict with a change by another operator.

a first session:
  rosemarypath check fleet.rules
  rosemarypath plan fleet.rules --object-api 127.0.0.1:8001
  rosemarypath apply fleet.rules --object-api 127.0.0.1:8001 --daemon 127.0.0.1:8301
"""


def build_parser():
    """Return the parser with a subcommand for each registered command."""
    parser = argparse.ArgumentParser(
        prog="rosemarypath",
        description="Operate a rosemarypath fleet from a rules file.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name in known_commands():
        command = get_command_by_name(name)
        summary = command.__doc__.strip().splitlines()[0]
        subparser = subparsers.add_parser(name, help=summary, description=summary)
        subparser.add_argument("--json", action="store_true", help="print JSON")
        command.add_arguments(subparser)
    return parser


def main(args=None):
    """Run one command; return its exit code."""
    options = build_parser().parse_args(args)
    command = get_command_by_name(options.command)()
    try:
        return asyncio.run(_run_command(command, options))
    except ConflictError as error:
        print(f"rosemarypath: {error}", file=sys.stderr)
        return EXIT_CONFLICT
    except RosemarypathError as error:
        print(f"rosemarypath: {error}", file=sys.stderr)
        return EXIT_FAILED
    except OSError as error:
        print(f"rosemarypath: {error}; check the file's name", file=sys.stderr)
        return EXIT_USAGE


async def _run_command(command, options):
    context = CommandContext.from_options(options)
    try:
        return await command.run(context, options)
    finally:
        await context.close()


def run():
    """Entry point of the console script."""
    sys.exit(main())


if __name__ == "__main__":
    run()
