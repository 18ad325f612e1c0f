"""Keeps most instances of a service in use while many of its requests fail."""

import math
from collections.abc import Callable, Sequence

import attrs

from bronzewall.edge.failure_estimates import SUSPECT_PROBABILITY
from bronzewall.edge.selection import (
    LOSS_TOLERANCE,
    Candidate,
    RequestProfile,
    Selector,
)
from bronzewall.locality import Locality
from bronzewall.metrics import Metrics
from bronzewall.types import InstanceId, ServiceName

# Fraction of the instances of a service that should get requests in any two
# seconds while it fails many of them. Avoiding more of them at once moves all
# load to the rest, on suspicions that are seconds old. The platform counts
# 0.7 over instances that it knows to be sound.
FLOOR_FRACTION = 0.8
# Fraction of a VM's requests to a service that fail from which the floor holds.
RISK_FRACTION = 0.08
# Time within which the VMs of a zone together send a request to a suspected
# instance below the floor, seconds.
_PROBE_INTERVAL_S = 1.0
# A request that may be sent again probes after this fraction of that time, so
# that it usually comes before one that may not.
_RETRYABLE_FRACTION = 0.5
# Differences of loss up to this count as equal while the floor holds: that of
# an instance without recent requests to one that has just answered.
_LOSS_TOLERANCE = 0.1


@attrs.define(kw_only=True, eq=False)
class UseFloor:
    """Chooses suspected instances that are due for a request.

    Each VM decides for the instances of its own zone, by the zone's failure
    estimates. The VMs of a zone take turns.

    :param is_at_risk: whether so many requests of a service fail that the
        floor holds.
    :param zone_vm_count: returns the number of VMs of the zone.
    """

    is_at_risk: Callable[[ServiceName], bool]
    zone_vm_count: Callable[[], int]
    metrics: Metrics
    _probed_at_by_service: dict[ServiceName, dict[InstanceId, float]] = (
        attrs.field(factory=dict)
    )

    def connect(self, selector: Selector) -> None:
        """Let the floor take part in the choice of instances."""
        selector.tolerance = self.tolerance
        selector.due_probe = self.due

    def tolerance(self, service: ServiceName) -> float:
        """Return the difference of loss that counts as equal."""
        if self.is_at_risk(service):
            return _LOSS_TOLERANCE
        return LOSS_TOLERANCE

    def due(
        self,
        profile: RequestProfile,
        candidates: Sequence[Candidate],
        free: Sequence[Candidate],
        now: float,
    ) -> Candidate | None:
        """Return a suspected instance to which a request is due, if any.

        :param candidates: instances that the request may be sent to.
        :param free: those of them that have room for it.
        """
        if not self.is_at_risk(profile.service):
            self._probed_at_by_service.pop(profile.service, None)
            return None
        near = [item for item in candidates if item.locality is Locality.ZONE]
        avoided = avoided_instances(near)
        probed_at = self._update_times(profile.service, near, avoided, now)
        interval = _PROBE_INTERVAL_S * max(1, self.zone_vm_count())
        if profile.is_retryable:
            interval *= _RETRYABLE_FRACTION
        for item in avoided[: missing_count(len(near), len(avoided))]:
            if (
                now - probed_at[item.instance.instance_id] >= interval
                and item in free
            ):
                probed_at[item.instance.instance_id] = now
                self.metrics.events['floor_probes'] += 1
                return item
        return None

    def _update_times(
        self,
        service: ServiceName,
        near: Sequence[Candidate],
        avoided: Sequence[Candidate],
        now: float,
    ) -> dict[InstanceId, float]:
        """Return the times of the last probes; a new suspicion starts now.

        Instances that this request cannot be sent to keep theirs.
        """
        probed_at = self._probed_at_by_service.setdefault(service, {})
        for item in near:
            if item not in avoided:
                probed_at.pop(item.instance.instance_id, None)
        for item in avoided:
            probed_at.setdefault(item.instance.instance_id, now)
        return probed_at


def avoided_instances(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the suspected instances without requests.

    The least suspected ones come first. A failed probe raises the suspicion,
    so that another instance is next.
    """
    avoided = [
        item
        for item in candidates
        if item.failure_probability > SUSPECT_PROBABILITY and not item.in_flight
    ]
    return sorted(avoided, key=lambda item: item.failure_probability)


def missing_count(instances: int, avoided: int) -> int:
    """Return how many avoided instances have to be used to reach the floor."""
    used = instances - avoided
    return max(0, math.ceil(FLOOR_FRACTION * instances) - used)
