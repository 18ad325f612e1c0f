"""Divides the requests of a route among services by their weights."""

import bisect
import itertools
import math
import random

import attrs

from bronzewall.edge.model import EdgeRoute
from bronzewall.types import RouteId, ServiceName

# Fractional parts of multiples of the golden ratio fill the unit interval more
# evenly than random numbers, for any number of requests and any weights.
_STEP = (math.sqrt(5) - 1) / 2


@attrs.define(kw_only=True, eq=False)
class TrafficSplits:
    """Draws the service of each request.

    Each VM starts at a random position, so that the shares also hold over
    many VMs with few requests each. A change of weights keeps the position.
    """

    random: random.Random
    _positions_by_id: dict[RouteId, float] = attrs.field(factory=dict)

    def draw(self, route: EdgeRoute) -> ServiceName:
        """Return the service of the next request of a route."""
        shares = route.traffic_split
        if len(shares) == 1:
            return shares[0].service
        position = self._positions_by_id.get(route.route_id)
        if position is None:
            position = self.random.random()
        self._positions_by_id[route.route_id] = math.modf(position + _STEP)[0]
        limits = list(itertools.accumulate(share.weight for share in shares))
        index = bisect.bisect_right(limits, position * limits[-1])
        return shares[index].service
