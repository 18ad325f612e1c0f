"""Finds the route of a request."""

from collections.abc import Iterable

import attrs

from bronzewall.config_model import Configuration, Route

_PREFIX_MARK = '/*'


@attrs.define(kw_only=True)
class RouteTable:
    """Routes by path; a lookup costs one step per path segment."""

    exact_by_path: dict[str, list[Route]] = attrs.field(factory=dict)
    prefix_by_path: dict[str, list[Route]] = attrs.field(factory=dict)

    def add(self, route: Route) -> None:
        """Add one route."""
        if route.path.endswith(_PREFIX_MARK):
            path = route.path.removesuffix(_PREFIX_MARK)
            self.prefix_by_path.setdefault(path, []).append(route)
        else:
            self.exact_by_path.setdefault(route.path, []).append(route)

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


def compile_routes(configuration: Configuration) -> RouteTable:
    """Build the lookup table of a configuration."""
    table = RouteTable()
    for service in configuration.services_by_name.values():
        for route in service.routes_by_id.values():
            table.add(route)
    return table


def _by_method(routes: Iterable[Route], method: str) -> Route | None:
    for route in routes:
        if method in route.methods:
            return route
    return None
