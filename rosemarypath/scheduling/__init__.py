"""
rosemarypath.scheduling
~~~~~~~~~~~~~~~~~~~~~~~

Decisions on requests and adapters: the engine, the place, who waits, who is refused.

The modules import nothing that does input or output and take the present time as an
argument, so that the daemons, the simulation and the tests run the same code.
"""
