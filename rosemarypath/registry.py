"""
rosemarypath.registry
~~~~~~~~~~~~~~~~~~~~~

A registry of classes or functions by name, used as a decorator.
"""

__all__ = ["Registry"]


class Registry:
    """
    Maps names to the classes or functions decorated with the registry.

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
        """Return the entry registered as `name`; raises `KeyError`."""
        return self._entries[name]

    def __contains__(self, name):
        return name in self._entries

    @property
    def names(self):
        """Return all names, sorted."""
        return sorted(self._entries)
