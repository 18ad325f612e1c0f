"""Permits to send requests to instances that have a limit.

The leader of an instance's zone grants the permits of all VMs, so that their
requests together stay within the limit.
"""

import math
from collections.abc import Callable

import attrs
import structlog

from bronzewall.edge.instance_limits import InstanceLimits
from bronzewall.edge.limit_messages import (
    ColdPermitRequest,
    LimitUpdate,
    PermitReply,
    PermitRequest,
)
from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.errors import PeerTimeoutError
from bronzewall.messages import Envelope
from bronzewall.types import InstanceId, VmId

# Requests that may be sent to an instance at once after a pause. The rest are
# spaced evenly.
_BURST = 2
# Requests a second that are sent whatever the limit, because only an answer
# shows that the limit has ended.
_MIN_RATE = 0.1
# Time limit of a permit request, seconds; a round trip between regions takes
# 16 ms.
_TIMEOUT_S = 0.2
# Time for which an instance is not used if nobody grants permits for it,
# seconds. A new zone leader is found within this time.
_NO_LEADER_WAIT_S = 0.5
# VMs that a permit request may pass: the leader of the sender's zone, a former
# leader of the instance's zone, and the present one.
_MAX_HOPS = 3
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class PermitSchedule:
    """Spaces the permits of each instance by its limit."""

    _next_at: dict[InstanceId, float] = attrs.field(factory=dict)

    def request(
        self,
        instance_id: InstanceId,
        *,
        rate: float,
        max_wait: float,
        now: float,
    ) -> PermitReply:
        """Grant the next permit if its time comes soon enough.

        :param rate: requests a second.
        :param max_wait: seconds for which the request can wait.
        :param now: clock time in seconds.
        """
        interval = 1 / max(rate, _MIN_RATE)
        burst_time = (_BURST - 1) * interval
        next_at = max(
            self._next_at.get(instance_id, -math.inf), now - burst_time
        )
        wait = max(0, next_at - now)
        if wait > max_wait:
            return PermitReply(is_granted=False, wait=wait)
        self._next_at[instance_id] = next_at + interval
        return PermitReply(is_granted=True, wait=wait)

    def forget(self, instance_id: InstanceId) -> None:
        """Drop the schedule of a removed instance."""
        self._next_at.pop(instance_id, None)


@attrs.define(kw_only=True, eq=False)
class LimitPermits:
    """Requests permits for this VM, and grants them as a zone leader.

    :param find_instance: returns the instance of an id, if it is listed.
    """

    limits: InstanceLimits
    leader: ZoneLeader
    find_instance: Callable[[InstanceId], EdgeInstance | None]
    schedule: PermitSchedule = attrs.field(factory=PermitSchedule)

    def serve(self) -> None:
        """Handle permit requests of other VMs."""
        for kind in (PermitRequest, ColdPermitRequest):
            self.leader.endpoint.serve(kind, self.handle_request)

    async def acquire(
        self, instance: EdgeInstance, *, max_wait: float
    ) -> float | None:
        """Return the seconds after which a request may be sent.

        :param max_wait: seconds for which the request can wait.
        :return: ``None`` if it may not be sent within that time.
        """
        instance_id = instance.instance_id
        limit = self.limits.limit(instance_id)
        if limit is None:
            return 0
        is_stated = self.limits.stated_limit(instance_id) == limit
        kind = PermitRequest if is_stated else ColdPermitRequest
        reply = await self._find_permit(
            kind(instance_id=instance_id, limit=limit, max_wait=max_wait),
            instance.placement.zone,
        )
        if reply.is_granted:
            return reply.wait
        self.limits.expect_wait(
            instance_id, reply.wait, now=self.leader.clock.now()
        )
        return None

    async def handle_request(self, envelope: Envelope) -> PermitReply:
        """Grant or refuse a permit, or pass the request on to who can.

        A request travels from a VM to its leader, and from there to the
        leader of the instance's zone.
        """
        request: PermitRequest = envelope.body
        instance = self.find_instance(request.instance_id)
        if instance is None:
            return _refusal()
        if not isinstance(request, ColdPermitRequest):
            self.limits.apply_update(
                LimitUpdate(limits={request.instance_id: request.limit}),
                now=self.leader.clock.now(),
            )
        return await self._find_permit(
            request, instance.placement.zone, sender=envelope.sender
        )

    async def _find_permit(
        self, request: PermitRequest, zone: str, *, sender: VmId | None = None
    ) -> PermitReply:
        """Grant a permit here, or request it from whoever grants it.

        :param zone: zone of the instance.
        :param sender: VM that asks this one, ``None`` for this VM itself.
        """
        is_leader = self.leader.is_leader()
        granting_zone = self._granting_zone(zone)
        is_own_zone = granting_zone == self.leader.fleet.own.placement.zone
        if is_leader and is_own_zone:
            return self._grant(request)
        to = (
            self.leader.leader_of(granting_zone)
            if is_leader
            else self.leader.find_leader()
        )
        is_lost = to in {None, sender, self.leader.fleet.own.vm_id}
        if to is None or is_lost or request.hops >= _MAX_HOPS:
            return _refusal()
        try:
            reply: PermitReply = await self.leader.endpoint.call(
                to=to,
                message=attrs.evolve(request, hops=request.hops + 1),
                timeout=_TIMEOUT_S,
            )
        except PeerTimeoutError as exc:
            self.leader.endpoint.counters['permit_request_lost'] += 1
            _LOG.info(
                'permit_request_lost',
                instance=request.instance_id,
                error=str(exc),
            )
            return _refusal()
        return reply

    def _granting_zone(self, zone: str) -> str:
        """Return the zone that grants the permits of a zone's instances."""
        fleet = self.leader.fleet
        return zone if fleet.ranked(zone) else min(fleet.zones())

    def _grant(self, request: PermitRequest) -> PermitReply:
        known = self.limits.limit(request.instance_id)
        limit = request.limit if known is None else min(known, request.limit)
        return self.schedule.request(
            request.instance_id,
            rate=limit * self.leader.quota_fraction,
            max_wait=request.max_wait,
            now=self.leader.clock.now(),
        )


def _refusal() -> PermitReply:
    return PermitReply(is_granted=False, wait=_NO_LEADER_WAIT_S)
