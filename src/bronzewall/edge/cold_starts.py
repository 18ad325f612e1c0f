"""Instances that bear only a low rate after a start."""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.directory import Directory
from bronzewall.edge.model import ColdStart, EdgeInstance
from bronzewall.ports import Clock
from bronzewall.types import InstanceId

_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class ColdStarts:
    """Which instances are cold, and the rate that they bear meanwhile.

    An entry states how long its instance stays cold. The time is counted from
    when this VM got the list, so that it never ends too early.

    :param events: counters by name.
    """

    clock: Clock
    catalog: Catalog
    directory: Directory
    events: Counter[str] = attrs.field(factory=Counter)
    # Clock times until which instances count as cold, as their entries state,
    # and because their zone was taken back.
    _listed_until: dict[InstanceId, float] = attrs.field(factory=dict)
    _returned_until: dict[InstanceId, float] = attrs.field(factory=dict)

    def record_list(self, listed: Mapping[InstanceId, EdgeInstance]) -> None:
        """Apply the warm-up times of a list of instances."""
        now = self.clock.now()
        before = self._listed_until
        self._listed_until = {
            instance_id: now + item.warmup
            for instance_id, item in listed.items()
            if item.warmup
        }
        for instance_id in self._listed_until.keys() - before.keys():
            self._record_cold(listed[instance_id])

    def record_return(self, zone: str) -> None:
        """Treat the instances of a zone that is taken back as just started.

        They may have become cold after their last report.
        """
        now = self.clock.now()
        self.events['zones_taken_back'] += 1
        for item in self.catalog.instances_by_id.values():
            found = self._cold_start(item)
            if item.placement.zone == zone and found is not None:
                self._returned_until[item.instance_id] = now + found.duration
                self._record_cold(item)

    def rate(self, instance_id: InstanceId) -> float | None:
        """Return the requests a second that an instance bears from all VMs.

        It is ``None`` if the instance is not cold, or its service states no
        rate.
        """
        until = max(
            self._listed_until.get(instance_id, 0),
            self._returned_until.get(instance_id, 0),
        )
        item = self.catalog.instances_by_id.get(instance_id)
        if item is None or self.clock.now() >= until:
            return None
        found = self._cold_start(item)
        return None if found is None else found.rate

    def cold_ids(self) -> set[InstanceId]:
        """Return the instances whose rate is bounded now."""
        known = itertools.chain(self._listed_until, self._returned_until)
        return {name for name in known if self.rate(name) is not None}

    def forget(self, removed: Iterable[EdgeInstance]) -> None:
        """Drop the state of removed instances."""
        for item in removed:
            self._returned_until.pop(item.instance_id, None)

    def _cold_start(self, item: EdgeInstance) -> ColdStart | None:
        configuration = self.directory.configuration
        if configuration is None:
            return None
        return configuration.cold_starts.get(item.service)

    def _record_cold(self, item: EdgeInstance) -> None:
        found = self._cold_start(item)
        if found is None:
            return
        self.events['instances_turned_cold'] += 1
        _LOG.info(
            'instance_cold',
            instance=item.instance_id,
            seconds=round(item.warmup or found.duration, 3),
            limit=found.rate,
        )
