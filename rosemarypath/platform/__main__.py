"""
rosemarypath.platform.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts the daemon on the users' platform.
"""

import asyncio
import gc
import sys

from rosemarypath.edge import EdgeDaemon
from rosemarypath.errors import SettingsError
from rosemarypath.platform.dialect import PlatformDialect
from rosemarypath.platform.settings import read_settings

EXIT_SETTINGS = 2


async def _run_daemon(settings):
    await EdgeDaemon(settings, PlatformDialect()).run()


def main():
    """Run the daemon; return its exit code."""
    try:
        settings = read_settings()
    except SettingsError as error:
        print(f"rosemarypath: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    gc.freeze()
    try:
        asyncio.run(_run_daemon(settings))
    except OSError as error:
        print(f"rosemarypath: {error}; free the address", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
