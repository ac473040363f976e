"""
standins
~~~~~~~~

Small emulators of the systems that rosemarypath connects to, for tests and benchmarks.
"""
