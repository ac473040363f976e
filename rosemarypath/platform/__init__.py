"""
rosemarypath.platform
~~~~~~~~~~~~~~~~~~~~~

Client and codecs of the users' platform: its names, formats and calls.

No routing or scheduling decision is made here.
"""

__all__ = []
