"""
bench
~~~~~

Starts fleets of daemons and stand-ins, loads them and measures what they do.
"""
