"""
bench.simulation
~~~~~~~~~~~~~~~~

Engines, weight store, daemons and callers in simulated time, to compare decisions.

The decisions are the product's own code; what surrounds them is a model. A minute of
a day with 30 engines takes some seconds.
"""
