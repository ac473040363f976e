"""
proofs
~~~~~~

Checks what must always hold on the event histories of faulty runs.
"""
