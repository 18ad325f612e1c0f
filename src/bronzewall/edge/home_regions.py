"""Regions that the route and the account of a request bind it to."""

from collections.abc import Set as AbstractSet

HomeRegions = AbstractSet[str]


def combine(*bounds: HomeRegions | None) -> HomeRegions | None:
    """Return the regions that all bounds allow.

    :param bounds: ``None`` for no bound; an empty bound allows no region.
    """
    combined: HomeRegions | None = None
    for bound in bounds:
        if bound is not None:
            combined = bound if combined is None else combined & bound
    return combined


def allows(home_regions: HomeRegions | None, region: str) -> bool:
    """Return whether a request may reach a region.

    :param region: empty for an instance of a zone that is not configured.
    """
    return home_regions is None or region in home_regions
