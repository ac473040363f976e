"""
rosemarypath.commands
~~~~~~~~~~~~~~~~~~~~~

Base class and registry of the operators' commands, which register by a decorator.
"""

import asyncio
import sys

import aiohttp
import msgspec

from rosemarypath.errors import RosemarypathError
from rosemarypath.registry import Registry
from rosemarypath.store import StoreClient

__all__ = [
    "Command",
    "CommandContext",
    "command",
    "get_command_by_name",
    "known_commands",
]

command = Registry()
FETCH_TIMEOUT_SECONDS = 5.0


def _import_commands():
    from rosemarypath.commands import (  # noqa: F401
        fleet,
        keys,
        reporting,
        rules,
        zones,
    )


def get_command_by_name(name):
    """Return the command class called `name`; raises `KeyError`."""
    _import_commands()
    return command[name]


def known_commands():
    """
    Return the names of all commands.

    >>> "apply" in known_commands()
    True
    """
    _import_commands()
    return command.names


class Command:
    """
    Base of the commands.

    The first line of a command's docstring is its help text.
    """

    name = ""

    @classmethod
    def add_arguments(cls, parser):
        """Add the command's arguments to its `parser`."""

    async def run(self, context, options):
        """Run the command; return its exit code."""
        raise NotImplementedError


class CommandContext:
    """
    Access to the object API, the daemons and the output, for all commands.

    Options:

    `object_api`
        ``host:port`` of the object API; empty when the command needs none.
    `daemons`
        Operators' addresses of daemons, tried in this order.
    `as_json`
        Whether results are printed as JSON.
    """

    def __init__(self, object_api="", daemons=(), as_json=False):
        self._store = None
        self._object_api = object_api
        self._daemons = tuple(daemons)
        self._as_json = as_json

    @property
    def daemons(self):
        """Return the operators' addresses of the daemons named on the command line."""
        return self._daemons

    @property
    def store(self):
        """Return the `StoreClient`; raises an error if no object API is named."""
        if self._store is None:
            if not self._object_api:
                raise RosemarypathError("no object API is named", "give --object-api")
            self._store = StoreClient(self._object_api)
        return self._store

    @classmethod
    def from_options(cls, options):
        """Build the context from the parsed command line."""
        return cls(
            getattr(options, "object_api", ""),
            getattr(options, "daemon", None) or (),
            options.json,
        )

    async def close(self):
        """Close the connections."""
        if self._store is not None:
            await self._store.close()

    def print_result(self, document, lines):
        """Print `document` as JSON, or `lines` as text."""
        if self._as_json:
            data = msgspec.json.format(msgspec.json.encode(document))
            print(data.decode())
            return
        for line in lines:
            print(line)

    def print_progress(self, text):
        """Print a line of progress to stderr."""
        print(text, file=sys.stderr, flush=True)

    async def fetch_from_any(self, path):
        """
        Return the decoded JSON answer of the first daemon that gives one.

        Raises `RosemarypathError` if none does.
        """
        problem = "no daemon is named"
        for address in self._daemons:
            try:
                return await self.fetch(address, path)
            except RosemarypathError as error:
                problem = error.message
        raise RosemarypathError(problem, "give --daemon HOST:PORT of a running daemon")

    async def fetch(self, address, path):
        """
        Return the decoded JSON answer of the daemon at `address`.

        Raises `RosemarypathError` if it doesn't answer, or answers with an error.
        """
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(f"http://{address}{path}") as response:
                    body = await response.read()
                    status = response.status
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise RosemarypathError(
                f"{address} does not answer ({type(error).__name__})",
                "check that it runs",
            ) from error
        document = msgspec.json.decode(body)
        if status != 200:
            raise RosemarypathError(
                document.get("error", f"{address} answered {status}"),
                "correct the name or ask another daemon",
            )
        return document


def add_store_argument(parser):
    """Add the argument ``--object-api`` to `parser`."""
    parser.add_argument(
        "--object-api", required=True, metavar="HOST:PORT", help="the object API"
    )


def add_daemon_argument(parser, required=False):
    """Add the argument ``--daemon`` to `parser`."""
    parser.add_argument(
        "--daemon",
        action="append",
        required=required,
        metavar="HOST:PORT",
        help="operators' address of a daemon; may be repeated",
    )
