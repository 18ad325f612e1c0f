"""Network paths of this VM to the instances of all services."""

import random

import attrs

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.home_regions import HomeRegions
from bronzewall.edge.instance_path import InstancePath
from bronzewall.edge.ports import InstanceHttp
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.types import ServiceName


@attrs.define(kw_only=True, eq=False)
class InstancePaths:
    """Paths by service and bound, created when they are first used.

    Requests that are bound to some regions have a path of their own: it may be
    lost while the service's other instances are reached.
    """

    clock: Clock
    random: random.Random
    catalog: Catalog
    instances: InstanceHttp
    metrics: Metrics
    _by_bound: dict[tuple[ServiceName, HomeRegions | None], InstancePath] = (
        attrs.field(factory=dict)
    )

    def path_to(
        self, service: ServiceName, home_regions: HomeRegions | None = None
    ) -> InstancePath:
        """Return the path to the instances of a service.

        :param home_regions: regions of the instances, ``None`` for all.
        """
        found = self._by_bound.get((service, home_regions))
        if found is None:
            found = InstancePath(
                service=service,
                home_regions=home_regions,
                clock=self.clock,
                random=self.random,
                catalog=self.catalog,
                instances=self.instances,
                metrics=self.metrics,
                on_lost=self._suspect_all,
            )
            self._by_bound[service, home_regions] = found
        return found

    def lost_services(self) -> list[ServiceName]:
        """Return the services that this VM does not reach."""
        lost = {
            path.service for path in self._by_bound.values() if path.is_lost
        }
        return sorted(lost)

    async def stop(self) -> None:
        """Cancel the probes."""
        for path in self._by_bound.values():
            await path.stop()

    def _suspect_all(self) -> None:
        """Probe all paths, because whatever broke one may affect others."""
        for path in self._by_bound.values():
            path.suspect()
