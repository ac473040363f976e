"""
rosemarypath.callers
~~~~~~~~~~~~~~~~~~~~

Connections of callers: requests are read, answers are sent, and both are bounded.
"""
