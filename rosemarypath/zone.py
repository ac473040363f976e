"""
rosemarypath.zone
~~~~~~~~~~~~~~~~~

Zones: failure domains that operators take out of service and bring back.
"""

import msgspec

__all__ = ["Zone", "interleave_zones"]


class Zone(msgspec.Struct, frozen=True, kw_only=True):
    """
    A failure domain.

    `accepting` is false while operators have taken the zone out; `region` groups
    zones that share a long-distance link (default one region).
    """

    name: str
    accepting: bool = True
    region: str = "main"


def interleave_zones(items, zone_of):
    """
    Reorder `items` so that neighbours stand in different zones where possible.

    The first item keeps its place; the order inside each zone is kept.

    >>> interleave_zones(["a1", "a2", "b1", "a3"], lambda item: item[0])
    ['a1', 'b1', 'a2', 'a3']
    """
    queues = {}
    for item in items:
        queues.setdefault(zone_of(item), []).append(item)
    spread = []
    while queues:
        for zone in list(queues):
            spread.append(queues[zone].pop(0))
            if not queues[zone]:
                del queues[zone]
    return spread
