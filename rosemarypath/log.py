"""
rosemarypath.log
~~~~~~~~~~~~~~~~

Logging with loguru; each part of the package has a logger with a fixed prefix.
"""

import sys

from loguru import logger

__all__ = ["get_logger", "setup_logging"]

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} {extra[part]}: {message}"


def setup_logging(level="INFO", as_json=False):
    """Write records of `level` and above to stderr, as text or as JSON lines."""
    logger.remove()
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=FORMAT)


def get_logger(part):
    """Return a logger whose lines carry the prefix `part`."""
    return logger.bind(part=part)
