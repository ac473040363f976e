"""
rosemarypath.hashing
~~~~~~~~~~~~~~~~~~~~

Rendezvous hashing, a stable order of the candidates for each resource, and digests.
"""

import xxhash

from rosemarypath.zone import interleave_zones

__all__ = [
    "digest_fields",
    "rendezvous_order",
    "rendezvous_score",
    "zone_interleaved_order",
]


def rendezvous_score(resource, candidate):
    """Return the weight of `candidate` for `resource`; the highest is ranked first."""
    return xxhash.xxh64_intdigest(f"{resource}\0{candidate}".encode())


def rendezvous_order(resource, candidates):
    """
    Return `candidates` (strings) ordered for `resource`, best first.

    Removing a candidate does not change the order of the others.

    >>> order = rendezvous_order("r", ["a", "b", "c"])
    >>> rendezvous_order("r", order[1:]) == order[1:]
    True
    """
    return sorted(candidates, key=lambda c: rendezvous_score(resource, c), reverse=True)


def zone_interleaved_order(resource, items, name_of, zone_of):
    """
    Return `items` in rendezvous order, rearranged so that the zones alternate.

    `name_of` and `zone_of` are functions that return the name and the zone of an item.
    """
    ordered = sorted(
        items, key=lambda i: rendezvous_score(resource, name_of(i)), reverse=True
    )
    return interleave_zones(ordered, zone_of)


def digest_fields(*fields):
    """Return a digest of byte strings as 16 hexadecimal digits."""
    digest = xxhash.xxh3_64()
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
