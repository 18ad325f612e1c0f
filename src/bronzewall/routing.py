"""Finds the route of a request."""

import bisect
from collections.abc import Iterable

import attrs

from bronzewall.config_model import Route
from bronzewall.types import RouteId

_WILDCARD_SUFFIX = '/*'


@attrs.define(kw_only=True)
class RouteTable:
    """Routes by path; a lookup costs one step per path segment."""

    exact_by_path: dict[str, list[Route]] = attrs.field(factory=dict)
    prefix_by_path: dict[str, list[Route]] = attrs.field(factory=dict)

    def add(self, route: Route) -> None:
        """Add one route."""
        if route.path.endswith(_WILDCARD_SUFFIX):
            path = route.path.removesuffix(_WILDCARD_SUFFIX)
            routes = self.prefix_by_path.setdefault(path, [])
        else:
            routes = self.exact_by_path.setdefault(route.path, [])
        # Two services may have routes with the same path. The sort makes
        # every VM prefer the same route, whatever the order in which it
        # received them.
        bisect.insort(routes, route, key=_route_id)

    def remove(self, route: Route) -> None:
        """Remove one route that was added before."""
        path = route.path.removesuffix(_WILDCARD_SUFFIX)
        is_prefix = route.path.endswith(_WILDCARD_SUFFIX)
        by_path = self.prefix_by_path if is_prefix else self.exact_by_path
        by_path[path].remove(route)
        if not by_path[path]:
            del by_path[path]

    def find(self, *, method: str, path: str) -> Route | None:
        """Return the most specific route, or ``None``.

        :param path: decoded path without the query.
        """
        found = _by_method(self.exact_by_path.get(path, ()), method)
        prefix = path
        while found is None and prefix:
            found = _by_method(self.prefix_by_path.get(prefix, ()), method)
            prefix = prefix.rpartition('/')[0]
        return found


def _route_id(route: Route) -> RouteId:
    return route.route_id


def _by_method(routes: Iterable[Route], method: str) -> Route | None:
    for route in routes:
        if method in route.methods:
            return route
    return None
