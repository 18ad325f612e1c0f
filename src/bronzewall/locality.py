"""Distance classes of placements."""

import enum

from bronzewall.types import Placement


class Locality(enum.IntEnum):
    """Distance classes, the nearest first."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


def locality_of(own: Placement, other: Placement) -> Locality:
    """Return the distance class of another placement."""
    if own.zone == other.zone:
        return Locality.ZONE
    if own.region == other.region:
        return Locality.REGION
    return Locality.REMOTE
