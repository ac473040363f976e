"""
rosemarypath.registry
~~~~~~~~~~~~~~~~~~~~~

Registries of classes and functions by name, which decorators fill.
"""

__all__ = ["Registry"]


class Registry:
    """
    Things by name; an instance is used as a decorator.

    >>> shapes = Registry()
    >>> @shapes("square")
    ... class Square:
    ...     pass
    >>> shapes["square"].name, shapes.names
    ('square', ['square'])
    """

    def __init__(self):
        self._entries = {}

    def __call__(self, name):
        """Return a decorator that registers a class or function as `name`."""

        def register(entry):
            entry.name = name
            self._entries[name] = entry
            return entry

        return register

    def __getitem__(self, name):
        """Return what is registered as `name`; raises `KeyError`."""
        return self._entries[name]

    def __contains__(self, name):
        return name in self._entries

    @property
    def names(self):
        """Return all names in order."""
        return sorted(self._entries)
