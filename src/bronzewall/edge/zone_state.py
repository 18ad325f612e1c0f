"""State of the instances as recorded by one VM, shared within its zone."""

from collections import Counter
from collections.abc import Callable

import attrs

from bronzewall.edge.crash_tracker import CrashTracker
from bronzewall.edge.evacuations import Evacuations
from bronzewall.edge.failure_estimates import FailureEstimates, Observation
from bronzewall.edge.rate_limits import Admission
from bronzewall.edge.zone_messages import BrokenRequest
from bronzewall.types import InstanceId

# A failed connection may be due to the VM's own network. The zone records it as
# the weaker observation.
_SHARED_OBSERVATIONS = {Observation.UNREACHABLE: Observation.OVERDUE}
_LOCAL_OBSERVATIONS = frozenset(
    (Observation.UNREACHABLE, Observation.OVERDUE, Observation.SILENT)
)


@attrs.define(kw_only=True, eq=False)
class ZoneState:
    """In-flight counts and health of instances as recorded by this VM.

    :param own_in_flight: in-flight requests of this VM by instance.
    :param other_in_flight: in-flight requests of the zone's other VMs by
        instance.
    :param busy_elsewhere: instances in other zones without a free slot.
    :param zone_estimates: failure estimates shared by the zone.
    :param local_estimates: failure estimates from this VM's own attempts.
    :param end_listeners: called when a request of this VM at an instance has
        ended.
    :param unreported_observations: observations not yet sent to the zone
        leader.
    :param unreported_breaks: broken requests not yet sent to the zone leader.
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
    evacuations: Evacuations = attrs.field(factory=Evacuations)
    unreported_observations: list[tuple[str, str]] = attrs.field(factory=list)
    unreported_breaks: list[BrokenRequest] = attrs.field(factory=list)
    end_listeners: list[Callable[[InstanceId], None]] = attrs.field(
        factory=list
    )
    has_updates: bool = False
    has_urgent_updates: bool = False

    def request_update(self) -> None:
        """Report at once, because a request of an account found no token."""
        self.has_updates = True
        self.has_urgent_updates = True

    def add_in_flight(self, instance_id: InstanceId) -> None:
        """Count a request as in flight at an instance."""
        self.reserve(instance_id)
        self.has_updates = True

    def remove_in_flight(self, instance_id: InstanceId) -> None:
        """Count a request as ended at an instance."""
        self.unreserve(instance_id)
        self.has_updates = True
        for listener in self.end_listeners:
            listener(instance_id)

    def reserve(self, instance_id: InstanceId) -> None:
        """Keep room for a request that will be sent in a moment."""
        self.own_in_flight[instance_id] += 1

    def unreserve(self, instance_id: InstanceId) -> None:
        """End a reservation."""
        self.own_in_flight[instance_id] -= 1
        if self.own_in_flight[instance_id] <= 0:
            del self.own_in_flight[instance_id]

    def record_observation(
        self, instance_id: InstanceId, observation: Observation, *, now: float
    ) -> None:
        """Record an observation of an instance."""
        shared = _SHARED_OBSERVATIONS.get(observation, observation)
        self.zone_estimates.record(instance_id, shared, now=now)
        self.unreported_observations.append((instance_id, shared.name))
        if (
            observation in _LOCAL_OBSERVATIONS
            or observation is Observation.GOOD
        ):
            self.local_estimates.record(instance_id, observation, now=now)
        self.has_updates = True
        self.has_urgent_updates |= observation is not Observation.GOOD

    def record_broken_request(
        self, fingerprint: bytes, instance_id: InstanceId, *, now: float
    ) -> None:
        """Record a request during which the connection broke."""
        item = BrokenRequest(fingerprint=fingerprint, instance_id=instance_id)
        self.crashes.record((item,), now=now)
        self.unreported_breaks.append(item)
        self.has_updates = True

    def in_flight(self, instance_id: InstanceId) -> int:
        """Return the in-flight requests of the zone at an instance."""
        return self.own_in_flight[instance_id] + self.other_in_flight.get(
            instance_id, 0
        )

    def failure_probability(
        self, instance_id: InstanceId, *, now: float
    ) -> float:
        """Return the probability that an instance is failing for this VM."""
        return 1 - (
            (1 - self.zone_estimates.probability(instance_id, now=now))
            * (1 - self.local_estimates.probability(instance_id, now=now))
        )

    def forget(self, instance_id: InstanceId) -> None:
        """Drop the failure estimates of a removed instance."""
        self.zone_estimates.forget(instance_id)
        self.local_estimates.forget(instance_id)
