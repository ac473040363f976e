"""
proofs
~~~~~~

Runs fleets of daemons under random faults and checks safety rules on the event
histories that they record.
"""
