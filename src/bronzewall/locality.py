"""How far placements are from each other."""

import enum

from bronzewall.types import Placement


class Locality(enum.IntEnum):
    """Classes of distance, the nearest first."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


def locality_of(own: Placement, other: Placement) -> Locality:
    """Return how far a placement is from another one."""
    if own.zone == other.zone:
        return Locality.ZONE
    if own.region == other.region:
        return Locality.REGION
    return Locality.REMOTE
