"""
bench.simulation
~~~~~~~~~~~~~~~~

Simulation of engines, weight store, daemons and callers to compare routing policies.

The policy "current" runs the daemons' own code; everything around it is a model.
Simulating one minute with 30 engines takes some seconds.
"""
