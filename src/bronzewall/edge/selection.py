"""Chooses the instance with the least expected loss for a request."""

import math
import zlib
from collections.abc import Collection, Iterable

import attrs

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.failure_estimates import failure_rate
from bronzewall.edge.home_regions import HomeRegions, allows
from bronzewall.edge.instance_limits import InstanceLimits
from bronzewall.edge.instance_pauses import InstancePauses
from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.zone_state import ZoneState
from bronzewall.locality import Locality, locality_of
from bronzewall.types import InstanceId, Placement, ServiceName, VmId

# A loss is a fraction of the value that an answer in time has for the caller.
# Traffic between zones and regions is billed by volume; the traffic of one
# answer costs about this fraction of its value.
_LOCALITY_LOSS = {
    Locality.ZONE: 0,
    Locality.REGION: 0.15,
    Locality.REMOTE: 0.25,
}
# A failed attempt only delays a request that may be sent again.
_RETRYABLE_WEIGHT = 0.15
# Weight of the time in an instance's queue, relative to the target latency.
_QUEUE_TIME_WEIGHT = 0.5
# Some instances slow down when they are nearly full.
_IN_FLIGHT_WEIGHT = 0.03
# An instance that has just started takes about twice as long per request.
_WARMUP_LOSS = 0.05
# Losses within this difference count as equal; among them the least recently
# used instance is chosen.
_LOSS_TOLERANCE = 0.02
_DEFAULT_TARGET_S = 2.0


@attrs.frozen(kw_only=True)
class RequestProfile:
    """Properties of a request that determine the choice of an instance.

    :param is_retryable: it may be sent again if the attempt fails.
    :param expected_time: expected response time in seconds.
    :param target_latency: seconds within which the answer has its full
        value.
    :param home_regions: the only regions whose instances may get it,
        ``None`` for no bound.
    """

    service: ServiceName
    is_retryable: bool
    expected_time: float
    target_latency: float | None
    home_regions: HomeRegions | None = None


@attrs.frozen(kw_only=True)
class Candidate:
    """An instance with its expected loss and queue time.

    :param loss: expected loss as a fraction of the value of an answer in
        time.
    :param queue_time: expected seconds until the instance begins to run the
        request, in its queue or because of its limit.
    """

    instance: EdgeInstance
    loss: float
    queue_time: float


@attrs.define(kw_only=True, eq=False)
class Selector:
    """Chooses among the usable instances of a service."""

    own_id: VmId
    own_placement: Placement
    catalog: Catalog
    state: ZoneState
    limits: InstanceLimits = attrs.field(factory=InstanceLimits)
    pauses: InstancePauses = attrs.field(factory=InstancePauses)
    _last_used_at: dict[InstanceId, float] = attrs.field(factory=dict)

    def choose(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> Candidate | None:
        """Return the best instance, or ``None`` if there is none.

        :param excluded: instances that the request was already sent to.
        """
        candidates = self._candidates(profile, excluded=excluded, now=now)
        if not candidates:
            return None
        min_loss = min(candidate.loss for candidate in candidates)
        best = min(
            (
                item
                for item in candidates
                if item.loss <= min_loss + _LOSS_TOLERANCE
            ),
            key=self._last_use,
        )
        self._last_used_at[best.instance.instance_id] = now
        return best

    def tolerable_wait(
        self,
        profile: RequestProfile,
        candidate: Candidate,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> float:
        """Return the wait at which another instance is as good, seconds.

        It is infinite if there is no other instance.

        :param excluded: instances that the request was already sent to.
        """
        others = self._candidates(
            profile,
            excluded={*excluded, candidate.instance.instance_id},
            now=now,
        )
        best = min((other.loss for other in others), default=math.inf)
        return candidate.queue_time + max(0, best - candidate.loss) * (
            _target_latency(profile) / _QUEUE_TIME_WEIGHT
        )

    def is_usable(self, instance: EdgeInstance, *, now: float) -> bool:
        """Return whether an instance may still get new requests."""
        return (
            self.catalog.is_usable(instance)
            and instance.placement.zone not in self.state.evacuations.zones
            and not self.pauses.time_left(instance.instance_id, now=now)
        )

    def shortest_pause(self, service: ServiceName, *, now: float) -> float:
        """Return the seconds until an instance ends its pause, 0 if none."""
        pauses = [
            self.pauses.time_left(item.instance_id, now=now)
            for item in self.catalog.usable(service)
            if item.placement.zone not in self.state.evacuations.zones
        ]
        return min(filter(None, pauses), default=0)

    def forget(self, removed: Iterable[EdgeInstance]) -> None:
        """Drop the state of removed instances."""
        removed = tuple(removed)
        self.pauses.forget(removed)
        for item in removed:
            self._last_used_at.pop(item.instance_id, None)
            self.state.forget(item.instance_id)

    def _candidates(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> list[Candidate]:
        return [
            self._candidate(item, profile, now)
            for item in self.catalog.usable(profile.service)
            if item.instance_id not in excluded
            and allows(profile.home_regions, item.placement.region)
            and item.placement.zone not in self.state.evacuations.zones
            and not self.pauses.time_left(item.instance_id, now=now)
        ]

    def _last_use(self, candidate: Candidate) -> float:
        instance_id = candidate.instance.instance_id
        if instance_id not in self._last_used_at:
            # Each VM has an order of its own, so that not all of them begin
            # with the same instance.
            order = zlib.crc32(f'{self.own_id} {instance_id}'.encode())
            self._last_used_at[instance_id] = -float(order)
        return self._last_used_at[instance_id]

    def _candidate(
        self, item: EdgeInstance, profile: RequestProfile, now: float
    ) -> Candidate:
        failure_probability = self.state.failure_probability(
            item.instance_id, now=now
        )
        weight = _RETRYABLE_WEIGHT if profile.is_retryable else 1.0
        in_flight = self.state.in_flight(item.instance_id)
        if item.instance_id in self.state.busy_elsewhere:
            in_flight = max(in_flight, item.slots)
        queued = max(0, in_flight + 1 - item.slots)
        queue_time = queued / item.slots * profile.expected_time
        queue_time += self.limits.wait(item.instance_id, now=now)
        loss = (
            failure_rate(failure_probability) * weight
            + _LOCALITY_LOSS[locality_of(self.own_placement, item.placement)]
            + _IN_FLIGHT_WEIGHT * min(1, in_flight / item.slots)
            + _QUEUE_TIME_WEIGHT * queue_time / _target_latency(profile)
        )
        if item.warmup:
            loss += _WARMUP_LOSS
        return Candidate(instance=item, loss=loss, queue_time=queue_time)


def _target_latency(profile: RequestProfile) -> float:
    return profile.target_latency or _DEFAULT_TARGET_S
