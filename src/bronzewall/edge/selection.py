"""Chooses the instance with the least expected loss for a request."""

import math
import zlib
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Sequence,
)

import attrs

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.failure_estimates import failure_rate
from bronzewall.edge.home_regions import HomeRegions, allows
from bronzewall.edge.instance_limits import InstanceLimits
from bronzewall.edge.instance_pauses import InstancePauses
from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.remaining_work import RemainingWork
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
QUEUE_TIME_WEIGHT = 0.5
# Some instances slow down when they are nearly full.
_IN_FLIGHT_WEIGHT = 0.03
# An instance that has just started takes about twice as long per request.
_WARMUP_LOSS = 0.05
# Losses within this difference count as equal; among them the least recently
# used instance is chosen.
LOSS_TOLERANCE = 0.02
_DEFAULT_TARGET_S = 2.0
# A request is refused if less than this fraction of the expected response
# time is left before its deadline.
_MIN_RESPONSE_TIME_FRACTION = 0.3


@attrs.frozen(kw_only=True)
class RequestProfile:
    """Properties of a request that determine the choice of an instance.

    :param is_retryable: it may be sent again if the attempt fails.
    :param expected_time: expected response time in seconds.
    :param target_latency: seconds within which the answer has its full
        value.
    :param home_regions: the only regions whose instances may get it,
        ``None`` for no bound.
    :param queue_factor: factor by which queues have lately been longer than
        expected. It counts for whether a request can be answered in time.
    """

    service: ServiceName
    is_retryable: bool
    expected_time: float
    target_latency: float | None
    home_regions: HomeRegions | None = None
    queue_factor: float = 1


@attrs.frozen(kw_only=True)
class Candidate:
    """An instance with its expected loss and queue time.

    :param loss: expected loss as a fraction of the value of an answer in
        time.
    :param queue_time: expected seconds until the instance begins to run the
        request, in its queue or because of its limit.
    :param failure_probability: probability that the instance is failing.
    :param in_flight: requests of the zone at the instance.
    """

    instance: EdgeInstance
    loss: float
    queue_time: float
    failure_probability: float
    in_flight: int
    locality: Locality


@attrs.frozen(kw_only=True)
class RoomBounds:
    """Which instances have room for a request.

    :param excluded: instances that it was already sent to.
    :param max_queue_time: longest expected time in an instance's queue,
        seconds.
    :param extra_loss: largest difference to the loss at the best instance with
        any queue.
    """

    excluded: Collection[InstanceId]
    max_queue_time: float
    extra_loss: float


def _usual_tolerance(_service: ServiceName) -> float:
    return LOSS_TOLERANCE


def _no_probe(
    _profile: RequestProfile,
    _candidates: Sequence[Candidate],
    _free: Sequence[Candidate],
    _now: float,
) -> Candidate | None:
    """Never send a request to a suspected instance for its own sake."""


@attrs.frozen(kw_only=True)
class ExplainedCandidate:
    """A usable instance with the terms of its loss.

    :param limit: requests a second that it states, ``None`` for no limit.
    :param pause: seconds for which it wants no requests.
    :param loss: sum of the five terms.
    :param failing: expected loss by failures.
    :param distance: loss by traffic to another zone or region.
    :param load: loss by an instance that is nearly full.
    :param queue: loss by its queue and by its slowness.
    :param cold: loss by its start.
    """

    instance: InstanceId
    zone: str
    in_flight: int
    slots: int
    limit: float | None
    pause: float
    queue_time: float
    loss: float
    failing: float
    distance: float
    load: float
    queue: float
    cold: float


@attrs.define(kw_only=True, eq=False)
class Selector:
    """Chooses among the usable instances of a service.

    :param tolerance: difference of loss that counts as equal, by service.
    :param due_probe: returns a suspected instance to which a request of a
        profile is due, if any.
    :param work: work that instances still have, if it is learned.
    :param uses_costs: returns whether the learned work counts; otherwise each
        request in flight counts as one of usual cost.
    :param has_room: returns whether this VM may have one more connection to an
        instance.
    """

    own_id: VmId
    own_placement: Placement
    catalog: Catalog
    state: ZoneState
    work: RemainingWork | None = None
    uses_costs: Callable[[], bool] = lambda: True
    limits: InstanceLimits = attrs.field(factory=InstanceLimits)
    pauses: InstancePauses = attrs.field(factory=InstancePauses)
    tolerance: Callable[[ServiceName], float] = _usual_tolerance
    due_probe: Callable[
        [RequestProfile, Sequence[Candidate], Sequence[Candidate], float],
        Candidate | None,
    ] = _no_probe
    has_room: Callable[[EdgeInstance], bool] = lambda _instance: True
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
        best = self.best(profile, excluded=excluded, now=now)
        return None if best is None else self._use(best, now)

    def best(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> Candidate | None:
        """Return the best instance without counting it as used."""
        candidates = self._candidates(profile, excluded=excluded, now=now)
        return self._best(candidates, profile)

    def choose_with_room(
        self, profile: RequestProfile, bounds: RoomBounds, *, now: float
    ) -> Candidate | None:
        """Return the best instance with a short queue, if there is one."""
        candidates = self._candidates(
            profile, excluded=bounds.excluded, now=now
        )
        free = _with_room(candidates, bounds)
        best = self.due_probe(profile, candidates, free, now)
        best = best or self._best_near(candidates, free, profile, bounds)
        return None if best is None else self._use(best, now)

    def best_with_room(
        self, profile: RequestProfile, bounds: RoomBounds, *, now: float
    ) -> Candidate | None:
        """Return what ``choose_with_room`` would, without counting it as used.

        Probes of suspected instances are not looked at.
        """
        candidates = self._candidates(
            profile, excluded=bounds.excluded, now=now
        )
        free = _with_room(candidates, bounds)
        return self._best_near(candidates, free, profile, bounds)

    def has_any(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> bool:
        """Return whether a request may be sent to any further instance."""
        permitted = self._permitted(profile, excluded=excluded, now=now)
        return next(permitted, None) is not None

    def explain(
        self, profile: RequestProfile, *, now: float
    ) -> list[ExplainedCandidate]:
        """Return the usable instances with the terms of their losses."""
        work = self.work if self.uses_costs() else None
        found = []
        for item in self.catalog.usable(profile.service):
            terms: dict[str, float] = {}
            candidate = self._candidate(item, profile, work, now, terms)
            found.append(
                ExplainedCandidate(
                    instance=item.instance_id,
                    zone=item.placement.zone,
                    in_flight=self.state.in_flight(item.instance_id),
                    slots=item.slots,
                    limit=self.limits.limit(item.instance_id),
                    pause=self.pauses.time_left(item.instance_id, now=now),
                    queue_time=candidate.queue_time,
                    loss=candidate.loss,
                    **terms,
                )
            )
        return sorted(found, key=lambda one: one.loss)

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
            target_latency(profile) / QUEUE_TIME_WEIGHT
        )

    def is_usable(self, instance: EdgeInstance, *, now: float) -> bool:
        """Return whether an instance may still get new requests."""
        return (
            self.catalog.is_usable(instance)
            and instance.placement.zone not in self.state.evacuations.zones
            and not self.pauses.time_left(instance.instance_id, now=now)
            and self.has_room(instance)
        )

    def has_full_instance(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> bool:
        """Return whether only connections are missing to use an instance.

        :param excluded: instances that the request was already sent to.
        """
        return any(
            not self.has_room(item)
            for item in self._permitted(profile, excluded=excluded, now=now)
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
            if self.work is not None:
                self.work.speeds.forget(item.instance_id)

    def _candidates(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> list[Candidate]:
        work = self.work if self.uses_costs() else None
        return [
            self._candidate(item, profile, work, now)
            for item in self._permitted(profile, excluded=excluded, now=now)
            if self.has_room(item)
        ]

    def _permitted(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> Iterator[EdgeInstance]:
        """Yield the instances that a request may be sent to."""
        for item in self.catalog.usable(profile.service):
            if (
                item.instance_id not in excluded
                and allows(profile.home_regions, item.placement.region)
                and item.placement.zone not in self.state.evacuations.zones
                and not self.pauses.time_left(item.instance_id, now=now)
            ):
                yield item

    def _best(
        self, candidates: Collection[Candidate], profile: RequestProfile
    ) -> Candidate | None:
        """Return a candidate of least loss, the least recently used one."""
        if not candidates:
            return None
        max_loss = min(item.loss for item in candidates)
        max_loss += self.tolerance(profile.service)
        return min(
            (item for item in candidates if item.loss <= max_loss),
            key=self._last_use,
        )

    def _best_near(
        self,
        candidates: Collection[Candidate],
        free: Collection[Candidate],
        profile: RequestProfile,
        bounds: RoomBounds,
    ) -> Candidate | None:
        """Return the best free candidate unless its loss is much larger."""
        least = min((item.loss for item in candidates), default=0)
        max_loss = least + bounds.extra_loss + self.tolerance(profile.service)
        return self._best(
            [item for item in free if item.loss <= max_loss], profile
        )

    def _use(self, candidate: Candidate, now: float) -> Candidate:
        """Note the use of a candidate and return it."""
        self._last_used_at[candidate.instance.instance_id] = now
        return candidate

    def _last_use(self, candidate: Candidate) -> float:
        instance_id = candidate.instance.instance_id
        if instance_id not in self._last_used_at:
            # Each VM has an order of its own, so that not all of them begin
            # with the same instance.
            order = zlib.crc32(f'{self.own_id} {instance_id}'.encode())
            self._last_used_at[instance_id] = -float(order)
        return self._last_used_at[instance_id]

    def _candidate(
        self,
        item: EdgeInstance,
        profile: RequestProfile,
        work: RemainingWork | None,
        now: float,
        terms: dict[str, float] | None = None,
    ) -> Candidate:
        """Return an instance with its loss.

        :param terms: filled with the terms of the loss.
        """
        failure_probability = self.state.failure_probability(
            item.instance_id, now=now
        )
        weight = _RETRYABLE_WEIGHT if profile.is_retryable else 1.0
        in_flight = self.state.in_flight(item.instance_id)
        if item.instance_id in self.state.busy_elsewhere:
            in_flight = max(in_flight, item.slots)
        slow_time: float = 0
        if work is None:
            queued = max(0, in_flight + 1 - item.slots)
            queue_time = queued / item.slots * profile.expected_time
        else:
            factor = work.speeds.factor(item.instance_id, now=now)
            slow_time = (factor - 1) * profile.expected_time
            queue_time = work.wait(
                in_flight=in_flight,
                slots=item.slots,
                service=item.service,
                factor=factor,
            )
        queue_time += self.limits.wait(item.instance_id, now=now)
        locality = locality_of(self.own_placement, item.placement)
        losses = {
            'failing': failure_rate(failure_probability) * weight,
            'distance': _LOCALITY_LOSS[locality],
            'load': _IN_FLIGHT_WEIGHT * min(1, in_flight / item.slots),
            'queue': (
                QUEUE_TIME_WEIGHT
                * (queue_time + slow_time)
                / target_latency(profile)
            ),
            'cold': _WARMUP_LOSS if item.warmup else 0,
        }
        if terms is not None:
            terms.update(losses)
        return Candidate(
            instance=item,
            loss=sum(losses.values()),
            queue_time=queue_time,
            failure_probability=failure_probability,
            in_flight=in_flight,
            locality=locality,
        )


def _with_room(
    candidates: Iterable[Candidate], bounds: RoomBounds
) -> list[Candidate]:
    return [
        item for item in candidates if item.queue_time <= bounds.max_queue_time
    ]


def target_latency(profile: RequestProfile) -> float:
    """Return the seconds within which an answer has its full value."""
    return profile.target_latency or _DEFAULT_TARGET_S


def least_time(profile: RequestProfile) -> float:
    """Return the seconds before the deadline without which none is sent."""
    return profile.expected_time * _MIN_RESPONSE_TIME_FRACTION
