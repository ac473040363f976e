"""
rosemarypath
~~~~~~~~~~~~

A serving layer for very large numbers of LoRA adapters.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
