"""Network paths of this VM to the instances of all services."""

import random

import attrs

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.instance_path import InstancePath
from bronzewall.edge.ports import InstanceHttp
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.types import ServiceName


@attrs.define(kw_only=True, eq=False)
class InstancePaths:
    """Paths by service, created when a service is first used."""

    clock: Clock
    random: random.Random
    catalog: Catalog
    instances: InstanceHttp
    metrics: Metrics
    _by_service: dict[ServiceName, InstancePath] = attrs.field(factory=dict)

    def path_to(self, service: ServiceName) -> InstancePath:
        """Return the path to the instances of a service."""
        found = self._by_service.get(service)
        if found is None:
            found = InstancePath(
                service=service,
                clock=self.clock,
                random=self.random,
                catalog=self.catalog,
                instances=self.instances,
                metrics=self.metrics,
                on_lost=self._suspect_all,
            )
            self._by_service[service] = found
        return found

    def lost_services(self) -> list[ServiceName]:
        """Return the services that this VM does not reach."""
        return sorted(
            service
            for service, path in self._by_service.items()
            if path.is_lost
        )

    async def stop(self) -> None:
        """Cancel the probes."""
        for path in self._by_service.values():
            await path.stop()

    def _suspect_all(self) -> None:
        """Probe all paths, because whatever broke one may affect others."""
        for path in self._by_service.values():
            path.suspect()
