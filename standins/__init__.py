"""
standins
~~~~~~~~

Small emulators of the systems that rosemarypath meets, for tests and experiments.
"""
