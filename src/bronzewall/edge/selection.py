"""Chooses the instance for a request by what it is expected to lose."""

from collections.abc import Collection, Iterable

import attrs

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.failure_estimates import failure_rate
from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.zone_state import ZoneState
from bronzewall.locality import Locality, locality_of
from bronzewall.types import InstanceId, Placement, ServiceName

# Losses are parts of what an answer in time is worth to the caller.
# Traffic between zones and regions is paid by volume; one answer from there
# costs about this part of its worth.
_NEARNESS_LOSS = {
    Locality.ZONE: 0,
    Locality.REGION: 0.15,
    Locality.REMOTE: 0.25,
}
# A failed request that may be sent again only comes later.
_REPEATABLE_WEIGHT = 0.15
# Time in an instance's queue, in parts of the target latency.
_WAIT_WEIGHT = 0.5
# Some instances slow down when they are nearly full.
_LOAD_WEIGHT = 0.03
# An instance that has just started runs requests about twice as long.
_WARMUP_LOSS = 0.05
# Losses closer than this are equal; the instance used longest ago is taken.
_EQUAL_LOSS = 0.02
_DEFAULT_TARGET_S = 2.0


@attrs.frozen(kw_only=True)
class RequestProfile:
    """What a request asks of an instance.

    :param is_repeatable: it may be sent again if the instance fails it.
    :param expected_time: expected seconds of work.
    :param target: seconds within which the answer is worth most.
    """

    service: ServiceName
    is_repeatable: bool
    expected_time: float
    target: float | None


@attrs.frozen(kw_only=True)
class Candidate:
    """An instance with what is expected there.

    :param loss: part of the request's worth that is expected to be lost.
    :param wait: expected seconds in the instance's queue.
    """

    instance: EdgeInstance
    loss: float
    wait: float


@attrs.define(kw_only=True, eq=False)
class Selector:
    """Chooses among the instances of a service."""

    own_placement: Placement
    catalog: Catalog
    state: ZoneState
    _used_at: dict[InstanceId, float] = attrs.field(factory=dict)

    def choose(
        self,
        profile: RequestProfile,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> Candidate | None:
        """Return the best instance, or ``None`` if there is none.

        :param excluded: instances that had the request already.
        """
        candidates = [
            self._candidate(item, profile, now)
            for item in self.catalog.usable(profile.service)
            if item.instance_id not in excluded
        ]
        if not candidates:
            return None
        least = min(candidate.loss for candidate in candidates)
        best = min(
            (opt for opt in candidates if opt.loss <= least + _EQUAL_LOSS),
            key=self._last_use,
        )
        self._used_at[best.instance.instance_id] = now
        return best

    def forget(self, gone: Iterable[EdgeInstance]) -> None:
        """Drop what is known of instances that ended."""
        for item in gone:
            self._used_at.pop(item.instance_id, None)
            self.state.forget(item.instance_id)

    def _last_use(self, candidate: Candidate) -> float:
        return self._used_at.get(candidate.instance.instance_id, 0)

    def _candidate(
        self, item: EdgeInstance, profile: RequestProfile, now: float
    ) -> Candidate:
        failing = self.state.failure_probability(item.instance_id, now=now)
        weight = _REPEATABLE_WEIGHT if profile.is_repeatable else 1.0
        load = self.state.in_flight(item.instance_id)
        if item.instance_id in self.state.busy_elsewhere:
            load = max(load, item.slots)
        queued = max(0, load + 1 - item.slots)
        wait = queued / item.slots * profile.expected_time
        target = profile.target or _DEFAULT_TARGET_S
        loss = (
            failure_rate(failing) * weight
            + _NEARNESS_LOSS[locality_of(self.own_placement, item.placement)]
            + _LOAD_WEIGHT * min(1, load / item.slots)
            + _WAIT_WEIGHT * wait / target
        )
        if item.warmup:
            loss += _WARMUP_LOSS
        return Candidate(instance=item, loss=loss, wait=wait)
