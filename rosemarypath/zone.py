"""
rosemarypath.zone
~~~~~~~~~~~~~~~~~

Zones: failure domains, which operators can take out of service.
"""

import msgspec

__all__ = ["Zone", "interleave_zones"]


class Zone(msgspec.Struct, frozen=True, kw_only=True):
    """
    A failure domain.

    `accepting` is false while operators have taken the zone out of service; `region`
    groups zones that share a long-distance link (default one region).
    """

    name: str
    accepting: bool = True
    region: str = "main"


def interleave_zones(items, zone_of):
    """
    Reorder `items` so that adjacent items are in different zones where possible.

    The first item stays first, and the order within each zone is kept.

    >>> interleave_zones(["a1", "a2", "b1", "a3"], lambda item: item[0])
    ['a1', 'b1', 'a2', 'a3']
    """
    queues = {}
    for item in items:
        queues.setdefault(zone_of(item), []).append(item)
    interleaved = []
    while queues:
        for zone in list(queues):
            interleaved.append(queues[zone].pop(0))
            if not queues[zone]:
                del queues[zone]
    return interleaved
