"""Remembers which instances have left, whatever older entries say."""

import math
from collections.abc import Iterable, Mapping

import attrs
import structlog

from bronzewall.edge.model import EdgeInstance
from bronzewall.types import InstanceId

# Instances that are remembered of each kind; the oldest are forgotten.
_MAX_REMEMBERED = 10_000
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Departures:
    """Instances that leave or have ended, by the start of their process.

    An instance that leaves never becomes ready again in the same process. One
    whose entry was removed may return, because entries also expire; after a
    restore of the store from a copy it must have reported once more.
    Processes that do not state their start cannot be told apart and are not
    remembered.
    """

    _leaving_by_id: dict[InstanceId, int] = attrs.field(factory=dict)
    _gone_by_id: dict[InstanceId, int] = attrs.field(factory=dict)
    _distrusted_until: float = -math.inf
    # Counts of reports as first read after the restore.
    _first_counts_by_id: dict[InstanceId, int] = attrs.field(factory=dict)

    def record_leaving(self, instances: Iterable[EdgeInstance]) -> None:
        """Record instances that stated that they leave."""
        _remember(self._leaving_by_id, instances)

    def record_gone(self, instances: Iterable[EdgeInstance]) -> None:
        """Record instances whose entries were removed."""
        _remember(self._gone_by_id, instances)

    def distrust(self, *, until: float) -> None:
        """Keep ended instances out that are listed before a clock time."""
        self._distrusted_until = until
        self._first_counts_by_id.clear()

    def record_reports(self, counts_by_id: Mapping[InstanceId, int]) -> None:
        """Note which instances go on reporting, and are therefore running.

        :param counts_by_id: reports since the start of each instance.
        """
        for instance_id in counts_by_id.keys() & self._gone_by_id.keys():
            count = counts_by_id[instance_id]
            if count > self._first_counts_by_id.setdefault(instance_id, count):
                del self._gone_by_id[instance_id]

    def apply(
        self, listed: Mapping[InstanceId, EdgeInstance], *, now: float
    ) -> Mapping[InstanceId, EdgeInstance]:
        """Return a list without what is known to be over."""
        if now >= self._distrusted_until:
            for running_id in listed.keys() & self._gone_by_id.keys():
                del self._gone_by_id[running_id]
        returned = {
            instance_id
            for instance_id, item in listed.items()
            if item.started_ms <= self._gone_by_id.get(instance_id, -1)
        }
        resumed = {
            instance_id
            for instance_id, item in listed.items()
            if not item.is_leaving
            and item.started_ms <= self._leaving_by_id.get(instance_id, -1)
        }
        if not returned and not resumed:
            return listed
        _LOG.info(
            'older_entries_ignored',
            gone=sorted(returned),
            ready=sorted(resumed),
        )
        changed = {
            instance_id: attrs.evolve(listed[instance_id], is_leaving=True)
            for instance_id in resumed
        }
        return {
            instance_id: item
            for instance_id, item in {**listed, **changed}.items()
            if instance_id not in returned
        }


def _remember(
    started_by_id: dict[InstanceId, int], instances: Iterable[EdgeInstance]
) -> None:
    for item in instances:
        started_by_id.pop(item.instance_id, None)
        if item.started_ms:
            started_by_id[item.instance_id] = item.started_ms
    while len(started_by_id) > _MAX_REMEMBERED:
        del started_by_id[next(iter(started_by_id))]
