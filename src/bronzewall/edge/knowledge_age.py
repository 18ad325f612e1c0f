"""Decides when this VM must renew its configuration and instance list."""

import math

import attrs

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.freshness import KeyFreshness
from bronzewall.ports import Clock

# Fraction of a bound after which other VMs are asked, and the one after which
# this VM reads the store itself. Traffic within a zone is free, and a call to
# the store is not.
_ASK_FRACTION = 0.62
_READ_FRACTION = 0.78
# Addition to the latter for each VM that precedes this one, so that not all of
# them read when a leader is lost, and the number of those that count.
_PRECEDING_FRACTION = 0.02
_MAX_PRECEDING = 6


@attrs.define(kw_only=True, eq=False)
class KnowledgeAge:
    """Age of the configuration and the instance list against their bounds.

    The list is confirmed by reads several times within its bound, over the
    same path to the store as changes of the configuration. Its age therefore
    shows a lost path before the bound of the configuration is reached.

    :param list_bound: seconds within which changes must be in force.
    """

    clock: Clock
    catalog: Catalog
    freshness: KeyFreshness
    list_bound: float

    def list_age(self) -> float:
        """Return seconds since the instance list was confirmed."""
        return self.clock.now() - self.catalog.confirmed_at

    def is_ask_due(self) -> bool:
        """Return whether to ask other VMs for newer data."""
        return self._is_beyond(_ASK_FRACTION)

    def is_read_due(self, *, preceding: int = 0) -> bool:
        """Return whether to read the store whoever is the zone leader.

        :param preceding: VMs of the zone that rank higher.
        """
        return self._is_beyond(
            _READ_FRACTION
            + _PRECEDING_FRACTION * min(preceding, _MAX_PRECEDING)
        )

    def _is_beyond(self, fraction: float) -> bool:
        """Compare ages; a VM without any data waits for its first leader."""
        used = max(
            self.list_age() / self.list_bound,
            self.freshness.age() / self.freshness.bound,
        )
        return fraction <= used < math.inf
