"""What a VM knows of the instances, shared with the VMs of its zone."""

from collections import Counter

import attrs

from bronzewall.edge.crash_tracker import CrashTracker
from bronzewall.edge.failure_estimates import FailureEstimates, Observation
from bronzewall.edge.rate_limits import Admission
from bronzewall.edge.zone_messages import BrokenRequest
from bronzewall.types import InstanceId

# A VM that does not reach an instance says little about the instance.
_SHARED_SIGNS = {Observation.UNREACHABLE: Observation.OVERDUE}
_OWN_SIGNS = frozenset(
    (Observation.UNREACHABLE, Observation.OVERDUE, Observation.SILENT)
)


@attrs.define(kw_only=True, eq=False)
class ZoneState:
    """Load and health of instances as this VM sees them.

    :param own_in_flight: requests of this VM at each instance.
    :param other_in_flight: requests of the zone's other VMs at each instance.
    :param busy_elsewhere: instances in other zones without a free slot.
    :param zone_estimates: beliefs of the zone.
    :param local_estimates: beliefs from this VM's own connections.
    :param unreported_observations: outcomes that the hub was not told yet.
    """

    own_in_flight: Counter[str] = attrs.field(factory=Counter)
    other_in_flight: dict[str, int] = attrs.field(factory=dict)
    busy_elsewhere: frozenset[str] = frozenset()
    zone_estimates: FailureEstimates = attrs.field(
        factory=lambda: FailureEstimates(scope='zone')
    )
    local_estimates: FailureEstimates = attrs.field(
        factory=lambda: FailureEstimates(scope='own')
    )
    admission: Admission = attrs.field(factory=Admission)
    crashes: CrashTracker = attrs.field(factory=CrashTracker)
    unreported_observations: list[tuple[str, str]] = attrs.field(factory=list)
    unreported_breaks: list[BrokenRequest] = attrs.field(factory=list)
    has_changes: bool = False
    has_urgent_changes: bool = False

    def add_in_flight(self, instance_id: InstanceId) -> None:
        """Count a request that is sent to an instance."""
        self.own_in_flight[instance_id] += 1
        self.has_changes = True

    def remove_in_flight(self, instance_id: InstanceId) -> None:
        """Count the end of a request at an instance."""
        self.own_in_flight[instance_id] -= 1
        if self.own_in_flight[instance_id] <= 0:
            del self.own_in_flight[instance_id]
        self.has_changes = True

    def record_observation(
        self, instance_id: InstanceId, sign: Observation, *, now: float
    ) -> None:
        """Take an outcome at an instance into account."""
        shared = _SHARED_SIGNS.get(sign, sign)
        self.zone_estimates.record(instance_id, shared, now=now)
        self.unreported_observations.append((instance_id, shared.name))
        if sign in _OWN_SIGNS or sign is Observation.GOOD:
            self.local_estimates.record(instance_id, sign, now=now)
        self.has_changes = True
        self.has_urgent_changes |= sign is not Observation.GOOD

    def record_broken_request(
        self, fingerprint: bytes, instance_id: InstanceId, *, now: float
    ) -> None:
        """Count a request during which the connection broke."""
        item = BrokenRequest(fingerprint=fingerprint, instance_id=instance_id)
        self.crashes.record((item,), now=now)
        self.unreported_breaks.append(item)
        self.has_changes = True

    def in_flight(self, instance_id: InstanceId) -> int:
        """Return the requests of the zone at an instance."""
        return self.own_in_flight[instance_id] + self.other_in_flight.get(
            instance_id, 0
        )

    def failure_probability(
        self, instance_id: InstanceId, *, now: float
    ) -> float:
        """Return the probability that requests of this VM fail there."""
        return 1 - (
            (1 - self.zone_estimates.probability(instance_id, now=now))
            * (1 - self.local_estimates.probability(instance_id, now=now))
        )

    def forget(self, instance_id: InstanceId) -> None:
        """Drop what is known of an instance that ended."""
        self.zone_estimates.forget(instance_id)
        self.local_estimates.forget(instance_id)
