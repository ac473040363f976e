"""
tests.oddvalues
~~~~~~~~~~~~~~~

Odd JSON values, as another writer may leave them in an entry or a message.
"""

from functools import reduce

from hypothesis import given, settings, strategies as st

__all__ = ["ODD_TEXTS", "ODD_VALUES", "examines", "nested", "odd_documents"]

LONG_TEXT = "z" * 100_000


def nested(depth):
    """Return the JSON text of a list nested `depth` times."""
    return b"[" * depth + b"]" * depth


# JSON texts by name that decoders of JSON refuse, or read as values that fail later.
ODD_TEXTS = {
    "very deep": nested(100_000),
    "deep": nested(5_000),
    "deep for peers": nested(900),
    "deep object": b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
    "float out of range": b"1e400",
    "negative float out of range": b"-1e400",
    "400 digits": b"9" * 400,
    "5000 digits": b"9" * 5_000,
    "over 64 bits": b"18446744073709551616",
    "constant": b"NaN",
    "endless": b"-Infinity",
    "half a surrogate pair": b'"\\ud800"',
    "no UTF-8": b'"\xff"',
}

ODD_VALUES = [
    None,
    True,
    -1,
    0,
    2.5,
    1e308,
    float("inf"),
    float("nan"),
    10**400,
    2**63,
    "",
    "\0",
    "999.1.1.1:80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:\u0664\u0665",
    "10.0.0.1\0:80",
    "a\r\nb",
    "9" * 5_000,
    LONG_TEXT,
    [],
    {},
    ["a@b"],
    [["a"]],
    [{}],
    reduce(lambda inner, _: [inner], range(300), 1),
]
SCALARS = st.sampled_from(ODD_VALUES[:-1]) | st.integers() | st.text(max_size=5)
ANYTHING = st.recursive(
    SCALARS | st.booleans() | st.floats(),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


def paths(document, prefix=()):
    """Return the paths to all values in a document, its own first."""
    found = [prefix]
    if isinstance(document, dict):
        entries = document.items()
    else:
        entries = enumerate(document) if isinstance(document, list) else ()
    for key, value in entries:
        found += paths(value, (*prefix, key))
    return found


def replaced(document, path, value):
    """Return a copy of a document with another value at `path`."""
    if not path:
        return value
    copy = document.copy()
    copy[path[0]] = replaced(document[path[0]], path[1:], value)
    return copy


def odd_documents(sound):
    """Return each document that has one odd value in place of one of `sound`."""
    return [
        replaced(sound, path, value) for path in paths(sound) for value in ODD_VALUES
    ]


def documents(sound):
    """Return the strategy of documents that resemble `sound`, or nothing at all."""
    places = st.sampled_from(paths(sound))
    one = st.builds(lambda path, value: replaced(sound, path, value), places, ANYTHING)
    return one | ANYTHING


def examines(sound):
    """Decorate a test so that it is called with documents that resemble `sound`."""

    def decorate(test):
        fuzz = settings(derandomize=True, max_examples=100, deadline=None)(
            given(documents(sound))(test)
        )

        def examine():
            for document in odd_documents(sound):
                test(document)
            fuzz()

        examine.__name__ = test.__name__
        return examine

    return decorate
