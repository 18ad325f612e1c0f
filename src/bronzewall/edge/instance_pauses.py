"""Pauses that instances have asked this VM for."""

from collections.abc import Iterable

import attrs

from bronzewall.edge.model import EdgeInstance
from bronzewall.types import InstanceId


@attrs.define(kw_only=True, eq=False)
class InstancePauses:
    """Clock times until which instances want no requests of this VM."""

    _ends_by_id: dict[InstanceId, float] = attrs.field(factory=dict)

    def record(
        self, instance_id: InstanceId, seconds: float, *, now: float
    ) -> None:
        """Record a pause; one that ends earlier does not shorten another."""
        self._ends_by_id[instance_id] = max(
            now + seconds, self._ends_by_id.get(instance_id, 0)
        )

    def time_left(self, instance_id: InstanceId, *, now: float) -> float:
        """Return the seconds until an instance may get requests, or 0."""
        ends_at = self._ends_by_id.get(instance_id)
        if ends_at is None:
            return 0
        if ends_at <= now:
            del self._ends_by_id[instance_id]
            return 0
        return ends_at - now

    def forget(self, removed: Iterable[EdgeInstance]) -> None:
        """Drop the pauses of removed instances."""
        for item in removed:
            self._ends_by_id.pop(item.instance_id, None)
