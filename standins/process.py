"""
standins.process
~~~~~~~~~~~~~~~~

Runs an emulator as a separate process until SIGTERM or SIGINT.
"""

import argparse
import asyncio
import signal

from rosemarypath.history import History
from rosemarypath.httpserver import HttpServer

__all__ = ["build_parser", "run_stand_in", "run_until_stopped"]


def build_parser(description):
    """Return an argument parser with the options common to all emulators."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", required=True, metavar="HOST:PORT")
    parser.add_argument("--history", default="", metavar="FILE")
    parser.add_argument("--name", default="", help="name in the history")
    return parser


def run_stand_in(options, add_routes):
    """
    Serve until SIGTERM or SIGINT; return the exit code.

    ``add_routes(server, history)`` registers the routes, and may return a coroutine
    that runs until the server stops.
    """
    history = History(options.history, options.name)

    async def serve():
        server = HttpServer(options.listen)
        background = add_routes(server, history)
        await run_until_stopped(server, *([background] if background else []))

    asyncio.run(serve())
    return 0


async def run_until_stopped(server, *background):
    """Serve until SIGTERM or SIGINT, running the coroutines `background` meanwhile."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await server.start()
    tasks = [asyncio.create_task(coroutine) for coroutine in background]
    print("ready", flush=True)
    await stopped.wait()
    for task in tasks:
        task.cancel()
    await server.stop(grace=1)
